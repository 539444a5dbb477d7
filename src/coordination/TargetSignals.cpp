#include "coordination/TargetSignals.h"

#include <algorithm>

namespace figturn {

TargetSignalChange TargetSignals::onReply(const TargetSignalReport &Report,
                                          TimePoint Now) {
  TargetSignalChange Change;
  if (Report.m_IsLeaving && !m_LeavingSince) {
    m_LeavingSince = Now;
    Change.m_StartedLeaving = true;
  }
  if (Report.m_WaitTime) {
    Change.m_StartedWait = !isWaiting(Now);
    // Replies can arrive in another order than they were sent.
    m_WaitEnd = std::max(m_WaitEnd, Now + *Report.m_WaitTime);
  }
  return Change;
}

} // namespace figturn
