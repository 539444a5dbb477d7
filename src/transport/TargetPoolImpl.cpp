#include "transport/TargetPoolImpl.h"

#include "state/Assert.h"
#include "state/Errc.h"
#include "state/Event.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace figturn {

namespace {

constexpr const char *CancelPath = "/v1/cancel";

/** Delay after a failed connection attempt while other connections exist. */
constexpr milliseconds ReopenDelay{100};

/** Default of m_UnacknowledgedTimeout, in silence thresholds. */
constexpr int UserTimeoutFactor = 4;

/** Idle connections are closed this much before the target's own timeout, so
 *  that no call is written while the target closes. */
constexpr milliseconds KeepAliveMargin{400};

/** Reads "timeout=SECONDS" of a Keep-Alive header. */
std::optional<milliseconds> keepAliveTimeout(const HttpReply &Reply) {
  const std::string Header = Reply.header("Keep-Alive");
  const std::size_t Offset = Header.find("timeout=");
  if (Offset == std::string::npos)
    return std::nullopt;
  const seconds Timeout(std::strtol(Header.c_str() + Offset + 8, nullptr, 10));
  if (Timeout.count() <= 0)
    return std::nullopt;
  return std::max<milliseconds>(Timeout - KeepAliveMargin, KeepAliveMargin);
}

milliseconds unacknowledgedTimeout(const TargetPoolOptions &Options) {
  if (Options.m_UnacknowledgedTimeout.count() > 0)
    return Options.m_UnacknowledgedTimeout;
  return UserTimeoutFactor * Options.m_SilenceThreshold;
}

} // namespace

TargetPool::Impl::Impl(TargetPoolOptions Options,
                       ObservationHandler OnObservation)
    : m_Options(std::move(Options)), m_OnObservation(std::move(OnObservation)),
      m_Endpoint{
          .m_Host = QHostAddress(QString::fromStdString(m_Options.m_Host)),
          .m_Port = m_Options.m_Port,
          .m_HostHeader =
              m_Options.m_Host + ":" + std::to_string(m_Options.m_Port),
          .m_ReplyLimit = m_Options.m_ReplyLimit,
          .m_ReplyMemory = m_Options.m_ReplyMemory
                               ? m_Options.m_ReplyMemory
                               : std::make_shared<ReplyMemory>(),
          .m_Timeouts = {.m_UserTimeout = unacknowledgedTimeout(m_Options),
                         .m_KeepAliveInterval = m_Options.m_KeepAliveInterval},
          .m_SendsHello = m_Options.m_UsesFigturnProtocol,
          .m_RequestIdHeader = m_Options.m_RequestIdHeader} {
  m_Timer.setSingleShot(true);
  m_Timer.setTimerType(Qt::PreciseTimer);
  connect(&m_Timer, &QTimer::timeout, this,
          [this] { handleEvent([this] { onTimer(); }); });
}

void TargetPool::Impl::shutDown() {
  m_IsShutDown = true;
  m_Timer.stop();
  while (!m_Calls.empty()) {
    const auto &[Id, Record] = *m_Calls.begin();
    failCall(Id, Errc::Cancelled,
             Record.m_AssignedConnection ? RunVerdict::MayHaveRun
                                         : RunVerdict::NotRun);
  }
  m_WaitingCalls.clear();
  m_PendingCancellations.clear();
  m_Connections.clear();
}

void TargetPool::Impl::send(TargetCall Call, ResultHandler OnResult) {
  const CallId Id = Call.m_Call;
  if (!FIGTURN_INVARIANT(!m_Calls.contains(Id))) {
    queueReport([OnResult = std::move(OnResult), Id] {
      OnResult({.m_Call = Id,
                .m_Error = Errc::Cancelled,
                .m_Verdict = RunVerdict::NotRun});
    });
    return;
  }
  m_Calls.emplace(Id, CallRecord{.m_Call = std::move(Call),
                                 .m_OnResult = std::move(OnResult),
                                 .m_SentAt = Clock::now()});
  m_WaitingCalls.push_back(Id);
  processQueues();
}

void TargetPool::Impl::cancel(CallId Id) {
  if (m_Calls.contains(Id))
    endCallEarly(Id, Errc::Cancelled);
  processQueues();
}

bool TargetPool::Impl::withdraw(CallId Id) {
  const auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end() || Found->second.m_AssignedConnection)
    return false;
  endCallEarly(Id, Errc::Cancelled);
  armTimer();
  return true;
}

void TargetPool::Impl::setMaxConnections(std::size_t Limit) {
  m_Options.m_MaxConnections = Limit;
  closeSurplusConnections();
}

void TargetPool::Impl::closeSurplusConnections() {
  while (m_Connections.size() > m_Options.m_MaxConnections) {
    const auto Idle = std::find_if(
        m_Connections.begin(), m_Connections.end(), [](const auto &Each) {
          return Each->m_State == ConnectionState::Idle;
        });
    if (Idle == m_Connections.end())
      return;
    removeConnection(**Idle);
  }
}

