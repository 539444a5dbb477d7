#include "coordination/QuantileHedgePolicy.h"

#include <algorithm>

namespace figturn {

QuantileHedgePolicy::QuantileHedgePolicy(const LatencyWindow &Window,
                                         double Quantile, Duration MinDelay)
    : m_Window(Window), m_Quantile(Quantile), m_MinDelay(MinDelay) {}

std::optional<Duration> QuantileHedgePolicy::delay(TimePoint) const {
  const std::optional<Duration> QuantileLatency = m_Window.quantile(m_Quantile);
  if (!QuantileLatency)
    return std::nullopt;
  return std::max(*QuantileLatency, m_MinDelay);
}

} // namespace figturn
