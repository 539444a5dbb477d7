#include "node/QueryRunner.h"

#include "protocol/JsonConvert.h"
#include "protocol/TargetProtocol.h"
#include "state/Event.h"

#include <QJsonDocument>
#include <QPointer>
#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace figturn {

namespace {

constexpr milliseconds CanaryPollInterval{20};
constexpr milliseconds RestartPollInterval{20};
constexpr int MaxRestartPolls = 5;
constexpr unsigned StatusOk = 200;

CallAnswered toCallAnswered(const SearchReply &Reply) {
  CallAnswered Answered{.m_Version = Reply.m_Version,
                        .m_Shard = Reply.m_Shard,
                        .m_Documents = Reply.m_Documents};
  Answered.m_Hits.reserve(Reply.m_Hits.size());
  for (const SearchHit &Found : Reply.m_Hits)
    Answered.m_Hits.push_back(
        {Found.m_Id, Found.m_Score, toCompactJson(Found.m_Fields)});
  return Answered;
}

CallAnswered toCallAnswered(const LookupReply &Reply,
                            const std::string &Record) {
  CallAnswered Answered{.m_Version = Reply.m_Version, .m_Shard = Reply.m_Shard};
  if (Reply.m_Found)
    Answered.m_Hits.push_back({Record, 0, toCompactJson(Reply.m_Record)});
  return Answered;
}

template <typename Reply, typename Convert>
QueryCallOutcome toOutcome(const TargetReply<Reply> &Decoded,
                           Convert ToAnswered) {
  if (Decoded.m_Error)
    return CallFailed{.m_Error = Decoded.m_Error};
  return ToAnswered(Decoded.m_Value);
}

Refusal quarantineRefusal() {
  return {.m_Verdict = RunVerdict::MayHaveRun,
          .m_Reason = Errc::Quarantined,
          .m_Message =
              "targets crashed while running this request; it is "
              "quarantined temporarily. Do not send it again unchanged"};
}

std::string noShardAnsweredMessage(const std::error_code &Reason) {
  return fmt::format("no shard answered: {}", Reason.message());
}

} // namespace

QueryRunner::QueryRunner(NodeServices &Services, CallerRequest Request,
                         HttpExchangePtr Exchange, TimePoint Deadline,
                         std::function<void()> OnFinished)
    : m_Services(Services), m_Request(std::move(Request)),
      m_Fingerprint(m_Request.fingerprint()), m_Exchange(std::move(Exchange)),
      m_Start(Clock::now()), m_Deadline(Deadline),
      m_OnFinished(std::move(OnFinished)), m_Worker(m_Exchange->worker()) {
  m_Timer.setSingleShot(true);
  m_Timer.setTimerType(Qt::PreciseTimer);
  connect(&m_Timer, &QTimer::timeout, this, [this] {
    if (m_Query && !m_IsFinished)
      apply(m_Query->onTimer(Clock::now()));
  });
}

void QueryRunner::start() {
  const QPointer<QueryRunner> Self(this);
  m_Exchange->onCallerDisconnect([Self] {
    if (!Self || Self->m_IsFinished)
      return;
    if (Self->m_Query)
      Self->apply(Self->m_Query->onCallerDisconnect(Clock::now()));
    Self->finishRequest();
  });
  if (!m_IsFinished)
    askCanary();
}

void QueryRunner::askCanary() {
  if (m_IsFinished)
    return;
  if (Clock::now() >= m_Deadline) {
    refuse({.m_Verdict = RunVerdict::NotRun,
            .m_Reason = Errc::DeadlineExceeded,
            .m_Message = "the deadline passed before the request was sent"});
    return;
  }
  const QPointer<QueryRunner> Self(this);
  m_Services.m_Canaries.ask(m_Fingerprint, m_Worker,
                            [Self](CanaryAnswer Answer) {
                              if (Self)
                                Self->onCanaryAnswer(Answer);
                            });
}

void QueryRunner::onCanaryAnswer(CanaryAnswer Answer) {
  m_Canary = Answer.m_Canary;
  if (m_IsFinished) {
    reportCanary(CanaryOutcome::Inconclusive, [] {});
    return;
  }
  switch (Answer.m_Verdict) {
  case CanaryVerdict::Proceed:
    beginQuery(true, true);
    return;
  case CanaryVerdict::KnownGood:
    beginQuery(false, true);
    return;
  case CanaryVerdict::Wait:
    QTimer::singleShot(CanaryPollInterval, this, [this] { askCanary(); });
    return;
  case CanaryVerdict::Quarantined:
    refuse(quarantineRefusal());
    return;
  }
}

