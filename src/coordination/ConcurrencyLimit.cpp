#include "coordination/ConcurrencyLimit.h"

#include <algorithm>

namespace figturn {

void ConcurrencyLimit::setFloor(std::uint32_t Floor) {
  m_Floor = std::clamp<std::uint32_t>(Floor, 1, m_Options.m_MaxLimit);
  m_Limit = std::max(m_Limit, m_Floor);
}

void ConcurrencyLimit::recordLoad(std::uint32_t Running, bool HasWaiting) {
  m_PeakRunning = std::max(m_PeakRunning, Running);
  m_WasLimiting = m_WasLimiting || HasWaiting;
}

bool ConcurrencyLimit::onCallFinished(CallOutcome Outcome, Duration Latency,
                                      Duration Objective, TimePoint Now) {
  using FloatSeconds = std::chrono::duration<double>;
  // Only answered, refused and unanswered calls are counted. Calls that never
  // arrived, for example, carry no information about the targets' load.
  if (Outcome != CallOutcome::Answered && Outcome != CallOutcome::Refused &&
      Outcome != CallOutcome::Unanswered)
    return false;
  if (m_Calls == 0)
    m_WindowStart = Now;
  ++m_Calls;
  m_Refused += Outcome == CallOutcome::Refused ? 1 : 0;
  m_Slow +=
      FloatSeconds(Latency) > m_Options.m_SlowLatencyRatio * Objective ? 1 : 0;
  if (m_Calls < m_Options.m_MinCalls ||
      Now - m_WindowStart < m_Options.m_Window)
    return false;
  const std::uint32_t Before = m_Limit;
  const bool IsOverloaded = adjustLimit();
  m_Calls = 0;
  m_Refused = 0;
  m_Slow = 0;
  m_PeakRunning = 0;
  m_WasLimiting = false;
  return IsOverloaded || m_Limit != Before;
}

bool ConcurrencyLimit::adjustLimit() {
  const double Calls = m_Calls;
  const bool IsOverloaded =
      m_Refused >= m_Options.m_RefusedRatioThreshold * Calls ||
      m_Slow >= m_Options.m_SlowRatioThreshold * Calls;
  if (!IsOverloaded) {
    if (m_WasLimiting)
      m_Limit = std::min(m_Limit + 1, m_Options.m_MaxLimit);
    return false;
  }
  // Decrease from the peak number of running requests, which may be far below
  // the limit.
  const double PeakUsed = std::min(m_Limit, m_PeakRunning);
  m_Limit = std::max(m_Floor, static_cast<std::uint32_t>(
                                  PeakUsed * m_Options.m_DecreaseFactor));
  return true;
}

} // namespace figturn
