#ifndef FIGTURN_COORDINATION_STATECOPYSCHEDULE_H
#define FIGTURN_COORDINATION_STATECOPYSCHEDULE_H

/**
 * Decides when a VM that is behind its peers requests a copy of their state.
 */

#include "state/Time.h"

#include <optional>

namespace figturn {

/** Delays and timeouts of copies. */
struct StateCopyOptions {
  /** A VM that watches the platform itself requests a copy after being behind
   *  for this long: its own watch may have gone silent. */
  Duration m_WatcherDelay = milliseconds(700);
  /** Limits the number of copies during a burst of changes. */
  Duration m_MinInterval = milliseconds(300);
  milliseconds m_Timeout{800};
};

/** Copies of one VM, one at a time. Not thread-safe. */
class StateCopySchedule {
public:
  explicit StateCopySchedule(StateCopyOptions Options) : m_Options(Options) {}

  /** Whether to request a copy at \p Now; if so, the copy counts as requested.
   *  \p HasCurrentWatch: the VM's own watch of the platform works. */
  bool startIfDue(bool IsBehind, bool HasCurrentWatch, TimePoint Now);
  /** The copy requested last has arrived or failed. */
  void onEnded() { m_IsRunning = false; }
  milliseconds timeout() const { return m_Options.m_Timeout; }

private:
  StateCopyOptions m_Options;
  std::optional<TimePoint> m_BehindSince;
  TimePoint m_NextStart;
  bool m_IsRunning = false;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_STATECOPYSCHEDULE_H
