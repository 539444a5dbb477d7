#include "node/RoutedDoor.h"

#include "node/RoutedRun.h"
#include "state/Event.h"

#include <algorithm>

namespace figturn {

namespace {

/** Assumed of callers that don't say how long they wait, for Retry-After. */
constexpr seconds UnstatedDeadline{1};

} // namespace

void RoutedDoor::handle(const HttpExchangePtr &Exchange) {
  const TimePoint Now = Clock::now();
  const RoutedRequest Request =
      decodeRoutedRequest(Exchange->request(), m_World.headers());
  const Duration Left = Request.m_Deadline.value_or(UnstatedDeadline);
  const RoutingConfigPtr &Config = m_World.config();
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
  m_World.metrics().addRequest(Found->m_Name);
  RoutedRunOptions Options{
      .m_Config = Config, .m_Route = Found, .m_RequestId = Request.m_Id};
  const milliseconds Waits =
      std::min(Request.m_Deadline.value_or(Found->m_Timeout), Found->m_Timeout);
  Options.m_End = Exchange->receivedAt() + Waits;
  if (Options.m_End <= Now) {
    refuse(Exchange, Request, Errc::DeadlineExceeded,
           "The deadline had passed before the request could be placed.",
           Duration(0));
    return;
  }
  if (!Found->m_Search)
    Options.m_Service =
        Found->m_Services[m_World.rotation(*Found).next(Found->m_Services)]
            .m_Service;
  startRoutedRun(m_World, Exchange, std::move(Options), Now);
}

void RoutedDoor::refuse(const HttpExchangePtr &Exchange,
                        const RoutedRequest &Request, std::error_code Reason,
                        std::string_view Sentence, Duration Left) {
  const auto Pause = m_World.advice().pause(Reason, Left);
  m_World.metrics().addRefusal("none", Reason);
  logEvent(Event::RequestNotRouted,
           "id={} host={} path={} reason={} config={} retry_ms={}",
           Request.m_Id, Request.m_Host, Exchange->request().m_Path,
           Reason.message(),
           m_World.config() ? m_World.config()->version().value() : 0,
           Pause ? Pause->count() : 0);
  Exchange->respond(refusalResponse({.m_Verdict = RunVerdict::NotRun,
                                     .m_Reason = Reason,
                                     .m_Sentence = std::string(Sentence)},
                                    Request.m_Id, Pause, m_World.headers()));
}

} // namespace figturn
