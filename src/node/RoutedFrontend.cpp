#include "node/RoutedFrontend.h"

#include "node/RoutedRequestRunner.h"
#include "state/Event.h"

#include <algorithm>

namespace figturn {

namespace {

/** Assumed of callers that don't say how long they wait, for Retry-After. */
constexpr seconds DefaultCallerTimeout{1};

} // namespace

void RoutedFrontend::handle(const HttpExchangePtr &Exchange) {
  const TimePoint Now = Clock::now();
  const RoutedRequest Request =
      readRoutedRequest(Exchange->request(), m_Context.headers());
  const Duration Left = Request.m_Deadline.value_or(DefaultCallerTimeout);
  const RoutingConfigPtr &Config = m_Context.config();
  if (!Config) {
    refuse(Exchange, Request, Errc::NotReady,
           "This VM has no configuration yet.", Left);
    return;
  }
  const Route *Found =
      Config->match(Request.m_Host, Exchange->request().m_Path);
  if (!Found) {
    // An older configuration than the platform's can't tell that there is no
    // such route.
    const bool IsKnown = m_IsCurrent();
    refuse(Exchange, Request, IsKnown ? Errc::UnknownRoute : Errc::NotReady,
           IsKnown ? "No route matches the host and path."
                   : "No route matches yet; the configuration may be behind.",
           Left);
    return;
  }
  m_Context.metrics().addRequest(Found->m_Name);
  RoutedRequestOptions Options{
      .m_Config = Config, .m_Route = Found, .m_RequestId = Request.m_Id};
  const milliseconds Waits =
      std::min(Request.m_Deadline.value_or(Found->m_Timeout), Found->m_Timeout);
  Options.m_Deadline = Exchange->receivedAt() + Waits;
  if (Options.m_Deadline <= Now) {
    refuse(Exchange, Request, Errc::DeadlineExceeded,
           "The deadline had passed before the request could be placed.",
           Duration(0));
    return;
  }
  if (!Found->m_Search)
    Options.m_Service =
        Found->m_Services[m_Context.rotation(*Found).next(Found->m_Services)]
            .m_Service;
  startRoutedRequest(m_Context, Exchange, std::move(Options), Now);
}

void RoutedFrontend::refuse(const HttpExchangePtr &Exchange,
                            const RoutedRequest &Request,
                            std::error_code Reason, std::string_view Sentence,
                            Duration Left) {
  const auto Pause = m_Context.retryAdvice().pause(Reason, Left);
  m_Context.metrics().addRefusal("none", Reason);
  logEvent(Event::RequestNotRouted,
           "id={} host={} path={} reason={} config={} retry_ms={}",
           Request.m_Id, Request.m_Host, Exchange->request().m_Path,
           Reason.message(),
           m_Context.config() ? m_Context.config()->version().value() : 0,
           Pause ? Pause->count() : 0);
  Exchange->respond(refusalResponse({.m_Verdict = RunVerdict::NotRun,
                                     .m_Reason = Reason,
                                     .m_Sentence = std::string(Sentence)},
                                    Request.m_Id, Pause, m_Context.headers()));
}

} // namespace figturn
