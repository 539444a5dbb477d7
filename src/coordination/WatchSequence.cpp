#include "coordination/WatchSequence.h"

#include <algorithm>

namespace figturn {

WatchSequence::WatchSequence(WatchOptions Options, std::uint32_t Seed,
                             TimePoint Now)
    : m_Options(Options), m_Random(Seed) {
  m_Next.m_DueTime = Now;
}

void WatchSequence::delayFirstListing(TimePoint Until) {
  m_Next.m_DueTime = Until;
  m_IsFirstListingDelayed = true;
}

bool WatchSequence::isFirstListingDelayed(TimePoint Now) const {
  return m_IsFirstListingDelayed && Now < m_Next.m_DueTime;
}

void WatchSequence::onCopied(std::uint64_t Revision, TimePoint Now) {
  onPage(Revision, false, {}, Now);
}

void WatchSequence::onPage(std::uint64_t Revision, bool HasMore,
                           const std::string &LastName, TimePoint Now) {
  m_IsFirstListingDelayed = false;
  m_ConsecutiveFailures = 0;
  if (m_Next.m_ListAfter.empty())
    m_ListRevision = Revision;
  if (HasMore) {
    m_Next = {
        .m_Call = StoreCall::List, .m_ListAfter = LastName, .m_DueTime = Now};
    return;
  }
  m_Complete = true;
  // The listing may lack changes made after its first page was read.
  m_Next = {.m_Call = StoreCall::Watch,
            .m_Revision = m_ListRevision,
            .m_DueTime = Now};
}

void WatchSequence::onWatched(std::uint64_t Revision, bool HasChanges,
                              TimePoint Now) {
  m_ConsecutiveFailures = 0;
  m_Next = {.m_Call = StoreCall::Watch,
            .m_Revision = std::max(Revision, m_Next.m_Revision),
            .m_DueTime = HasChanges ? Now + m_Options.m_WatchDelay : Now};
}

void WatchSequence::onHistoryCompacted(TimePoint Now) { restart(Now); }

void WatchSequence::restart(TimePoint Now) {
  m_IsFirstListingDelayed = false;
  m_ConsecutiveFailures = 0;
  m_Next = {.m_Call = StoreCall::List, .m_DueTime = Now};
}

void WatchSequence::onFailure(TimePoint Now) {
  m_IsFirstListingDelayed = false;
  constexpr std::uint32_t MaxDoublings = 6;
  const Duration MaxDelay = std::min<Duration>(
      m_Options.m_InitialBackoff *
          (1 << std::min(m_ConsecutiveFailures, MaxDoublings)),
      m_Options.m_MaxBackoff);
  ++m_ConsecutiveFailures;
  if (m_Next.m_Call == StoreCall::Watch)
    m_Next = {.m_Call = StoreCall::List};
  std::uniform_int_distribution<Duration::rep> Jitter(MaxDelay.count() / 2,
                                                      MaxDelay.count());
  m_Next.m_DueTime = Now + Duration(Jitter(m_Random));
}

void WatchSequence::makeDueNow(TimePoint Now) {
  m_Next.m_DueTime = std::min(m_Next.m_DueTime, Now);
}

} // namespace figturn
