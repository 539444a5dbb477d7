#ifndef FIGTURN_COORDINATION_TARGETCHOOSER_H
#define FIGTURN_COORDINATION_TARGETCHOOSER_H

/**
 * Chooses the target of a call among the replicas of a service. Replicas pause
 * for a fraction of a second every few seconds, and some become slow or fail
 * part of their calls while they report good health. The choice is therefore
 * based on the results of this VM's own calls and avoids a target as soon as
 * one of its calls is overdue.
 */

#include "coordination/TargetRegistry.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <random>
#include <span>

namespace figturn {

/** Costs of target states, in multiples of the usual service time of a call. */
struct ChoiceCosts {
  /** Call to another data centre, whose bytes are priced. Less than the cost of
   *  a local replica whose slots or connections are all busy. */
  double m_OtherDataCentre = 0.9;
  double m_Overdue = 6; ///< Paused or slow right now.
  /** Low capacity; chosen only if warm targets are absent or much worse. */
  double m_Cold = 12;
  double m_Missing = 20; ///< Its registry entry has disappeared.
  /** Unreachable on the last call. Requests that may run only once should not
   *  be used as probes. */
  double m_SingleRunProbe = 20;
  double m_Jitter = 0.1; ///< Spreads calls over targets of equal cost.
};

/** Constraints on the target of a call. */
struct ChoiceQuery {
  std::span<const TargetPtr> m_Candidates;
  std::span<const TargetPtr> m_TriedTargets; ///< Excluded from the choice.
  /** The data centre of this VM. */
  DataCentreName m_Home;
  bool m_SingleRun = false; ///< The request may run only once.
  /** Whether calls may be sent to a data centre. */
  std::function<bool(const DataCentreName &)> m_IsDataCentreAllowed;
  /** Connections that this VM may have to each target; calls beyond them wait.
   */
  std::size_t m_MaxConnections = std::numeric_limits<std::size_t>::max();
  /** This VM's part of the limits that targets name. */
  double m_RateLimitShare = 1;
  /** Acquires the right to send a call to a cold target. */
  std::function<bool(const Target &)> m_TryAcquireColdCall;
};

/** Whether a service has a target for a call. */
enum class Availability : std::uint8_t {
  None,
  Limited, ///< All usable targets are at limits that they name, or asked to
           ///< wait.
  Usable
};

/** Chooses the target with the lowest cost. Not thread-safe. */
class TargetChooser {
public:
  TargetChooser(ChoiceCosts Costs, std::uint32_t Seed)
      : m_Costs(Costs), m_Random(Seed) {}

  /** The target for a call, or null if none is usable now. */
  TargetPtr choose(const ChoiceQuery &Query, TimePoint Now);

  /** Whether any target is usable, ignoring limits on calls to cold targets. */
  static Availability availability(const ChoiceQuery &Query, TimePoint Now);

private:
  static bool isUsable(const ChoiceQuery &Query, const TargetPtr &Candidate,
                       TimePoint Now);
  /** Whether the target itself wants a request now. */
  static bool isWanted(const ChoiceQuery &Query, const TargetPtr &Candidate,
                       TimePoint Now);
  double cost(const ChoiceQuery &Query, const Target &Candidate, TimePoint Now);

  ChoiceCosts m_Costs;
  std::minstd_rand m_Random;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_TARGETCHOOSER_H
