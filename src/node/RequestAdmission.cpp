#include "node/RequestAdmission.h"

#include "state/Event.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace figturn {

namespace {

std::vector<ServiceName> competingServices(const Route &RequestRoute,
                                           const ServiceName &Domain) {
  return RequestRoute.m_Search ? RequestRoute.m_Search->m_Shards
                               : std::vector{Domain};
}

} // namespace

ServiceName RequestAdmission::admissionDomain(const Route &RequestRoute,
                                              const ServiceName &Service) {
  if (!RequestRoute.m_Search)
    return Service;
  const auto &Shards = RequestRoute.m_Search->m_Shards;
  return *std::min_element(Shards.begin(), Shards.end());
}

auto RequestAdmission::findOrCreateDomain(const ServiceName &Name,
                                          const Route &RequestRoute)
    -> DomainPtr {
  DomainPtr &AdmissionDomain = m_Domains[Name];
  if (!AdmissionDomain) {
    AdmissionDomain = std::make_shared<Domain>();
    AdmissionDomain->m_MinRank = RequestRoute.m_Rank;
  }
  AdmissionDomain->m_Services = competingServices(RequestRoute, Name);
  AdmissionDomain->m_MinRank =
      std::min(AdmissionDomain->m_MinRank, RequestRoute.m_Rank);
  return AdmissionDomain;
}

void RequestAdmission::setConfig(const RoutingConfig &Config) {
  std::erase_if(m_Domains, [](const auto &Found) {
    return Found.second->m_Control.running() == 0 &&
           Found.second->m_Control.waiting() == 0;
  });
  for (const auto &[Name, AdmissionDomain] : m_Domains)
    AdmissionDomain->m_MinRank = std::numeric_limits<std::uint32_t>::max();
  for (const Route &Each : Config.routes()) {
    if (Each.m_Search && !Each.m_Search->m_Shards.empty())
      findOrCreateDomain(admissionDomain(Each, {}), Each);
    for (const WeightedService &Part : Each.m_Services)
      findOrCreateDomain(Part.m_Service, Each);
  }
}

void RequestAdmission::setFairShares(const TargetRegistry &Registry,
                                     double TrafficShare, TimePoint Now) {
  // A domain has the slots of its largest service, so that shards without
  // targets don't limit the remaining shards.
  const auto CountSlots = [&](const ServiceName &Service) {
    std::size_t Total = 0;
    for (const TargetPtr &Each : Registry.targets(Service))
      Total += Each->m_RetainedUntil ? 0 : Each->m_Entry.m_Slots;
    return Total;
  };
  const auto Domains = m_Domains;
  for (const auto &[Name, AdmissionDomain] : Domains) {
    std::size_t Slots = 0;
    for (const ServiceName &Each : AdmissionDomain->m_Services)
      Slots = std::max(Slots, CountSlots(Each));
    apply(Name, AdmissionDomain,
          AdmissionDomain->m_Control.setFairShare(Slots, TrafficShare, Now),
          Now);
  }
}

std::uint64_t RequestAdmission::submit(const ServiceName &Name,
                                       const Route &RequestRoute,
                                       TimePoint ReceivedAt, TimePoint Deadline,
                                       AdmissionWaiter Waiter, TimePoint Now) {
  const DomainPtr AdmissionDomain = findOrCreateDomain(Name, RequestRoute);
  const std::uint64_t Id = ++m_LastId;
  const AdmissionDecision Decision = AdmissionDomain->m_Control.admit(
      {.m_Id = Id,
       .m_Priority = RequestRoute.m_Rank <= AdmissionDomain->m_MinRank
                         ? Priority::Urgent
                         : Priority::Ordinary,
       .m_ReceivedAt = ReceivedAt,
       .m_Deadline = Deadline,
       .m_Objective = RequestRoute.m_LatencyObjective},
      Now);
  AdmissionChange Change{.m_Shed = Decision.m_Shed};
  if (Decision.m_Admission == Admission::Run) {
    Waiter.m_OnAdmitted(Now);
    return Id;
  }
  m_Waiting.emplace(Id, std::move(Waiter));
  apply(Name, AdmissionDomain, Change, Now);
  return Id;
}

