#include "node/RoutedContext.h"

#include "node/RoutedRequestRunner.h"
#include "state/Event.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figturn {

namespace {

/** Fraction of the fleet's extra calls that is divided among the VMs. The rest
 *  is headroom for calls that are counted in one budget window and arrive in
 *  the next. */
constexpr double ShareableExtraCallFraction = 0.85;

/** Fraction of a cold target's request rate that is divided among the VMs. */
constexpr double ShareableColdRequestFraction = 0.8;

/** Relative change of this VM's share of the traffic at which its shares of
 *  common limits are computed again. */
constexpr double MinShareChange = 0.1;

} // namespace

RoutedContext::RoutedContext(const RoutedSettings &Settings,
                             RoutedHeaders Headers, FleetView &Fleet,
                             std::uint32_t Seed)
    : m_Settings(Settings), m_Headers(std::move(Headers)), m_Fleet(Fleet),
      m_Registry({.m_DrainTime = targetDrainTime(Settings)}),
      m_CrashQuarantine({.m_Self = Settings.m_Vm}),
      m_ConnectionPools(
          m_Headers.m_RequestId,
          [this](const TargetInstance &Target,
                 const TargetObservation &Observation) {
            onObservation(Target, Observation, Clock::now());
          },
          [this](Target &Source, unsigned Status, const HttpHeaders &Headers,
                 TimePoint SentAt, TimePoint Now) {
            onReply(Source, Status, Headers, SentAt, Now);
          }),
      m_Chooser(ChoiceCosts{}, Seed), m_ColdStartQuota(Settings.m_Vm),
      m_RetryAfterPolicy(RetryAfterOptions{}, Seed),
      m_QuotaMembers{Settings.m_Vm}, m_PhaseRandom(Seed) {}

ChoiceQuery RoutedContext::makeChoiceQuery(const ServiceName &Service,
                                           RouteKind Kind,
                                           const std::vector<TargetPtr> &Tried,
                                           TimePoint) const {
  return {.m_Candidates = m_Registry.targets(Service),
          .m_TriedTargets = Tried,
          .m_Home = m_Settings.m_DataCentre,
          .m_SingleRun = Kind == RouteKind::SingleRun,
          .m_IsDataCentreAllowed =
              [this](const DataCentreName &DataCentre) {
                return !m_Registry.isEvacuated(DataCentre);
              },
          .m_MaxConnections = m_ConnectionPools.connectionShare(Service),
          .m_RateLimitShare = m_RateLimitShare,
          .m_TryAcquireColdCall = [](const Target &) { return false; }};
}

TargetPtr RoutedContext::choose(const ServiceName &Service, RouteKind Kind,
                                const std::vector<TargetPtr> &Tried,
                                TimePoint Now) {
  ChoiceQuery Query = makeChoiceQuery(Service, Kind, Tried, Now);
  Query.m_TryAcquireColdCall = [this, Now](const Target &Cold) {
    return tryReserveColdStartQuota(Cold, Now);
  };
  return m_Chooser.choose(Query, Now);
}

bool RoutedContext::tryReserveColdStartQuota(const Target &Cold,
                                             TimePoint Now) {
  const double Rate =
      m_Config->policy(Cold.m_Entry.m_Service).m_ColdRequestsPerSecond;
  const ColdStartAllowance Allowance{
      .m_RequestsPerSecond =
          ShareableColdRequestFraction *
          (Rate * m_Settings.m_ColdMultiplier + m_Settings.m_ColdSlack)};
  const TargetName &Name = Cold.m_Entry.m_Instance.m_Name;
  return m_ColdStartQuota.tryReserve(
      Name, m_ColdStartQuota.share(Name, Allowance, m_QuotaMembers), Now);
}