void TargetPool::Impl::warmUp(std::size_t Count) {
  while (m_Connections.size() < Count && openConnection())
    ;
  armTimer();
}

// Calls and connections.

void TargetPool::Impl::processQueues() {
  sendPendingCancellations();
  startWaitingCalls();
  openConnectionsForWaiting();
  reportRetired();
  armTimer();
}

void TargetPool::Impl::sendPendingCancellations() {
  while (!m_PendingCancellations.empty()) {
    const PendingCancellation &Next = m_PendingCancellations.front();
    if (const PooledConnection *Abandoned = findAbandoned(Next)) {
      if (PooledConnection *Idle = findUsableIdle({})) {
        setState(*Idle, ConnectionState::Cancel);
        Idle->m_Connection->post(CancelPath, Next.m_Body);
      } else if (countInState(ConnectionState::Opening) > 0 ||
                 m_Connections.size() < m_Options.m_MaxConnections) {
        return; // openConnectionsForWaiting() opens one if needed.
      } else {
        removeConnection(*Abandoned);
      }
    }
    m_PendingCancellations.pop_front();
  }
}

auto TargetPool::Impl::findAbandoned(const PendingCancellation &Cancel) const
    -> const PooledConnection * {
  for (const auto &Each : m_Connections)
    if (Each->m_Connection.get() == Cancel.m_AbandonedConnection &&
        Each->m_State == ConnectionState::Abandoned &&
        Each->m_StateSince == Cancel.m_StateSince)
      return Each.get();
  return nullptr;
}

void TargetPool::Impl::startWaitingCalls() {
  const TimePoint Now = Clock::now();
  std::deque<CallId> StillWaiting;
  for (const CallId Id : std::exchange(m_WaitingCalls, {})) {
    CallRecord &Record = m_Calls.at(Id);
    const BootId &Boot = Record.m_Call.m_RequiredBootId;
    if (Record.m_Call.m_Deadline <= Now)
      failCall(Id, Errc::DeadlineExceeded, RunVerdict::NotRun);
    else if (m_WritesUntil <= Now)
      failCall(Id, Errc::TargetLeft, RunVerdict::NotRun);
    else if (PooledConnection *Idle = findUsableIdle(Boot))
      writeCall(*Idle, Record);
    else if (mayReachBoot(Boot))
      StillWaiting.push_back(Id);
    else
      failCall(Id, Errc::ConnectFailed, RunVerdict::NotRun);
  }
  m_WaitingCalls = std::move(StillWaiting);
}

bool TargetPool::Impl::mayReachBoot(const BootId &Boot) const {
  if (Boot == BootId() || !hasReadyConnection())
    return true;
  return std::any_of(m_Connections.begin(), m_Connections.end(),
                     [&](const auto &Each) {
                       return Each->m_State == ConnectionState::Opening ||
                              Each->m_Connection->bootId() == Boot;
                     });
}

auto TargetPool::Impl::findUsableIdle(const BootId &Boot)
    -> PooledConnection * {
  while (true) {
    PooledConnection *MostRecent = nullptr;
    for (const auto &Each : m_Connections) {
      if (Each->m_State != ConnectionState::Idle ||
          (Boot != BootId() && Each->m_Connection->bootId() != Boot))
        continue;
      // Prefer the most recently used, so that surplus connections reach their
      // idle timeout.
      if (!MostRecent || Each->m_StateSince > MostRecent->m_StateSince)
        MostRecent = Each.get();
    }
    if (!MostRecent || MostRecent->m_Connection->isIdleAndOpen())
      return MostRecent;
    // The target has closed it or sent bytes that belong to no call. Nothing
    // was written, so the call can use another connection.
    removeLost(*MostRecent, Errc::ConnectionClosed);
  }
}

void TargetPool::Impl::writeCall(PooledConnection &Pooled, CallRecord &Record) {
  setState(Pooled, ConnectionState::Call);
  m_Counters.m_Reused += Pooled.m_WasUsed ? 1 : 0;
  Pooled.m_WasUsed = true;
  Pooled.m_Call = Record.m_Call.m_Call;
  Record.m_AssignedConnection = &Pooled;
  Pooled.m_ReplyDeadline = Record.m_Call.m_Deadline;
  if (Record.m_Call.m_SerializeRequest)
    Pooled.m_Connection->exchange(
        Record.m_Call.m_SerializeRequest(Pooled.m_StateSince),
        Record.m_Call.m_RequestId, Record.m_Call.m_IsHead);
  else
    Pooled.m_Connection->post(Record.m_Call.m_Path, Record.m_Call.m_Body);
}

