#include "coordination/SingleRunAttempt.h"

#include "coordination/SingleRunRefusal.h"

#include <algorithm>
#include <utility>

namespace figturn {

namespace {

/** Maximum number of times that the delay between retries doubles. */
constexpr std::uint32_t MaxDelayDoublings = 7;

} // namespace

SingleRunAttempt::SingleRunAttempt(SingleRunOptions Options)
    : m_Options(std::move(Options)),
      m_Path(singleRunPath(m_Options.m_Service, m_Options.m_Key)) {}

SingleRunActions SingleRunAttempt::start(TimePoint Now) {
  SingleRunActions Actions;
  if (Now >= m_Options.m_Deadline)
    abandonClaim(Errc::DeadlineExceeded, Actions);
  else
    issue(Operation::Create, Actions);
  return Actions;
}

SingleRunActions SingleRunAttempt::onRecordReply(const RecordReply &Reply,
                                                 TimePoint Now) {
  SingleRunActions Actions;
  const Operation Completed = std::exchange(m_Pending, Operation::None);
  if (Completed == Operation::None)
    return Actions;
  if (m_State == State::Claiming)
    onClaimReply(Completed, Reply, Actions, Now);
  else if (m_State == State::RecordingOutcome)
    onOutcomeWriteReply(Completed, Reply, Actions, Now);
  return Actions;
}

SingleRunActions SingleRunAttempt::onRunResult(RunResult Result, TimePoint) {
  SingleRunActions Actions;
  if (m_State != State::Sending)
    return Actions;
  if (Result.m_Verdict == RunVerdict::NotRun) {
    recordOutcome({.m_Phase = SingleRunPhase::Released,
                   .m_Reason = Result.m_Error,
                   .m_Verdict = RunVerdict::NotRun},
                  Actions);
    return Actions;
  }
  if (Result.m_Verdict == RunVerdict::Ran && !Result.m_Error) {
    answer(Result.m_Result, Actions);
    recordOutcome(*m_Outcome, Actions);
    return Actions;
  }
  refuse(Result.m_Verdict, Result.m_Error, Actions);
  m_Outcome = SingleRunOutcome{.m_Phase = SingleRunPhase::Unknown,
                               .m_Reason = Result.m_Error,
                               .m_Verdict = Result.m_Verdict};
  recordOutcome(*m_Outcome, Actions);
  return Actions;
}

SingleRunActions SingleRunAttempt::onHolderReply(const HolderReply &Reply,
                                                 TimePoint Now) {
  SingleRunActions Actions;
  if (m_State != State::AskingHolder)
    return Actions;
  if (Reply.m_Kind == HolderReply::Kind::Gone)
    onHolderUnavailable(Actions);
  else
    onHolderSettled(Reply, Actions, Now);
  return Actions;
}

SingleRunActions SingleRunAttempt::onPause(TimePoint) {
  SingleRunActions Actions;
  // The clock may have stopped during the pause. The time since m_Start may
  // then be too short to tell that a release came after it.
  m_Options.m_SendBy = TimePoint::min();
  if (m_State == State::Claiming)
    abandonClaim(Errc::DeadlineExceeded, Actions);
  return Actions;
}

SingleRunActions SingleRunAttempt::onCallerDisconnect(TimePoint) {
  SingleRunActions Actions;
  m_Responded = true;
  m_Options.m_SendBy = TimePoint::min();
  if (m_State == State::Claiming || m_State == State::AskingHolder)
    abandonClaim(Errc::Cancelled, Actions);
  return Actions;
}

SingleRunActions SingleRunAttempt::onTimer(TimePoint Now) {
  SingleRunActions Actions;
  const bool IsLate = Now >= m_Options.m_Deadline;
  if (IsLate && m_State == State::Claiming) {
    abandonClaim(Errc::PlatformUnavailable, Actions);
  } else if (IsLate && m_State == State::AskingHolder) {
    abandonClaim(Errc::AttemptInProgress, Actions);
  } else if (IsLate && !m_Responded && m_State == State::Sending) {
    refuse(RunVerdict::MayHaveRun, Errc::DeadlineExceeded, Actions);
  } else if (IsLate && !m_Responded && m_State == State::RecordingOutcome) {
    // Only a release is reported after it has been recorded. The right to send
    // has already been given up, which suffices for NotRun unless another
    // attempt's release has to be rewritten.
    refuse(m_RewritingRelease ? RunVerdict::MayHaveRun : RunVerdict::NotRun,
           m_OutcomeToRecord.m_Reason, Actions);
  }
  if (m_Next != Operation::None && Now >= m_ResumeTime)
    issue(std::exchange(m_Next, Operation::None), Actions);
  return Actions;
}

std::optional<TimePoint> SingleRunAttempt::nextTimer() const {
  if (m_State == State::Over)
    return std::nullopt;
  std::optional<TimePoint> Next;
  if (!m_Responded)
    Next = m_Options.m_Deadline;
  if (m_Next != Operation::None)
    Next = Next ? std::min(*Next, m_ResumeTime) : m_ResumeTime;
  return Next;
}

bool SingleRunAttempt::isOver() const { return m_State == State::Over; }

bool SingleRunAttempt::isClaim(Operation Kind) {
  return Kind == Operation::Create || Kind == Operation::TakeOver;
}

SingleRunRecord SingleRunAttempt::ownRecord(SingleRunPhase Phase) const {
  return {.m_Key = m_Options.m_Key,
          .m_Fingerprint = m_Options.m_Fingerprint,
          .m_Token = m_Options.m_Token,
          .m_Vm = m_Options.m_Vm,
          .m_Boot = m_Options.m_Boot,
          .m_Phase = Phase,
          .m_Result =
              Phase == SingleRunPhase::Ran ? m_OutcomeToRecord.m_Result : ""};
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
  case Operation::TakeOver:
    Actions.push_back(
        UpdateRecord{.m_Path = m_Path,
                     .m_Record = ownRecord(SingleRunPhase::Intent),
                     .m_Expected = m_Revision});
    return;
  case Operation::Read:
    Actions.push_back(ReadRecord{m_Path});
    return;
  case Operation::RecordOutcome:
    Actions.push_back(
        UpdateRecord{.m_Path = m_Path,
                     .m_Record = ownRecord(m_OutcomeToRecord.m_Phase),
                     .m_Expected = m_Revision});
    return;
  }
}

