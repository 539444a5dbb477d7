#include "coordination/SingleRunAttempt.h"

#include "coordination/SingleRunRefusal.h"

#include <algorithm>
#include <utility>

namespace figturn {

namespace {

/** The pause between tries doubles at most so often. */
constexpr std::uint32_t MaxPauseDoublings = 7;

} // namespace

SingleRunAttempt::SingleRunAttempt(SingleRunOptions Options)
    : m_Options(std::move(Options)),
      m_Path(singleRunPath(m_Options.m_Service, m_Options.m_Key)) {}

SingleRunActions SingleRunAttempt::start(TimePoint Now) {
  SingleRunActions Actions;
  if (Now >= m_Options.m_Deadline)
    giveUp(Errc::DeadlineExceeded, Actions);
  else
    issue(Operation::Create, Actions);
  return Actions;
}

SingleRunActions SingleRunAttempt::onRecordReply(const RecordReply &Reply,
                                                 TimePoint Now) {
  SingleRunActions Actions;
  const Operation Ended = std::exchange(m_Pending, Operation::None);
  if (Ended == Operation::None)
    return Actions;
  if (m_State == State::Claiming)
    onClaimReply(Ended, Reply, Actions, Now);
  else if (m_State == State::Settling)
    onSettleReply(Ended, Reply, Actions, Now);
  return Actions;
}

SingleRunActions SingleRunAttempt::onRunResult(RunResult Result, TimePoint) {
  SingleRunActions Actions;
  if (m_State != State::Sending)
    return Actions;
  if (Result.m_Verdict == RunVerdict::NotRun) {
    settleAs({.m_Phase = SingleRunPhase::Released,
              .m_Reason = Result.m_Error,
              .m_Verdict = RunVerdict::NotRun},
             Actions);
    return Actions;
  }
  if (Result.m_Verdict == RunVerdict::Ran && !Result.m_Error) {
    answer(Result.m_Result, Actions);
    settleAs(*m_Outcome, Actions);
    return Actions;
  }
  refuse(Result.m_Verdict, Result.m_Error, Actions);
  m_Outcome = SingleRunOutcome{.m_Phase = SingleRunPhase::Unknown,
                               .m_Reason = Result.m_Error,
                               .m_Verdict = Result.m_Verdict};
  settleAs(*m_Outcome, Actions);
  return Actions;
}

SingleRunActions SingleRunAttempt::onHolderReply(const HolderReply &Reply,
                                                 TimePoint Now) {
  SingleRunActions Actions;
  if (m_State != State::Asking)
    return Actions;
  if (Reply.m_Kind == HolderReply::Kind::Gone)
    onHolderGone(Actions);
  else
    onHolderSettled(Reply, Actions, Now);
  return Actions;
}

SingleRunActions SingleRunAttempt::onPause(TimePoint) {
  SingleRunActions Actions;
  // A release can't be dated by a clock that may have stood still.
  m_Options.m_SendBy = TimePoint::min();
  if (m_State == State::Claiming)
    giveUp(Errc::DeadlineExceeded, Actions);
  return Actions;
}

SingleRunActions SingleRunAttempt::onCallerDisconnect(TimePoint) {
  SingleRunActions Actions;
  m_Told = true;
  m_Options.m_SendBy = TimePoint::min();
  if (m_State == State::Claiming || m_State == State::Asking)
    giveUp(Errc::Cancelled, Actions);
  return Actions;
}

SingleRunActions SingleRunAttempt::onTimer(TimePoint Now) {
  SingleRunActions Actions;
  const bool IsLate = Now >= m_Options.m_Deadline;
  if (IsLate && m_State == State::Claiming) {
    giveUp(Errc::PlatformUnavailable, Actions);
  } else if (IsLate && m_State == State::Asking) {
    giveUp(Errc::AttemptInProgress, Actions);
  } else if (IsLate && !m_Told && m_State == State::Sending) {
    refuse(RunVerdict::MayHaveRun, Errc::DeadlineExceeded, Actions);
  } else if (IsLate && !m_Told && m_State == State::Settling) {
    // Only releases are told after they are recorded. The right to send is
    // given up already, which is enough unless another one's release has to
    // be written anew.
    refuse(m_Barring ? RunVerdict::MayHaveRun : RunVerdict::NotRun,
           m_Settling.m_Reason, Actions);
  }
  if (m_Next != Operation::None && Now >= m_ResumeAt)
    issue(std::exchange(m_Next, Operation::None), Actions);
  return Actions;
}

std::optional<TimePoint> SingleRunAttempt::nextTimer() const {
  if (m_State == State::Over)
    return std::nullopt;
  std::optional<TimePoint> Next;
  if (!m_Told)
    Next = m_Options.m_Deadline;
  if (m_Next != Operation::None)
    Next = Next ? std::min(*Next, m_ResumeAt) : m_ResumeAt;
  return Next;
}

bool SingleRunAttempt::isOver() const { return m_State == State::Over; }

bool SingleRunAttempt::isClaim(Operation Which) {
  return Which == Operation::Create || Which == Operation::Take;
}

SingleRunRecord SingleRunAttempt::ownRecord(SingleRunPhase Phase) const {
  return {.m_Key = m_Options.m_Key,
          .m_Fingerprint = m_Options.m_Fingerprint,
          .m_Token = m_Options.m_Token,
          .m_Vm = m_Options.m_Vm,
          .m_Boot = m_Options.m_Boot,
          .m_Phase = Phase,
          .m_Result = Phase == SingleRunPhase::Ran ? m_Settling.m_Result : ""};
}

void SingleRunAttempt::issue(Operation Next, SingleRunActions &Actions) {
  m_Pending = Next;
  switch (Next) {
  case Operation::None:
    return;
  case Operation::Create:
    Actions.push_back(CreateRecord{
        .m_Path = m_Path, .m_Record = ownRecord(SingleRunPhase::Intent)});
    return;
  case Operation::Take:
    Actions.push_back(
        UpdateRecord{.m_Path = m_Path,
                     .m_Record = ownRecord(SingleRunPhase::Intent),
                     .m_Expected = m_Revision});
    return;
  case Operation::Read:
    Actions.push_back(ReadRecord{m_Path});
    return;
  case Operation::Settle:
    Actions.push_back(UpdateRecord{.m_Path = m_Path,
                                   .m_Record = ownRecord(m_Settling.m_Phase),
                                   .m_Expected = m_Revision});
    return;
  }
}

void SingleRunAttempt::issueAfterPause(Operation Next, TimePoint Now) {
  m_Next = Next;
  const std::uint32_t Doublings = std::min(m_SettleTries, MaxPauseDoublings);
  m_ResumeAt = Now + m_Options.m_RetryPause * (1U << Doublings);
}

void SingleRunAttempt::onClaimReply(Operation Ended, const RecordReply &Reply,
                                    SingleRunActions &Actions, TimePoint Now) {
  using Kind = RecordReply::Kind;
  const bool IsRead = Ended == Operation::Read;
  if (!IsRead && Reply.m_Kind == Kind::Unknown)
    m_MayBeRecorded = true;
  switch (Reply.m_Kind) {
  case Kind::Done:
    m_Revision = Reply.m_Revision;
    if (IsRead)
      judge(Reply, Actions, Now);
    else
      sendOrRelease(Actions, Now);
    return;
  case Kind::NotFound:
    issue(Operation::Create, Actions);
    return;
  case Kind::Conflict:
    m_Options.m_History = KeyHistory::Unknown;
    issue(Operation::Read, Actions);
    return;
  case Kind::Unknown:
    // A write that was lost on its way back is recognised by its token.
    if (IsRead)
      issueAfterPause(Operation::Read, Now);
    else
      issue(Operation::Read, Actions);
    return;
  case Kind::Unavailable:
    issueAfterPause(Operation::Read, Now);
    return;
  case Kind::TooLarge:
    giveUp(Errc::BodyTooLarge, Actions);
    return;
  }
}

/** Decides by the record that was found. */
void SingleRunAttempt::judge(const RecordReply &Read, SingleRunActions &Actions,
                             TimePoint Now) {
  const SingleRunRecord &Found = Read.m_Record;
  if (Found.m_Token == m_Options.m_Token) {
    sendOrRelease(Actions, Now);
    return;
  }
  // Whatever was vouched for, here is another attempt. Its record also keeps
  // a create of this one that is still on its way from taking effect.
  m_Options.m_History = KeyHistory::Unknown;
  m_MayBeRecorded = false;
  if (Found.m_Key != m_Options.m_Key ||
      Found.m_Fingerprint != m_Options.m_Fingerprint) {
    giveUp(Errc::KeyReused, Actions);
    return;
  }
  switch (Found.m_Phase) {
  case SingleRunPhase::Ran:
    answer(Found.m_Result, Actions);
    m_State = State::Over;
    return;
  case SingleRunPhase::Unknown:
    giveUp(Errc::AttemptLost, Actions);
    return;
  case SingleRunPhase::Released:
    judgeReleased(Found, Actions, Now);
    return;
  case SingleRunPhase::Intent:
    const bool IsEarlierProcess =
        Found.m_Vm == m_Options.m_Vm && Found.m_Boot != m_Options.m_Boot;
    if (m_HolderGone || IsEarlierProcess)
      giveUp(Errc::AttemptLost, Actions);
    else
      askHolder(Found, Actions);
    return;
  }
}

/** Takes a released record if the release is known to precede the start. */
void SingleRunAttempt::judgeReleased(const SingleRunRecord &Found,
                                     SingleRunActions &Actions, TimePoint Now) {
  const bool IsEarlier = m_Revision <= m_Options.m_KnownRevision ||
                         m_ReleasedBefore == Found.m_Token;
  const bool MaySend = Now < m_Options.m_SendBy && !m_Told && !m_Outcome;
  if (!MaySend || (!IsEarlier && m_HolderGone))
    bar(Actions);
  else if (IsEarlier)
    issue(Operation::Take, Actions);
  else
    askHolder(Found, Actions);
}

void SingleRunAttempt::askHolder(const SingleRunRecord &Found,
                                 SingleRunActions &Actions) {
  m_State = State::Asking;
  m_Asked = Found;
  Actions.push_back(AskHolder{.m_Vm = Found.m_Vm,
                              .m_Boot = Found.m_Boot,
                              .m_Key = Found.m_Key,
                              .m_Token = Found.m_Token});
}

/** The record bears the own token: the one place that lets a send out. */
void SingleRunAttempt::sendOrRelease(SingleRunActions &Actions, TimePoint Now) {
  m_Owned = true;
  if (!m_Told && !m_Outcome && Now < m_Options.m_SendBy) {
    m_State = State::Sending;
    Actions.push_back(SendOnce{.m_SendBy = m_Options.m_SendBy,
                               .m_Deadline = m_Options.m_Deadline});
    return;
  }
  settleAs({.m_Phase = SingleRunPhase::Released,
            .m_Reason = Errc::DeadlineExceeded,
            .m_Verdict = RunVerdict::NotRun},
           Actions);
}

void SingleRunAttempt::onHolderSettled(const HolderReply &Reply,
                                       SingleRunActions &Actions,
                                       TimePoint Now) {
  const SingleRunOutcome &Outcome = Reply.m_Outcome;
  switch (Outcome.m_Phase) {
  case SingleRunPhase::Ran:
    answer(Outcome.m_Result, Actions);
    m_State = State::Over;
    return;
  case SingleRunPhase::Released:
    break;
  case SingleRunPhase::Intent:
  case SingleRunPhase::Unknown:
    refuse(RunVerdict::MayHaveRun, Outcome.m_Reason, Actions);
    m_State = State::Over;
    return;
  }
  if (Reply.m_ReleaseAge > Now - m_Options.m_Start) {
    m_ReleasedBefore = m_Asked.m_Token;
    m_State = State::Claiming;
    issue(Operation::Read, Actions);
    return;
  }
  if (m_Asked.m_Phase == SingleRunPhase::Released) {
    bar(Actions);
    return;
  }
  // The holder held the record when this attempt read it and never sends;
  // its release bars whoever started before that.
  conclude(RunVerdict::NotRun, Errc::AttemptInProgress, Actions);
  m_State = State::Over;
}

/** The holder may have recorded its outcome before it went. */
void SingleRunAttempt::onHolderGone(SingleRunActions &Actions) {
  m_HolderGone = true;
  m_State = State::Claiming;
  issue(Operation::Read, Actions);
}

/** Writes a release anew, so that attempts before this one can't take it. */
void SingleRunAttempt::bar(SingleRunActions &Actions) {
  m_Barring = true;
  settleAs({.m_Phase = SingleRunPhase::Released,
            .m_Reason = Errc::AttemptInProgress,
            .m_Verdict = RunVerdict::MayHaveRun},
           Actions);
}

void SingleRunAttempt::settleAs(SingleRunOutcome Outcome,
                                SingleRunActions &Actions) {
  m_Settling = std::move(Outcome);
  // From here on the right to send is given up. A try that comes later must
  // not join this attempt: once the release has taken effect, another one
  // may run.
  if (!m_Outcome)
    m_Outcome = m_Settling;
  m_State = State::Settling;
  m_SettleTries = 0;
  issue(Operation::Settle, Actions);
}

void SingleRunAttempt::onSettleReply(Operation Ended, const RecordReply &Reply,
                                     SingleRunActions &Actions, TimePoint Now) {
  using Kind = RecordReply::Kind;
  const bool IsClaim = isClaim(Ended);
  switch (Reply.m_Kind) {
  case Kind::Done:
    m_Revision = Reply.m_Revision;
    if (Ended == Operation::Read)
      onSettleRead(Reply, Actions, Now);
    else if (Ended == Operation::Settle)
      endSettling(true, Actions, Now);
    else
      issue(Operation::Settle, Actions); // A claim that came after giving up.
    return;
  case Kind::Conflict:
    issue(Operation::Read, Actions);
    return;
  case Kind::NotFound:
  case Kind::TooLarge:
    endSettling(false, Actions, Now);
    return;
  case Kind::Unavailable:
    if (IsClaim && !m_MayBeRecorded)
      endSettling(false, Actions, Now);
    else
      retrySettle(Actions, Now);
    return;
  case Kind::Unknown:
    m_MayBeRecorded = m_MayBeRecorded || IsClaim;
    retrySettle(Actions, Now);
    return;
  }
}

void SingleRunAttempt::onSettleRead(const RecordReply &Reply,
                                    SingleRunActions &Actions, TimePoint Now) {
  const SingleRunRecord &Found = Reply.m_Record;
  const bool IsOwn = Found.m_Token == m_Options.m_Token;
  if (IsOwn && Found.m_Phase == m_Settling.m_Phase) {
    endSettling(true, Actions, Now);
  } else if (IsOwn) {
    issue(Operation::Settle, Actions);
  } else if (m_Barring && !m_Told) {
    m_Barring = false;
    m_State = State::Claiming;
    judge(Reply, Actions, Now);
  } else {
    // Whoever holds it now could take it only from a release.
    endSettling(m_Owned, Actions, Now);
  }
}

void SingleRunAttempt::retrySettle(SingleRunActions &Actions, TimePoint Now) {
  ++m_SettleTries;
  if (m_SettleTries < m_Options.m_MaxSettleTries)
    issueAfterPause(Operation::Read, Now);
  else
    endSettling(false, Actions, Now);
}

void SingleRunAttempt::endSettling(bool IsRecorded, SingleRunActions &Actions,
                                   TimePoint Now) {
  m_State = State::Over;
  if (IsRecorded)
    m_RecordedAt = Now;
  const bool MayVouch = IsRecorded || !m_Barring;
  refuse(MayVouch ? RunVerdict::NotRun : RunVerdict::MayHaveRun,
         m_Settling.m_Reason, Actions);
}

/** Ends a claim that didn't succeed; the right to send is given up. */
void SingleRunAttempt::giveUp(Errc Reason, SingleRunActions &Actions) {
  const bool IsFresh = m_Options.m_History == KeyHistory::Fresh;
  conclude(IsFresh ? RunVerdict::NotRun : RunVerdict::MayHaveRun, Reason,
           Actions);
  m_State = State::Over;
  if (!m_MayBeRecorded && !isClaim(m_Pending))
    return;
  // The own token may be in the record, or get there late: release it.
  m_State = State::Settling;
  m_Settling = *m_Outcome;
  m_SettleTries = 0;
  m_Next = Operation::None;
  if (m_Pending == Operation::None)
    issue(Operation::Read, Actions);
}

/** Refuses; the right to send is given up. The verdict holds for the caller
 *  whose try this is, not for those that joined it later. */
void SingleRunAttempt::conclude(RunVerdict Verdict, std::error_code Reason,
                                SingleRunActions &Actions) {
  refuse(Verdict, Reason, Actions);
  if (!m_Outcome)
    m_Outcome = SingleRunOutcome{.m_Phase = SingleRunPhase::Released,
                                 .m_Reason = Reason};
}

void SingleRunAttempt::answer(std::string Result, SingleRunActions &Actions) {
  if (!std::exchange(m_Told, true))
    Actions.push_back(Answer{Result});
  m_Outcome = SingleRunOutcome{.m_Phase = SingleRunPhase::Ran,
                               .m_Result = std::move(Result),
                               .m_Verdict = RunVerdict::Ran};
}

void SingleRunAttempt::refuse(RunVerdict Verdict, std::error_code Reason,
                              SingleRunActions &Actions) {
  if (std::exchange(m_Told, true))
    return;
  Actions.push_back(Refuse{singleRunRefusal(Verdict, Reason)});
}

} // namespace figturn
