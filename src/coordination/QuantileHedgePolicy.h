#ifndef FIGTURN_COORDINATION_QUANTILEHEDGEPOLICY_H
#define FIGTURN_COORDINATION_QUANTILEHEDGEPOLICY_H

/**
 * Hedges a call once its latency exceeds a quantile of the service's recent
 * calls. The quantile also bounds the share of calls that are hedged: it suits
 * an extra-load budget of one minus the quantile.
 */

#include "coordination/HedgePolicy.h"
#include "coordination/LatencyWindow.h"

namespace figturn {

/** A hedge delay derived from measured latency. */
class QuantileHedgePolicy final : public HedgePolicy {
public:
  /** \p Window must outlive the policy. Delays are at least \p MinDelay. */
  QuantileHedgePolicy(const LatencyWindow &Window, double Quantile,
                      Duration MinDelay);

  /** Returns nothing until the window holds enough samples. */
  std::optional<Duration> delay(TimePoint Now) const override;

private:
  const LatencyWindow &m_Window;
  double m_Quantile;
  Duration m_MinDelay;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_QUANTILEHEDGEPOLICY_H