void QueryRunner::beginQuery(bool IsCanary, bool MayRestart) {
  const ConfigurationPtr Config = m_Services.m_Routing.configuration();
  m_Snapshot = m_Services.m_Routing.snapshot(m_Request.m_Service);
  const auto Service = Config->m_Services.find(m_Request.m_Service);
  if (Service == Config->m_Services.end() || !m_Snapshot ||
      m_Snapshot->m_Shards.empty()) {
    refuse({.m_Verdict = RunVerdict::NotRun,
            .m_Reason = Errc::NotReady,
            .m_Message = "no index of this service has been loaded yet"});
    return;
  }
  WorkerState &State = m_Services.m_WorkerStates.at(m_Worker);
  m_ServiceState = State.service(m_Request.m_Service, Service->second);
  std::optional<ShardId> OnlyShard;
  if (m_Request.m_Kind == RequestKind::Lookup)
    OnlyShard = m_Snapshot->shardOfRecord(m_Request.m_Record).m_Shard;
  // The request is decoded, and copied for each call and for its connection.
  const std::size_t CopyCount =
      1 + 2 * (OnlyShard ? 1 : m_Snapshot->m_Shards.size());
  if (MayRestart && !m_Exchange->reserveMemory(
                        CopyCount * messageBytes(m_Exchange->request()))) {
    refuse({.m_Verdict = RunVerdict::NotRun,
            .m_Reason = Errc::Overloaded,
            .m_Message = "the VM has no memory left for the request"});
    return;
  }
  m_Query = std::make_unique<ScatterGather>(
      ScatterGatherOptions{.m_Snapshot = m_Snapshot,
                           .m_Deadline = m_Deadline,
                           .m_Limit = m_Request.m_Limit,
                           .m_OnlyShard = OnlyShard,
                           .m_Canary = IsCanary,
                           .m_MayRestart = MayRestart},
      ScatterGatherStrategies{.m_Chooser = State.chooser(),
                              .m_Hedge = m_ServiceState->hedge(),
                              .m_Budget = m_ServiceState->budget(),
                              .m_Ids = m_Services.m_CallIds});
  apply(m_Query->start(Clock::now()));
}

void QueryRunner::apply(const QueryActions &Actions) {
  for (const QueryAction &Action : Actions) {
    if (const auto *Send = std::get_if<SendCall>(&Action))
      send(*Send);
    else if (const auto *Cancel = std::get_if<CancelCall>(&Action))
      m_Services.m_Dispatcher.cancel(m_Calls.at(Cancel->m_Call).m_Target,
                                     Cancel->m_Call);
    else if (const auto *Done = std::get_if<Finish>(&Action))
      finish(*Done);
    else if (const auto *Restart = std::get_if<RestartQuery>(&Action))
      restart(Restart->m_NewerThan, MaxRestartPolls);
    else
      onCrash();
  }
  scheduleTimer();
}

void QueryRunner::scheduleTimer() {
  const auto At =
      m_Query && !m_IsFinished ? m_Query->nextTimer() : std::nullopt;
  if (!At) {
    m_Timer.stop();
    return;
  }
  const Duration Wait = std::max(*At - Clock::now(), Duration(0));
  m_Timer.start(std::chrono::ceil<milliseconds>(Wait));
}

CallHeader QueryRunner::makeCallHeader(CallId Call, TimePoint Now) const {
  return {.m_Call = Call,
          .m_Origin = m_Services.m_Origin,
          .m_Service = m_Request.m_Service,
          .m_Deadline = std::chrono::duration_cast<milliseconds>(
              std::max(m_Deadline - Now, Duration(0)))};
}

std::string QueryRunner::encodeTargetCall(const SendCall &Call,
                                          TimePoint Now) const {
  const Priority RequestPriority =
      m_Request.m_Urgent ? Priority::Urgent : Priority::Ordinary;
  if (m_Request.m_Kind == RequestKind::Lookup)
    return encodeCall(LookupCall{.m_Header = makeCallHeader(Call.m_Call, Now),
                                 .m_Version = Call.m_Version,
                                 .m_Shard = Call.m_Shard,
                                 .m_Record = m_Request.m_Record,
                                 .m_Priority = RequestPriority});
  return encodeCall(SearchCall{
      .m_Header = makeCallHeader(Call.m_Call, Now),
      .m_Version = Call.m_Version,
      .m_Shard = Call.m_Shard,
      .m_Query = {.m_Text = m_Request.m_Text, .m_Limit = m_Request.m_Limit},
      .m_Priority = RequestPriority});
}

