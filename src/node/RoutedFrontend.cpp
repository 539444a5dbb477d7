#include "node/RoutedFrontend.h"

#include "node/RoutedRequestRunner.h"
#include "state/Event.h"

#include <algorithm>

namespace figturn {

namespace {

/** Timeout assumed for Retry-After if the caller states no deadline. */
constexpr seconds DefaultCallerTimeout{1};

} // namespace

void RoutedFrontend::handle(const HttpExchangePtr &Exchange) {
  const TimePoint Now = Clock::now();
  const RoutedRequest Request =
      decodeRoutedRequest(Exchange->request(), m_Context.headers());
  const Duration Remaining = Request.m_Deadline.value_or(DefaultCallerTimeout);
  const RoutingConfigPtr &Config = m_Context.config();
  if (!Config) {
    refuse(Exchange, Request, Errc::NotReady,
           "This VM has no configuration yet.", Remaining);
    return;
  }
  const Route *MatchedRoute =
      Config->match(Request.m_Host, Exchange->request().m_Path);
  if (!MatchedRoute) {
    // The route may exist in a newer configuration that has not arrived yet.
    const bool IsConfigCurrent = m_IsConfigProven(Now);
    refuse(Exchange, Request,
           IsConfigCurrent ? Errc::UnknownRoute : Errc::NotReady,
           IsConfigCurrent
               ? "No route matches the host and path."
               : "No route matches; the configuration may be out of date.",
           Remaining);
    return;
  }
  m_Context.metrics().addRequest(MatchedRoute->m_Name);
  RoutedRequestOptions Options{
      .m_Config = Config, .m_Route = MatchedRoute, .m_RequestId = Request.m_Id};
  const milliseconds Timeout =
      std::min(Request.m_Deadline.value_or(MatchedRoute->m_Timeout),
               MatchedRoute->m_Timeout);
  Options.m_Deadline = Exchange->receivedAt() + Timeout;
  if (Options.m_Deadline <= Now) {
    refuse(Exchange, Request, Errc::DeadlineExceeded,
           "The deadline passed before the request could be sent.",
           Duration(0));
    return;
  }
  if (!m_Context.stopDeadline().mayTake(
          {.m_Kind = MatchedRoute->m_Kind,
           .m_Objective = MatchedRoute->m_LatencyObjective,
           .m_Deadline = Options.m_Deadline},
          Now)) {
    refuse(Exchange, Request, Errc::Draining,
           "This VM stops before the request can end; use another one.",
           Options.m_Deadline - Now);
    return;
  }
  if (const auto AnswerBy = m_Context.stopDeadline().answerBy())
    Options.m_Deadline = std::min(Options.m_Deadline, *AnswerBy);
  if (!MatchedRoute->m_Search)
    Options.m_Service = MatchedRoute
                            ->m_Services[m_Context.roundRobin(*MatchedRoute)
                                             .next(MatchedRoute->m_Services)]
                            .m_Service;
  startRoutedRequest(m_Context, Exchange, std::move(Options), Now);
}

void RoutedFrontend::refuse(const HttpExchangePtr &Exchange,
                            const RoutedRequest &Request,
                            std::error_code Reason, std::string_view Message,
                            Duration Remaining) {
  const auto RetryAfter =
      m_Context.retryAfterPolicy().retryAfter(Reason, Remaining);
  HttpResponse Response =
      refusalResponse({.m_Verdict = RunVerdict::NotRun,
                       .m_Reason = Reason,
                       .m_Message = std::string(Message)},
                      Request.m_Id, RetryAfter, m_Context.headers());
  m_Context.metrics().addUnrouted(Response.m_Status, Reason);
  logEvent(Event::RequestNotRouted,
           "id={} host={} path={} status={} reason={} config={} retry_ms={}",
           Request.m_Id, Request.m_Host, Exchange->request().m_Path,
           Response.m_Status, Reason.message(),
           m_Context.config() ? m_Context.config()->version().value() : 0,
           RetryAfter ? RetryAfter->count() : 0);
  Exchange->respond(std::move(Response));
}

} // namespace figturn
