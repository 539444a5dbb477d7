#ifndef FIGTURN_COORDINATION_SINGLERUNATTEMPT_H
#define FIGTURN_COORDINATION_SINGLERUNATTEMPT_H

/**
 * One attempt by one VM to run a request at most once.
 *
 * At most once: an attempt sends the request only after the platform's record
 * for the key is known to contain the attempt's token, only once, and before
 * its send-by time. No other attempt takes over a record in phase Intent, so a
 * VM that was paused between writing the record and sending the request has no
 * competitor; the send-by time is an additional safeguard. Only the holder can
 * free a record, by a conditional update to Released.
 *
 * Verdict NotRun: the verdict applies to the key, not only to this attempt.
 * Callers try several VMs in turn, so an attempt that its caller has abandoned
 * may still be in progress on another VM when a later attempt replies. NotRun
 * is therefore returned only if no earlier attempt can still send:
 * - the attempt owns the record, has sent nothing and gives up the right to
 *   send. Other attempts find Intent and wait, or find Released at a revision
 *   later than their own start;
 * - a released record is taken over only by an attempt that provably started
 *   after the release: its VM already knew that revision, or the holder reports
 *   a release that is older than the whole attempt. Any other attempt rewrites
 *   Released instead, which excludes the attempts that started before it;
 * - or this VM guarantees that the key is new (KeyHistory::Fresh).
 *
 * Lost replies: if the reply to a write is lost, the record is read back and
 * its token compared. A create or update that takes effect late is harmless,
 * since each is conditional on the revision seen before.
 *
 * The caller of this class executes the actions. It reports exactly one reply
 * for each record operation and one result for SendOnce; its own timeouts yield
 * Unknown and MayHaveRun. It may try several targets for one SendOnce as long
 * as no byte of the request was written to a socket.
 */

#include "coordination/SingleRunRecord.h"
#include "state/Time.h"
#include "state/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace figturn {

/** What this VM can guarantee about a key. */
enum class KeyHistory {
  Fresh,  ///< No VM has ever made another attempt with this key.
  Unknown ///< Other attempts may exist.
};

/** The parameters of an attempt. */
struct SingleRunOptions {
  ServiceName m_Service;
  RequestKey m_Key;
  Fingerprint m_Fingerprint;
  AttemptToken m_Token;
  VmName m_Vm;
  BootId m_Boot;
  KeyHistory m_History = KeyHistory::Unknown;
  /** Must not be later than the arrival of the request, even if the process was
   * paused while the request was in a socket buffer: the last time that the
   * event loop ran before it read the request. */
  TimePoint m_Start;
  /** Highest store revision that this VM had seen at m_Start. */
  StoreRevision m_KnownRevision;
  TimePoint m_SendBy;   ///< The request is sent only before this.
  TimePoint m_Deadline; ///< The caller gets a reply by then.
  /** Initial delay between record operations. */
  Duration m_RetryDelay = milliseconds(20);
  /** Maximum number of attempts to record the outcome. */
  std::uint32_t m_MaxRecordAttempts = 8;
};

/** The platform's reply to a record operation. */
struct RecordReply {
  enum class Kind {
    Done,        ///< Written at m_Revision, or read successfully.
    Conflict,    ///< The condition failed; nothing was written.
    NotFound,    ///< Reads only: the object doesn't exist.
    Unavailable, ///< Rejected, or never reached the platform.
    Unknown,     ///< The reply was lost; a write may have taken effect.
    TooLarge     ///< The object exceeds the platform's size limit.
  };
  Kind m_Kind = Kind::Unknown;
  StoreRevision m_Revision;
  SingleRunRecord m_Record; ///< Only for a read that is Done.
};

/** The result of SendOnce. */
struct RunResult {
  RunVerdict m_Verdict = RunVerdict::MayHaveRun;
  std::error_code m_Error; ///< None if m_Result holds a result.
  std::string m_Result;    ///< Only with verdict Ran and no error.
};

/** The final outcome of an attempt. */
struct SingleRunOutcome {
  SingleRunPhase m_Phase = SingleRunPhase::Unknown; ///< Never Intent.
  std::string m_Result;                             ///< Only in phase Ran.
  std::error_code m_Reason; ///< Why the phase is Released or Unknown.
  /** The verdict for the key, for callers that joined the attempt: NotRun only
   * if the attempt held the record while they joined. */
  RunVerdict m_Verdict = RunVerdict::MayHaveRun;
};

/** The reply of a record's holder over the peer protocol. */
struct HolderReply {
  enum class Kind {
    Settled, ///< The attempt has ended; m_Outcome is valid.
    Gone     ///< The holder is unreachable or doesn't know the attempt.
  };
  Kind m_Kind = Kind::Gone;
  SingleRunOutcome m_Outcome;
  /** Time since the release was known to have taken effect, by the holder's
   * clock when it sent the reply; zero if unknown. */
  Duration m_ReleaseAge{};
};

/** Write the record if it doesn't exist. */
struct CreateRecord {
  std::string m_Path;
  SingleRunRecord m_Record;
};

/** Write the record if its revision is still m_Expected. */
struct UpdateRecord {
  std::string m_Path;
  SingleRunRecord m_Record;
  StoreRevision m_Expected;
};

/** Read the record. */
struct ReadRecord {
  std::string m_Path;
};

/** Send the request to a target, unless m_SendBy has passed before its first
 *  byte is written. */
struct SendOnce {
  TimePoint m_SendBy;
  TimePoint m_Deadline;
};

/** Ask the VM that holds the record, possibly this one, for the outcome of its
 *  attempt. */