void QueryRunner::send(const SendCall &Call) {
  m_Calls.emplace(Call.m_Call, SentCall{.m_Shard = Call.m_Shard,
                                        .m_Target = Call.m_Target,
                                        .m_Version = Call.m_Version,
                                        .m_Kind = Call.m_Kind});
  logEvent(Event::CallRouted, "request={} call={} shard={} target={} kind={}",
           m_Request.m_Key, Call.m_Call, Call.m_Shard, Call.m_Target,
           callKindName(Call.m_Kind));
  const bool IsLookup = m_Request.m_Kind == RequestKind::Lookup;
  const QPointer<QueryRunner> Self(this);
  NodeServices &Services = m_Services;
  const TargetName Target = Call.m_Target;
  const CallId Id = Call.m_Call;
  m_Services.m_Dispatcher.run(
      {.m_Call = Id,
       .m_Origin = m_Services.m_Origin,
       .m_Target = Target,
       .m_Path =
           std::string(IsLookup ? target_path::Lookup : target_path::Search),
       .m_Body = encodeTargetCall(Call, Clock::now()),
       .m_Deadline = m_Deadline,
       .m_Urgent = m_Request.m_Urgent},
      m_Worker, [Self, &Services, Target, Id](CallResult Result) {
        Services.m_Targets.removeOutstanding(Target);
        if (Self)
          Self->onResult(Id, std::move(Result));
      });
}

QueryCallOutcome QueryRunner::decodeResult(CallId Call, const SentCall &Sent,
                                           const CallResult &Result) const {
  if (Result.m_Error)
    return CallFailed{.m_Error = Result.m_Error,
                      .m_Verdict = Result.m_Verdict,
                      .m_Crashed = Result.m_Crashed};
  const CallHeader Header = makeCallHeader(Call, m_Start);
  if (m_Request.m_Kind == RequestKind::Lookup)
    return toOutcome(decodeReply(LookupCall{.m_Header = Header,
                                            .m_Version = Sent.m_Version,
                                            .m_Shard = Sent.m_Shard,
                                            .m_Record = m_Request.m_Record},
                                 Result.m_Status, Result.m_Body),
                     [&](const LookupReply &R) {
                       return toCallAnswered(R, m_Request.m_Record);
                     });
  return toOutcome(
      decodeReply(SearchCall{.m_Header = Header,
                             .m_Version = Sent.m_Version,
                             .m_Shard = Sent.m_Shard,
                             .m_Query = {.m_Text = m_Request.m_Text,
                                         .m_Limit = m_Request.m_Limit}},
                  Result.m_Status, Result.m_Body),
      [](const SearchReply &R) { return toCallAnswered(R); });
}

void QueryRunner::onResult(CallId Call, CallResult Result) {
  if (m_IsFinished || !m_Query)
    return;
  const SentCall &Sent = m_Calls.at(Call);
  QueryCallOutcome Outcome = decodeResult(Call, Sent, Result);
  const TimePoint Now = Clock::now();
  if (std::holds_alternative<CallAnswered>(Outcome))
    m_ServiceState->latency().record(Result.m_Latency, Now);
  reportIfAnswered(Outcome);
  apply(m_Query->onReply(Call, std::move(Outcome), Now));
}

void QueryRunner::reportIfAnswered(const QueryCallOutcome &Outcome) {
  if (std::holds_alternative<CallAnswered>(Outcome))
    reportCanary(CanaryOutcome::Ok, [] {});
}

void QueryRunner::reportCanary(CanaryOutcome Outcome,
                               std::function<void()> OnDone) {
  const std::uint64_t Canary = std::exchange(m_Canary, 0);
  if (Canary == 0 && Outcome != CanaryOutcome::Crashed)
    return;
  m_Services.m_Canaries.report(m_Fingerprint, Canary, Outcome, m_Worker,
                               std::move(OnDone));
}

void QueryRunner::onCrash() {
  const QPointer<QueryRunner> Self(this);
  reportCanary(CanaryOutcome::Crashed, [Self] {
    if (Self)
      Self->askCanaryAfterCrash();
  });
}

void QueryRunner::askCanaryAfterCrash() {
  if (m_IsFinished)
    return;
  const QPointer<QueryRunner> Self(this);
  m_Services.m_Canaries.ask(m_Fingerprint, m_Worker,
                            [Self](CanaryAnswer Answer) {
                              if (Self)
                                Self->onCanaryAnswerAfterCrash(Answer);
                            });
}

