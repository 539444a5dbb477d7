#ifndef FIGTURN_NODE_ROUTEDRUN_H
#define FIGTURN_NODE_ROUTEDRUN_H

/**
 * One caller's request on its way through the routed door: one race for a
 * plain request, one for each shard of a search. Sends what the races decide,
 * keeps the times, and answers exactly once. Calls that outlive the answer
 * are left to their targets, which are at work on them already; only when the
 * caller has left are they cancelled.
 */

#include "coordination/CoverageRule.h"
#include "coordination/ReplicaRace.h"
#include "node/RoutedWorld.h"
#include "transport/HttpServer.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figturn {

/** What a run was started with. */
struct RoutedRunOptions {
  RoutingConfigPtr m_Config;      ///< The version that holds for this request.
  const Route *m_Route = nullptr; ///< Of m_Config.
  ServiceName m_Service;          ///< Of a plain request.
  std::string m_RequestId;
  TimePoint m_End; ///< The caller or the operator waits no longer.
};

/** A run; keeps itself alive by the calls and timers that refer to it. */
class RoutedRun : public std::enable_shared_from_this<RoutedRun> {
public:
  RoutedRun(RoutedWorld &World, HttpExchangePtr Exchange,
            RoutedRunOptions Options);
  virtual ~RoutedRun() = default;

  /** Asks for admission; sends the first calls once it is given. */
  void start(TimePoint Now);

protected:
  /** A race of this run and its calls. */
  struct Lane {
    ServiceName m_Service;
    ReplicaRace m_Race;
    std::vector<std::pair<TargetPtr, CallId>> m_Calls; ///< Under way.
  };

  /** What a whole reply says of a call. */
  virtual CallOutcome classify(unsigned Status,
                               const HttpHeaders &Headers) const = 0;
  /** A call of lane \p Index ended, and the race knows it. */
  virtual void onLaneEvent(std::size_t Index, LinkResult Result,
                           TimePoint Now) = 0;
  /** Time passed: answers or refuses if it must. */
  virtual void onTime(TimePoint Now) = 0;
  /** When onTime() is due next. */
  virtual TimePoint nextTime(TimePoint Now) const = 0;
  /** The services without a usable target, if the request can't be served
   *  for lack of them; else none. */
  virtual std::vector<ServiceName> missingServices(TimePoint Now) const = 0;

  void answer(HttpResponse Response, std::size_t Asked, std::size_t Answered,
              TimePoint Now);
  void refuse(std::error_code Reason, std::string_view Sentence, TimePoint Now);
  /** \p Lost says for the log which services gave no answer, and why. */
  void refuse(std::error_code Reason, std::string_view Sentence,
              const std::string &Lost, TimePoint Now);
  /** When an answer has to be sent to reach its caller on time. */
  TimePoint onTimeUntil() const;

  const Route &route() const { return *m_Options.m_Route; }

  RoutedWorld &m_World;
  HttpExchangePtr m_Exchange;
  RoutedRunOptions m_Options;
  TimePoint m_StartedAt;
  std::vector<Lane> m_Lanes;
  bool m_Done = false;

private:
  /** Sends the first calls. */
  void launch(TimePoint Now);
  /** Ends calls of which nothing was sent yet. */
  void withdrawUnsent();
  /** Gives the run's place to another. */
  void leaveAdmission(TimePoint Now);
  /** Names the request among all that callers send. */
  Fingerprint fingerprint();
  /** Notes what a call's end says of crashes; returns whether the request may
   *  be sent again. */
  bool noteCrashSigns(const TargetPtr &From, const LinkResult &Result,
                      TimePoint Now);
  /** Sends retries that were held back, or gives them up. */
  void settleHeldRetries(TimePoint Now);
  /** Whether a target may have run the request, or may still. */
  RunVerdict verdict() const;
  std::string writeCall(const Target &To, TimePoint Now) const;
  void send(std::size_t Index, const RaceSend &Send, TimePoint Now);
  void onResult(std::size_t Index, const TargetPtr &From, CallId Call,
                LinkResult Result);
  void onTimer();
  void arm(TimePoint Now);
  void onCallerDisconnect();

  ServiceName m_Domain; ///< What the request competes for.
  std::uint64_t m_AdmissionNumber = 0;
  std::optional<Fingerprint> m_Fingerprint;
  std::uint32_t m_LostCalls = 0; ///< Connections that ended without answer.
  bool m_IsProven = false;       ///< A target answered the request.
  std::optional<TimePoint> m_LaunchedAt;
  Duration m_HedgeDelay{};
  TimePoint m_ArmedFor = TimePoint::max();
};

/** Starts the run that the route in \p Options asks for. */
void startRoutedRun(RoutedWorld &World, const HttpExchangePtr &Exchange,
                    RoutedRunOptions Options, TimePoint Now);

} // namespace figturn

#endif // FIGTURN_NODE_ROUTEDRUN_H
