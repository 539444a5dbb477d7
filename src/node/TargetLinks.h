#ifndef FIGTURN_NODE_TARGETLINKS_H
#define FIGTURN_NODE_TARGETLINKS_H

/**
 * Connections of a routed VM to the targets of the registry: one pool for
 * each start of a target, made at the first call and dropped with the target.
 * Each call's end is noted in the target's load before its owner hears of it.
 */

#include "coordination/CallIdSource.h"
#include "coordination/TargetRegistry.h"
#include "state/RoutingConfig.h"
#include "transport/TargetPool.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace figturn {

/** A call to send. */
struct LinkCall {
  /** Gives the request's bytes when it is written at a time. */
  std::function<std::string(TimePoint)> m_SerializeRequest;
  std::string m_RequestId; ///< That the reply names.
  bool m_IsHead = false;
  bool m_IsSingleRun = false;
  TimePoint m_Deadline;  ///< That the target was told.
  TimePoint m_OverdueAt; ///< When the call counts as late.
  Duration m_Usual{};    ///< What such calls take.
};

/** How a call ended. */
struct LinkResult {
  CallOutcome m_Outcome = CallOutcome::Lost;
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;
  Duration m_Latency{};
};

/** The pools; live on one worker. */
class TargetLinks {
public:
  /** Tells what a whole reply says of its call. */
  using Classifier =
      std::function<CallOutcome(unsigned Status, const HttpHeaders &)>;
  using ResultHandler = std::function<void(LinkResult)>;

  /** What connections show of a target. */
  using ObservationHandler =
      std::function<void(const TargetInstance &, const TargetObservation &)>;

  TargetLinks(std::string RequestIdHeader, ObservationHandler OnObservation)
      : m_RequestIdHeader(std::move(RequestIdHeader)),
        m_OnObservation(std::move(OnObservation)) {}

  /** Calls that have not ended get no result: who would take it is ending
   *  as well. */
  ~TargetLinks() { *m_IsOpen = false; }
  TargetLinks(const TargetLinks &) = delete;
  TargetLinks &operator=(const TargetLinks &) = delete;

  /** Sends \p Call; \p OnResult runs once, later. */
  CallId send(const TargetPtr &To, LinkCall Call, Classifier Classify,
              ResultHandler OnResult);
  /** Ends a call by closing its connection; its result is Abandoned. */
  void cancel(const TargetPtr &To, CallId Call);
  /** Ends a call if no byte of it was written; false if it was. */
  bool withdraw(const TargetPtr &To, CallId Call);
  /** Opens a connection to \p Target if there is none. */
  void probe(const TargetInstance &Target);
  /** Drops the pools of \p Old; calls under way go on to their end. */
  void drop(const TargetPtr &Old);
  /** Shares connection limits among \p Sharers VMs. */
  void setShares(const RoutingConfig &Config, std::size_t Sharers);

  std::size_t connections() const;
  std::size_t callsInFlight() const;
  /** Connections opened since the start. */
  std::uint64_t opened() const;

private:
  TargetPool &poolOf(const TargetPtr &To);
  std::size_t connectionShare(const ServiceName &Service) const;
  void removeUnused();

  std::shared_ptr<bool> m_IsOpen = std::make_shared<bool>(true);
  std::string m_RequestIdHeader;
  ObservationHandler m_OnObservation;
  CallIdSource m_CallIds{CallId(1)};
  std::map<TargetInstance, std::unique_ptr<TargetPool>> m_Pools;
  std::map<TargetInstance, ServiceName> m_Services;
  /** Pools of targets that are gone, with calls under way. */
  std::vector<std::unique_ptr<TargetPool>> m_Ending;
  std::map<ServiceName, std::size_t> m_Limits;
  std::size_t m_Sharers = 1;
  std::uint64_t m_OpenedByDropped = 0;
};

} // namespace figturn

#endif // FIGTURN_NODE_TARGETLINKS_H
