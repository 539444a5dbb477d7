#include "coordination/FreshnessTracker.h"

#include <algorithm>
#include <utility>

namespace figturn {

void FreshnessTracker::onListingSent(TimePoint Now) { m_ListingSentAt = Now; }

void FreshnessTracker::onListed() {
  // A newer copy that was imported meanwhile may have been overwritten.
  if (const auto SentAt = std::exchange(m_ListingSentAt, std::nullopt))
    m_FreshAt = m_ProvenAt = *SentAt;
}

void FreshnessTracker::onWatchSent(TimePoint Now) { m_WatchSentAt = Now; }

void FreshnessTracker::onWatchReply() {
  if (m_WatchSentAt) {
    raiseTo(*m_WatchSentAt);
    m_ProvenAt = std::max(m_ProvenAt, *m_WatchSentAt);
  }
  onWatchEnded();
}

void FreshnessTracker::onWatchEnded() {
  raiseTo(std::exchange(m_UnchangedAt, {}));
  m_WatchSentAt.reset();
}

void FreshnessTracker::onUnavailable(TimePoint Now) {
  // A call that fails after a pause may have failed at any time in it.
  raiseTo(isPaused(Now) ? m_LastTickAt : Now);
}

void FreshnessTracker::onCopied(TimePoint FreshAt) { raiseTo(FreshAt); }

void FreshnessTracker::onFleetAgrees(TimePoint Now) {
  // After a pause, the messages that arrived in it are read first.
  if (Now - m_RunningSince < 2 * m_Options.m_SpreadTime)
    return;
  raiseTo(Now - m_Options.m_SpreadTime);
  m_ProvenAt = std::max(m_ProvenAt, Now - m_Options.m_SpreadTime);
}

void FreshnessTracker::onTick(TimePoint Now) {
  // A reply that had arrived by the last tick would have been handled by now.
  const TimePoint UnchangedAt = m_LastTickAt - m_Options.m_ReplyTime;
  if (m_WatchSentAt && UnchangedAt > *m_WatchSentAt)
    m_UnchangedAt = UnchangedAt;
  if (isPaused(Now))
    m_RunningSince = Now;
  m_LastTickAt = Now;
}

TimePoint FreshnessTracker::freshAt() const {
  return std::max(m_FreshAt, m_UnchangedAt);
}

void FreshnessTracker::raiseTo(TimePoint FreshAt) {
  m_FreshAt = std::max(m_FreshAt, FreshAt);
}

bool FreshnessTracker::isPaused(TimePoint Now) const {
  return Now - m_LastTickAt >= m_Options.m_PauseThreshold;
}

} // namespace figturn
