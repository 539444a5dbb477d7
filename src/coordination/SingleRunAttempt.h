#ifndef FIGTURN_COORDINATION_SINGLERUNATTEMPT_H
#define FIGTURN_COORDINATION_SINGLERUNATTEMPT_H

/**
 * One attempt, at one VM, at a request that may run at most once.
 *
 * At most once: the request is sent only while the record of its key in the
 * platform is known to bear this attempt's own token, once, and before the
 * attempt's send-by time. Nobody takes over a record in phase Intent, so a
 * VM that was paused between its write and its send has no rival; send-by is
 * a second line of defence. A record becomes free only by a conditional
 * update to Released by the holder itself.
 *
 * True "not run": the verdict speaks of the key. Callers try one VM after
 * another, so an attempt that its caller has given up may still be under way
 * elsewhere when a later one answers. "Not run" therefore is told only when
 * no attempt that started earlier can still send:
 * - the attempt owns the record, has sent nothing and gives up the right to
 *   send; whoever comes to the record finds Intent and waits, or finds
 *   Released at a revision later than its own start;
 * - a released record is taken only by an attempt that provably started
 *   after the release: its VM already knew of that revision, or the holder
 *   says that its release is older than the whole attempt. Another attempt
 *   writes Released anew instead, which bars those before it;
 * - or this VM vouches for the key (KeyHistory::Fresh).
 *
 * Lost answers: a write whose answer was lost is read back and compared by
 * token. A create or update that arrives late is harmless, since each is
 * conditional on the revision that was seen.
 *
 * The embedder carries out the actions. It reports exactly one reply for
 * each record operation and one result for SendOnce, with a time-out of its
 * own that yields Unknown or MayHaveRun. It may try several targets for one
 * SendOnce as long as no byte of the request was handed to a socket.
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

/** What this VM can vouch for about a key. */
enum class KeyHistory {
  Fresh,  ///< No other attempt with this key was ever made anywhere.
  Unknown ///< There may have been one.
};

/** What an attempt needs to know. */
struct SingleRunOptions {
  ServiceName m_Service;
  RequestKey m_Key;
  Fingerprint m_Fingerprint;
  AttemptToken m_Token;
  VmName m_Vm;
  BootId m_Boot;
  KeyHistory m_History = KeyHistory::Unknown;
  /** When the event loop last ran before it read the request: a moment that
   *  surely precedes the request's arrival, also if the process was paused
   *  while the request lay in a socket's buffer. */
  TimePoint m_Start;
  /** Highest revision of the store that this VM had seen at m_Start. */
  StoreRevision m_KnownRevision;
  TimePoint m_SendBy;                       ///< Not sent at this time or later.
  TimePoint m_Deadline;                     ///< The caller is answered by then.
  Duration m_RetryPause = milliseconds(20); ///< Between tries at the platform.
  /** Tries to record the outcome before it is left as it is. */
  std::uint32_t m_MaxSettleTries = 8;
};

/** What the platform said to a record operation. */
struct RecordReply {
  enum class Kind {
    Done,        ///< Written at m_Revision, or read.
    Conflict,    ///< The condition didn't hold; nothing was written.
    NotFound,    ///< Read only: there is no such object.
    Unavailable, ///< Refused, or never reached the platform.
    Unknown,     ///< The answer was lost; a write may have taken effect.
    TooLarge     ///< The object is larger than the platform takes.
  };
  Kind m_Kind = Kind::Unknown;
  StoreRevision m_Revision;
  SingleRunRecord m_Record; ///< Of a read that is Done.
};

/** How the one send ended. */
struct RunResult {
  RunVerdict m_Verdict = RunVerdict::MayHaveRun;
  std::error_code m_Error; ///< None if m_Result holds a result.
  std::string m_Result;    ///< With verdict Ran and no error.
};

/** What is known for good about an attempt's request. */
struct SingleRunOutcome {
  SingleRunPhase m_Phase = SingleRunPhase::Unknown; ///< Never Intent.
  std::string m_Result;                             ///< In phase Ran.
  std::error_code m_Reason; ///< Why it is Released or Unknown.
  /** About the key, for callers that joined the attempt: NotRun only if the
   *  attempt held the record while they joined. */
  RunVerdict m_Verdict = RunVerdict::MayHaveRun;
};

/** What the holder of a record says when asked over the peer protocol. */
struct HolderReply {
  enum class Kind {
    Settled, ///< m_Outcome holds; told once the attempt has ended.
    Gone     ///< The holder can't be reached or doesn't know the attempt.
  };
  Kind m_Kind = Kind::Gone;
  SingleRunOutcome m_Outcome;
  /** Time since the release was known to have taken effect; zero if that
   *  isn't known. By the holder's clock, when it sent the reply. */
  Duration m_ReleaseAge{};
};

/** Write the record if there is none. */
struct CreateRecord {
  std::string m_Path;
  SingleRunRecord m_Record;
};

/** Write the record if its revision still is m_Expected. */
struct UpdateRecord {
  std::string m_Path;
  SingleRunRecord m_Record;
  StoreRevision m_Expected;
};

/** Read the record. */
struct ReadRecord {
  std::string m_Path;
};

/** Send the request to a target, unless m_SendBy has come when its first
 *  byte would be written. */
struct SendOnce {
  TimePoint m_SendBy;
  TimePoint m_Deadline;
};