void QueryRunner::onCanaryAnswerAfterCrash(CanaryAnswer Answer) {
  m_Canary = Answer.m_Canary;
  if (m_IsFinished) {
    reportCanary(CanaryOutcome::Inconclusive, [] {});
    return;
  }
  switch (Answer.m_Verdict) {
  case CanaryVerdict::Quarantined:
    apply(m_Query->onCanaryDenied(quarantineRefusal(), Clock::now()));
    return;
  case CanaryVerdict::Wait:
    QTimer::singleShot(CanaryPollInterval, this,
                       [this] { askCanaryAfterCrash(); });
    return;
  case CanaryVerdict::Proceed:
  case CanaryVerdict::KnownGood:
    apply(m_Query->onCanaryPermission(Clock::now()));
    return;
  }
}

void QueryRunner::restart(IndexVersion NewerThan, int RemainingPolls) {
  if (m_IsFinished)
    return;
  const auto Latest = m_Services.m_Routing.snapshot(m_Request.m_Service);
  if (Latest && Latest->m_Version > m_Snapshot->m_Version) {
    apply(m_Query->supersede(Clock::now()));
    beginQuery(false, false);
    return;
  }
  if (RemainingPolls == 0) {
    apply(m_Query->declineRestart(Clock::now()));
    return;
  }
  m_Services.m_RefreshIndex(m_Request.m_Service);
  QTimer::singleShot(RestartPollInterval, this,
                     [this, NewerThan, RemainingPolls] {
                       if (m_Query && !m_Query->isOver())
                         restart(NewerThan, RemainingPolls - 1);
                     });
}

void QueryRunner::finish(const Finish &Done) {
  const QueryCounts &Counts = m_Query->counts();
  m_Services.m_Metrics.addCalls(m_Request.m_Service, Counts);
  if (const auto *Refused = std::get_if<Refusal>(&Done.m_Outcome))
    refuse(*Refused);
  else
    answer(std::get<QueryAnswer>(Done.m_Outcome));
}

void QueryRunner::answer(const QueryAnswer &Answer) {
  if (Answer.m_Coverage.m_ShardsAnswered == 0) {
    const Errc Reason =
        Answer.m_IncompleteReason.category() == errcCategory()
            ? static_cast<Errc>(Answer.m_IncompleteReason.value())
            : Errc::NoTarget;
    refuse({.m_Verdict = Answer.m_Verdict,
            .m_Reason = Reason == Errc::Ok ? Errc::NoTarget : Reason,
            .m_Message = noShardAnsweredMessage(Answer.m_IncompleteReason)});
    return;
  }
  const Coverage &Covered = Answer.m_Coverage;
  m_Services.m_Metrics.addAnswer(m_Request.m_Service, Clock::now() - m_Start,
                                 Covered);
  logEvent(Event::QueryAnswered,
           "request={} service={} index={} shards={}/{} documents={}/{}",
           m_Request.m_Key, m_Request.m_Service, Answer.m_Version,
           Covered.m_ShardsAnswered, Covered.m_ShardsTotal,
           Covered.m_DocumentsAnswered, Covered.m_DocumentsTotal);
  const bool IsLookup = m_Request.m_Kind == RequestKind::Lookup;
  respond(StatusOk, IsLookup ? encodeLookupAnswer(m_Request, Answer)
                             : encodeSearchAnswer(m_Request, Answer));
}

void QueryRunner::refuse(const Refusal &Refused) {
  m_Services.m_Metrics.addRefusal(m_Request.m_Service, Refused);
  logEvent(Event::RequestRefused, "request={} service={} verdict={} reason={}",
           m_Request.m_Key, m_Request.m_Service, verdictName(Refused.m_Verdict),
           Refused.m_Reason.message());
  respond(httpStatus(Refused.m_Reason),
          encodeRefusal(m_Request.m_Key, Refused));
}

void QueryRunner::respond(unsigned Status, std::string Body) {
  m_Exchange->respond({.m_Status = Status, .m_Body = std::move(Body)});
  finishRequest();
}

void QueryRunner::finishRequest() {
  if (m_IsFinished)
    return;
  m_IsFinished = true;
  m_Timer.stop();
  reportCanary(CanaryOutcome::Inconclusive, [] {});
  m_OnFinished();
  deleteLater();
}

} // namespace figturn