struct AskHolder {
  VmName m_Vm;
  BootId m_Boot;
  RequestKey m_Key;
  AttemptToken m_Token;
};

/** Reply to the caller with the result. */
struct Answer {
  std::string m_Result;
};

/** Reply to the caller with a refusal. */
struct Refuse {
  Refusal m_Refusal;
};

using SingleRunAction = std::variant<CreateRecord, UpdateRecord, ReadRecord,
                                     SendOnce, AskHolder, Answer, Refuse>;
using SingleRunActions = std::vector<SingleRunAction>;

/**
 * The state machine of an attempt. It returns one Answer or Refuse and may
 * continue afterwards, until isOver(), to record the outcome. Not thread-safe.
 */
class SingleRunAttempt {
public:
  explicit SingleRunAttempt(SingleRunOptions Options);

  SingleRunActions start(TimePoint Now);
  /** Handles the reply to the last CreateRecord, UpdateRecord or ReadRecord. */
  SingleRunActions onRecordReply(const RecordReply &Reply, TimePoint Now);
  /** Handles the result of SendOnce. */
  SingleRunActions onRunResult(RunResult Result, TimePoint Now);
  /** Handles the reply to AskHolder. */
  SingleRunActions onHolderReply(const HolderReply &Reply, TimePoint Now);
  /** The process was paused: a request that wasn't sent yet is not sent. */
  SingleRunActions onPause(TimePoint Now);
  /** The caller disconnected: a request that wasn't sent yet is not sent. */
  SingleRunActions onCallerDisconnect(TimePoint Now);
  /** To be called at nextTimer() or later. */
  SingleRunActions onTimer(TimePoint Now);
  std::optional<TimePoint> nextTimer() const;

  /** Whether the attempt has finished; no further events are expected. */
  bool isOver() const;
  /** The outcome of the request as decided by this attempt. Set as soon as the
   *  attempt can't send any more, and must then be passed to
   *  SingleRunTable::end() at once. None if another attempt's record decided
   *  the outcome. */
  const std::optional<SingleRunOutcome> &outcome() const { return m_Outcome; }
  /** When the platform was known to have stored the outcome. */
  std::optional<TimePoint> recordedAt() const { return m_RecordedAt; }
  const AttemptToken &token() const { return m_Options.m_Token; }

private:
  enum class State {
    Claiming,         ///< Writing its own token to the record.
    AskingHolder,     ///< Waiting for the holder of the record to reply.
    Sending,          ///< Waiting for the result of SendOnce.
    RecordingOutcome, ///< Writing the outcome to the record.
    Over
  };
  enum class Operation { None, Create, TakeOver, Read, RecordOutcome };

  static bool isClaim(Operation Kind);
  SingleRunRecord ownRecord(SingleRunPhase Phase) const;
  void issue(Operation Next, SingleRunActions &Actions);
  void issueAfterDelay(Operation Next, TimePoint Now);

  void onClaimReply(Operation Completed, const RecordReply &Reply,
                    SingleRunActions &Actions, TimePoint Now);
  void evaluateRecord(const RecordReply &Read, SingleRunActions &Actions,
                      TimePoint Now);
  void evaluateReleasedRecord(const SingleRunRecord &Found,
                              SingleRunActions &Actions, TimePoint Now);
  void askHolder(const SingleRunRecord &Found, SingleRunActions &Actions);
  void sendOrRelease(SingleRunActions &Actions, TimePoint Now);
  void onHolderSettled(const HolderReply &Reply, SingleRunActions &Actions,
                       TimePoint Now);
  void onHolderUnavailable(SingleRunActions &Actions);

  void rewriteRelease(SingleRunActions &Actions);
  void recordOutcome(SingleRunOutcome Outcome, SingleRunActions &Actions);
  void onOutcomeWriteReply(Operation Completed, const RecordReply &Reply,
                           SingleRunActions &Actions, TimePoint Now);
  void onOutcomeReadBack(const RecordReply &Reply, SingleRunActions &Actions,
                         TimePoint Now);
  void retryRecording(SingleRunActions &Actions, TimePoint Now);
  void finishRecording(bool IsRecorded, SingleRunActions &Actions,
                       TimePoint Now);

  void abandonClaim(Errc Reason, SingleRunActions &Actions);
  void conclude(RunVerdict Verdict, std::error_code Reason,
                SingleRunActions &Actions);
  void answer(std::string Result, SingleRunActions &Actions);
  void refuse(RunVerdict Verdict, std::error_code Reason,
              SingleRunActions &Actions);

  SingleRunOptions m_Options;
  std::string m_Path;
  State m_State = State::Claiming;
  Operation m_Pending = Operation::None; ///< Waiting for its reply.
  Operation m_Next = Operation::None;    ///< Issued at m_ResumeTime.
  TimePoint m_ResumeTime;
  StoreRevision m_Revision; ///< Of the record when last read or written.
  bool m_ClaimMayBeRecorded = false; ///< The reply to a claim was lost.
  /** The record contains, or contained, this attempt's token. */
  bool m_HasOwnedRecord = false;
  bool m_RewritingRelease = false; ///< Rewriting another attempt's release.
  bool m_Responded = false;
  bool m_HolderUnavailable = false;
  SingleRunRecord m_HolderRecord; ///< The record whose holder was asked.
  /** The token of an attempt whose release precedes m_Start. */
  AttemptToken m_TokenReleasedBeforeStart;
  std::uint32_t m_RecordAttempts = 0;
  SingleRunOutcome m_OutcomeToRecord; ///< The outcome that is being written.
  std::optional<SingleRunOutcome> m_Outcome;
  std::optional<TimePoint> m_RecordedAt;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_SINGLERUNATTEMPT_H
