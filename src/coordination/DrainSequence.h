#ifndef FIGTURN_COORDINATION_DRAINSEQUENCE_H
#define FIGTURN_COORDINATION_DRAINSEQUENCE_H

/**
 * Decides the steps of a planned stop. A VM first stops being handed out and
 * serves on until no caller can still hold its address; then it takes no new
 * connections and finishes what is in flight; then it gives up its slots by
 * leaving the member list; then it ends. Nothing is cut on the way.
 */

#include "state/Time.h"

#include <cstddef>
#include <optional>

namespace figturn {

/** What is still going on at the VM. */
struct DrainProgress {
  std::size_t m_CallerRequests = 0; ///< Of callers, running or waiting.
  std::size_t m_PeerCalls = 0;      ///< Run here for other VMs.
  std::size_t m_SingleRuns = 0;     ///< Outcomes that are not recorded yet.
  bool m_Removed = false;           ///< The member list no longer names it.
};

/** How far a planned stop has come. */
enum class DrainStep {
  None,              ///< No stop was asked for.
  Lingering,         ///< Serves callers that hold its address.
  Finishing,         ///< Takes no connections; finishes requests.
  LeavingMembership, ///< Waits to be taken off the member list.
  Done
};

/** Times of a planned stop. */
struct DrainSequenceOptions {
  /** Callers keep an address for so long after it was handed out; includes
   *  the time that other VMs need to hear of the stop. */
  Duration m_AddressLifetime = seconds(7);
  /** Longest wait to be taken off the list, for example while the platform
   *  is down; after that the others see the VM as lost. */
  Duration m_LeaveTimeout = seconds(10);
};

/** The sequence; each step is left only when it is complete. */
class DrainSequence {
public:
  explicit DrainSequence(DrainSequenceOptions Options) : m_Options(Options) {}

  /** Begins the planned stop, once. */
  void begin(TimePoint Now);
  /** Moves on if the present step is complete; returns the step it is in. */
  DrainStep advance(const DrainProgress &Progress, TimePoint Now);
  DrainStep step() const { return m_Step; }

private:
  DrainSequenceOptions m_Options;
  DrainStep m_Step = DrainStep::None;
  TimePoint m_StepStart;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_DRAINSEQUENCE_H
