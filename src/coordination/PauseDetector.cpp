#include "coordination/PauseDetector.h"

namespace figturn {

std::optional<Duration> PauseDetector::onLoopIteration(TimePoint Now) {
  const std::optional<TimePoint> Last = m_LastIteration;
  m_LastIteration = Now;
  if (!Last || Now - *Last <= m_MaxIterationGap)
    return std::nullopt;
  return Now - *Last;
}

} // namespace figturn
