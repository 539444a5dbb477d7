#include "node/SingleRunService.h"

#include "node/SingleRunRunner.h"

#include <QTimer>
#include <fmt/format.h>
#include <mutex>
#include <utility>

namespace figturn {

namespace {

HttpResponse outcomeResponse(const CallerRequest &Request,
                             const SingleRunOutcome &Outcome) {
  if (Outcome.m_Phase == SingleRunPhase::Ran)
    return {.m_Body = encodeRunAnswer(Request.m_Service, Request.m_Key,
                                      Outcome.m_Result)};
  const Refusal Refused{
      .m_Verdict = Outcome.m_Verdict,
      .m_Reason = Outcome.m_Reason ? Outcome.m_Reason
                                   : make_error_code(Errc::AttemptLost),
      .m_Message = "the attempt at this request ended without a result"};
  return {.m_Status = httpStatus(Refused.m_Reason),
          .m_Body = encodeRefusal(Request.m_Key, Refused)};
}

HttpResponse keyReusedResponse(const RequestKey &Key) {
  const Refusal Refused{
      .m_Verdict = RunVerdict::MayHaveRun,
      .m_Reason = Errc::KeyReused,
      .m_Message = "this requestId was used for a different request before; "
                   "use a new one for a new request"};
  return {.m_Status = httpStatus(Refused.m_Reason),
          .m_Body = encodeRefusal(Key, Refused)};
}

} // namespace

SingleRunService::SingleRunService(
    NodeServices &Services, ObjectStore &Store,
    std::function<void(std::function<void()>)> PostToStore)
    : m_Services(Services), m_Store(Store),
      m_PostToStore(std::move(PostToStore)) {}

SingleRunService::~SingleRunService() = default;

WaiterId SingleRunService::addEndHandler(std::function<void()> OnEnd) {
  const std::lock_guard Lock(m_Mutex);
  const WaiterId Id(m_NextWaiter++);
  m_Waiters.emplace(Id, std::move(OnEnd));
  return Id;
}

void SingleRunService::run(const CallerRequest &Request,
                           const HttpExchangePtr &Exchange, TimePoint Deadline,
                           std::function<void()> OnFinished) {
  // A request that joined an attempt runs again once the attempt has ended. It
  // then finds the recorded outcome or begins a new attempt.
  const std::size_t Worker = Exchange->worker();
  const WaiterId Waiter =
      addEndHandler([this, Request, Exchange, Deadline, OnFinished, Worker] {
        m_Services.m_Workers.post(
            Worker, [this, Request, Exchange, Deadline, OnFinished] {
              run(Request, Exchange, Deadline, OnFinished);
            });
      });
  AttemptToken Token;
  JoinResult Joined;
  {
    const std::lock_guard Lock(m_Mutex);
    Token =
        AttemptToken(fmt::format("{}/{}", m_Services.m_Origin, m_NextToken++));
    m_Table.expire(Clock::now());
    Joined = m_Table.join(Request.m_Service, Request.m_Key,
                          Request.fingerprint(), Token, Waiter, Clock::now());
    if (Joined.m_Kind != JoinResult::Kind::Joined)
      m_Waiters.erase(Waiter);
  }
  switch (Joined.m_Kind) {
  case JoinResult::Kind::Begin:
    begin(Request, Exchange, Deadline, Token, std::move(OnFinished));
    return;
  case JoinResult::Kind::Joined:
    return;
  case JoinResult::Kind::Ended:
    Exchange->respond(outcomeResponse(Request, Joined.m_Outcome));
    OnFinished();
    return;
  case JoinResult::Kind::KeyReused:
    Exchange->respond(keyReusedResponse(Request.m_Key));
    OnFinished();
    return;
  }
}

void SingleRunService::begin(const CallerRequest &Request,
                             const HttpExchangePtr &Exchange,
                             TimePoint Deadline, const AttemptToken &Token,
                             std::function<void()> OnFinished) {
  StoreRevision KnownRevision;
  {
    const std::lock_guard Lock(m_Mutex);
    KnownRevision = m_KnownRevision;
  }
  // Deletes itself when it has finished.
  auto *Runner = new SingleRunRunner(*this,
                                     {.m_Service = Request.m_Service,
                                      .m_Key = Request.m_Key,
                                      .m_Fingerprint = Request.fingerprint(),
                                      .m_Token = Token,
                                      .m_Vm = m_Services.m_Self,
                                      .m_Boot = m_Services.m_Boot,
                                      .m_Start = Clock::now(),
                                      .m_KnownRevision = KnownRevision,
                                      .m_SendBy = Deadline,
                                      .m_Deadline = Deadline},
                                     Request, Exchange, std::move(OnFinished));
  Runner->start();
}

void SingleRunService::awaitOutcome(const AttemptToken &Token,
                                    milliseconds Wait,
                                    std::function<void(HolderReply)> Respond) {
  const TimePoint WaitDeadline = Clock::now() + Wait;
  const WaiterId Waiter = addEndHandler([this, Token, WaitDeadline, Respond] {
    const auto Remaining = std::chrono::duration_cast<milliseconds>(
        std::max(WaitDeadline - Clock::now(), Duration(0)));
    awaitOutcome(Token, Remaining, Respond);
  });
  std::optional<HolderReply> Reply;
  {
    const std::lock_guard Lock(m_Mutex);
    Reply = m_Table.ask(Token, Waiter, Clock::now());
    if (Reply)
      m_Waiters.erase(Waiter);
  }
  if (Reply)
    Respond(*Reply);
}

void SingleRunService::onEnded(const AttemptToken &Token,
                               const std::optional<SingleRunOutcome> &Outcome) {
  std::vector<std::function<void()>> Handlers;
  {
    const std::lock_guard Lock(m_Mutex);
    for (const WaiterId Waiter : m_Table.end(Token, Outcome, Clock::now())) {
      auto Node = m_Waiters.extract(Waiter);
      if (!Node.empty())
        Handlers.push_back(std::move(Node.mapped()));
    }
  }
  for (const auto &Handler : Handlers)
    Handler();
}

void SingleRunService::onRecorded(const AttemptToken &Token) {
  const std::lock_guard Lock(m_Mutex);
  m_Table.markRecorded(Token, Clock::now());
}

void SingleRunService::updateKnownRevision(StoreRevision Revision) {
  const std::lock_guard Lock(m_Mutex);
  m_KnownRevision = std::max(m_KnownRevision, Revision);
}

std::size_t SingleRunService::running() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Table.running();
}

} // namespace figturn
