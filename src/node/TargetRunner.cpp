#include "node/TargetRunner.h"

#include "protocol/TargetProtocol.h"
#include "state/Event.h"

#include <QPointer>
#include <algorithm>
#include <utility>

namespace figturn {

namespace {

/** Number of entry VMs among which a target's connection limit is divided. */
constexpr std::uint32_t MaxVmsPerTarget = 20;
constexpr std::uint32_t MinConnections = 2;
/** Maximum number of consecutive times that a call is forwarded before it is
 *  deferred. */
constexpr int MaxForwards = 3;
/** Interval between connection attempts to a target that refuses them. */
constexpr milliseconds RefusedRetryInterval{250};
/** Delay before a deferred call requests a slot again. */
constexpr milliseconds DeferInterval{20};
/** How long the rest of a partly written call may be written to a target that
 * the configuration no longer names. */
constexpr milliseconds RemovedTargetWriteTime{2800};
/** Added to a forwarded call's timeout for the reply's transit. */
constexpr milliseconds PeerReplyMargin{50};

TargetPoolOptions poolOptions(const TargetName &Target,
                              const TargetConfig &Config,
                              std::shared_ptr<ReplyMemory> Memory) {
  const std::uint32_t Share = Config.m_ConnectionLimit / MaxVmsPerTarget;
  return {.m_Target = Target,
          .m_Host = Config.m_Host,
          .m_Port = Config.m_Port,
          .m_MaxConnections = std::max(MinConnections, Share),
          .m_ReplyMemory = std::move(Memory)};
}

ColdStartRampOptions rampOptions(const TargetConfig &Config) {
  return {.m_ColdSlots = Config.m_ColdSlots,
          .m_WarmSlots = Config.warmSlots(),
          .m_RampSuccesses = Config.m_RampSuccesses};
}

SlotOutcome slotOutcome(const TargetResult &Result) {
  constexpr unsigned StatusOk = 200;
  constexpr unsigned StatusShed = 503;
  if (Result.m_Verdict == RunVerdict::NotRun)
    return SlotOutcome::NotSent;
  if (Result.m_Error)
    return SlotOutcome::Lost;
  if (Result.m_Status == StatusShed)
    return SlotOutcome::Shed;
  return Result.m_Status == StatusOk ? SlotOutcome::Succeeded
                                     : SlotOutcome::Failed;
}

bool mayBeCrash(const TargetResult &Result) {
  return Result.m_Verdict != RunVerdict::NotRun &&
         (Result.m_Error == Errc::ConnectionClosed ||
          Result.m_Error == Errc::TruncatedReply);
}

CallResult toCallResult(TargetResult Result, bool Crashed) {
  return {.m_Error = Result.m_Error,
          .m_Status = Result.m_Status,
          .m_Body = std::move(Result.m_Body),
          .m_Verdict = Result.m_Verdict,
          .m_BootId = std::move(Result.m_BootId),
          .m_Crashed = Crashed,
          .m_Latency = Result.m_Latency};
}

} // namespace

TargetRunner::TargetRunner(TargetName Target, const TargetConfig &Config,
                           TargetRunnerContext Context)
    : m_Target(Target), m_Config(Config), m_Context(std::move(Context)),
      m_Ownership(m_Context.m_Self),
      m_Gate({}, rampOptions(Config), Target, m_Context.m_Self),
      m_Pool(poolOptions(Target, Config, m_Context.m_ReplyMemory),
             [this](const TargetObservation &Observation) {
               onObservation(Observation);
             }) {
  m_PollTimer.setSingleShot(true);
  connect(&m_PollTimer, &QTimer::timeout, this, [this] { poll(); });
  m_DeferTimer.setSingleShot(true);
  connect(&m_DeferTimer, &QTimer::timeout, this,
          [this] { retryDeferredCalls(Clock::now()); });
  onMembership();
}

bool TargetRunner::differsFrom(const TargetConfig &Config) const {
  return Config.m_Host != m_Config.m_Host || Config.m_Port != m_Config.m_Port ||
         Config.m_ConnectionLimit != m_Config.m_ConnectionLimit ||
         Config.warmSlots() != m_Config.warmSlots() ||
         Config.m_ColdSlots != m_Config.m_ColdSlots ||
         Config.m_RampSuccesses != m_Config.m_RampSuccesses;
}

void TargetRunner::run(CallRequest Request, CallResultHandler OnResult) {
  const CallId Call = Request.m_Call;
  const bool MayForward = !Request.m_Forwarded;
  m_Calls.emplace(Call, PendingCall{.m_Request = std::move(Request),
                                    .m_OnResult = std::move(OnResult)});
  requestSlot(Call, MayForward);
  publishStatus();
}

void TargetRunner::requestSlot(CallId Call, bool MayForward) {
  const auto Found = m_Calls.find(Call);
  if (Found == m_Calls.end())
    return;
  if (m_DeleteWhenIdle) {
    // Another VM declined a call that was forwarded to it before.
    refuse(Call, Errc::TargetLeft);
    return;
  }
  const CallRequest &Request = Found->second.m_Request;
  const SlotRequest Wanted{.m_Call = Call,
                           .m_Priority = Request.m_Urgent ? Priority::Urgent
                                                          : Priority::Ordinary,
                           .m_Deadline = Request.m_Deadline,
                           .m_Forwarded = !MayForward};
  const SlotDecision Decision =
      m_Gate.tryAcquire(Wanted, m_Context.m_Membership.permit(), Clock::now());
  if (const auto *Granted = std::get_if<SlotGranted>(&Decision))
    send(Call, *Granted);
  else if (const auto *Forward = std::get_if<SlotForwarded>(&Decision))
    forward(Call, Forward->m_Vm);
  else if (const auto *Refused = std::get_if<SlotRefused>(&Decision)) {
    if (MayForward && Refused->m_Reason == Errc::NotReady)
      defer(Call);
    else
      refuse(Call, Refused->m_Reason);
  } else
    Found->second.m_State = PendingCall::State::Queued;
}

void TargetRunner::defer(CallId Call) {
  // While the member list changes, no VM may use a slot for a short time. This
  // is shorter than most deadlines, so the call waits.
  PendingCall &Waiting = m_Calls.at(Call);
  Waiting.m_State = PendingCall::State::Deferred;
  Waiting.m_Forwards = 0;
  m_DeferredCalls.push_back(Call);
  if (!m_DeferTimer.isActive())
    m_DeferTimer.start(DeferInterval);
}

void TargetRunner::retryDeferredCalls(TimePoint Now) {
  for (const CallId Call : std::exchange(m_DeferredCalls, {})) {
    const auto Found = m_Calls.find(Call);
    if (Found == m_Calls.end() ||
        Found->second.m_State != PendingCall::State::Deferred)
      continue;
    if (Found->second.m_Request.m_Deadline <= Now)
      refuse(Call, Errc::DeadlineExceeded);
    else
      requestSlot(Call, true);
  }
}

void TargetRunner::send(CallId Call, const SlotGranted &Grant) {
  const auto Found = m_Calls.find(Call);
  if (!FIGTURN_INVARIANT(Found != m_Calls.end()))
    return;
  PendingCall &Sent = Found->second;
  Sent.m_State = PendingCall::State::Sent;
  Sent.m_Slot = Grant.m_Slot;
  Sent.m_HardDeadline = Grant.m_HardDeadline;
  logEvent(Event::CallPlaced, "call={} target={} slot={} origin={}", Call,
           m_Target, Grant.m_Slot, Sent.m_Request.m_Origin);
  m_Pool.send(
      {.m_Call = Call,
       .m_Path = Sent.m_Request.m_Path,
       .m_Body = Sent.m_Request.m_Body,
       .m_Deadline = std::min(Grant.m_HardDeadline, Sent.m_Request.m_Deadline),
       .m_SingleRun = Sent.m_Request.m_SingleRun,
       .m_CancelBody = encodeCall(
           CancelRequest{.m_Origin = Sent.m_Request.m_Origin, .m_Call = Call}),
       .m_RequiredBootId = Grant.m_Boot},
      [Self = QPointer(this)](TargetResult Result) {
        if (Self)
          Self->onResult(std::move(Result));
      });
}

void TargetRunner::forward(CallId Call, const VmName &Owner) {
  PendingCall &Forwarded = m_Calls.at(Call);
  const auto Member = m_Context.m_Membership.member(Owner);
  const CallRequest &Request = Forwarded.m_Request;
  const TimePoint Now = Clock::now();
  if (!Member || Now >= Request.m_Deadline) {
    refuse(Call, Member ? Errc::DeadlineExceeded : Errc::SlotNotOwned);
    return;
  }
  Forwarded.m_State = PendingCall::State::Forwarded;
  ++Forwarded.m_Forwards;
  const auto Remaining =
      std::chrono::duration_cast<milliseconds>(Request.m_Deadline - Now);
  logEvent(Event::CallForwarded, "call={} target={} owner={}", Call, m_Target,
           Owner);
  // Runs on the network's thread, possibly after the runner's end.
  auto OnReply = [Self = QPointer(this), Post = m_Context.m_Post,
                  Call](std::error_code Error, PeerCallResult Result) {
    Post([Self, Call, Error, Result = std::move(Result)] {
      if (Self)
        Self->onForwarded(Call, Error, Result);
    });
  };
  Forwarded.m_PeerCall = m_Context.m_Peers.runCall(
      Member->m_PeerAddress,
      {.m_Origin = VmName(Request.m_Origin),
       .m_Call = Call,
       .m_Target = m_Target,
       .m_Path = Request.m_Path,
       .m_Body = Request.m_Body,
       .m_Deadline = Remaining,
       .m_Urgent = Request.m_Urgent,
       .m_SingleRun = Request.m_SingleRun},
      Remaining + PeerReplyMargin, std::move(OnReply));
}

void TargetRunner::onForwarded(CallId Call, std::error_code Error,
                               PeerCallResult Result) {
  const auto Found = m_Calls.find(Call);
  if (Found == m_Calls.end())
    return;
  if (Error) {
    finish(Call, {.m_Error = Error});
    return;
  }
  const bool Declined = Result.m_Verdict == RunVerdict::NotRun &&
                        (Result.m_Error == Errc::SlotNotOwned ||
                         Result.m_Error == Errc::Overloaded);
  if (Declined && Found->second.m_Forwards < MaxForwards) {
    requestSlot(Call, true);
    return;
  }
  if (Declined) {
    defer(Call);
    return;
  }
  finish(Call, {.m_Error = Result.m_Error,
                .m_Status = Result.m_Status,
                .m_Body = std::move(Result.m_Body),
                .m_Verdict = Result.m_Verdict,
                .m_BootId = Result.m_BootId,
                .m_Crashed = Result.m_Crashed,
                .m_Latency = Result.m_Latency});
}

void TargetRunner::onResult(TargetResult Result) {
  const auto Found = m_Calls.find(Result.m_Call);
  if (!FIGTURN_INVARIANT(Found != m_Calls.end()))
    return;
  const CallId Call = Result.m_Call;
  releaseSlot(Found->second, Result);
  // The release may have refused queued calls and so removed them from the
  // table.
  PendingCall &Ended = m_Calls.at(Call);
  if (mayBeCrash(Result)) {
    Ended.m_State = PendingCall::State::CheckingCrash;
    Ended.m_LostResult = std::move(Result);
    m_CrashChecks.push_back(Call);
    m_Pool.warmUp(1);
    poll();
    return;
  }
  finish(Call, toCallResult(std::move(Result), false));
}

void TargetRunner::releaseSlot(const PendingCall &Released,
                               const TargetResult &Result) {
  const TimePoint Now = Clock::now();
  const SlotOutcome Outcome = slotOutcome(Result);
  if (Outcome == SlotOutcome::Succeeded)
    m_Context.m_Status.addLatency(m_Target, Result.m_Latency);
  if (Outcome == SlotOutcome::Lost)
    m_LostSlots.insert_or_assign(
        Result.m_Call, LostSlot{Released.m_Slot, Released.m_HardDeadline});
  apply(m_Gate.release(Released.m_Slot, Outcome, Result.m_Latency,
                       m_Context.m_Membership.permit(), Now));
}

void TargetRunner::freeLostSlot(CallId Call) {
  const auto Node = m_LostSlots.extract(Call);
  const TimePoint Now = Clock::now();
  if (Node.empty() || Now >= Node.mapped().m_HardDeadline)
    return;
  apply(m_Gate.release(Node.mapped().m_Slot, SlotOutcome::Failed, Duration(0),
                       m_Context.m_Membership.permit(), Now));
}

void TargetRunner::finish(CallId Call, CallResult Result) {
  auto Node = m_Calls.extract(Call);
  if (Node.empty())
    return;
  publishStatus();
  Node.mapped().m_OnResult(std::move(Result));
  if (m_DeleteWhenIdle && m_Calls.empty())
    deleteLater();
}

void TargetRunner::deleteWhenIdle() {
  m_DeleteWhenIdle = true;
  m_Pool.limitWrites(Clock::now() + RemovedTargetWriteTime);
  std::vector<CallId> Unsent;
  for (const auto &[Id, Call] : m_Calls)
    if (Call.m_State == PendingCall::State::Queued ||
        Call.m_State == PendingCall::State::Deferred)
      Unsent.push_back(Id);
  for (const CallId Id : Unsent) {
    m_Gate.withdraw(Id);
    refuse(Id, Errc::TargetLeft);
  }
  if (m_Calls.empty())
    deleteLater();
}

void TargetRunner::refuse(CallId Call, Errc Reason) {
  finish(Call, {.m_Error = Reason, .m_Verdict = RunVerdict::NotRun});
}

void TargetRunner::cancel(CallId Call) {
  const auto Found = m_Calls.find(Call);
  if (Found == m_Calls.end())
    return;
  switch (Found->second.m_State) {
  case PendingCall::State::Queued:
  case PendingCall::State::Deferred:
    m_Gate.withdraw(Call);
    refuse(Call, Errc::Cancelled);
    return;
  case PendingCall::State::Sent:
    m_Pool.cancel(Call);
    return;
  case PendingCall::State::Forwarded:
    m_Context.m_Peers.cancelCall(Found->second.m_PeerCall);
    finish(Call, {.m_Error = Errc::Cancelled});
    return;
  case PendingCall::State::CheckingCrash:
    return; // Not cancelled, so that a crash is still detected.
  }
}

void TargetRunner::onMembership() {
  const TimePoint Now = Clock::now();
  const auto Permit = m_Context.m_Membership.permit();
  const auto Members = m_Context.m_Membership.members();
  const bool OnlyCarried = Permit && Permit->m_OnlyCarried;
  if (Members != m_Members || OnlyCarried != m_OnlyCarried) {
    m_Members = Members;
    m_OnlyCarried = OnlyCarried;
    m_Ownership.rebuild(*Members, OnlyCarried);
    const TargetSlots &Slots =
        m_Ownership.slotTable(m_Target, m_Config.warmSlots());
    m_Gate.setSlots(Slots, Now);
    // Grants apply to one boot ID, which a connection's handshake returns.
    if (!Slots.m_OwnSlots.empty())
      m_Pool.warmUp(1);
  }
  poll();
}

std::optional<RampReport> TargetRunner::makeReport() {
  return m_Gate.ramp().makeReport();
}

std::optional<RampGrant> TargetRunner::onReport(const RampReport &Report) {
  auto Grant = m_Gate.ramp().onReport(Report, Clock::now());
  poll();
  return Grant;
}

void TargetRunner::onGrant(const RampGrant &Grant, const VmName &Sender,
                           TimePoint SentAt) {
  m_Gate.ramp().onGrant(Grant, Sender, SentAt, Clock::now());
  poll();
}

void TargetRunner::onRegressNotice(const RegressNotice &Notice) {
  m_Gate.ramp().onRegress(Notice, Clock::now());
  publishStatus();
}

void TargetRunner::onObservation(const TargetObservation &Observation) {
  const TimePoint Now = Clock::now();
  const auto Entry = m_Context.m_Status.find(m_Target);
  switch (Observation.m_Kind) {
  case TargetObservation::Kind::Connected:
    if (Entry)
      Entry->m_Refusing = false;
    sendRegressNotice(m_Gate.ramp().onHello(Observation.m_BootId));
    resolveCrashChecks(false, Observation.m_BootId);
    break;
  case TargetObservation::Kind::Refused:
    if (Entry)
      Entry->m_Refusing = true;
    sendRegressNotice(
        m_Gate.ramp().onColdSignal(ColdSignal::ConnectRefused, Now));
    resolveCrashChecks(true, {});
    break;
  case TargetObservation::Kind::AllLost:
    sendRegressNotice(
        m_Gate.ramp().onColdSignal(ColdSignal::AllConnectionsLost, Now));
    break;
  case TargetObservation::Kind::SilentRetired:
    break; // Logged by the pool; not counted against the target.
  case TargetObservation::Kind::LateReply:
    freeLostSlot(Observation.m_Call);
    break;
  }
  poll();
}

void TargetRunner::resolveCrashChecks(bool Refused, const BootId &Boot) {
  for (const CallId Call : std::exchange(m_CrashChecks, {})) {
    const auto Found = m_Calls.find(Call);
    if (Found == m_Calls.end())
      continue;
    TargetResult Lost = std::move(Found->second.m_LostResult);
    const bool Crashed = Refused || Boot != Lost.m_BootId;
    if (Crashed)
      logEvent(Event::TargetCrashed, "target={} call={} boot={}", m_Target,
               Call, Lost.m_BootId);
    if (Crashed)
      freeLostSlot(Call);
    finish(Call, toCallResult(std::move(Lost), Crashed));
  }
}

void TargetRunner::apply(GateActions Actions) {
  for (const StartedCall &Started : Actions.m_Started)
    send(Started.m_Call, Started.m_Grant);
  for (const ShedCall &Shed : Actions.m_Shed)
    refuse(Shed.m_Call, Shed.m_Reason);
  sendRegressNotice(Actions.m_Regress);
}

void TargetRunner::sendRegressNotice(
    const std::optional<RegressNotice> &Notice) {
  if (!Notice)
    return;
  if (!std::exchange(m_IsColdLogged, true))
    logEvent(Event::TargetCold, "target={} boot={}", m_Target, Notice->m_Boot);
  if (!authority().value().empty() && authority() != m_Context.m_Self)
    m_Context.m_SendRegressNotice(authority(), *Notice);
}

void TargetRunner::poll() {
  const TimePoint Now = Clock::now();
  std::erase_if(m_LostSlots, [Now](const auto &Entry) {
    return Entry.second.m_HardDeadline <= Now;
  });
  apply(m_Gate.poll(m_Context.m_Membership.permit(), Now));
  publishStatus();
  const auto Entry = m_Context.m_Status.find(m_Target);
  const bool Refusing = Entry && Entry->m_Refusing;
  if (Refusing && !m_PollTimer.isActive())
    m_Pool.warmUp(1);
  std::optional<TimePoint> Wake = m_Gate.nextTimer();
  if (Refusing)
    Wake =
        std::min(Wake.value_or(TimePoint::max()), Now + RefusedRetryInterval);
  if (!Wake)
    return;
  const auto Delay =
      std::chrono::ceil<milliseconds>(std::max(*Wake - Now, Duration(0)));
  m_PollTimer.start(Delay);
}

void TargetRunner::publishStatus() {
  const auto Entry = m_Context.m_Status.find(m_Target);
  if (!Entry)
    return;
  const TimePoint Now = Clock::now();
  const RampState State = m_Gate.ramp().state(Now);
  if (State == RampState::Ramping || State == RampState::Warm)
    m_IsColdLogged = false;
  Entry->m_Cold = State == RampState::Unknown || State == RampState::Cold;
  Entry->m_UsableSlots = m_Gate.ramp().usableLevel(Now);
  Entry->m_Connections = static_cast<std::uint32_t>(m_Pool.connections());
}

} // namespace figturn
