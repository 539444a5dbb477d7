#ifndef FIGTURN_NODE_ROUTEDREQUESTRUNNER_H
#define FIGTURN_NODE_ROUTEDREQUESTRUNNER_H

/**
 * One caller's request on its way through the routed door: one race for a
 * plain request, one for each shard of a search. Sends what the races decide,
 * keeps the times, and answers exactly once. Calls that outlive the answer
 * are left to their targets, which are at work on them already; only when the
 * caller has left are they cancelled.
 */

#include "coordination/CoverageRule.h"
#include "coordination/ReplicaRace.h"
#include "node/RoutedContext.h"
#include "transport/HttpServer.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figturn {

/** What a run was started with. */
struct RoutedRequestOptions {
  RoutingConfigPtr m_Config;      ///< The version that holds for this request.
  const Route *m_Route = nullptr; ///< Of m_Config.
  ServiceName m_Service;          ///< Of a plain request.
  std::string m_RequestId;
  TimePoint m_Deadline; ///< The caller or the operator waits no longer.
};

/** A run; keeps itself alive by the calls and timers that refer to it. */
class RoutedRequestRunner
    : public std::enable_shared_from_this<RoutedRequestRunner> {
public:
  RoutedRequestRunner(RoutedContext &Context, HttpExchangePtr Exchange,
                      RoutedRequestOptions Options);
  virtual ~RoutedRequestRunner() = default;

  /** Asks for admission; sends the first calls once it is given. */
  void start(TimePoint Now);

protected:
  /** A race of this run and its calls. */
  struct ServiceRace {
    ServiceName m_Service;
    ReplicaRace m_Race;
    std::vector<std::pair<TargetPtr, CallId>> m_Calls; ///< Under way.
  };

  /** What a whole reply says of a call. */
  virtual CallOutcome classify(unsigned Status,
                               const HttpHeaders &Headers) const = 0;
  /** A call of lane \p Index ended, and the race knows it. */
  virtual void onCallEnded(std::size_t Index, PooledCallResult Result,
                           TimePoint Now) = 0;
  /** Time passed: answers or refuses if it must. */
  virtual void answerIfDue(TimePoint Now) = 0;
  /** When answerIfDue() is due next. */
  virtual TimePoint nextDueTime(TimePoint Now) const = 0;
  /** The services without a usable target, if the request can't be served
   *  for lack of them; else none. */
  virtual std::vector<ServiceName> unavailableServices(TimePoint Now) const = 0;

  void answer(HttpResponse Response, std::size_t Asked, std::size_t Answered,
              TimePoint Now);
  void refuse(std::error_code Reason, std::string_view Sentence, TimePoint Now);
  /** \p Lost says for the log which services gave no answer, and why. */
  void refuse(std::error_code Reason, std::string_view Sentence,
              const std::string &Lost, TimePoint Now);
  /** When an answer has to be sent to reach its caller on time. */
  TimePoint answerDueTime() const;

  const Route &route() const { return *m_Options.m_Route; }

  RoutedContext &m_Context;
  HttpExchangePtr m_Exchange;
  RoutedRequestOptions m_Options;
  TimePoint m_StartedAt;
  std::vector<ServiceRace> m_Races;
  bool m_Done = false;

private:
  /** Sends the first calls. */
  void sendFirstCalls(TimePoint Now);
  /** Ends calls of which nothing was sent yet. */
  void cancelUnsentCalls();
  /** Gives the run's place to another. */
  void releaseAdmission(TimePoint Now);
  /** Names the request among all that callers send. */
  Fingerprint fingerprint();
  /** Notes what a call's end says of crashes; returns whether the request may
   *  be sent again. */
  bool recordCrashEvidence(const TargetPtr &From,
                           const PooledCallResult &Result, TimePoint Now);
  /** Sends retries that were held back, or gives them up. */
  void resolveHeldRetries(TimePoint Now);
  /** Whether a target may have run the request, or may still. */
  RunVerdict verdict() const;
  std::string writeCall(const Target &To, TimePoint Now) const;
  void send(std::size_t Index, const RaceSend &Send, TimePoint Now);
  void onResult(std::size_t Index, const TargetPtr &From, CallId Call,
                PooledCallResult Result);
  void onTimer();
  void scheduleTimer(TimePoint Now);
  void onCallerGone();

  ServiceName m_AdmissionDomain; ///< What the request competes for.
  std::uint64_t m_AdmissionId = 0;
  std::optional<Fingerprint> m_Fingerprint;
  std::uint32_t m_LostCalls = 0; ///< Connections that ended without answer.
  bool m_HasTargetReply = false; ///< A target answered the request.
  std::optional<TimePoint> m_AdmittedAt;
  Duration m_HedgeDelay{};
  TimePoint m_TimerDueAt = TimePoint::max();
};

/** Starts the run that the route in \p Options asks for. */
void startRoutedRequest(RoutedContext &Context, const HttpExchangePtr &Exchange,
                        RoutedRequestOptions Options, TimePoint Now);

} // namespace figturn

#endif // FIGTURN_NODE_ROUTEDREQUESTRUNNER_H
