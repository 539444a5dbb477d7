#include "node/TargetLinks.h"

#include "state/Errc.h"

#include <algorithm>
#include <utility>

namespace figturn {

namespace {

/** Part of a target's connection limit that the VMs share out; the rest is
 *  for connections of VMs that ended a moment ago. */
constexpr double ShareableConnections = 0.9;

/** Connections to a target whose service has no limit. */
constexpr std::size_t UnlimitedConnections = 64;

/** A target answers at the latest at the deadline that it was told; its
 *  answer may be on its way for this long. */
constexpr milliseconds ReplyAllowance{100};

/** Given up calls keep their connection until so long after the deadline. */
constexpr milliseconds ReplyGrace{400};

/** A call without a byte for so long has its connection probed. */
constexpr milliseconds SilenceThreshold{1000};

/** Bytes without acknowledgement for so long break a connection; many times
 *  the way there and back, and below the deadline of a look-up. */
constexpr milliseconds UnacknowledgedTimeout{1500};

/** A new connection takes milliseconds; beyond this the target is away. */
constexpr milliseconds ConnectTimeout{400};

/** Targets close idle connections by themselves; below the usual time. */
constexpr milliseconds IdleTimeout{20000};

/** Idle connections are probed each so often. */
constexpr seconds KeepAliveInterval{5};

CallOutcome outcomeOf(const TargetResult &Result) {
  if (Result.m_Error == Errc::Cancelled)
    return CallOutcome::Abandoned;
  if (Result.m_Verdict == RunVerdict::NotRun)
    return CallOutcome::NotSent;
  if (Result.m_Error == Errc::DeadlineExceeded)
    return CallOutcome::Unanswered;
  // The target ran it and spoilt the answer: it works, if badly.
  if (Result.m_Error == Errc::TruncatedReply ||
      Result.m_Error == Errc::BadReply)
    return CallOutcome::Failed;
  return CallOutcome::Lost;
}

double ratio(Duration Latency, Duration Usual) {
  constexpr double MostRatio = 30;
  const double Ratio =
      std::chrono::duration<double>(Latency).count() /
      std::max(1e-6, std::chrono::duration<double>(Usual).count());
  return std::min(Ratio, MostRatio);
}

} // namespace

std::size_t TargetLinks::connectionShare(const ServiceName &Service) const {
  const auto Found = m_Limits.find(Service);
  if (Found == m_Limits.end() || Found->second == 0)
    return UnlimitedConnections;
  const double Share = ShareableConnections *
                       static_cast<double>(Found->second) /
                       static_cast<double>(std::max<std::size_t>(1, m_Sharers));
  return std::max<std::size_t>(1, static_cast<std::size_t>(Share));
}

TargetPool &TargetLinks::poolOf(const TargetPtr &To) {
  const TargetEntry &Entry = To->m_Entry;
  auto &Pool = m_Pools[Entry.m_Instance];
  if (!Pool) {
    m_Services[Entry.m_Instance] = Entry.m_Service;
    Pool = std::make_unique<TargetPool>(
        TargetPoolOptions{.m_Target = Entry.m_Instance.m_Name,
                          .m_Host = Entry.m_Host,
                          .m_Port = Entry.m_Port,
                          .m_MaxConnections = connectionShare(Entry.m_Service),
                          .m_ConnectTimeout = ConnectTimeout,
                          .m_SilenceThreshold = SilenceThreshold,
                          .m_IdleTimeout = IdleTimeout,
                          .m_UsesFigturnProtocol = false,
                          .m_RequestIdHeader = m_RequestIdHeader,
                          .m_KeepAliveInterval = KeepAliveInterval,
                          .m_UnacknowledgedTimeout = UnacknowledgedTimeout,
                          .m_ReplyGrace = ReplyGrace},
        [this, Instance = Entry.m_Instance](const TargetObservation &What) {
          m_OnObservation(Instance, What);
        });
  }
  return *Pool;
}

CallId TargetLinks::send(const TargetPtr &To, LinkCall Call,
                         Classifier Classify, ResultHandler OnResult) {
  removeUnused();
  const CallId Id = m_CallIds.reserve(1);
  To->m_Load.begin(Id.value(), Call.m_OverdueAt);
  const Duration Usual = Call.m_Usual;
  poolOf(To).send(
      {.m_Call = Id,
       .m_Deadline = Call.m_Deadline + ReplyAllowance,
       .m_SingleRun = Call.m_IsSingleRun,
       .m_SerializeRequest = std::move(Call.m_SerializeRequest),
       .m_RequestId = std::move(Call.m_RequestId),
       .m_IsHead = Call.m_IsHead},
      [IsOpen = m_IsOpen, To, Id, Usual, Classify = std::move(Classify),
       OnResult = std::move(OnResult)](TargetResult Result) {
        if (!*IsOpen)
          return;
        const CallOutcome Outcome =
            Result.m_Error ? outcomeOf(Result)
                           : Classify(Result.m_Status, Result.m_Headers);
        To->m_Load.end(Id.value(), Outcome, ratio(Result.m_Latency, Usual),
                       Clock::now());
        OnResult({.m_Outcome = Outcome,
                  .m_Status = Result.m_Status,
                  .m_Headers = std::move(Result.m_Headers),
                  .m_Body = std::move(Result.m_Body),
                  .m_Latency = Result.m_Latency});
      });
  return Id;
}

void TargetLinks::cancel(const TargetPtr &To, CallId Call) {
  const auto Found = m_Pools.find(To->m_Entry.m_Instance);
  if (Found != m_Pools.end())
    Found->second->cancel(Call);
  for (const auto &Each : m_Ending)
    Each->cancel(Call);
}

bool TargetLinks::withdraw(const TargetPtr &To, CallId Call) {
  const auto Found = m_Pools.find(To->m_Entry.m_Instance);
  return Found != m_Pools.end() && Found->second->withdraw(Call);
}

void TargetLinks::probe(const TargetInstance &Target) {
  if (const auto Found = m_Pools.find(Target); Found != m_Pools.end())
    Found->second->warmUp(1);
}

void TargetLinks::drop(const TargetPtr &Old) {
  auto Node = m_Pools.extract(Old->m_Entry.m_Instance);
  m_Services.erase(Old->m_Entry.m_Instance);
  if (Node.empty())
    return;
  m_OpenedByDropped += Node.mapped()->counters().m_Opened;
  m_Ending.push_back(std::move(Node.mapped()));
}

void TargetLinks::removeUnused() {
  std::erase_if(m_Ending,
                [](const auto &Each) { return Each->callsInFlight() == 0; });
}

void TargetLinks::setShares(const RoutingConfig &Config, std::size_t Sharers) {
  m_Sharers = Sharers;
  m_Limits.clear();
  for (const Route &Each : Config.routes()) {
    const auto Note = [&](const ServiceName &Service) {
      m_Limits[Service] = Config.policy(Service).m_ConnectionLimit;
    };
    for (const WeightedService &Part : Each.m_Services)
      Note(Part.m_Service);
    if (Each.m_Search)
      for (const ServiceName &Shard : Each.m_Search->m_Shards)
        Note(Shard);
  }
  for (const auto &[Instance, Pool] : m_Pools)
    Pool->setMaxConnections(connectionShare(m_Services.at(Instance)));
}

std::size_t TargetLinks::connections() const {
  std::size_t Sum = 0;
  for (const auto &[Instance, Pool] : m_Pools)
    Sum += Pool->connections();
  return Sum;
}

std::size_t TargetLinks::callsInFlight() const {
  std::size_t Sum = 0;
  for (const auto &[Instance, Pool] : m_Pools)
    Sum += Pool->callsInFlight();
  for (const auto &Each : m_Ending)
    Sum += Each->callsInFlight();
  return Sum;
}

std::uint64_t TargetLinks::opened() const {
  std::uint64_t Sum = m_OpenedByDropped;
  for (const auto &[Instance, Pool] : m_Pools)
    Sum += Pool->counters().m_Opened;
  return Sum;
}

} // namespace figturn
