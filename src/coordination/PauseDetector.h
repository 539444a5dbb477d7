#ifndef FIGTURN_COORDINATION_PAUSEDETECTOR_H
#define FIGTURN_COORDINATION_PAUSEDETECTOR_H

/**
 * Detects that this process did not run for a while, from the gap between
 * two turns of its event loop. Leases lapse by themselves over a pause; this
 * class lets the node also treat what it believed about peers, targets and
 * connections as out of date.
 */

#include "state/Time.h"

#include <optional>

namespace figturn {

/** Watches the turns of one event loop. */
class PauseDetector {
public:
  /** \p LongestTurn: a longer gap between turns is a pause. */
  explicit PauseDetector(Duration LongestTurn)
      : m_MaxIterationGap(LongestTurn) {}

  /** Notes a turn of the loop; returns the length of the pause before it, if
   *  there was one. Call it at least each half of the longest turn. */
  std::optional<Duration> onLoopIteration(TimePoint Now);

private:
  Duration m_MaxIterationGap;
  std::optional<TimePoint> m_LastIteration;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_PAUSEDETECTOR_H