void RequestAdmission::onRequestEnded(const ServiceName &Name, Duration RunTime,
                                      TimePoint Now) {
  if (const auto Found = m_Domains.find(Name); Found != m_Domains.end()) {
    const DomainPtr AdmissionDomain = Found->second;
    apply(Name, AdmissionDomain,
          AdmissionDomain->m_Control.onRequestFinished(RunTime, Now), Now);
  }
}

void RequestAdmission::removeWaiting(const ServiceName &Name,
                                     std::uint64_t Id) {
  m_Waiting.erase(Id);
  if (const auto Found = m_Domains.find(Name); Found != m_Domains.end())
    Found->second->m_Control.remove(Id);
}

void RequestAdmission::onCallFinished(const ServiceName &Name,
                                      const Route &RequestRoute,
                                      CallOutcome Outcome, Duration Latency,
                                      TimePoint Now) {
  const auto Found = m_Domains.find(Name);
  if (Found == m_Domains.end())
    return;
  const DomainPtr AdmissionDomain = Found->second;
  const std::uint32_t Before = AdmissionDomain->m_Control.limit();
  const AdmissionChange Change = AdmissionDomain->m_Control.onCallFinished(
      Outcome, Latency, RequestRoute.m_LatencyObjective, Now);
  const std::uint32_t Limit = AdmissionDomain->m_Control.limit();
  // Logged only when the limit has halved or doubled since the last entry.
  if (Limit != Before && (2 * Limit <= AdmissionDomain->m_LastLoggedLimit ||
                          Limit >= 2 * AdmissionDomain->m_LastLoggedLimit)) {
    AdmissionDomain->m_LastLoggedLimit = Limit;
    logEvent(Event::AdmissionLimitChanged,
             "services={} limit={} running={} waiting={}", Name, Limit,
             AdmissionDomain->m_Control.running(),
             AdmissionDomain->m_Control.waiting());
  }
  apply(Name, AdmissionDomain, Change, Now);
}

bool RequestAdmission::isSaturated(const ServiceName &Name) const {
  const auto Found = m_Domains.find(Name);
  return Found != m_Domains.end() && Found->second->m_Control.isSaturated();
}

void RequestAdmission::apply(const ServiceName &Name,
                             const DomainPtr &AdmissionDomain,
                             const AdmissionChange &Change, TimePoint Now) {
  const auto TakeWaiter = [this](std::uint64_t Id) {
    auto Node = m_Waiting.extract(Id);
    return Node.empty() ? AdmissionWaiter{} : std::move(Node.mapped());
  };
  // Callbacks may submit or finish requests and so change m_Waiting.
  for (const ShedRequest &Each : Change.m_Shed)
    if (const AdmissionWaiter Waiter = TakeWaiter(Each.m_Id);
        Waiter.m_OnRefused)
      Waiter.m_OnRefused(Each.m_Reason, Now);
  for (const std::uint64_t Id : Change.m_Run)
    if (const AdmissionWaiter Waiter = TakeWaiter(Id); Waiter.m_OnAdmitted)
      Waiter.m_OnAdmitted(Now);
  scheduleTimer(Name, AdmissionDomain, Now);
}

void RequestAdmission::scheduleTimer(const ServiceName &Name,
                                     const DomainPtr &AdmissionDomain,
                                     TimePoint Now) {
  const auto Next = AdmissionDomain->m_Control.nextTimer();
  if (!Next || (AdmissionDomain->m_TimerDueAt <= *Next &&
                AdmissionDomain->m_TimerDueAt > Now))
    return;
  AdmissionDomain->m_TimerDueAt = *Next;
  m_Timers.runAt(
      *Next, AdmissionDomain,
      [this, Name, AdmissionDomain = AdmissionDomain.get()] {
        AdmissionDomain->m_TimerDueAt = TimePoint::max();
        const TimePoint At = Clock::now();
        if (const auto Found = m_Domains.find(Name); Found != m_Domains.end())
          apply(Name, Found->second, Found->second->m_Control.onTimer(At), At);
      });
}

} // namespace figturn