void TargetPool::Impl::openConnectionsForWaiting() {
  const TimePoint Now = Clock::now();
  const std::size_t Needed =
      m_WaitingCalls.size() + m_PendingCancellations.size();
  if (Needed == 0 || Now < m_NextOpenAt)
    return;
  while (countInState(ConnectionState::Opening) < Needed && openConnection())
    ;
  if (countInState(ConnectionState::Opening) > 0)
    return;
  // At the limit, close a connection that still awaits the reply to an
  // abandoned call, so that waiting calls aren't delayed by it.
  const auto Overdue = std::find_if(
      m_Connections.begin(), m_Connections.end(), [&](const auto &Each) {
        return Each->m_State == ConnectionState::Abandoned &&
               Now - Each->m_StateSince >= m_Options.m_SilenceThreshold;
      });
  if (Overdue == m_Connections.end())
    return;
  removeConnection(**Overdue);
  openConnection();
}

bool TargetPool::Impl::openConnection() {
  if (m_Connections.size() >= m_Options.m_MaxConnections)
    return false;
  const TimePoint Now = Clock::now();
  auto New = std::make_unique<PooledConnection>();
  New->m_Connection.reset(new TargetConnection(m_Endpoint, *this));
  New->m_OpenedAt = Now;
  New->m_StateSince = Now;
  New->m_Connection->open();
  m_Connections.push_back(std::move(New));
  return true;
}

void TargetPool::Impl::setState(PooledConnection &Pooled,
                                ConnectionState NewState) {
  Pooled.m_State = NewState;
  Pooled.m_StateSince = Clock::now();
}

void TargetPool::Impl::removeConnection(const PooledConnection &Removed) {
  std::erase_if(m_Connections,
                [&](const auto &Each) { return Each.get() == &Removed; });
}

auto TargetPool::Impl::findPooled(const TargetConnection &Connection)
    -> PooledConnection & {
  return **std::find_if(m_Connections.begin(), m_Connections.end(),
                        [&](const auto &Each) {
                          return Each->m_Connection.get() == &Connection;
                        });
}

std::size_t TargetPool::Impl::countInState(ConnectionState State) const {
  return static_cast<std::size_t>(
      std::count_if(m_Connections.begin(), m_Connections.end(),
                    [&](const auto &Each) { return Each->m_State == State; }));
}

bool TargetPool::Impl::hasReadyConnection() const {
  return countInState(ConnectionState::Opening) < m_Connections.size();
}

// Results.

void TargetPool::Impl::finishCall(CallId Id, TargetResult Result) {
  auto Node = m_Calls.extract(Id);
  CallRecord &Record = Node.mapped();
  Result.m_Call = Id;
  Result.m_Latency = Clock::now() - Record.m_SentAt;
  queueReport(
      [OnResult = std::move(Record.m_OnResult),
       Result = std::move(Result)]() mutable { OnResult(std::move(Result)); });
}

void TargetPool::Impl::failCall(CallId Id, std::error_code Error,
                                RunVerdict Verdict) {
  const PooledConnection *Pooled = m_Calls.at(Id).m_AssignedConnection;
  finishCall(Id,
             {.m_Error = Error,
              .m_Verdict = Verdict,
              .m_BootId = Pooled ? Pooled->m_Connection->bootId() : BootId()});
}

void TargetPool::Impl::failWaitingCalls(std::error_code Error) {
  for (const CallId Id : std::exchange(m_WaitingCalls, {}))
    failCall(Id, Error, RunVerdict::NotRun);
}

std::size_t TargetPool::Impl::limitWrites(TimePoint Until) {
  m_WritesUntil = std::min(m_WritesUntil, Until);
  const std::size_t Unsent = m_WaitingCalls.size();
  failWaitingCalls(Errc::TargetLeft);
  armTimer();
  return Unsent;
}

void TargetPool::Impl::endCallEarly(CallId Id, std::error_code Error) {
  CallRecord &Record = m_Calls.at(Id);
  PooledConnection *Pooled = Record.m_AssignedConnection;
  if (!Pooled) {
    std::erase(m_WaitingCalls, Id);
    failCall(Id, Error, RunVerdict::NotRun);
    return;
  }
  if (!m_Options.m_UsesFigturnProtocol && Error == Errc::Cancelled) {
    failCall(Id, Error, RunVerdict::MayHaveRun);
    removeConnection(*Pooled);
    return;
  }
  setState(*Pooled, ConnectionState::Abandoned);
  if (!Record.m_Call.m_CancelBody.empty())
    m_PendingCancellations.push_back({Pooled->m_Connection.get(),
                                      Pooled->m_StateSince,
                                      std::move(Record.m_Call.m_CancelBody)});
  failCall(Id, Error, RunVerdict::MayHaveRun);
}

