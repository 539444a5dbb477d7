#include "coordination/StateCopySchedule.h"

namespace figturn {

namespace {

/** Larger copies are limited in number, because they fill a small VM's link. */
constexpr std::size_t BulkCopyBytes = 32768;

/** Copies that a small VM's link carries within their timeout. */
constexpr std::size_t MaxPendingWithBulkCopy = 3;

} // namespace

StateCopyOptions registryCopyOptions() { return {}; }

StateCopyOptions configCopyOptions() {
  return {.m_Timeout = milliseconds(2000),
          .m_StoreReadDelay = milliseconds(2500)};
}

CopyStep StateCopySchedule::next(bool IsBehind, bool HasCurrentWatch,
                                 TimePoint Now) {
  if (!IsBehind) {
    m_BehindSince.reset();
    return CopyStep::None;
  }
  if (!m_BehindSince) {
    m_BehindSince = Now;
    m_NextStoreRead = Now + (HasCurrentWatch ? m_Options.m_WatcherStoreReadDelay
                                             : m_Options.m_StoreReadDelay);
  }
  if (Now >= m_NextStoreRead) {
    m_NextStoreRead = Now + m_Options.m_StoreReadDelay;
    return CopyStep::ReadStore;
  }
  // A watcher receives most changes from its own watch a moment later.
  const bool AwaitsWatch =
      HasCurrentWatch && Now - *m_BehindSince < m_Options.m_WatcherDelay;
  if (m_IsRunning || Now < m_NextRequest || AwaitsWatch)
    return CopyStep::None;
  m_IsRunning = true;
  m_NextRequest = Now + m_Options.m_MinInterval;
  return CopyStep::AskPeer;
}

void StateCopySchedule::onEnded(CopyOutcome Outcome, TimePoint Now) {
  m_IsRunning = false;
  // While changes follow one another, a VM is always behind, but its peers
  // serve it.
  if (Outcome == CopyOutcome::Complete)
    m_BehindSince.reset();
  else if (Outcome == CopyOutcome::Deferred)
    m_NextRequest = Now + m_Options.m_DeferredDelay;
}

bool maySendCopy(std::size_t Bytes, std::size_t PendingAnswers) {
  return Bytes <= BulkCopyBytes || PendingAnswers <= MaxPendingWithBulkCopy;
}

} // namespace figturn
