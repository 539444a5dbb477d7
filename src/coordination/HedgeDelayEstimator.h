#ifndef FIGTURN_COORDINATION_HEDGEDELAYESTIMATOR_H
#define FIGTURN_COORDINATION_HEDGEDELAYESTIMATOR_H

/**
 * Estimates after which delay a call of a route is hedged: an upper quantile of
 * recent call latencies, within bounds derived from the latency objective.
 *
 * Load pattern: most calls take a few milliseconds, and some are delayed by a
 * pause that is longer than the objective. A hedge must leave enough time for a
 * complete call.
 */

#include "coordination/LatencyWindow.h"
#include "state/Time.h"

namespace figturn {

/** Parameters of a HedgeDelayEstimator. */
struct HedgeDelayOptions {
  /** Share of the calls that end before their hedge delay; the remainder stays
   *  below the permitted share of extra calls. */
  double m_Quantile = 0.9;
  /** Bounds of the hedge delay, as fractions of the latency objective. */
  double m_MinDelayRatio = 0.12;
  double m_MaxDelayRatio = 0.4;
  /** Hedge delay without enough samples, as a fraction of the latency
   *  objective. */
  double m_InitialDelayRatio = 0.3;
};

/** Latencies of one route's calls at one VM. Not thread-safe. */
class HedgeDelayEstimator {
public:
  HedgeDelayEstimator(HedgeDelayOptions Options, milliseconds Objective)
      : m_Options(Options), m_Objective(Objective) {}

  void record(Duration Latency, TimePoint Now);
  /** Time after its send at which a call is hedged. */
  Duration delay() const;
  /** Median call latency, or an estimate without enough samples; at least
   *  1 ms. */
  Duration medianLatency() const;

private:
  HedgeDelayOptions m_Options;
  milliseconds m_Objective;
  LatencyWindow m_Window;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_HEDGEDELAYESTIMATOR_H