void RoutedContext::onObservation(const TargetInstance &Target,
                                  const TargetObservation &Observation,
                                  TimePoint Now) {
  using Kind = TargetObservation::Kind;
  if (m_CrashQuarantine.isEmpty() ||
      !m_CrashQuarantine.hasUnexplainedLoss(Target, Now))
    return;
  // A crashed target refuses new connections; a target whose connections were
  // reset by the network accepts them.
  if (Observation.m_Kind == Kind::AllLost)
    m_ConnectionPools.ensureConnection(Target);
  else if (Observation.m_Kind == Kind::Connected)
    m_CrashQuarantine.onTargetUp(Target);
  else if (Observation.m_Kind == Kind::Refused && !Observation.m_TimedOut)
    recordTargetDown(Target, "refused", Now);
}

void RoutedContext::onReply(Target &Source, unsigned Status,
                            const HttpHeaders &ReplyHeaders, TimePoint SentAt,
                            TimePoint Now) {
  applySignals(Source, Status, ReplyHeaders, Now);
  applyRateLimit(Source, ReplyHeaders, SentAt, Now);
}

void RoutedContext::applySignals(Target &Source, unsigned Status,
                                 const HttpHeaders &ReplyHeaders,
                                 TimePoint Now) {
  const TargetName &Name = Source.m_Entry.m_Instance.m_Name;
  const ServiceName &Service = Source.m_Entry.m_Service;
  const NamedWait Wait = decodeWait(Status, ReplyHeaders);
  if (Wait.m_IsPresent && !Wait.m_Time) {
    m_Metrics.addUnusableWait();
    logEvent(Event::TargetWaitUnusable, "target={} service={}", Name, Service);
  }
  const TargetSignalChange Change = Source.m_Signals.onReply(
      {.m_IsLeaving = decodeLeaving(ReplyHeaders, m_Headers),
       .m_WaitTime = Wait.m_Time},
      Now);
  if (Change.m_StartedLeaving) {
    logEvent(Event::TargetLeaving, "target={} service={}", Name, Service);
    m_Registry.onLeavingWord(Source, Now);
    endWrites(Source, "reply");
  }
  if (!Change.m_StartedWait)
    return;
  logEvent(Event::TargetWaiting, "target={} service={} ms={}", Name, Service,
           std::chrono::duration_cast<milliseconds>(*Wait.m_Time).count());
  // They would be written as soon as a connection is free.
  m_ConnectionPools.failUnsentCalls(Source);
}

void RoutedContext::endWrites(const Target &Leaving,
                              std::string_view Evidence) {
  const std::size_t Moved =
      m_ConnectionPools.limitWrites(Leaving, *Leaving.m_WritesUntil);
  m_Metrics.addMovedCalls(Moved);
  if (Moved > 0)
    logEvent(Event::UnsentCallsMoved,
             "target={} service={} evidence={} calls={}",
             Leaving.m_Entry.m_Instance.m_Name, Leaving.m_Entry.m_Service,
             Evidence, Moved);
}

void RoutedContext::applyRateLimit(Target &Source,
                                   const HttpHeaders &ReplyHeaders,
                                   TimePoint SentAt, TimePoint Now) {
  const NamedRateLimit Named = decodeRateLimit(ReplyHeaders, m_Headers);
  const TargetName &Name = Source.m_Entry.m_Instance.m_Name;
  if (Named.m_IsPresent && !Named.m_RequestsPerSecond) {
    m_Metrics.addUnusableRateLimit();
    logEvent(Event::TargetLimitUnusable, "target={} service={}", Name,
             Source.m_Entry.m_Service);
    return;
  }
  if (Source.m_RateLimit.onReply(
          {.m_RequestsPerSecond = Named.m_RequestsPerSecond,
           .m_SentAt = SentAt},
          std::uniform_real_distribution<>()(m_PhaseRandom), m_RateLimitShare,
          Now))
    logEvent(Event::TargetLimitChanged, "target={} service={} limit={}", Name,
             Source.m_Entry.m_Service,
             Named.m_RequestsPerSecond
                 ? fmt::format("{}", *Named.m_RequestsPerSecond)
                 : "none");
}