void SingleRunAttempt::issueAfterDelay(Operation Next, TimePoint Now) {
  m_Next = Next;
  const std::uint32_t Doublings = std::min(m_RecordAttempts, MaxDelayDoublings);
  m_ResumeTime = Now + m_Options.m_RetryDelay * (1U << Doublings);
}

void SingleRunAttempt::onClaimReply(Operation Completed,
                                    const RecordReply &Reply,
                                    SingleRunActions &Actions, TimePoint Now) {
  using Kind = RecordReply::Kind;
  const bool IsRead = Completed == Operation::Read;
  if (!IsRead && Reply.m_Kind == Kind::Unknown)
    m_ClaimMayBeRecorded = true;
  switch (Reply.m_Kind) {
  case Kind::Done:
    m_Revision = Reply.m_Revision;
    if (IsRead)
      evaluateRecord(Reply, Actions, Now);
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
    // The token shows whether a write with a lost reply took effect.
    if (IsRead)
      issueAfterDelay(Operation::Read, Now);
    else
      issue(Operation::Read, Actions);
    return;
  case Kind::Unavailable:
    issueAfterDelay(Operation::Read, Now);
    return;
  case Kind::TooLarge:
    abandonClaim(Errc::BodyTooLarge, Actions);
    return;
  }
}

/** Decides how to proceed with an existing record. */
void SingleRunAttempt::evaluateRecord(const RecordReply &Read,
                                      SingleRunActions &Actions,
                                      TimePoint Now) {
  const SingleRunRecord &Found = Read.m_Record;
  if (Found.m_Token == m_Options.m_Token) {
    sendOrRelease(Actions, Now);
    return;
  }
  // Another attempt exists, so the key is no longer known to be fresh. The
  // existing record also prevents a delayed create of this attempt from taking
  // effect.
  m_Options.m_History = KeyHistory::Unknown;
  m_ClaimMayBeRecorded = false;
  if (Found.m_Key != m_Options.m_Key ||
      Found.m_Fingerprint != m_Options.m_Fingerprint) {
    abandonClaim(Errc::KeyReused, Actions);
    return;
  }
  switch (Found.m_Phase) {
  case SingleRunPhase::Ran:
    answer(Found.m_Result, Actions);
    m_State = State::Over;
    return;
  case SingleRunPhase::Unknown:
    abandonClaim(Errc::AttemptLost, Actions);
    return;
  case SingleRunPhase::Released:
    evaluateReleasedRecord(Found, Actions, Now);
    return;
  case SingleRunPhase::Intent:
    const bool IsEarlierProcess =
        Found.m_Vm == m_Options.m_Vm && Found.m_Boot != m_Options.m_Boot;
    if (m_HolderUnavailable || IsEarlierProcess)
      abandonClaim(Errc::AttemptLost, Actions);
    else
      askHolder(Found, Actions);
    return;
  }
}