void TargetPool::Impl::reportObservation(TargetObservation Observation) {
  queueReport([this, Observation = std::move(Observation)] {
    if (!m_IsShutDown)
      m_OnObservation(Observation);
  });
}

void TargetPool::Impl::handleEvent(const std::function<void()> &Handle) {
  m_HandlingEvent = true;
  Handle();
  m_HandlingEvent = false;
  deliverReports();
}

void TargetPool::Impl::queueReport(std::function<void()> Report) {
  if (m_QueuedReports.empty() && !m_HandlingEvent)
    QMetaObject::invokeMethod(
        this, [this] { deliverReports(); }, Qt::QueuedConnection);
  m_QueuedReports.push_back(std::move(Report));
}

void TargetPool::Impl::deliverReports() {
  // A handler may call send() or cancel() or destroy the pool, so the reports
  // are moved to a local variable first.
  const auto Reports = std::exchange(m_QueuedReports, {});
  for (const auto &Each : Reports)
    Each();
}

// Connection events.

void TargetPool::Impl::onHandshakeComplete(TargetConnection &Connection) {
  handleEvent([&] { handleHandshake(Connection); });
}

void TargetPool::Impl::onReply(TargetConnection &Connection, HttpReply Reply) {
  handleEvent([&] { handleReply(Connection, std::move(Reply)); });
}

void TargetPool::Impl::onLost(TargetConnection &Connection,
                              std::error_code Error) {
  handleEvent([&] {
    removeLost(findPooled(Connection), Error);
    processQueues();
  });
}

void TargetPool::Impl::handleHandshake(const TargetConnection &Connection) {
  PooledConnection &NewConnection = findPooled(Connection);
  ++m_Counters.m_Opened;
  setState(NewConnection, ConnectionState::Idle);
  m_LastWorkingOpenedAt =
      std::max(m_LastWorkingOpenedAt, NewConnection.m_OpenedAt);
  reportObservation({.m_Kind = TargetObservation::Kind::Connected,
                     .m_BootId = Connection.bootId()});
  if (std::exchange(m_ProbeInProgress, false))
    checkOlderConnections(NewConnection);
  checkSilentConnections(Clock::now());
  processQueues();
}

void TargetPool::Impl::handleReply(const TargetConnection &Connection,
                                   HttpReply Reply) {
  PooledConnection &Pooled = findPooled(Connection);
  const bool KeepAlive = Reply.m_KeepAlive;
  Pooled.m_KeepAliveTimeout = keepAliveTimeout(Reply);
  if (Pooled.m_State == ConnectionState::Call) {
    const std::string Boot = Reply.header("X-Boot-Id");
    finishCall(Pooled.m_Call,
               {.m_Status = Reply.m_Status,
                .m_Headers = std::move(Reply.m_Headers),
                .m_Body = std::move(Reply.m_Body),
                .m_Verdict = Reply.m_Status == 200 ? RunVerdict::Ran
                                                   : RunVerdict::MayHaveRun,
                .m_BootId = Boot.empty() ? Connection.bootId() : BootId(Boot)});
  } else if (Pooled.m_State == ConnectionState::Abandoned) {
    ++m_Counters.m_LateReplies;
    reportObservation({.m_Kind = TargetObservation::Kind::LateReply,
                       .m_Call = Pooled.m_Call});
  }
  if (KeepAlive)
    setState(Pooled, ConnectionState::Idle);
  else
    removeConnection(Pooled);
  closeSurplusConnections();
  processQueues();
}

void TargetPool::Impl::removeLost(const PooledConnection &Lost,
                                  std::error_code Error) {
  const bool WasOpening = Lost.m_State == ConnectionState::Opening;
  const BootId Boot = Lost.m_Connection->bootId();
  if (Lost.m_State == ConnectionState::Call)
    failCall(Lost.m_Call, Error, RunVerdict::MayHaveRun);
  removeConnection(Lost);
  if (WasOpening)
    handleOpenFailure(false);
  else if (!hasReadyConnection())
    reportObservation(
        {.m_Kind = TargetObservation::Kind::AllLost, .m_BootId = Boot});
}

void TargetPool::Impl::handleOpenFailure(bool TimedOut) {
  const TimePoint Now = Clock::now();
  logEvent(Event::TargetConnectFailed, "target={}", m_Options.m_Target);
  reportObservation(
      {.m_Kind = TargetObservation::Kind::Refused, .m_TimedOut = TimedOut});
  if (std::exchange(m_ProbeInProgress, false))
    m_NextProbeAt = Now + m_Options.m_SilenceThreshold;
  m_NextOpenAt = Now + ReopenDelay;
  if (!m_Connections.empty())
    return;
  // Without any connection, waiting calls fail and the next call connects
  // without delay.
  m_NextOpenAt = {};
  failWaitingCalls(Errc::ConnectFailed);
  m_PendingCancellations.clear();
}

} // namespace figturn
