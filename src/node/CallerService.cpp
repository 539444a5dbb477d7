#include "node/CallerService.h"

#include "node/QueryRunner.h"

#include <algorithm>
#include <fmt/format.h>

namespace figturn {

namespace {

void respondRefusal(const HttpExchangePtr &Exchange, const RequestKey &Key,
                    const Refusal &Refused) {
  Exchange->respond({.m_Status = httpStatus(Refused.m_Reason),
                     .m_Body = encodeRefusal(Key, Refused)});
}

Refusal notRun(Errc Reason, std::string Message) {
  return {.m_Verdict = RunVerdict::NotRun,
          .m_Reason = Reason,
          .m_Message = std::move(Message)};
}

/** Refuses a well-formed request before it is processed. For a single-run
 *  request, an earlier attempt with the same key may have run. */
Refusal refuseEarly(const CallerRequest &Request, Errc Reason,
                    std::string Message) {
  Refusal Refused = notRun(Reason, std::move(Message));
  if (Request.m_Kind == RequestKind::Run) {
    Refused.m_Verdict = RunVerdict::MayHaveRun;
    Refused.m_Message +=
        "; this attempt was not run, but earlier attempts may have been";
  }
  return Refused;
}

void respondBadRequest(const HttpExchangePtr &Exchange, unsigned Status,
                       std::string Message) {
  Exchange->respond(
      {.m_Status = Status,
       .m_Body = encodeRefusal(RequestKey(),
                               notRun(Errc::BadRequest, std::move(Message)))});
}

} // namespace

CallerService::CallerService(NodeServices &Services,
                             SingleRunService &SingleRuns,
                             CallerServiceHooks Hooks)
    : m_Services(Services), m_SingleRuns(SingleRuns),
      m_Hooks(std::move(Hooks)) {}

void CallerService::handle(const HttpExchangePtr &Exchange) {
  constexpr unsigned MethodNotAllowed = 405;
  constexpr unsigned NotFound = 404;
  const HttpRequest &Request = Exchange->request();
  const bool IsGet = Request.m_Method == "GET";
  if (const auto Path = parseCallerPath(Request.m_Path)) {
    if (Request.m_Method == "POST")
      handleRequest(*Path, Exchange);
    else
      respondBadRequest(Exchange, MethodNotAllowed,
                        "requests to a service must use POST");
    return;
  }
  if (IsGet && Request.m_Path == "/v1/entries")
    Exchange->respond({.m_Body = entries()});
  else if (IsGet && Request.m_Path == "/v1/status")
    Exchange->respond({.m_Body = m_Hooks.m_Status()});
  else if (IsGet && Request.m_Path == "/metrics")
    Exchange->respond({.m_Body = m_Services.m_Metrics.text(),
                       .m_ContentType = "text/plain; charset=utf-8"});
  else if (Request.m_Method == "POST" && Request.m_Path == "/v1/config")
    Exchange->respond(m_Hooks.m_PushConfig(Request));
  else
    respondBadRequest(Exchange, NotFound,
                      fmt::format("unknown path: {} {}; see docs/CALLERS.md",
                                  Request.m_Method, Request.m_Path));
}

void CallerService::handleRequest(const CallerPath &Path,
                                  const HttpExchangePtr &Exchange) {
  const auto Decoded = decodeCallerRequest(Path, Exchange->request().m_Body);
  if (const auto *Refused = std::get_if<Refusal>(&Decoded)) {
    respondRefusal(Exchange, RequestKey(), *Refused);
    return;
  }
  const auto &Request = std::get<CallerRequest>(Decoded);
  const ConfigurationPtr Config = m_Services.m_Routing.configuration();
  if (!Config) {
    respondRefusal(
        Exchange, Request.m_Key,
        refuseEarly(Request, Errc::NotReady,
                    "this VM has no configuration yet; use another VM"));
    return;
  }
  const auto Service = Config->m_Services.find(Request.m_Service);
  if (Service == Config->m_Services.end()) {
    respondRefusal(
        Exchange, Request.m_Key,
        refuseEarly(Request, Errc::UnknownService,
                    fmt::format("unknown service \"{}\"", Request.m_Service)));
    return;
  }
  const milliseconds Requested =
      Request.m_Deadline.value_or(Service->second.m_DefaultDeadline);
  const milliseconds Allowed =
      std::min(Requested, Service->second.m_MaxDeadline);
  if (m_Pending >= Service->second.m_MaxPendingRequests) {
    respondRefusal(Exchange, Request.m_Key,
                   refuseEarly(Request, Errc::Overloaded,
                               "too many requests are pending at this VM"));
    return;
  }
  run(Request, Exchange, Exchange->receivedAt() + Allowed);
}

void CallerService::run(const CallerRequest &Request,
                        const HttpExchangePtr &Exchange, TimePoint Deadline) {
  ++m_Pending;
  auto OnFinished = [this] { --m_Pending; };
  if (Request.m_Kind == RequestKind::Run) {
    m_SingleRuns.run(Request, Exchange, Deadline, std::move(OnFinished));
    return;
  }
  // Deletes itself when it has finished.
  auto *Runner = new QueryRunner(m_Services, Request, Exchange, Deadline,
                                 std::move(OnFinished));
  Runner->start();
}

std::string CallerService::entries() const {
  const MemberListPtr List = m_Services.m_Membership.members();
  const std::set<VmName> Draining = m_Services.m_Membership.draining();
  std::vector<EntryAddress> Entries;
  for (const Member &Each : List->m_Members)
    if (!Draining.contains(Each.m_Vm))
      Entries.push_back({Each.m_Vm, Each.m_DataCentre, Each.m_CallerAddress});
  return encodeEntries(Entries, EntryLifetime);
}

} // namespace figturn
