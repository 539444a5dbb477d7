#include "standin/TargetStandin.h"

#include "protocol/JsonConvert.h"
#include "protocol/TargetProtocol.h"

#include <QJsonArray>
#include <QTimer>
#include <QUuid>
#include <algorithm>
#include <cstdio>
#include <fmt/format.h>
#include <unistd.h>

namespace figturn::standin {

namespace {

/** A reply that is held for a swap is sent to its own caller if no second reply
 *  follows within this time. */
constexpr milliseconds SwapTimeout{50};

BootId newBootId() {
  return BootId(
      QUuid::createUuid().toString(QUuid::Id128).left(12).toStdString());
}

std::map<std::uint32_t, RecordSet> loadShards(const TargetOptions &Options) {
  const RecordSet All = RecordSet::load(Options.m_DataFile);
  std::map<std::uint32_t, RecordSet> Shards;
  for (const std::uint32_t Shard : Options.m_Slice.m_Shards)
    Shards.emplace(Shard, All.shard(Shard, Options.m_Slice.m_ShardCount));
  return Shards;
}

template <typename T>
QJsonObject toJsonObject(const std::map<T, std::uint32_t> &Counts) {
  QJsonObject Object;
  for (const auto &[Key, Count] : Counts)
    Object[QString::fromStdString(fmt::format("{}", Key))] = toJson(Count);
  return Object;
}

} // namespace

TargetStandin::TargetStandin(TargetOptions Options)
    : m_Options(std::move(Options)), m_Shards(loadShards(m_Options)),
      m_BootId(newBootId()),
      m_ColdStartModel({.m_ColdSlots = m_Options.m_ColdSlots,
                        .m_CallsPerLevel = m_Options.m_ColdCalls,
                        .m_WarmSlots = m_Options.m_Slots},
                       m_Options.m_BootCold),
      m_Server(m_Options.m_ConnectionLimit,
               [this](const StandinExchange &E) { handle(E); }),
      m_ControlServer(0,
                      [this](const StandinExchange &E) { handleControl(E); }) {}

bool TargetStandin::listen() {
  return m_Server.listen(m_Options.m_Port) &&
         m_ControlServer.listen(m_Options.m_ControlPort);
}

void TargetStandin::handle(const StandinExchange &Exchange) {
  const std::string &Path = Exchange.request().m_Path;
  if (Path == target_path::Search)
    handleSearch(Exchange);
  else if (Path == target_path::Lookup)
    handleLookup(Exchange);
  else if (Path == target_path::Run)
    handleRun(Exchange);
  else if (Path == target_path::Cancel)
    handleCancel(Exchange);
  else if (Path == target_path::Hello)
    Exchange.respond(reply(200, encodeReply({.m_Target = m_Options.m_Target,
                                             .m_BootId = m_BootId})));
  else if (Path == target_path::Health)
    Exchange.respond(reply(200, healthBody()));
  else
    Exchange.respond(reply(404, "{}"));
}

void TargetStandin::handleSearch(const StandinExchange &Exchange) {
  const auto Search = decodeSearchCall(Exchange.request().m_Body);
  if (!Search)
    return Exchange.respond(reply(400, "{}"));
  const CallId Id = Search->m_Header.m_Call;
  if (!holds(Exchange, Id, Search->m_Version, Search->m_Shard))
    return;
  admit(std::make_shared<Call>(Call{
      .m_Exchange = Exchange,
      .m_Kind = CallKind::Search,
      .m_Header = Search->m_Header,
      .m_Priority = Search->m_Priority,
      .m_Execute =
          [this, Id, Search] {
            const RecordSet &Records = m_Shards.at(Search->m_Shard.value());
            return encodeReply(
                Id, SearchReply{.m_Version = Search->m_Version,
                                .m_Shard = Search->m_Shard,
                                .m_Documents = Records.size(),
                                .m_Hits = Records.search(Search->m_Query)});
          },
      .m_CrashMarker = Search->m_Query.m_Text}));
}

void TargetStandin::handleLookup(const StandinExchange &Exchange) {
  const auto Lookup = decodeLookupCall(Exchange.request().m_Body);
  if (!Lookup)
    return Exchange.respond(reply(400, "{}"));
  const CallId Id = Lookup->m_Header.m_Call;
  if (!holds(Exchange, Id, Lookup->m_Version, Lookup->m_Shard))
    return;
  admit(std::make_shared<Call>(Call{
      .m_Exchange = Exchange,
      .m_Kind = CallKind::Lookup,
      .m_Header = Lookup->m_Header,
      .m_Priority = Lookup->m_Priority,
      .m_Execute =
          [this, Id, Lookup] {
            const StandinRecord *Found =
                m_Shards.at(Lookup->m_Shard.value()).find(Lookup->m_Record);
            return encodeReply(Id,
                               LookupReply{.m_Version = Lookup->m_Version,
                                           .m_Shard = Lookup->m_Shard,
                                           .m_Found = Found != nullptr,
                                           .m_Record = Found ? Found->m_Fields
                                                             : QJsonObject{}});
          },
      .m_CrashMarker = Lookup->m_Record}));
}

void TargetStandin::handleRun(const StandinExchange &Exchange) {
  const auto Run = decodeRunCall(Exchange.request().m_Body);
  if (!Run)
    return Exchange.respond(reply(400, "{}"));
  const CallId Id = Run->m_Header.m_Call;
  admit(std::make_shared<Call>(
      Call{.m_Exchange = Exchange,
           .m_Kind = CallKind::Run,
           .m_Header = Run->m_Header,
           .m_Execute =
               [this, Id, Run] {
                 const std::uint32_t Runs = m_RunsByKey[Run->m_Key.value()];
                 const QJsonObject Result{
                     {"receipt", toQt(fmt::format("{}-{}", m_BootId, Id))},
                     {"record", toQt(Run->m_Record)},
                     {"runs", toJson(Runs)}};
                 return encodeReply(
                     Id, RunReply{.m_Key = Run->m_Key, .m_Result = Result});
               },
           .m_CrashMarker = Run->m_Record}));
}

bool TargetStandin::holds(const StandinExchange &Exchange, CallId Id,
                          IndexVersion Version, ShardId Shard) {
  const bool HasVersion = m_Options.m_Versions.contains(Version.value());
  const bool HasShard = m_Shards.contains(Shard.value());
  if (HasVersion && HasShard)
    return true;
  ++m_CallsReceived;
  if (HasVersion) {
    ++m_ShardsRefused;
    const FailureReply Failure = encodeFailure(Id, Errc::TargetFailed);
    Exchange.respond(reply(Failure.m_Status, Failure.m_Body));
    return false;
  }
  ++m_VersionsRefused;
  const IndexVersion Held(
      m_Options.m_Versions.empty() ? 0 : *m_Options.m_Versions.rbegin());
  const FailureReply Failure = encodeFailure(Id, Errc::VersionNotHeld, Held);
  Exchange.respond(reply(Failure.m_Status, Failure.m_Body));
  return false;
}

void TargetStandin::admit(CallPtr Admitted) {
  ++m_CallsReceived;
  const TimePoint Now = Clock::now();
  Admitted->m_Deadline = Now + Admitted->m_Header.m_Deadline;
  m_Calls.push_back(Admitted);
  const auto InFlight = static_cast<std::uint32_t>(m_Calls.size());
  m_MaxInFlight = std::max(m_MaxInFlight, InFlight);
  const bool IsWithinLimit = m_ColdStartModel.admit(InFlight);
  if (!IsWithinLimit && m_Options.m_CrashOnOverload)
    crash("overload");
  if (m_Faults.m_CloseBeforeReply.consume()) {
    Admitted->m_Exchange.close();
    return finish(Admitted);
  }
  const bool IsShed = !IsWithinLimit || m_Faults.m_IsDraining ||
                      InFlight > m_Options.m_Slots + m_Options.m_QueueLimit ||
                      m_Faults.m_Shed.consume();
  if (IsShed) {
    ++m_CallsShed;
    return fail(Admitted, Errc::TargetShed);
  }
  QTimer::singleShot(Admitted->m_Header.m_Deadline, &m_Context,
                     [this, Admitted] { expire(Admitted); });
  startQueued(Now);
}

void TargetStandin::startQueued(TimePoint Now) {
  auto Running = std::count_if(m_Calls.begin(), m_Calls.end(),
                               [](const CallPtr &C) { return C->m_IsRunning; });
  while (Running < static_cast<std::ptrdiff_t>(m_Options.m_Slots)) {
    CallPtr Next = selectNext();
    if (!Next)
      return;
    start(std::move(Next), Now);
    ++Running;
  }
}

TargetStandin::CallPtr TargetStandin::selectNext() {
  CallPtr Next;
  for (const CallPtr &Waiting : m_Calls) {
    if (Waiting->m_IsRunning)
      continue;
    const bool IsAhead = !Next || (Waiting->m_Priority == Priority::Urgent &&
                                   Next->m_Priority == Priority::Ordinary);
    if (IsAhead)
      Next = Waiting;
  }
  return Next;
}

void TargetStandin::start(CallPtr Started, TimePoint Now) {
  Started->m_IsRunning = true;
  if (Now >= Started->m_Deadline)
    return expire(Started);
  crashIfMarked(*Started);
  if (Started->m_Kind == CallKind::Run) {
    const auto Run = decodeRunCall(Started->m_Exchange.request().m_Body);
    ++m_RunsByKey[Run->m_Key.value()];
    fmt::print("run target={} key={}\n", m_Options.m_Target, Run->m_Key);
    std::fflush(stdout);
  }
  QTimer::singleShot(nextServiceTime(), Qt::PreciseTimer, &m_Context,
                     [this, Started] { complete(Started); });
}

/** Fails a call at its deadline, except a running single-run call. */
void TargetStandin::expire(const CallPtr &Expired) {
  const bool RunsToCompletion =
      Expired->m_Kind == CallKind::Run && Expired->m_IsRunning;
  if (Expired->m_IsDone || RunsToCompletion)
    return;
  ++m_CallsExpired;
  fail(Expired, Errc::DeadlineExceeded);
}

void TargetStandin::complete(const CallPtr &Completed) {
  if (Completed->m_IsDone)
    return;
  ++m_CallsServed;
  m_ColdStartModel.onCallServed();
  writeReply(Completed, reply(200, Completed->m_Execute()));
  finish(Completed);
}

void TargetStandin::finish(const CallPtr &Finished) {
  Finished->m_IsDone = true;
  m_Calls.remove(Finished);
  startQueued(Clock::now());
}

void TargetStandin::fail(const CallPtr &Failed, Errc Reason) {
  const FailureReply Failure = encodeFailure(Failed->m_Header.m_Call, Reason);
  Failed->m_Exchange.respond(reply(Failure.m_Status, Failure.m_Body));
  finish(Failed);
}

void TargetStandin::writeReply(const CallPtr &Answered,
                               const StandinReply &Reply) {
  const StandinExchange &Exchange = Answered->m_Exchange;
  if (m_Faults.m_CloseAfterRun.consume())
    Exchange.close();
  else if (m_Faults.m_Truncate.consume())
    Exchange.respondTruncated(Reply);
  else if (m_Faults.m_Swap.consume())
    swapReply(Exchange, Reply);
  else
    Exchange.respond(Reply);
}

void TargetStandin::swapReply(const StandinExchange &Exchange,
                              const StandinReply &Reply) {
  if (m_ReplyToSwap) {
    Exchange.respond(m_ReplyToSwap->second);
    m_ReplyToSwap->first.respond(Reply);
    m_ReplyToSwap.reset();
    return;
  }
  m_ReplyToSwap.emplace(Exchange, Reply);
  QTimer::singleShot(SwapTimeout, &m_Context, [this] {
    if (m_ReplyToSwap)
      m_ReplyToSwap->first.respond(m_ReplyToSwap->second);
    m_ReplyToSwap.reset();
  });
}

void TargetStandin::handleCancel(const StandinExchange &Exchange) {
  const auto Cancel = decodeCancelCall(Exchange.request().m_Body);
  if (!Cancel)
    return Exchange.respond(reply(400, "{}"));
  const auto Found =
      std::find_if(m_Calls.begin(), m_Calls.end(), [&](const CallPtr &C) {
        return C->m_Header.m_Call == Cancel->m_Call &&
               C->m_Header.m_Origin == Cancel->m_Origin;
      });
  const bool IsCancellable =
      Found != m_Calls.end() &&
      !((*Found)->m_Kind == CallKind::Run && (*Found)->m_IsRunning);
  if (IsCancellable) {
    ++m_CallsCancelled;
    const CallPtr Cancelled = *Found;
    fail(Cancelled, Errc::Cancelled);
  }
  Exchange.respond(reply(200, "{}"));
}

void TargetStandin::crashIfMarked(const Call &Marked) const {
  const bool IsMarked =
      !Marked.m_CrashMarker.empty() &&
      (Marked.m_Kind == CallKind::Search
           ? !m_Faults.m_CrashOnText.empty() &&
                 Marked.m_CrashMarker.find(m_Faults.m_CrashOnText) !=
                     std::string::npos
           : Marked.m_CrashMarker == m_Faults.m_CrashOnRecord);
  if (IsMarked)
    crash("marker");
}

void TargetStandin::crash(const std::string &Cause) const {
  fmt::print("crash target={} why={}\n", m_Options.m_Target, Cause);
  std::fflush(stdout);
  _exit(CrashStatus);
}

milliseconds TargetStandin::nextServiceTime() {
  const bool IsDelayed = ++m_CallsStarted % m_Faults.m_DelayEvery == 0;
  return m_Options.m_ServiceTime +
         (IsDelayed ? m_Faults.m_Delay : milliseconds(0));
}

StandinReply TargetStandin::reply(unsigned Status, std::string Body) const {
  return {.m_Status = Status,
          .m_Body = std::move(Body),
          .m_Headers = {{std::string(BootIdHeader), m_BootId.value()}}};
}

std::string TargetStandin::healthBody() const {
  if (!m_Faults.m_ReportedHealthState.empty())
    return toCompactJson(
        {{"state", toQt(m_Faults.m_ReportedHealthState)}, {"load", 0.0}});
  HealthReply Health{.m_Load = static_cast<double>(m_Calls.size()) /
                               static_cast<double>(m_Options.m_Slots)};
  if (m_Faults.m_IsDraining)
    Health.m_State = HealthReply::State::Draining;
  else if (m_ColdStartModel.isCold())
    Health.m_State = HealthReply::State::Warming;
  return encodeReply(Health);
}

void TargetStandin::handleControl(const StandinExchange &Exchange) {
  const StandinRequest &Request = Exchange.request();
  if (Request.m_Method == "POST" && Request.m_Path == "/control")
    applyControl(parseJsonObject(Request.m_Body));
  Exchange.respond(reply(200, toCompactJson(countersJson())));
}

void TargetStandin::applyControl(const QJsonObject &Control) {
  m_Faults.apply(Control);
  if (Control["turnCold"].toBool())
    resetToCold(true);
  else if (Control["turnCold"] == "in-place")
    resetToCold(false);
  if (Control["hangOldConnections"].toBool())
    m_Server.silenceConnections();
  if (!Control.contains("holdVersion"))
    return;
  m_Options.m_Versions.clear();
  for (const QJsonValueConstRef &Version : Control["holdVersion"].toArray())
    m_Options.m_Versions.insert(
        static_cast<std::uint64_t>(Version.toInteger()));
}

void TargetStandin::resetToCold(bool SimulatesRestart) {
  m_ColdStartModel.resetToCold();
  if (!SimulatesRestart)
    return;
  m_BootId = newBootId();
  for (const CallPtr &Dropped : m_Calls)
    Dropped->m_IsDone = true;
  m_Calls.clear();
  m_Server.closeConnections();
}

QJsonObject TargetStandin::countersJson() const {
  const ConnectionCounters &Connections = m_Server.counters();
  return {{"target", toQt(m_Options.m_Target.value())},
          {"bootId", toQt(m_BootId.value())},
          {"calls", toJson(m_CallsReceived)},
          {"served", toJson(m_CallsServed)},
          {"cancelled", toJson(m_CallsCancelled)},
          {"shed", toJson(m_CallsShed)},
          {"expired", toJson(m_CallsExpired)},
          {"versionsRefused", toJson(m_VersionsRefused)},
          {"shardsRefused", toJson(m_ShardsRefused)},
          {"inFlight", toJson(m_Calls.size())},
          {"mostInFlight", toJson(m_MaxInFlight)},
          {"isCold", m_ColdStartModel.isCold()},
          {"bears", toJson(m_ColdStartModel.concurrencyLimit())},
          {"overColdLimit", toJson(m_ColdStartModel.callsOverLimit())},
          {"mostInFlightByLevel",
           toJsonObject(m_ColdStartModel.maxInFlightByLevel())},
          {"runs", toJsonObject(m_RunsByKey)},
          {"connections",
           QJsonObject{{"open", toJson(Connections.m_Open)},
                       {"mostOpen", toJson(Connections.m_MaxOpen)},
                       {"accepted", toJson(Connections.m_Accepted)},
                       {"violations", toJson(Connections.m_Violations)}}}};
}

} // namespace figturn::standin
