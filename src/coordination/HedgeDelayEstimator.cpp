#include "coordination/HedgeDelayEstimator.h"

#include <algorithm>

namespace figturn {

namespace {

Duration part(milliseconds Whole, double Share) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(Whole.count()) * Share));
}

} // namespace

void HedgeDelayEstimator::record(Duration Latency, TimePoint Now) {
  m_Window.record(Latency, Now);
}

Duration HedgeDelayEstimator::delay() const {
  const auto Late = m_Window.quantile(m_Options.m_Quantile);
  if (!Late)
    return part(m_Objective, m_Options.m_InitialDelayRatio);
  return std::clamp(*Late, part(m_Objective, m_Options.m_MinDelayRatio),
                    part(m_Objective, m_Options.m_MaxDelayRatio));
}

Duration HedgeDelayEstimator::medianLatency() const {
  constexpr double Median = 0.5;
  const auto Usual = m_Window.quantile(Median);
  const Duration Guess = part(m_Objective, m_Options.m_MinDelayRatio);
  return std::max<Duration>(Usual.value_or(Guess), milliseconds(1));
}

} // namespace figturn