void RoutedContext::recordTargetDown(const TargetInstance &Target,
                                     std::string_view Evidence, TimePoint Now) {
  if (m_CrashQuarantine.isEmpty())
    return;
  for (const Fingerprint Each : m_CrashQuarantine.onTargetDown(Target, Now)) {
    const bool IsQuarantined = m_CrashQuarantine.isQuarantined(Each, Now);
    logEvent(IsQuarantined ? Event::RequestQuarantined
                           : Event::RequestSuspected,
             "fingerprint={:016x} crashes={} target={} sign={}", Each.value(),
             m_CrashQuarantine.crashes(Each, Now), Target.m_Name, Evidence);
  }
}

ExtraLoadBudget &RoutedContext::budget(const ServiceName &Service) {
  return m_Budgets
      .try_emplace(Service,
                   ShareableExtraCallFraction * m_Settings.m_RetryRatio,
                   m_ExtraLoadShare.m_Burst, m_ExtraLoadShare.m_Reserve)
      .first->second;
}

bool RoutedContext::acquireExtraCall(const ServiceName &Service,
                                     SendKind Kind) {
  const bool IsAcquired = budget(Service).tryAcquire();
  m_Metrics.addExtraCall(Service, Kind, IsAcquired);
  return IsAcquired;
}

void RoutedContext::releaseExtraCall(const ServiceName &Service) {
  budget(Service).release();
}

Availability RoutedContext::availability(const ServiceName &Service,
                                         TimePoint Now) const {
  return TargetChooser::availability(
      makeChoiceQuery(Service, RouteKind::Idempotent, {}, Now), Now);
}

void RoutedContext::recordFirstCall(const ServiceName &Service) {
  budget(Service).recordFirstCalls(1);
}

HedgeDelayEstimator &
RoutedContext::hedgeDelayEstimator(const Route &RequestRoute) {
  return m_HedgeDelayEstimators
      .try_emplace(RequestRoute.m_Name, HedgeDelayOptions{},
                   RequestRoute.m_LatencyObjective)
      .first->second;
}

void RoutedContext::setConfig(RoutingConfigPtr Config, TimePoint Now) {
  m_Config = std::move(Config);
  std::set<std::string> Names;
  for (const Route &Each : m_Config->routes())
    Names.insert(Each.m_Name);
  const auto IsUnknown = [&](const auto &Entry) {
    return !Names.contains(Entry.first);
  };
  std::erase_if(m_HedgeDelayEstimators, IsUnknown);
  std::erase_if(m_RoundRobins, IsUnknown);
  m_Admission.setConfig(*m_Config);
  updateShares(Now);
  updateAdmission(Now);
}

void RoutedContext::beginStop(TimePoint Now) {
  m_StopDeadline.begin(
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(m_Settings.m_GraceSeconds)),
      Now);
  for (RoutedRequestRunner *Each : m_Runners)
    Each->limitDeadline(*m_StopDeadline.answerBy(), Now);
}

void RoutedContext::setSettings(const RoutedSettings &Settings, TimePoint Now) {
  m_Settings = Settings;
  m_Registry.setDrainTime(targetDrainTime(Settings));
  for (auto &[Service, Budget] : m_Budgets)
    Budget.setShare(ShareableExtraCallFraction * m_Settings.m_RetryRatio);
  updateShares(Now);
}

void RoutedContext::updateShares(TimePoint Now) {
  m_QuotaMembers = m_Fleet.quotaMembers(Now);
  m_TrafficShare = trafficShare(m_Fleet.self(), m_Fleet.quotaRecords(Now));
  m_RateLimitShare = m_Fleet.capacityShare(Now);
  m_ExtraLoadShare = extraLoadShare(
      ShareableExtraCallFraction * m_Settings.m_RetrySlack, m_TrafficShare);
  for (auto &[Service, Budget] : m_Budgets)
    Budget.setBurst(m_ExtraLoadShare.m_Burst);
  if (m_Config)
    m_ConnectionPools.setConnectionShares(*m_Config, m_TrafficShare);
}

void RoutedContext::updateAdmission(TimePoint Now) {
  const double Share = trafficShare(m_Fleet.self(), m_Fleet.quotaRecords(Now));
  if (std::abs(Share - m_TrafficShare) > MinShareChange * m_TrafficShare)
    updateShares(Now);
  m_Admission.setFairShares(m_Registry, Share, Now);
}

} // namespace figturn
