#include "coordination/StateCopySchedule.h"

namespace figturn {

bool StateCopySchedule::startIfDue(bool IsBehind, bool HasCurrentWatch,
                                   TimePoint Now) {
  if (!IsBehind) {
    m_BehindSince.reset();
    return false;
  }
  if (!m_BehindSince)
    m_BehindSince = Now;
  // A watcher receives most changes from its own watch a moment later.
  const bool AwaitsWatch =
      HasCurrentWatch && Now - *m_BehindSince < m_Options.m_WatcherDelay;
  if (m_IsRunning || Now < m_NextStart || AwaitsWatch)
    return false;
  m_IsRunning = true;
  m_NextStart = Now + m_Options.m_MinInterval;
  return true;
}

} // namespace figturn
