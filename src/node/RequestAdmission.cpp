#include "node/RequestAdmission.h"

#include "state/Event.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace figturn {

namespace {

std::vector<ServiceName> competingServices(const Route &On,
                                           const ServiceName &Domain) {
  return On.m_Search ? On.m_Search->m_Shards : std::vector{Domain};
}

} // namespace

ServiceName RequestAdmission::admissionDomain(const Route &On,
                                              const ServiceName &Service) {
  if (!On.m_Search)
    return Service;
  const auto &Shards = On.m_Search->m_Shards;
  return *std::min_element(Shards.begin(), Shards.end());
}

auto RequestAdmission::findOrCreateDomain(const ServiceName &Name,
                                          const Route &On) -> DomainPtr {
  DomainPtr &Of = m_Domains[Name];
  if (!Of) {
    Of = std::make_shared<Domain>();
    Of->m_HighestRank = On.m_Rank;
  }
  Of->m_Services = competingServices(On, Name);
  Of->m_HighestRank = std::min(Of->m_HighestRank, On.m_Rank);
  return Of;
}

void RequestAdmission::setConfig(const RoutingConfig &Config) {
  std::erase_if(m_Domains, [](const auto &Known) {
    return Known.second->m_Control.running() == 0 &&
           Known.second->m_Control.waiting() == 0;
  });
  for (const auto &[Name, Of] : m_Domains)
    Of->m_HighestRank = std::numeric_limits<std::uint32_t>::max();
  for (const Route &Each : Config.routes()) {
    if (Each.m_Search && !Each.m_Search->m_Shards.empty())
      findOrCreateDomain(admissionDomain(Each, {}), Each);
    for (const WeightedService &Part : Each.m_Services)
      findOrCreateDomain(Part.m_Service, Each);
  }
}

void RequestAdmission::setFairShares(const TargetRegistry &Registry,
                                     std::size_t Vms, TimePoint Now) {
  // Shards whose targets are gone say nothing about what the others bear.
  const auto SlotsOf = [&](const ServiceName &Service) {
    std::size_t Sum = 0;
    for (const TargetPtr &Each : Registry.targets(Service))
      Sum += Each->m_MissingSince ? 0 : Each->m_Entry.m_Slots;
    return Sum;
  };
  const auto Domains = m_Domains;
  for (const auto &[Name, Of] : Domains) {
    std::size_t Slots = 0;
    for (const ServiceName &Each : Of->m_Services)
      Slots = std::max(Slots, SlotsOf(Each));
    apply(Name, Of, Of->m_Control.setFairShare(Slots, Vms, Now), Now);
  }
}

std::uint64_t RequestAdmission::submit(const ServiceName &Name, const Route &On,
                                       TimePoint ReceivedAt, TimePoint Deadline,
                                       AdmissionWaiter Waiter, TimePoint Now) {
  const DomainPtr Of = findOrCreateDomain(Name, On);
  const std::uint64_t Number = ++m_LastId;
  const AdmissionDecision Decision = Of->m_Control.admit(
      {.m_Id = Number,
       .m_Priority = On.m_Rank <= Of->m_HighestRank ? Priority::Urgent
                                                    : Priority::Ordinary,
       .m_ReceivedAt = ReceivedAt,
       .m_Deadline = Deadline,
       .m_Objective = On.m_LatencyObjective},
      Now);
  AdmissionChange Change{.m_Shed = Decision.m_Shed};
  if (Decision.m_Admission == Admission::Run) {
    Waiter.m_Run(Now);
    return Number;
  }
  m_Waiting.emplace(Number, std::move(Waiter));
  apply(Name, Of, Change, Now);
  return Number;
}

void RequestAdmission::onRequestFinished(const ServiceName &Name, Duration Took,
                                         TimePoint Now) {
  if (const auto Known = m_Domains.find(Name); Known != m_Domains.end()) {
    const DomainPtr Of = Known->second;
    apply(Name, Of, Of->m_Control.finished(Took, Now), Now);
  }
}

void RequestAdmission::removeWaiting(const ServiceName &Name,
                                     std::uint64_t Number) {
  m_Waiting.erase(Number);
  if (const auto Known = m_Domains.find(Name); Known != m_Domains.end())
    Known->second->m_Control.remove(Number);
}

void RequestAdmission::onCall(const ServiceName &Name, const Route &On,
                              CallOutcome Outcome, Duration Latency,
                              TimePoint Now) {
  const auto Known = m_Domains.find(Name);
  if (Known == m_Domains.end())
    return;
  const DomainPtr Of = Known->second;
  const std::uint32_t Before = Of->m_Control.limit();
  const AdmissionChange Change =
      Of->m_Control.onCall(Outcome, Latency, On.m_LatencyObjective, Now);
  const std::uint32_t Limit = Of->m_Control.limit();
  // One line for each halving or doubling, not for each step.
  if (Limit != Before && (2 * Limit <= Of->m_LastLoggedLimit ||
                          Limit >= 2 * Of->m_LastLoggedLimit)) {
    Of->m_LastLoggedLimit = Limit;
    logEvent(Event::AdmissionLimitChanged,
             "services={} limit={} running={} waiting={}", Name, Limit,
             Of->m_Control.running(), Of->m_Control.waiting());
  }
  apply(Name, Of, Change, Now);
}

bool RequestAdmission::isSaturated(const ServiceName &Name) const {
  const auto Known = m_Domains.find(Name);
  return Known != m_Domains.end() && Known->second->m_Control.isSaturated();
}

void RequestAdmission::apply(const ServiceName &Name, const DomainPtr &Of,
                             const AdmissionChange &Change, TimePoint Now) {
  const auto Take = [this](std::uint64_t Number) {
    auto Node = m_Waiting.extract(Number);
    return Node.empty() ? AdmissionWaiter{} : std::move(Node.mapped());
  };
  // Waiters may enter and leave again.
  for (const ShedRequest &Each : Change.m_Shed)
    if (const AdmissionWaiter Waiter = Take(Each.m_Id); Waiter.m_Refuse)
      Waiter.m_Refuse(Each.m_Reason, Now);
  for (const std::uint64_t Number : Change.m_Run)
    if (const AdmissionWaiter Waiter = Take(Number); Waiter.m_Run)
      Waiter.m_Run(Now);
  scheduleTimer(Name, Of, Now);
}

void RequestAdmission::scheduleTimer(const ServiceName &Name,
                                     const DomainPtr &Of, TimePoint Now) {
  const auto Next = Of->m_Control.nextTimer();
  if (!Next || (Of->m_TimerDueAt <= *Next && Of->m_TimerDueAt > Now))
    return;
  Of->m_TimerDueAt = *Next;
  m_Timers.schedule(*Next, Of, [this, Name, Of = Of.get()] {
    Of->m_TimerDueAt = TimePoint::max();
    const TimePoint At = Clock::now();
    if (const auto Known = m_Domains.find(Name); Known != m_Domains.end())
      apply(Name, Known->second, Known->second->m_Control.onTimer(At), At);
  });
}

} // namespace figturn
