#include "coordination/TargetChooser.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace figturn {

namespace {

/** Lower bound of the success rate, which limits the cost of targets that fail
 *  nearly all calls. */
constexpr double MinSuccessShare = 0.05;

} // namespace

bool TargetChooser::isUsable(const ChoiceQuery &Query,
                             const TargetPtr &Candidate, TimePoint Now) {
  const TargetLoad &Load = Candidate->m_Load;
  if (Candidate->isLeaving() || Candidate->isGone(Now) ||
      Load.isMisdirected() ||
      !Query.m_IsDataCentreAllowed(Candidate->m_Entry.m_DataCentre))
    return false;
  if (std::find(Query.m_TriedTargets.begin(), Query.m_TriedTargets.end(),
                Candidate) != Query.m_TriedTargets.end())
    return false;
  // A single probe at a time tests whether an unreachable target has recovered.
  return !Load.isUnreachable() ||
         (Load.outstanding() == 0 && !Load.isBackingOff(Now));
}

bool TargetChooser::isWanted(const ChoiceQuery &Query,
                             const TargetPtr &Candidate, TimePoint Now) {
  return !Candidate->m_Signals.isWaiting(Now) &&
         Candidate->m_RateLimit.maySend(Query.m_RateLimitShare, Now);
}

Availability TargetChooser::availability(const ChoiceQuery &Query,
                                         TimePoint Now) {
  Availability Result = Availability::None;
  for (const TargetPtr &Candidate : Query.m_Candidates) {
    if (!isUsable(Query, Candidate, Now))
      continue;
    if (isWanted(Query, Candidate, Now))
      return Availability::Usable;
    Result = Availability::Limited;
  }
  return Result;
}

double TargetChooser::cost(const ChoiceQuery &Query, const Target &Candidate,
                           TimePoint Now) {
  const TargetLoad &Load = Candidate.m_Load;
  const auto Slots = static_cast<double>(std::clamp<std::size_t>(
      Candidate.m_Entry.m_Slots, 1,
      std::max<std::size_t>(1, Query.m_MaxConnections)));
  const double Success = std::max(MinSuccessShare, 1 - Load.failureShare(Now));
  double Cost = Load.slowness(Now) * (1 + Load.outstanding() / Slots) /
                (Success * Success);
  if (Candidate.m_Entry.m_DataCentre != Query.m_Home)
    Cost += m_Costs.m_OtherDataCentre;
  if (Load.isOverdue(Now) || Load.isSlow(Now))
    Cost += m_Costs.m_Overdue;
  if (Candidate.isCold(Now))
    Cost += m_Costs.m_Cold;
  if (Candidate.m_RetainedUntil)
    Cost += m_Costs.m_Missing;
  if (Query.m_SingleRun && Load.isUnreachable())
    Cost += m_Costs.m_SingleRunProbe;
  std::uniform_real_distribution<double> Jitter(0, m_Costs.m_Jitter);
  return Cost + Jitter(m_Random);
}

TargetPtr TargetChooser::choose(const ChoiceQuery &Query, TimePoint Now) {
  std::vector<std::pair<double, TargetPtr>> Ranked;
  for (const TargetPtr &Candidate : Query.m_Candidates)
    if (isUsable(Query, Candidate, Now) && isWanted(Query, Candidate, Now))
      Ranked.emplace_back(cost(Query, *Candidate, Now), Candidate);
  std::sort(Ranked.begin(), Ranked.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first < Right.first;
            });
  for (const auto &[Cost, Candidate] : Ranked)
    if ((!Candidate->isCold(Now) || Query.m_TryAcquireColdCall(*Candidate)) &&
        Candidate->m_RateLimit.tryAcquire(Query.m_RateLimitShare, Now))
      return Candidate;
  return nullptr;
}

} // namespace figturn
