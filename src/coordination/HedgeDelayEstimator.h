#ifndef FIGTURN_COORDINATION_HEDGEDELAYESTIMATOR_H
#define FIGTURN_COORDINATION_HEDGEDELAYESTIMATOR_H

/**
 * When the calls of a route count as late: after an upper quantile of what
 * they took lately, within bounds that follow from the latency objective.
 * Load pattern: most calls take a few milliseconds and some hit a pause that
 * is longer than the objective; a hedge must leave time for a whole call.
 */

#include "coordination/LatencyWindow.h"
#include "state/Time.h"

namespace figturn {

/** How late a call is before it is hedged. */
struct HedgeDelayOptions {
  /** Of the calls of a route this share ends before a hedge is sent; the
   *  rest stays below the share of calls that may be extra. */
  double m_Quantile = 0.9;
  /** Parts of the latency objective between which a hedge goes out. */
  double m_MinDelayRatio = 0.12;
  double m_MaxDelayRatio = 0.4;
  /** Before there are enough samples. */
  double m_InitialDelayRatio = 0.3;
};

/** Latencies of one route's calls at one VM. Not thread-safe. */
class HedgeDelayEstimator {
public:
  HedgeDelayEstimator(HedgeDelayOptions Options, milliseconds Objective)
      : m_Options(Options), m_Objective(Objective) {}

  void record(Duration Latency, TimePoint Now);
  /** How long after its send a call is hedged. */
  Duration delay() const;
  /** What a call usually takes: the median, or a guess without samples. */
  Duration medianLatency() const;

private:
  HedgeDelayOptions m_Options;
  milliseconds m_Objective;
  LatencyWindow m_Window;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_HEDGEDELAYESTIMATOR_H
