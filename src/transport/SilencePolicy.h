#ifndef FIGTURN_TRANSPORT_SILENCEPOLICY_H
#define FIGTURN_TRANSPORT_SILENCEPOLICY_H

/**
 * Decides what becomes of a connection whose call gets no byte of reply. A
 * slow call and a connection that something on the way forgot look alike
 * from one end, so the rule asks for two signs before it gives one up: a
 * connection opened after the silence began works, and either the kernel
 * still holds unacknowledged bytes or twice the threshold has passed.
 */

#include "state/Time.h"

namespace figturn {

/** What to do about one connection. */
enum class SilenceAction {
  None,  ///< Not silent for long enough.
  Probe, ///< No fresh connection has worked since the silence began.
  Wait,  ///< A fresh connection works, but the call may merely be slow.
  Retire ///< Give the connection up.
};

/** What is known about one silent connection. */
struct SilenceEvidence {
  TimePoint m_LastProgress;        ///< Last byte of reply, or the write.
  TimePoint m_LastWorkingOpenedAt; ///< Opening of the latest that works.
  bool m_HasUnacknowledgedBytes =
      false; ///< The kernel holds unconfirmed bytes.
};

/** Decides for one connection at \p Now. */
inline SilenceAction chooseSilenceAction(const SilenceEvidence &Signs,
                                         milliseconds Threshold,
                                         TimePoint Now) {
  const auto Silence = Now - Signs.m_LastProgress;
  if (Silence < Threshold)
    return SilenceAction::None;
  if (Signs.m_LastWorkingOpenedAt <= Signs.m_LastProgress)
    return SilenceAction::Probe;
  if (Signs.m_HasUnacknowledgedBytes || Silence >= 2 * Threshold)
    return SilenceAction::Retire;
  return SilenceAction::Wait;
}

} // namespace figturn

#endif // FIGTURN_TRANSPORT_SILENCEPOLICY_H
