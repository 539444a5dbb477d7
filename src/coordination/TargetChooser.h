#ifndef FIGTURN_COORDINATION_TARGETCHOOSER_H
#define FIGTURN_COORDINATION_TARGETCHOOSER_H

/**
 * Chooses the target of one call among the replicas of a service. Load
 * pattern: replicas stop for a fraction of a second each few seconds, some
 * turn slow or fail part of their calls while their reported health is good.
 * The choice follows results of this VM's own calls and leaves a target the
 * moment one of its calls is overdue.
 */

#include "coordination/TargetRegistry.h"

#include <functional>
#include <random>
#include <span>

namespace figturn {

/** Relative costs of a target's states, in usual service times of a call. */
struct ChoiceCosts {
  /** Hop to another data centre; below what one queued call costs, so that
   *  the home replica is left as soon as it is busier. */
  double m_OtherDataCentre = 0.35;
  double m_Overdue = 6;  ///< It pauses or is slow right now.
  double m_Cold = 12;    ///< Bears little; for lack of others only.
  double m_Missing = 20; ///< Its registry entry vanished.
  /** It was unreachable the last time; a request that may run only once is
   *  no trial of it. */
  double m_SingleRunProbe = 20;
  double m_Jitter = 0.2; ///< Spreads calls over equals.
};

/** Which targets a call may go to. */
struct ChoiceQuery {
  std::span<const TargetPtr> m_Candidates;
  std::span<const TargetPtr> m_TriedTargets; ///< Not to be used again.
  DataCentreName m_Home;
  bool m_SingleRun = false; ///< The request may run only once.
  /** Whether calls may go to a data centre. */
  std::function<bool(const DataCentreName &)> m_IsDataCentreAllowed;
  /** Takes the right to send to a cold target. */
  std::function<bool(const Target &)> m_TryAcquireColdCall;
};

/** The chooser. Not thread-safe. */
class TargetChooser {
public:
  TargetChooser(ChoiceCosts Costs, std::uint32_t Seed)
      : m_Costs(Costs), m_Random(Seed) {}

  /** The target for a call, or null if none may be used now. */
  TargetPtr choose(const ChoiceQuery &Query, TimePoint Now);

  /** Whether choose() could find one, apart from rights for cold targets. */
  static bool hasUsable(const ChoiceQuery &Query, TimePoint Now);

private:
  static bool isUsable(const ChoiceQuery &Query, const TargetPtr &Candidate,
                       TimePoint Now);
  double cost(const ChoiceQuery &Query, const Target &Candidate, TimePoint Now);

  ChoiceCosts m_Costs;
  std::minstd_rand m_Random;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_TARGETCHOOSER_H
