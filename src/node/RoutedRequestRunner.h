#ifndef FIGTURN_NODE_ROUTEDREQUESTRUNNER_H
#define FIGTURN_NODE_ROUTEDREQUESTRUNNER_H

/**
 * Runs one caller's request through the routed frontend: one hedged request
 * for a plain request, one per shard for a search. Sends the calls that the
 * hedged requests return, enforces the deadlines and answers exactly once.
 * After the answer, calls that are not written yet are withdrawn. Calls that
 * are written continue, because their targets have already started on them;
 * they are cancelled only if the caller disconnects before the answer.
 */

#include "coordination/CoveragePolicy.h"
#include "coordination/HedgedRequest.h"
#include "node/RoutedContext.h"
#include "transport/HttpServer.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figturn {

/** Inputs of one request. */
struct RoutedRequestOptions {
  RoutingConfigPtr m_Config;      ///< Used until the request ends.
  const Route *m_Route = nullptr; ///< Belongs to m_Config.
  ServiceName m_Service;          ///< Set for a plain request.
  std::string m_RequestId;
  TimePoint m_Deadline; ///< The earlier of the caller's and the route's.
};

/** Base class of request runners. Kept alive by shared pointers in the
 *  callbacks of its admission and its calls; its timers don't keep it alive. */
class RoutedRequestRunner
    : public std::enable_shared_from_this<RoutedRequestRunner> {
public:
  RoutedRequestRunner(RoutedContext &Context, HttpExchangePtr Exchange,
                      RoutedRequestOptions Options);
  virtual ~RoutedRequestRunner();
  RoutedRequestRunner(const RoutedRequestRunner &) = delete;
  RoutedRequestRunner &operator=(const RoutedRequestRunner &) = delete;

  /** Requests admission; sends the first calls once admitted. */
  void start(TimePoint Now);
  /** Brings the request's deadline forward to \p Deadline, if it is later. */
  void limitDeadline(TimePoint Deadline, TimePoint Now);

protected:
  /** The calls of this request to one service. */
  struct ServiceCalls {
    ServiceName m_Service;
    HedgedRequest m_HedgedRequest;
    std::vector<std::pair<TargetPtr, CallId>> m_Calls; ///< Outstanding.
  };

  /** Outcome of a call whose complete reply has arrived. */
  virtual CallOutcome classify(unsigned Status,
                               const HttpHeaders &Headers) const = 0;
  /** Called after a call to the service at \p Index ended and its hedged
   *  request was updated. */
  virtual void onCallEnded(std::size_t Index, PooledCallResult Result,
                           TimePoint Now) = 0;
  /** Answers or refuses if the request is due at \p Now. */
  virtual void answerIfDue(TimePoint Now) = 0;
  /** When answerIfDue() must run next. */
  virtual TimePoint nextDueTime(TimePoint Now) const = 0;
  /** Called when m_Options.m_Deadline was brought forward. */
  virtual void onDeadlineChanged() {}
  /** The services without a usable target if too many are missing to serve
   *  the request; otherwise empty. */
  virtual std::vector<ServiceName> unavailableServices(TimePoint Now) const = 0;

  void answer(HttpResponse Response, std::size_t ShardsAsked,
              std::size_t ShardsAnswered, TimePoint Now);
  void refuse(std::error_code Reason, std::string_view Message, TimePoint Now);
  /** Refuses the request because \p Missing have no usable target. */
  void refuseForLackOfTargets(const std::vector<ServiceName> &Missing,
                              TimePoint Now);
  /** \p FailedServices is logged: the services without an answer, each with
   *  the reason. */
  void refuse(std::error_code Reason, std::string_view Message,
              const std::string &FailedServices, TimePoint Now);
  /** When an answer must be sent to meet the latency objective. */
  TimePoint answerDueTime() const;

  const Route &route() const { return *m_Options.m_Route; }

  RoutedContext &m_Context;
  HttpExchangePtr m_Exchange;
  RoutedRequestOptions m_Options;
  TimePoint m_StartedAt;
  std::vector<ServiceCalls> m_ServiceCalls;
  bool m_Done = false;

private:
  /** Sends the first calls. */
  void sendFirstCalls(TimePoint Now);
  /** Cancels calls that have not been written to a connection yet, and ends
   *  the request. */
  void cancelUnsentCalls();
  /** Frees the request's admission slot or its place in the queue. */
  void releaseAdmission(TimePoint Now);
  /** Hash of the request's method, host, path, query and body. */
  Fingerprint fingerprint();
  /** Records a call's result as evidence for or against a crash of the target;
   *  returns whether the request may be retried now. */
  bool recordCrashEvidence(const TargetPtr &Source,
                           const PooledCallResult &Result, TimePoint Now);
  /** Sends deferred retries once a target has replied, or drops them when no
   *  call that could reply is outstanding. */
  void resolveDeferredRetries(TimePoint Now);
  /** Whether a target may have run the request or may still run it. */
  RunVerdict verdict() const;
  std::string writeCall(const Target &Destination, TimePoint Now) const;
  void send(std::size_t Index, const HedgedSend &Send, TimePoint Now);
  void onResult(std::size_t Index, const TargetPtr &Source, CallId Call,
                PooledCallResult Result);
  void onTimer();
  void scheduleTimer(TimePoint Now);
  void onCallerDisconnect();

  ServiceName m_AdmissionDomain; ///< See RequestAdmission::admissionDomain().
  std::uint64_t m_AdmissionId = 0;
  std::optional<Fingerprint> m_Fingerprint;
  std::uint32_t m_LostCalls = 0; ///< Connections lost before a reply.
  bool m_HasTargetReply = false; ///< A target ran the request and replied.
  std::optional<TimePoint> m_AdmittedAt;
  Duration m_HedgeDelay{};
  TimePoint m_TimerDueAt = TimePoint::max();
};

/** Starts the runner for the kind of the route in \p Options. */
void startRoutedRequest(RoutedContext &Context, const HttpExchangePtr &Exchange,
                        RoutedRequestOptions Options, TimePoint Now);

} // namespace figturn

#endif // FIGTURN_NODE_ROUTEDREQUESTRUNNER_H
