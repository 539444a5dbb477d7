#include "node/TargetConnectionPools.h"

#include "state/Assert.h"
#include "state/Errc.h"

#include <algorithm>
#include <utility>

namespace figturn {

namespace {

/** Fraction of a target's connection limit that is divided among the VMs. The
 *  rest is for connections of VMs that have just stopped. */
constexpr double ShareableConnectionFraction = 0.9;

/** Maximum connections per target of a service without a connection limit. */
constexpr std::size_t DefaultMaxConnections = 64;

/** Transit time allowed for a reply that the target sends at the deadline. */
constexpr milliseconds ReplyAllowance{100};

/** Time after the deadline for which the connection of an abandoned call stays
 *  open. */
constexpr milliseconds ReplyGrace{400};

/** A call that has received no byte for this long triggers a probe of its
 *  target. */
constexpr milliseconds SilenceThreshold{1000};

/** A connection with unacknowledged bytes for this long is closed. Many times
 *  the round-trip time, but below the deadline of a lookup. */
constexpr milliseconds UnacknowledgedTimeout{1500};

/** Connecting takes milliseconds; a target that needs longer is considered
 *  unreachable. */
constexpr milliseconds ConnectTimeout{400};

/** Below the usual time after which targets close idle connections. */
constexpr milliseconds IdleTimeout{20000};

/** Interval of TCP keep-alive probes on idle connections. */
constexpr seconds KeepAliveInterval{5};

CallOutcome toCallOutcome(const TargetResult &Result) {
  if (Result.m_Error == Errc::Cancelled)
    return CallOutcome::Abandoned;
  if (Result.m_Verdict == RunVerdict::NotRun)
    return CallOutcome::NotSent;
  if (Result.m_Error == Errc::DeadlineExceeded)
    return CallOutcome::Unanswered;
  // A target that sent a malformed reply is reachable, so the call isn't lost.
  if (Result.m_Error == Errc::TruncatedReply ||
      Result.m_Error == Errc::BadReply || Result.m_Error == Errc::TargetLeft)
    return CallOutcome::Failed;
  return CallOutcome::Lost;
}

double latencyRatio(Duration Latency, Duration TypicalLatency) {
  constexpr double MaxRatio = 30;
  const double Ratio =
      std::chrono::duration<double>(Latency).count() /
      std::max(1e-6, std::chrono::duration<double>(TypicalLatency).count());
  return std::min(Ratio, MaxRatio);
}

} // namespace

std::size_t
TargetConnectionPools::connectionShare(const ServiceName &Service) const {
  const auto Found = m_Limits.find(Service);
  if (Found == m_Limits.end() || Found->second == 0)
    return DefaultMaxConnections;
  const double Share = ShareableConnectionFraction * m_ConnectionShare *
                       static_cast<double>(Found->second);
  return std::max<std::size_t>(1, static_cast<std::size_t>(Share));
}

TargetPool &
TargetConnectionPools::findOrCreatePool(const TargetPtr &Destination) {
  const TargetEntry &Entry = Destination->m_Entry;
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
                          .m_ReplyMemory = m_ReplyMemory,
                          .m_UsesFigturnProtocol = false,
                          .m_RequestIdHeader = m_RequestIdHeader,
                          .m_KeepAliveInterval = KeepAliveInterval,
                          .m_UnacknowledgedTimeout = UnacknowledgedTimeout,
                          .m_ReplyGrace = ReplyGrace},
        [this,
         Instance = Entry.m_Instance](const TargetObservation &Observation) {
          m_OnObservation(Instance, Observation);
        });
  }
  return *Pool;
}

CallId TargetConnectionPools::send(const TargetPtr &Destination,
                                   PooledCall Call, Classifier Classify,
                                   ResultHandler OnResult) {
  removeDrainedPools();
  const CallId Id = m_CallIds.reserve(1);
  Destination->m_Load.begin(Id.value(), Call.m_OverdueAt);
  m_SentCalls.emplace(Id, SentCall{.m_Destination = Destination,
                                   .m_TypicalLatency = Call.m_TypicalLatency,
                                   .m_Classify = std::move(Classify),
                                   .m_OnResult = std::move(OnResult)});
  findOrCreatePool(Destination)
      .send({.m_Call = Id,
             .m_Deadline = Call.m_Deadline + ReplyAllowance,
             .m_SingleRun = Call.m_IsSingleRun,
             .m_SerializeRequest = std::move(Call.m_SerializeRequest),
             .m_RequestId = std::move(Call.m_RequestId),
             .m_IsHead = Call.m_IsHead},
            [this, Alive = std::weak_ptr<void>(m_Alive)](TargetResult Result) {
              if (!Alive.expired())
                onResult(std::move(Result));
            });
  return Id;
}

