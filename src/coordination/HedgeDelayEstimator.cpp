#include "coordination/HedgeDelayEstimator.h"

#include <algorithm>

namespace figturn {

namespace {

Duration fractionOf(milliseconds Objective, double Share) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(Objective.count()) * Share));
}

} // namespace

void HedgeDelayEstimator::record(Duration Latency, TimePoint Now) {
  m_Window.record(Latency, Now);
}

Duration HedgeDelayEstimator::delay() const {
  const auto Quantile = m_Window.quantile(m_Options.m_Quantile);
  if (!Quantile)
    return fractionOf(m_Objective, m_Options.m_InitialDelayRatio);
  return std::clamp(*Quantile,
                    fractionOf(m_Objective, m_Options.m_MinDelayRatio),
                    fractionOf(m_Objective, m_Options.m_MaxDelayRatio));
}

Duration HedgeDelayEstimator::medianLatency() const {
  constexpr double Median = 0.5;
  const auto MedianLatency = m_Window.quantile(Median);
  const Duration Fallback = fractionOf(m_Objective, m_Options.m_MinDelayRatio);
  return std::max<Duration>(MedianLatency.value_or(Fallback), milliseconds(1));
}

} // namespace figturn
