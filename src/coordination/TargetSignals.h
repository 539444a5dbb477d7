#ifndef FIGTURN_COORDINATION_TARGETSIGNALS_H
#define FIGTURN_COORDINATION_TARGETSIGNALS_H

/**
 * What a process of a target has said about itself in its replies, apart from
 * its rate limit: that it is leaving, and for how long it wants no requests.
 * A VM acts on them at once, whether or not the registry says the same, because
 * the registry lags behind and may be unreachable.
 *
 * Load pattern: a target that can't keep up asks each VM to wait. Sending to it
 * all the same would cost a call for each search and delay its recovery.
 */

#include "state/Time.h"

#include <optional>

namespace figturn {

/** The signals in one reply. */
struct TargetSignalReport {
  bool m_IsLeaving = false;
  /** How long the target wants no requests from this VM. */
  std::optional<Duration> m_WaitTime;
};

/** How a reply changed the signals. */
struct TargetSignalChange {
  bool m_StartedLeaving = false;
  bool m_StartedWait = false; ///< It was not waiting before.
};

/** Signals of one process of a target. Not thread-safe. */
class TargetSignals {
public:
  TargetSignalChange onReply(const TargetSignalReport &Report, TimePoint Now);

  /** Whether the target is leaving; a process never takes this back. */
  bool isLeaving() const { return m_LeavingSince.has_value(); }
  /** Whether the target wants no requests at \p Now. */
  bool isWaiting(TimePoint Now) const { return Now < m_WaitEnd; }

  std::optional<TimePoint> leavingSince() const { return m_LeavingSince; }
  TimePoint waitEnd() const { return m_WaitEnd; }

private:
  std::optional<TimePoint> m_LeavingSince;
  TimePoint m_WaitEnd;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_TARGETSIGNALS_H
