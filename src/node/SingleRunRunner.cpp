#include "node/SingleRunRunner.h"

#include "protocol/JsonConvert.h"
#include "protocol/SingleRunCodec.h"
#include "protocol/TargetProtocol.h"
#include "state/Event.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QPointer>
#include <algorithm>
#include <utility>

namespace figturn {

namespace {

/** JSON text of any value; QJsonDocument serializes only arrays and objects. */
std::string valueText(const QJsonValue &Value) {
  const QByteArray ArrayText =
      QJsonDocument(QJsonArray{Value}).toJson(QJsonDocument::Compact);
  return ArrayText.mid(1, ArrayText.size() - 2).toStdString();
}

} // namespace

SingleRunRunner::SingleRunRunner(SingleRunService &Owner,
                                 SingleRunOptions Options,
                                 CallerRequest Request,
                                 HttpExchangePtr Exchange,
                                 std::function<void()> OnFinished)
    : m_Owner(Owner), m_Services(Owner.m_Services),
      m_Request(std::move(Request)), m_Exchange(std::move(Exchange)),
      m_OnFinished(std::move(OnFinished)), m_Worker(m_Exchange->worker()),
      m_Deadline(Options.m_Deadline), m_Attempt(std::move(Options)) {
  m_Timer.setSingleShot(true);
  connect(&m_Timer, &QTimer::timeout, this,
          [this] { apply(m_Attempt.onTimer(Clock::now())); });
}

void SingleRunRunner::start() {
  const QPointer<SingleRunRunner> Self(this);
  m_Exchange->onCallerDisconnect([Self] {
    if (!Self)
      return;
    Self->notifyFinished();
    Self->apply(Self->m_Attempt.onCallerDisconnect(Clock::now()));
  });
  apply(m_Attempt.start(Clock::now()));
}

void SingleRunRunner::apply(const SingleRunActions &Actions) {
  for (const SingleRunAction &Action : Actions)
    std::visit([this](const auto &Each) { perform(Each); }, Action);
  if (const auto At = m_Attempt.nextTimer()) {
    const Duration Timeout = std::max(*At - Clock::now(), Duration(0));
    m_Timer.start(std::chrono::ceil<milliseconds>(Timeout));
  } else {
    m_Timer.stop();
  }
  finishIfEnded();
}

ObjectStore::ResultHandler SingleRunRunner::recordHandler() {
  const QPointer<SingleRunRunner> Self(this);
  SingleRunService &Owner = m_Owner;
  const std::size_t Worker = m_Worker;
  return [Self, &Owner, Worker](ObjectResult Result) {
    if (!Result.m_Error)
      Owner.updateKnownRevision(StoreRevision(Result.m_Version));
    Owner.m_Services.m_Workers.post(Worker, [Self, Result] {
      if (Self)
        Self->apply(
            Self->m_Attempt.onRecordReply(toRecordReply(Result), Clock::now()));
    });
  };
}

void SingleRunRunner::put(std::string Path, const SingleRunRecord &Record,
                          WriteCondition Condition) {
  m_Owner.m_PostToStore([Store = &m_Owner.m_Store, Path = std::move(Path),
                         Body = encodeSingleRunRecord(Record), Condition,
                         Handler = recordHandler()] {
    Store->put(Path, Body, Condition, Handler);
  });
}

void SingleRunRunner::perform(const CreateRecord &Action) {
  put(Action.m_Path, Action.m_Record, WriteCondition::ifAbsent());
}

void SingleRunRunner::perform(const UpdateRecord &Action) {
  put(Action.m_Path, Action.m_Record,
      WriteCondition::ifVersion(Action.m_Expected.value()));
}

void SingleRunRunner::perform(const ReadRecord &Action) {
  m_Owner.m_PostToStore(
      [Store = &m_Owner.m_Store, Path = Action.m_Path,
       Handler = recordHandler()] { Store->get(Path, Handler); });
}

void SingleRunRunner::perform(const SendOnce &Action) { sendTo(Action, {}); }

void SingleRunRunner::sendTo(const SendOnce &Action, ReplicaMask Tried) {
  const TimePoint Now = Clock::now();
  const auto Snapshot = m_Services.m_Routing.snapshot(m_Request.m_Service);
  std::optional<std::size_t> Replica;
  const ShardInfo *Shard = nullptr;
  if (Snapshot && !Snapshot->m_Shards.empty() && Now < Action.m_SendBy) {
    Shard = &Snapshot->shardOfRecord(m_Request.m_Record);
    Replica = m_Services.m_WorkerStates.at(m_Worker).chooser().choose(
        *Shard, Tried, CallKind::First, Now);
  }
  if (!Replica) {
    const Errc Reason =
        Now < Action.m_SendBy ? Errc::NoTarget : Errc::DeadlineExceeded;
    apply(m_Attempt.onRunResult(
        {.m_Verdict = RunVerdict::NotRun, .m_Error = Reason}, Now));
    return;
  }
  Tried.set(*Replica);
  const TargetName Target = Shard->m_Replicas[*Replica];
  const CallId Call = m_Services.m_CallIds.reserve(1);
  logEvent(Event::SingleRunSent, "key={} call={} target={} token={}",
           m_Request.m_Key, Call, Target, m_Attempt.token());
  RunCall Body{
      .m_Header = {.m_Call = Call,
                   .m_Origin = m_Services.m_Origin,
                   .m_Service = m_Request.m_Service,
                   .m_Deadline = std::chrono::duration_cast<milliseconds>(
                       Action.m_Deadline - Now)},
      .m_Key = m_Request.m_Key,
      .m_Record = m_Request.m_Record,
      .m_Body = m_Request.m_Body};
  const QPointer<SingleRunRunner> Self(this);
  NodeServices &Services = m_Services;
  Services.m_Dispatcher.run(
      {.m_Call = Call,
       .m_Origin = m_Services.m_Origin,
       .m_Target = Target,
       .m_Path = std::string(target_path::Run),
       .m_Body = encodeCall(Body),
       .m_Deadline = Action.m_Deadline,
       .m_Urgent = m_Request.m_Urgent,
       .m_SingleRun = true},
      m_Worker,
      [Self, &Services, Target, Action, Tried, Call](CallResult Result) {
        Services.m_Targets.removeOutstanding(Target);
        if (Self)
          Self->onCallResult(Action, Tried, Call, Result);
      });
}

void SingleRunRunner::onCallResult(const SendOnce &Action, ReplicaMask Tried,
                                   CallId Call, const CallResult &Result) {
  if (Result.m_Verdict == RunVerdict::NotRun) {
    // No byte was sent, so another replica may be tried.
    sendTo(Action, Tried);
    return;
  }
  const TimePoint Now = Clock::now();
  if (Result.m_Error) {
    apply(m_Attempt.onRunResult(
        {.m_Verdict = Result.m_Verdict, .m_Error = Result.m_Error}, Now));
    return;
  }
  const auto Reply = decodeReply(
      RunCall{.m_Header = {.m_Call = Call}, .m_Key = m_Request.m_Key},
      Result.m_Status, Result.m_Body);
  if (Reply.m_Error)
    apply(m_Attempt.onRunResult(
        {.m_Verdict = RunVerdict::MayHaveRun, .m_Error = Reply.m_Error}, Now));
  else
    apply(m_Attempt.onRunResult({.m_Verdict = RunVerdict::Ran,
                                 .m_Result = valueText(Reply.m_Value.m_Result)},
                                Now));
}

void SingleRunRunner::perform(const AskHolder &Action) {
  const auto Timeout = std::chrono::duration_cast<milliseconds>(
      std::max(m_Deadline - Clock::now(), Duration(0)));
  const QPointer<SingleRunRunner> Self(this);
  WorkerPool &Workers = m_Services.m_Workers;
  auto OnReply = [Self, &Workers, Worker = m_Worker](const HolderReply &Reply) {
    Workers.post(Worker, [Self, Reply] {
      if (Self)
        Self->onHolderReply(Reply);
    });
  };
  if (Action.m_Vm == m_Services.m_Self && Action.m_Boot == m_Services.m_Boot) {
    m_Owner.awaitOutcome(Action.m_Token, Timeout, OnReply);
    return;
  }
  const auto Holder = m_Services.m_Membership.member(Action.m_Vm);
  if (!Holder || Holder->m_Boot != Action.m_Boot) {
    OnReply({});
    return;
  }
  m_Services.m_Dispatcher.peers().awaitSingleRun(
      Holder->m_PeerAddress, Action.m_Token, Timeout,
      [OnReply](std::error_code, HolderReply Reply) { OnReply(Reply); });
}

void SingleRunRunner::onHolderReply(const HolderReply &Reply) {
  apply(m_Attempt.onHolderReply(Reply, Clock::now()));
}

void SingleRunRunner::perform(const Answer &Action) {
  logEvent(Event::SingleRunAnswered, "key={} service={}", m_Request.m_Key,
           m_Request.m_Service);
  m_Exchange->respond(
      {.m_Status = 200,
       .m_Body = encodeRunAnswer(m_Request.m_Service, m_Request.m_Key,
                                 Action.m_Result)});
  notifyFinished();
}

void SingleRunRunner::perform(const Refuse &Action) {
  const Refusal &Refused = Action.m_Refusal;
  m_Services.m_Metrics.addRefusal(m_Request.m_Service, Refused);
  logEvent(Event::RequestRefused, "request={} service={} verdict={} reason={}",
           m_Request.m_Key, m_Request.m_Service, verdictName(Refused.m_Verdict),
           Refused.m_Reason.message());
  m_Exchange->respond({.m_Status = httpStatus(Refused.m_Reason),
                       .m_Body = encodeRefusal(m_Request.m_Key, Refused)});
  notifyFinished();
}

void SingleRunRunner::notifyFinished() {
  if (auto OnFinished = std::exchange(m_OnFinished, nullptr))
    OnFinished();
}

void SingleRunRunner::finishIfEnded() {
  const bool IsOver = m_Attempt.isOver();
  if (!m_Reported && (IsOver || m_Attempt.outcome())) {
    m_Reported = true;
    m_Owner.onEnded(m_Attempt.token(), m_Attempt.outcome());
  }
  if (!IsOver || std::exchange(m_Ended, true))
    return;
  if (m_Attempt.recordedAt())
    m_Owner.onRecorded(m_Attempt.token());
  notifyFinished();
  m_Timer.stop();
  deleteLater();
}

} // namespace figturn
