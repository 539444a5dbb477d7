#ifndef FIGTURN_TRANSPORT_SILENCEPOLICY_H
#define FIGTURN_TRANSPORT_SILENCEPOLICY_H

/**
 * Decides how to treat a connection whose call receives no reply bytes. A slow
 * call looks the same as a connection whose state was lost in the network, so
 * two conditions must hold before a connection is retired: a connection opened
 * after the silence began works, and either the kernel holds unacknowledged
 * bytes or twice the threshold has passed.
 */

#include "state/Time.h"

namespace figturn {

/** Action to take on one connection. */
enum class SilenceAction {
  None,  ///< The silence is below the threshold.
  Probe, ///< Open a new connection; none has worked since the silence began.
  Wait,  ///< A newer connection works, but the call may only be slow.
  Retire ///< Close the connection.
};

/** Observations of one connection without reply bytes. */
struct SilenceEvidence {
  /** When the last reply byte was received, or the call was written. */
  TimePoint m_LastProgress;
  /** When the newest working connection was opened. */
  TimePoint m_LastWorkingOpenedAt;
  bool m_HasUnacknowledgedBytes = false; ///< Held by the kernel.
};

/** Returns the action for one connection at the time \p Now. */
inline SilenceAction chooseSilenceAction(const SilenceEvidence &Evidence,
                                         milliseconds Threshold,
                                         TimePoint Now) {
  const auto Silence = Now - Evidence.m_LastProgress;
  if (Silence < Threshold)
    return SilenceAction::None;
  if (Evidence.m_LastWorkingOpenedAt <= Evidence.m_LastProgress)
    return SilenceAction::Probe;
  if (Evidence.m_HasUnacknowledgedBytes || Silence >= 2 * Threshold)
    return SilenceAction::Retire;
  return SilenceAction::Wait;
}

} // namespace figturn

#endif // FIGTURN_TRANSPORT_SILENCEPOLICY_H
