#include "coordination/DrainSequence.h"

namespace figturn {

void DrainSequence::begin(TimePoint Now) {
  if (m_Step != DrainStep::None)
    return;
  m_Step = DrainStep::ServingUnadvertised;
  m_StepStart = Now;
}

DrainStep DrainSequence::advance(const DrainProgress &Progress, TimePoint Now) {
  const Duration StepTime = Now - m_StepStart;
  const bool HasRequests =
      Progress.m_CallerRequests > 0 || Progress.m_SingleRuns > 0;
  bool IsComplete = false;
  switch (m_Step) {
  case DrainStep::None:
  case DrainStep::Done:
    return m_Step;
  case DrainStep::ServingUnadvertised:
    IsComplete = StepTime >= m_Options.m_AddressLifetime;
    break;
  case DrainStep::Finishing:
    IsComplete = !HasRequests;
    break;
  case DrainStep::LeavingMembership:
    IsComplete = !HasRequests && Progress.m_PeerCalls == 0 &&
                 (Progress.m_Removed || StepTime >= m_Options.m_LeaveTimeout);
    break;
  }
  if (IsComplete) {
    m_Step = static_cast<DrainStep>(static_cast<int>(m_Step) + 1);
    m_StepStart = Now;
  }
  return m_Step;
}

} // namespace figturn