/** Ask another VM, or this one, how its attempt ended. */
struct AskHolder {
  VmName m_Vm;
  BootId m_Boot;
  RequestKey m_Key;
  AttemptToken m_Token;
};

/** Tell the caller the result. */
struct Answer {
  std::string m_Result;
};

/** Tell the caller why there is none. */
struct Refuse {
  Refusal m_Refusal;
};

using SingleRunAction = std::variant<CreateRecord, UpdateRecord, ReadRecord,
                                     SendOnce, AskHolder, Answer, Refuse>;
using SingleRunActions = std::vector<SingleRunAction>;

/**
 * The state machine. It yields one Answer or Refuse, and may go on after it
 * until isOver() to record the outcome. Not thread-safe.
 */
class SingleRunAttempt {
public:
  explicit SingleRunAttempt(SingleRunOptions Options);

  SingleRunActions start(TimePoint Now);
  /** The reply to the last CreateRecord, UpdateRecord or ReadRecord. */
  SingleRunActions onRecordReply(const RecordReply &Reply, TimePoint Now);
  /** The result of SendOnce. */
  SingleRunActions onRunResult(RunResult Result, TimePoint Now);
  /** The reply to AskHolder. */
  SingleRunActions onHolderReply(const HolderReply &Reply, TimePoint Now);
  /** The process didn't run for a while: what wasn't sent isn't sent. */
  SingleRunActions onPause(TimePoint Now);
  /** Nobody waits for the answer any more: what wasn't sent isn't sent. */
  SingleRunActions onCallerDisconnect(TimePoint Now);
  /** To be called at nextTimer() or later. */
  SingleRunActions onTimer(TimePoint Now);
  std::optional<TimePoint> nextTimer() const;

  /** Nothing more will be done; no event is expected. */
  bool isOver() const;
  /** How the request ended as far as this attempt decides it; set as soon
   *  as the attempt can't send any more, and then to be told to
   *  SingleRunTable::end() at once. None if another one's record decided. */
  const std::optional<SingleRunOutcome> &outcome() const { return m_Outcome; }
  /** When the recorded outcome was known to be in the platform. */
  std::optional<TimePoint> recordedAt() const { return m_RecordedAt; }
  const AttemptToken &token() const { return m_Options.m_Token; }

private:
  enum class State {
    Claiming, ///< Getting the own token into the record.
    Asking,   ///< Another attempt holds the record.
    Sending,  ///< SendOnce was given out.
    Settling, ///< Recording how it ended.
    Over
  };
  enum class Operation { None, Create, Take, Read, Settle };

  static bool isClaim(Operation Which);
  SingleRunRecord ownRecord(SingleRunPhase Phase) const;
  void issue(Operation Next, SingleRunActions &Actions);
  void issueAfterPause(Operation Next, TimePoint Now);

  void onClaimReply(Operation Ended, const RecordReply &Reply,
                    SingleRunActions &Actions, TimePoint Now);
  void judge(const RecordReply &Read, SingleRunActions &Actions, TimePoint Now);
  void judgeReleased(const SingleRunRecord &Found, SingleRunActions &Actions,
                     TimePoint Now);
  void askHolder(const SingleRunRecord &Found, SingleRunActions &Actions);
  void sendOrRelease(SingleRunActions &Actions, TimePoint Now);
  void onHolderSettled(const HolderReply &Reply, SingleRunActions &Actions,
                       TimePoint Now);
  void onHolderGone(SingleRunActions &Actions);

  void bar(SingleRunActions &Actions);
  void settleAs(SingleRunOutcome Outcome, SingleRunActions &Actions);
  void onSettleReply(Operation Ended, const RecordReply &Reply,
                     SingleRunActions &Actions, TimePoint Now);
  void onSettleRead(const RecordReply &Reply, SingleRunActions &Actions,
                    TimePoint Now);
  void retrySettle(SingleRunActions &Actions, TimePoint Now);
  void endSettling(bool IsRecorded, SingleRunActions &Actions, TimePoint Now);

  void giveUp(Errc Reason, SingleRunActions &Actions);
  void conclude(RunVerdict Verdict, std::error_code Reason,
                SingleRunActions &Actions);
  void answer(std::string Result, SingleRunActions &Actions);
  void refuse(RunVerdict Verdict, std::error_code Reason,
              SingleRunActions &Actions);

  SingleRunOptions m_Options;
  std::string m_Path;
  State m_State = State::Claiming;
  Operation m_Pending = Operation::None; ///< Its reply is awaited.
  Operation m_Next = Operation::None;    ///< To be issued at m_ResumeAt.
  TimePoint m_ResumeAt;
  StoreRevision m_Revision;     ///< Of the record as last seen or written.
  bool m_MayBeRecorded = false; ///< A claim's answer was lost.
  bool m_Owned = false;         ///< The own token is, or was, in the record.
  bool m_Barring = false; ///< Settling a record that another one released.
  bool m_Told = false;
  bool m_HolderGone = false;
  SingleRunRecord m_Asked;       ///< What made this attempt ask its holder.
  AttemptToken m_ReleasedBefore; ///< Its release is older than m_Start.
  std::uint32_t m_SettleTries = 0;
  SingleRunOutcome m_Settling; ///< What is being recorded.
  std::optional<SingleRunOutcome> m_Outcome;
  std::optional<TimePoint> m_RecordedAt;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_SINGLERUNATTEMPT_H
