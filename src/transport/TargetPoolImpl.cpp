#include "transport/TargetPoolImpl.h"

#include "state/Assert.h"
#include "state/Errc.h"
#include "state/Event.h"

#include <QPointer>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace figturn {

namespace {

constexpr const char *CancelPath = "/v1/cancel";

/** After a failed attempt, while other connections work. */
constexpr milliseconds ReopenDelay{100};

/** How many thresholds the kernel waits for an acknowledgement. */
constexpr int UserTimeoutFactor = 4;

/** Ahead of the target's own time, so that no call meets its close. */
constexpr milliseconds KeepAliveMargin{400};

/** Reads "timeout=SECONDS" of a Keep-Alive header. */
std::optional<milliseconds> keepAliveTimeout(const HttpReply &Reply) {
  const std::string Header = Reply.header("Keep-Alive");
  const std::size_t At = Header.find("timeout=");
  if (At == std::string::npos)
    return std::nullopt;
  const seconds Timeout(std::strtol(Header.c_str() + At + 8, nullptr, 10));
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
          .m_Timeouts = {.m_UserTimeout = unacknowledgedTimeout(m_Options),
                         .m_KeepAliveInterval = m_Options.m_KeepAliveInterval},
          .m_SendsHello = m_Options.m_UsesFigturnProtocol,
          .m_RequestIdHeader = m_Options.m_RequestIdHeader} {
  m_Timer.setSingleShot(true);
  m_Timer.setTimerType(Qt::PreciseTimer);
  connect(&m_Timer, &QTimer::timeout, this,
          [this] { handleEvent([this] { onTimer(); }); });
}

TargetPool::Impl::~Impl() {
  m_Destroying = true;
  while (!m_Calls.empty()) {
    const auto &[Id, Record] = *m_Calls.begin();
    failCall(Id, Errc::Cancelled,
             Record.m_AssignedConnection ? RunVerdict::MayHaveRun
                                         : RunVerdict::NotRun);
  }
  m_Connections.clear();
  deliverReports();
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

void TargetPool::Impl::setMaxConnections(std::size_t Most) {
  m_Options.m_MaxConnections = Most;
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
      if (PooledConnection *Free = findUsableIdle({})) {
        setState(*Free, ConnectionState::Cancel);
        Free->m_Connection->post(CancelPath, Next.m_Body);
      } else if (countInState(ConnectionState::Opening) > 0 ||
                 m_Connections.size() < m_Options.m_MaxConnections) {
        return; // openConnectionsForWaiting() sees to it.
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
  std::deque<CallId> Still;
  for (const CallId Id : std::exchange(m_WaitingCalls, {})) {
    CallRecord &Record = m_Calls.at(Id);
    const BootId &Boot = Record.m_Call.m_RequiredBootId;
    if (Record.m_Call.m_Deadline <= Now)
      failCall(Id, Errc::DeadlineExceeded, RunVerdict::NotRun);
    else if (PooledConnection *Free = findUsableIdle(Boot))
      writeCall(*Free, Record);
    else if (mayReachBoot(Boot))
      Still.push_back(Id);
    else
      failCall(Id, Errc::ConnectFailed, RunVerdict::NotRun);
  }
  m_WaitingCalls = std::move(Still);
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
    PooledConnection *Best = nullptr;
    for (const auto &Each : m_Connections) {
      if (Each->m_State != ConnectionState::Idle ||
          (Boot != BootId() && Each->m_Connection->bootId() != Boot))
        continue;
      // The one used last, so that those not needed become old and close.
      if (!Best || Each->m_StateSince > Best->m_StateSince)
        Best = Each.get();
    }
    if (!Best || Best->m_Connection->isIdleAndOpen())
      return Best;
    // The target closed it a moment ago; nothing was written, so the call
    // may still go on another one.
    removeLost(*Best, Errc::ConnectionClosed);
  }
}

void TargetPool::Impl::writeCall(PooledConnection &On, CallRecord &Record) {
  setState(On, ConnectionState::Call);
  m_Counters.m_Reused += On.m_WasUsed ? 1 : 0;
  On.m_WasUsed = true;
  On.m_Call = Record.m_Call.m_Call;
  Record.m_AssignedConnection = &On;
  On.m_ReplyDeadline = Record.m_Call.m_Deadline;
  if (Record.m_Call.m_SerializeRequest)
    On.m_Connection->exchange(Record.m_Call.m_SerializeRequest(On.m_StateSince),
                              Record.m_Call.m_RequestId,
                              Record.m_Call.m_IsHead);
  else
    On.m_Connection->post(Record.m_Call.m_Path, Record.m_Call.m_Body);
}

void TargetPool::Impl::openConnectionsForWaiting() {
  const TimePoint Now = Clock::now();
  const std::size_t Wanted =
      m_WaitingCalls.size() + m_PendingCancellations.size();
  if (Wanted == 0 || Now < m_NextOpenAt)
    return;
  while (countInState(ConnectionState::Opening) < Wanted && openConnection())
    ;
  if (countInState(ConnectionState::Opening) > 0)
    return;
  // At the limit, a call needn't wait for a reply that nobody wants.
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

void TargetPool::Impl::setState(PooledConnection &Of,
                                ConnectionState NewState) {
  Of.m_State = NewState;
  Of.m_StateSince = Clock::now();
}

void TargetPool::Impl::removeConnection(const PooledConnection &Old) {
  std::erase_if(m_Connections,
                [&](const auto &Each) { return Each.get() == &Old; });
}

auto TargetPool::Impl::findPooled(const TargetConnection &Connection)
    -> PooledConnection & {
  return **std::find_if(m_Connections.begin(), m_Connections.end(),
                        [&](const auto &Each) {
                          return Each->m_Connection.get() == &Connection;
                        });
}

std::size_t TargetPool::Impl::countInState(ConnectionState Wanted) const {
  return static_cast<std::size_t>(
      std::count_if(m_Connections.begin(), m_Connections.end(),
                    [&](const auto &Each) { return Each->m_State == Wanted; }));
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

void TargetPool::Impl::failCall(CallId Id, std::error_code Why,
                                RunVerdict Verdict) {
  const PooledConnection *On = m_Calls.at(Id).m_AssignedConnection;
  finishCall(Id, {.m_Error = Why,
                  .m_Verdict = Verdict,
                  .m_BootId = On ? On->m_Connection->bootId() : BootId()});
}

void TargetPool::Impl::failWaitingCalls(std::error_code Why) {
  for (const CallId Id : std::exchange(m_WaitingCalls, {}))
    failCall(Id, Why, RunVerdict::NotRun);
}

void TargetPool::Impl::endCallEarly(CallId Id, std::error_code Why) {
  CallRecord &Record = m_Calls.at(Id);
  PooledConnection *On = Record.m_AssignedConnection;
  if (!On) {
    std::erase(m_WaitingCalls, Id);
    failCall(Id, Why, RunVerdict::NotRun);
    return;
  }
  if (!m_Options.m_UsesFigturnProtocol && Why == Errc::Cancelled) {
    failCall(Id, Why, RunVerdict::MayHaveRun);
    removeConnection(*On);
    return;
  }
  setState(*On, ConnectionState::Abandoned);
  if (!Record.m_Call.m_CancelBody.empty())
    m_PendingCancellations.push_back({On->m_Connection.get(), On->m_StateSince,
                                      std::move(Record.m_Call.m_CancelBody)});
  failCall(Id, Why, RunVerdict::MayHaveRun);
}

void TargetPool::Impl::reportObservation(TargetObservation What) {
  queueReport([Self = QPointer<Impl>(this), What = std::move(What)] {
    if (Self && !Self->m_Destroying)
      Self->m_OnObservation(What);
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
  // A handler may send, cancel or destroy the pool; the reports outlive it.
  const auto Outbox = std::exchange(m_QueuedReports, {});
  for (const auto &Each : Outbox)
    Each();
}

// Reports of connections.

void TargetPool::Impl::onHandshakeComplete(TargetConnection &From) {
  handleEvent([&] { handleHandshake(From); });
}

void TargetPool::Impl::onReply(TargetConnection &From, HttpReply Reply) {
  handleEvent([&] { handleReply(From, std::move(Reply)); });
}

void TargetPool::Impl::onLost(TargetConnection &From, std::error_code Why) {
  handleEvent([&] {
    removeLost(findPooled(From), Why);
    processQueues();
  });
}

void TargetPool::Impl::handleHandshake(const TargetConnection &From) {
  PooledConnection &Fresh = findPooled(From);
  ++m_Counters.m_Opened;
  setState(Fresh, ConnectionState::Idle);
  m_LastWorkingOpenedAt = std::max(m_LastWorkingOpenedAt, Fresh.m_OpenedAt);
  reportObservation({.m_Kind = TargetObservation::Kind::Connected,
                     .m_BootId = From.bootId()});
  if (std::exchange(m_ProbeInProgress, false))
    checkOlderConnections(Fresh);
  checkSilentConnections(Clock::now());
  processQueues();
}

void TargetPool::Impl::handleReply(const TargetConnection &From,
                                   HttpReply Reply) {
  PooledConnection &On = findPooled(From);
  const bool KeepAlive = Reply.m_KeepAlive;
  On.m_KeepAliveTimeout = keepAliveTimeout(Reply);
  if (On.m_State == ConnectionState::Call) {
    const std::string Boot = Reply.header("X-Boot-Id");
    finishCall(On.m_Call,
               {.m_Status = Reply.m_Status,
                .m_Headers = std::move(Reply.m_Headers),
                .m_Body = std::move(Reply.m_Body),
                .m_Verdict = Reply.m_Status == 200 ? RunVerdict::Ran
                                                   : RunVerdict::MayHaveRun,
                .m_BootId = Boot.empty() ? From.bootId() : BootId(Boot)});
  } else if (On.m_State == ConnectionState::Abandoned) {
    ++m_Counters.m_LateReplies;
    reportObservation(
        {.m_Kind = TargetObservation::Kind::LateReply, .m_Call = On.m_Call});
  }
  if (KeepAlive)
    setState(On, ConnectionState::Idle);
  else
    removeConnection(On);
  processQueues();
}

void TargetPool::Impl::removeLost(const PooledConnection &Lost,
                                  std::error_code Why) {
  const bool WasOpening = Lost.m_State == ConnectionState::Opening;
  const BootId Boot = Lost.m_Connection->bootId();
  if (Lost.m_State == ConnectionState::Call)
    failCall(Lost.m_Call, Why, RunVerdict::MayHaveRun);
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
  // Nothing is left to wait for; the next call may try at once.
  m_NextOpenAt = {};
  failWaitingCalls(Errc::ConnectFailed);
  m_PendingCancellations.clear();
}

} // namespace figturn