void TargetConnectionPools::onResult(TargetResult Result) {
  // The handler may send further calls, so its record is moved out first.
  auto Node = m_SentCalls.extract(Result.m_Call);
  if (!FIGTURN_INVARIANT(!Node.empty()))
    return;
  SentCall &Ended = Node.mapped();
  const CallOutcome Outcome =
      Result.m_Error ? toCallOutcome(Result)
                     : Ended.m_Classify(Result.m_Status, Result.m_Headers);
  const TimePoint Now = Clock::now();
  Ended.m_Destination->m_Load.end(
      Result.m_Call.value(), Outcome,
      latencyRatio(Result.m_Latency, Ended.m_TypicalLatency), Now);
  // A misdirected call was answered by another target.
  if (!Result.m_Error && Outcome != CallOutcome::Misdirected)
    m_OnReply(*Ended.m_Destination, Result.m_Status, Result.m_Headers,
              Now - Result.m_Latency, Now);
  Ended.m_OnResult({.m_Outcome = Outcome,
                    .m_Error = Result.m_Error,
                    .m_Status = Result.m_Status,
                    .m_Headers = std::move(Result.m_Headers),
                    .m_Body = std::move(Result.m_Body),
                    .m_Latency = Result.m_Latency});
}

void TargetConnectionPools::cancel(const TargetPtr &Destination, CallId Call) {
  const auto Found = m_Pools.find(Destination->m_Entry.m_Instance);
  if (Found != m_Pools.end())
    Found->second->cancel(Call);
  for (const auto &Each : m_DrainingPools)
    Each->cancel(Call);
}

bool TargetConnectionPools::withdraw(const TargetPtr &Destination,
                                     CallId Call) {
  const auto Found = m_Pools.find(Destination->m_Entry.m_Instance);
  return Found != m_Pools.end() && Found->second->withdraw(Call);
}

void TargetConnectionPools::failUnsentCalls(const Target &Destination) {
  if (const auto Found = m_Pools.find(Destination.m_Entry.m_Instance);
      Found != m_Pools.end())
    Found->second->failUnsentCalls();
}

std::size_t TargetConnectionPools::limitWrites(const Target &Destination,
                                               TimePoint Until) {
  const auto Found = m_Pools.find(Destination.m_Entry.m_Instance);
  return Found == m_Pools.end() ? 0 : Found->second->limitWrites(Until);
}

void TargetConnectionPools::ensureConnection(const TargetInstance &Target) {
  if (const auto Found = m_Pools.find(Target); Found != m_Pools.end())
    Found->second->warmUp(1);
}

void TargetConnectionPools::removePool(const TargetPtr &Removed) {
  auto Node = m_Pools.extract(Removed->m_Entry.m_Instance);
  m_Services.erase(Removed->m_Entry.m_Instance);
  if (Node.empty())
    return;
  if (Removed->m_WritesUntil)
    Node.mapped()->limitWrites(*Removed->m_WritesUntil);
  Node.mapped()->failUnsentCalls();
  m_OpenedByRemovedPools += Node.mapped()->counters().m_Opened;
  m_DrainingPools.push_back(std::move(Node.mapped()));
}

void TargetConnectionPools::removeDrainedPools() {
  std::erase_if(m_DrainingPools,
                [](const auto &Each) { return Each->callsInFlight() == 0; });
}

void TargetConnectionPools::setConnectionShares(const RoutingConfig &Config,
                                                double Share) {
  m_ConnectionShare = Share;
  m_Limits.clear();
  for (const Route &Each : Config.routes()) {
    const auto SetLimit = [&](const ServiceName &Service) {
      m_Limits[Service] = Config.policy(Service).m_ConnectionLimit;
    };
    for (const WeightedService &Weighted : Each.m_Services)
      SetLimit(Weighted.m_Service);
    if (Each.m_Search)
      for (const ServiceName &Shard : Each.m_Search->m_Shards)
        SetLimit(Shard);
  }
  for (const auto &[Instance, Pool] : m_Pools)
    Pool->setMaxConnections(connectionShare(m_Services.at(Instance)));
}

std::size_t TargetConnectionPools::connections() const {
  std::size_t Total = 0;
  for (const auto &[Instance, Pool] : m_Pools)
    Total += Pool->connections();
  return Total;
}

std::size_t TargetConnectionPools::callsInFlight() const {
  std::size_t Total = 0;
  for (const auto &[Instance, Pool] : m_Pools)
    Total += Pool->callsInFlight();
  for (const auto &Each : m_DrainingPools)
    Total += Each->callsInFlight();
  return Total;
}

std::uint64_t TargetConnectionPools::connectionsOpened() const {
  std::uint64_t Total = m_OpenedByRemovedPools;
  for (const auto &[Instance, Pool] : m_Pools)
    Total += Pool->counters().m_Opened;
  return Total;
}

} // namespace figturn
