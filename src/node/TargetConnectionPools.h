#ifndef FIGTURN_NODE_TARGETCONNECTIONPOOLS_H
#define FIGTURN_NODE_TARGETCONNECTIONPOOLS_H

/**
 * Connections of a VM in routed mode to the targets of the registry: one pool
 * per target instance, created at the first call and removed with the target.
 * The end of a call is recorded in the target's load before its result handler
 * runs.
 */

#include "coordination/CallIdAllocator.h"
#include "coordination/TargetRegistry.h"
#include "state/RoutingConfig.h"
#include "transport/TargetPool.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

namespace figturn {

/** A call to send. */
struct PooledCall {
  /** Returns the request's bytes as written at the given time. */
  std::function<std::string(TimePoint)> m_SerializeRequest;
  std::string m_RequestId; ///< Expected in the reply.
  bool m_IsHead = false;
  bool m_IsSingleRun = false;
  TimePoint m_Deadline;        ///< As sent to the target.
  TimePoint m_OverdueAt;       ///< The call counts as late after this.
  Duration m_TypicalLatency{}; ///< Median of the route's calls.
};

/** How a call ended. */
struct PooledCallResult {
  CallOutcome m_Outcome = CallOutcome::Lost;
  std::error_code m_Error; ///< Set if there is no complete reply.
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;
  Duration m_Latency{};
};

/** All pools; confined to one worker. */
class TargetConnectionPools {
public:
  /** Returns the outcome of a call from its complete reply. */
  using Classifier =
      std::function<CallOutcome(unsigned Status, const HttpHeaders &)>;
  using ResultHandler = std::function<void(PooledCallResult)>;

  /** Receives what a pool's connections observe of their target. */
  using ObservationHandler =
      std::function<void(const TargetInstance &, const TargetObservation &)>;

  /** Receives each complete reply of a target to a call sent at \p SentAt,
   *  before the call's result handler. */
  using ReplyHandler =
      std::function<void(Target &, unsigned Status, const HttpHeaders &,
                         TimePoint SentAt, TimePoint Now)>;

  TargetConnectionPools(std::string RequestIdHeader,
                        ObservationHandler OnObservation, ReplyHandler OnReply)
      : m_RequestIdHeader(std::move(RequestIdHeader)),
        m_OnObservation(std::move(OnObservation)),
        m_OnReply(std::move(OnReply)) {}

  /** Outstanding calls get no result, because their owners are being destroyed
   *  too; their handlers are destroyed with this object. */
  ~TargetConnectionPools() = default;
  TargetConnectionPools(const TargetConnectionPools &) = delete;
  TargetConnectionPools &operator=(const TargetConnectionPools &) = delete;

  /** Sends \p Call; \p OnResult runs once, later. */
  CallId send(const TargetPtr &Destination, PooledCall Call,
              Classifier Classify, ResultHandler OnResult);
  /** Cancels a call by closing its connection; its outcome is Abandoned. */
  void cancel(const TargetPtr &Destination, CallId Call);
  /** Cancels a call if no byte of it was written; otherwise returns false. */
  bool withdraw(const TargetPtr &Destination, CallId Call);
  /** Ends the calls to \p Destination that no byte was written of; their
   *  outcome is NotSent. */
  void failUnsentCalls(const Target &Destination);

  /** Ends the calls to \p Destination that no byte was written of, as not sent,
   *  and at \p Until those that are still partly written. Returns the number of
   *  the former. */
  std::size_t limitWrites(const Target &Destination, TimePoint Until);
  /** Opens a connection to \p Target if its pool has none. */
  void ensureConnection(const TargetInstance &Target);
  /** Removes the pool of \p Removed. Calls that no byte was written of end as
   *  NotSent; the others still finish. */
  void removePool(const TargetPtr &Removed);
  /** Sets this VM's part, from 0 to 1, of the services' connection limits. */
  void setConnectionShares(const RoutingConfig &Config, double Share);

  /** Maximum number of connections of this VM to each target of \p Service.
   */
  std::size_t connectionShare(const ServiceName &Service) const;
  /** Number of connections, without those to removed targets. */
  std::size_t connections() const;
  /** Number of calls without a result, including those to removed targets. */
  std::size_t callsInFlight() const;
  /** Number of connections opened since the start. */
  std::uint64_t connectionsOpened() const;

private:
  /** A call without a result. */
  struct SentCall {
    TargetPtr m_Destination;
    Duration m_TypicalLatency{};
    Classifier m_Classify;
    ResultHandler m_OnResult;
  };

  void onResult(TargetResult Result);
  TargetPool &findOrCreatePool(const TargetPtr &Destination);
  void removeDrainedPools();

  /** Expires with this object; a pool may deliver results after that. */
  std::shared_ptr<void> m_Alive = std::make_shared<char>();
  std::string m_RequestIdHeader;
  ObservationHandler m_OnObservation;
  ReplyHandler m_OnReply;
  std::shared_ptr<ReplyMemory> m_ReplyMemory = std::make_shared<ReplyMemory>();
  CallIdAllocator m_CallIds{CallId(1)};
  std::unordered_map<CallId, SentCall> m_SentCalls;
  std::map<TargetInstance, std::unique_ptr<TargetPool>> m_Pools;
  std::map<TargetInstance, ServiceName> m_Services;
  /** Pools of removed targets that still have outstanding calls. */
  std::vector<std::unique_ptr<TargetPool>> m_DrainingPools;
  std::map<ServiceName, std::size_t> m_Limits;
  double m_ConnectionShare = 1;
  std::uint64_t m_OpenedByRemovedPools = 0;
};

} // namespace figturn

#endif // FIGTURN_NODE_TARGETCONNECTIONPOOLS_H