/** Takes over a released record if the release provably precedes m_Start. */
void SingleRunAttempt::evaluateReleasedRecord(const SingleRunRecord &Found,
                                              SingleRunActions &Actions,
                                              TimePoint Now) {
  const bool IsEarlier = m_Revision <= m_Options.m_KnownRevision ||
                         m_TokenReleasedBeforeStart == Found.m_Token;
  const bool MaySend = Now < m_Options.m_SendBy && !m_Responded && !m_Outcome;
  if (!MaySend || (!IsEarlier && m_HolderUnavailable))
    rewriteRelease(Actions);
  else if (IsEarlier)
    issue(Operation::TakeOver, Actions);
  else
    askHolder(Found, Actions);
}

void SingleRunAttempt::askHolder(const SingleRunRecord &Found,
                                 SingleRunActions &Actions) {
  m_State = State::AskingHolder;
  m_HolderRecord = Found;
  Actions.push_back(AskHolder{.m_Vm = Found.m_Vm,
                              .m_Boot = Found.m_Boot,
                              .m_Key = Found.m_Key,
                              .m_Token = Found.m_Token});
}

/** The record contains this attempt's token. The only function that emits
 *  SendOnce. */
void SingleRunAttempt::sendOrRelease(SingleRunActions &Actions, TimePoint Now) {
  m_HasOwnedRecord = true;
  if (!m_Responded && !m_Outcome && Now < m_Options.m_SendBy) {
    m_State = State::Sending;
    Actions.push_back(SendOnce{.m_SendBy = m_Options.m_SendBy,
                               .m_Deadline = m_Options.m_Deadline});
    return;
  }
  recordOutcome({.m_Phase = SingleRunPhase::Released,
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
    m_TokenReleasedBeforeStart = m_HolderRecord.m_Token;
    m_State = State::Claiming;
    issue(Operation::Read, Actions);
    return;
  }
  if (m_HolderRecord.m_Phase == SingleRunPhase::Released) {
    rewriteRelease(Actions);
    return;
  }
  // The holder held the record when this attempt read it and will never send;
  // its release excludes attempts that started before that.
  conclude(RunVerdict::NotRun, Errc::AttemptInProgress, Actions);
  m_State = State::Over;
}

/** Reads the record again: the holder may have recorded its outcome. */
void SingleRunAttempt::onHolderUnavailable(SingleRunActions &Actions) {
  m_HolderUnavailable = true;
  m_State = State::Claiming;
  issue(Operation::Read, Actions);
}

/** Rewrites a release, so that earlier attempts can't take over the record. */
void SingleRunAttempt::rewriteRelease(SingleRunActions &Actions) {
  m_RewritingRelease = true;
  recordOutcome({.m_Phase = SingleRunPhase::Released,
                 .m_Reason = Errc::AttemptInProgress,
                 .m_Verdict = RunVerdict::MayHaveRun},
                Actions);
}

void SingleRunAttempt::recordOutcome(SingleRunOutcome Outcome,
                                     SingleRunActions &Actions) {
  m_OutcomeToRecord = std::move(Outcome);
  // The right to send is given up from here on. Later requests must not join
  // this attempt: once the release has taken effect, another attempt may run.
  if (!m_Outcome)
    m_Outcome = m_OutcomeToRecord;
  m_State = State::RecordingOutcome;
  m_RecordAttempts = 0;
  issue(Operation::RecordOutcome, Actions);
}

void SingleRunAttempt::onOutcomeWriteReply(Operation Completed,
                                           const RecordReply &Reply,
                                           SingleRunActions &Actions,
                                           TimePoint Now) {
  using Kind = RecordReply::Kind;
  const bool IsClaim = isClaim(Completed);
  switch (Reply.m_Kind) {
  case Kind::Done:
    m_Revision = Reply.m_Revision;
    if (Completed == Operation::Read)
      onOutcomeReadBack(Reply, Actions, Now);
    else if (Completed == Operation::RecordOutcome)
      finishRecording(true, Actions, Now);
    else
      issue(Operation::RecordOutcome,
            Actions); // A claim that completed after it was abandoned.
    return;
  case Kind::Conflict:
    issue(Operation::Read, Actions);
    return;
  case Kind::NotFound:
  case Kind::TooLarge:
    finishRecording(false, Actions, Now);
    return;
  case Kind::Unavailable:
    if (IsClaim && !m_ClaimMayBeRecorded)
      finishRecording(false, Actions, Now);
    else
      retryRecording(Actions, Now);
    return;
  case Kind::Unknown:
    m_ClaimMayBeRecorded = m_ClaimMayBeRecorded || IsClaim;
    retryRecording(Actions, Now);
    return;
  }
}

void SingleRunAttempt::onOutcomeReadBack(const RecordReply &Reply,
                                         SingleRunActions &Actions,
                                         TimePoint Now) {
  const SingleRunRecord &Found = Reply.m_Record;
  const bool IsOwn = Found.m_Token == m_Options.m_Token;
  if (IsOwn && Found.m_Phase == m_OutcomeToRecord.m_Phase) {
    finishRecording(true, Actions, Now);
  } else if (IsOwn) {
    issue(Operation::RecordOutcome, Actions);
  } else if (m_RewritingRelease && !m_Responded) {
    m_RewritingRelease = false;
    m_State = State::Claiming;
    evaluateRecord(Reply, Actions, Now);
  } else {
    // The current holder can only have taken over a released record.
    finishRecording(m_HasOwnedRecord, Actions, Now);
  }
}

void SingleRunAttempt::retryRecording(SingleRunActions &Actions,
                                      TimePoint Now) {
  ++m_RecordAttempts;
  if (m_RecordAttempts < m_Options.m_MaxRecordAttempts)
    issueAfterDelay(Operation::Read, Now);
  else
    finishRecording(false, Actions, Now);
}

void SingleRunAttempt::finishRecording(bool IsRecorded,
                                       SingleRunActions &Actions,
                                       TimePoint Now) {
  m_State = State::Over;
  if (IsRecorded)
    m_RecordedAt = Now;
  const bool IsNotRunCertain = IsRecorded || !m_RewritingRelease;
  refuse(IsNotRunCertain ? RunVerdict::NotRun : RunVerdict::MayHaveRun,
         m_OutcomeToRecord.m_Reason, Actions);
}

/** Ends a failed claim and gives up the right to send. */
void SingleRunAttempt::abandonClaim(Errc Reason, SingleRunActions &Actions) {
  const bool IsFresh = m_Options.m_History == KeyHistory::Fresh;
  conclude(IsFresh ? RunVerdict::NotRun : RunVerdict::MayHaveRun, Reason,
           Actions);
  m_State = State::Over;
  if (!m_ClaimMayBeRecorded && !isClaim(m_Pending))
    return;
  // The record may contain this attempt's token, now or later: release it.
  m_State = State::RecordingOutcome;
  m_OutcomeToRecord = *m_Outcome;
  m_RecordAttempts = 0;
  m_Next = Operation::None;
  if (m_Pending == Operation::None)
    issue(Operation::Read, Actions);
}

/** Refuses the request and gives up the right to send. The verdict applies to
 *  the caller that started this attempt, not to those that joined it later. */
void SingleRunAttempt::conclude(RunVerdict Verdict, std::error_code Reason,
                                SingleRunActions &Actions) {
  refuse(Verdict, Reason, Actions);
  if (!m_Outcome)
    m_Outcome = SingleRunOutcome{.m_Phase = SingleRunPhase::Released,
                                 .m_Reason = Reason};
}

void SingleRunAttempt::answer(std::string Result, SingleRunActions &Actions) {
  if (!std::exchange(m_Responded, true))
    Actions.push_back(Answer{Result});
  m_Outcome = SingleRunOutcome{.m_Phase = SingleRunPhase::Ran,
                               .m_Result = std::move(Result),
                               .m_Verdict = RunVerdict::Ran};
}

void SingleRunAttempt::refuse(RunVerdict Verdict, std::error_code Reason,
                              SingleRunActions &Actions) {
  if (std::exchange(m_Responded, true))
    return;
  Actions.push_back(Refuse{singleRunRefusal(Verdict, Reason)});
}

} // namespace figturn
