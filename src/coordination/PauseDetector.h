#ifndef FIGTURN_COORDINATION_PAUSEDETECTOR_H
#define FIGTURN_COORDINATION_PAUSEDETECTOR_H

/**
 * Detects pauses of this process by the time between two iterations of its
 * event loop. Leases expire during a pause by themselves; this class lets the
 * process also discard stale state about peers, targets and connections.
 */

#include "state/Time.h"

#include <optional>

namespace figturn {

/** Monitors the iterations of one event loop. */
class PauseDetector {
public:
  /** A gap between iterations longer than \p MaxIterationGap is a pause. */
  explicit PauseDetector(Duration MaxIterationGap)
      : m_MaxIterationGap(MaxIterationGap) {}

  /** Records an iteration of the loop and returns the length of the pause that
   *  preceded it, if any. Must be called at least twice per maximum gap. */
  std::optional<Duration> onLoopIteration(TimePoint Now);

private:
  Duration m_MaxIterationGap;
  std::optional<TimePoint> m_LastIteration;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_PAUSEDETECTOR_H
