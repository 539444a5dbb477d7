#ifndef FIGTURN_COORDINATION_DRAINSEQUENCE_H
#define FIGTURN_COORDINATION_DRAINSEQUENCE_H

/**
 * Steps of a planned stop. First the VM is no longer advertised, but serves
 * until no caller can still hold its address. It then accepts no new
 * connections and finishes its requests, releases its slots by leaving the
 * member list, and ends. No request is interrupted, including those that arrive
 * on kept connections until the end.
 */

#include "state/Time.h"

#include <cstddef>
#include <optional>

namespace figturn {

/** Remaining work of the VM. */
struct DrainProgress {
  /** Requests of callers: partly received, running or waiting. */
  std::size_t m_CallerRequests = 0;
  std::size_t m_PeerCalls = 0; ///< Calls that run here for other VMs.
  /** Single-run requests whose outcome is not recorded yet. */
  std::size_t m_SingleRuns = 0;
  bool m_Removed = false; ///< The member list no longer contains this VM.
};

/** Steps of a planned stop. */
enum class DrainStep {
  None,                ///< No stop was requested.
  ServingUnadvertised, ///< Serves callers that still hold its address.
  Finishing,           ///< Accepts no connections; finishes requests.
  LeavingMembership,   ///< Waits for its removal from the member list.
  Done
};

/** Timeouts of a planned stop. */
struct DrainSequenceOptions {
  /** How long callers may use an address after it was advertised last,
   *  including the time until other VMs are notified of the stop. */
  Duration m_AddressLifetime = seconds(7);
  /** Maximum wait for the removal from the member list, for example while the
   *  platform is down; after that the other VMs detect a failed VM. */
  Duration m_LeaveTimeout = seconds(10);
};

/** The sequence of steps; each step ends only when it is complete. Not
 *  thread-safe. */
class DrainSequence {
public:
  explicit DrainSequence(DrainSequenceOptions Options) : m_Options(Options) {}

  /** Starts the planned stop; later calls have no effect. */
  void begin(TimePoint Now);
  /** Advances if the current step is complete; returns the current step. */
  DrainStep advance(const DrainProgress &Progress, TimePoint Now);
  DrainStep step() const { return m_Step; }

private:
  DrainSequenceOptions m_Options;
  DrainStep m_Step = DrainStep::None;
  TimePoint m_StepStart;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_DRAINSEQUENCE_H
