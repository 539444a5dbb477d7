#ifndef FIGTURN_COORDINATION_SCATTERGATHER_H
#define FIGTURN_COORDINATION_SCATTERGATHER_H

/**
 * One query over the shards of one pinned index snapshot. This class holds
 * what a query means: its shards, its version, what counts as covered and
 * how hits merge. How calls are placed, hedged and limited is left to the
 * strategy objects that it is given.
 *
 * Each event takes the present time and returns the actions to carry out, in
 * order. The work of an event doesn't depend on the number of shards, except
 * for start() and for the end of the query.
 *
 * - A reply counts only if its version, shard and document count are those
 *   of the pinned map. Two versions are never merged.
 * - The first good reply of a shard wins; its other calls are cancelled.
 * - A replica that doesn't hold the version is passed over without blame. If
 *   none is left, one restart of the whole query is asked for.
 * - A call that failed before a byte was sent is sent elsewhere as long as
 *   the deadline allows; all other repeats also need the extra-load budget.
 * - Once all replicas of a shard were tried, those that may recover are
 *   tried again after a pause.
 * - At the deadline the query finishes with what is covered.
 */

#include "coordination/CallIdSource.h"
#include "coordination/ExtraLoadBudget.h"
#include "coordination/HedgePolicy.h"
#include "coordination/HitMerger.h"
#include "coordination/QueryTypes.h"
#include "coordination/ReplicaChooser.h"
#include "state/IndexSnapshot.h"
#include "state/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace figturn {

/** What is asked and within which bounds. */
struct ScatterGatherOptions {
  IndexSnapshotPtr m_Snapshot; ///< Never null.
  TimePoint m_Deadline;
  std::size_t m_Limit = 10; ///< Hits wanted.
  /** Asks this shard alone, for example for a record's lookup. */
  std::optional<ShardId> m_OnlyShard;
  /** Sends one call alone first; the rest follows once it succeeded. */
  bool m_Canary = false;
  /** Whether a restart may be asked for; false in a restarted query. */
  bool m_MayRestart = true;
  /** A restart is asked for only with so much time left. */
  Duration m_RestartReserve = milliseconds(20);
  /** Pause before a shard without a replica to send to is looked at again. */
  Duration m_RetryPause = milliseconds(10);
  /** So many pauses, then the shard is given up. */
  std::uint32_t m_MaxRetryPauses = 8;
};

/** How it is done; all objects outlive the query. */
struct ScatterGatherStrategies {
  ReplicaChooser &m_Chooser;
  const HedgePolicy &m_Hedge;
  ExtraLoadBudget &m_Budget;
  CallIdSource &m_Ids;
};

/** A running query. Not thread-safe; lives on one worker. */
class ScatterGather {
public:
  ScatterGather(ScatterGatherOptions Options,
                ScatterGatherStrategies Strategies);

  /** Sends the first calls. */
  QueryActions start(TimePoint Now);

  /** Takes the outcome of call \p Call; unknown or late ones are counted. */
  QueryActions onReply(CallId Call, CallOutcome Outcome, TimePoint Now);

  /** To be called at nextTimer() or later. */
  QueryActions onTimer(TimePoint Now);

  /** When onTimer() has something to do; none once the query is over. */
  std::optional<TimePoint> nextTimer() const;

  /** The caller left: cancels all calls without a Finish. */
  QueryActions onCallerDisconnect(TimePoint Now);

  /** A restarted query takes over: cancels all calls without a Finish. */
  QueryActions supersede(TimePoint Now);

  /** There is no newer snapshot: the shards concerned stay uncovered. */
  QueryActions declineRestart(TimePoint Now);

  /** After ReportCrash: the query may send calls again. */
  QueryActions onCanaryPermission(TimePoint Now);

  /** After ReportCrash: the query finishes with \p Reason. */
  QueryActions onCanaryDenied(Refusal Reason, TimePoint Now);

  bool isOver() const { return m_Over; }
  const QueryCounts &counts() const { return m_Counts; }

private:
  /** Calls per shard at most, first ones, hedges and retries together. */
  static constexpr std::size_t MaxCallsPerShard = 8;
  /** Calls of a shard that may be outstanding: one and its hedge. */
  static constexpr std::size_t MaxOutstanding = 2;

  /** What a shard needs once it has no call outstanding. */
  enum class Need {
    None,   ///< Calls are outstanding or the shard is settled.
    First,  ///< A call that costs no extra load.
    Retry,  ///< A call that the budget must allow.
    Restart ///< A newer snapshot.
  };

  struct Shard {
    const ShardInfo *m_Info = nullptr;
    ReplicaMask m_Tried;   ///< Not to be chosen before the next pause.
    ReplicaMask m_Lacking; ///< Never to be chosen: version not held.
    std::array<std::uint32_t, MaxOutstanding> m_Outstanding{};
    std::uint8_t m_OutstandingCount = 0;
    std::uint8_t m_CallCount = 0;
    std::uint32_t m_PauseCount = 0;
    Need m_Need = Need::First;
    bool m_Paused = false; ///< Has a timer in m_RetryTimers.
    bool m_Settled = false;
    std::error_code m_LastError;
  };

  struct Call {
    std::uint32_t m_Shard = 0;
    std::uint32_t m_Replica = 0;
    bool m_Outstanding = true;
    CallKind m_Kind = CallKind::First;
  };

  struct ShardTimer {
    TimePoint m_At;
    std::uint32_t m_Shard = 0;
    std::uint32_t m_Call = 0; ///< Index of the call to hedge.
  };

  void sendWaiting(QueryActions &Actions, TimePoint Now);
  /** Sends the canary alone, or all that waits if none is pending. */
  void sendAllowed(QueryActions &Actions, TimePoint Now);
  void sendCanary(QueryActions &Actions, TimePoint Now);
  void moveCanary(std::uint32_t Index, QueryActions &Actions, TimePoint Now);
  void sendNeeded(std::uint32_t Index, QueryActions &Actions, TimePoint Now);
  bool trySend(std::uint32_t Index, CallKind Kind, QueryActions &Actions,
               TimePoint Now);
  void pauseOrGiveUp(std::uint32_t Index, TimePoint Now);
  void resume(std::uint32_t Index, QueryActions &Actions, TimePoint Now);
  void hedge(const ShardTimer &Timer, QueryActions &Actions, TimePoint Now);
  void acceptAnswer(std::uint32_t Index, CallAnswered &Answered,
                    QueryActions &Actions, TimePoint Now);
  void acceptFailure(CallId Id, const Call &Ended, const CallFailed &Failure,
                     QueryActions &Actions, TimePoint Now);
  bool isOfSnapshot(const Shard &Asked, const CallAnswered &Answered) const;
  bool mayRestart(TimePoint Now) const;
  void askRestart(std::uint32_t Index, QueryActions &Actions);
  void settle(Shard &Ended, bool IsCovered);
  void endCall(std::uint32_t CallIndex);
  void cancelOutstanding(Shard &Of, QueryActions &Actions);
  QueryActions cancelAll();
  void finishIfSettled(QueryActions &Actions);
  void finish(QueryActions &Actions);
  QueryAnswer makeAnswer();
  CallId idOf(std::uint32_t CallIndex) const;

  ScatterGatherOptions m_Options;
  ScatterGatherStrategies m_Strategies;
  std::optional<Duration> m_HedgeDelay;
  CallId m_FirstId;
  std::vector<Shard> m_Shards;
  std::vector<Call> m_Calls;
  /** Both are in order of time: each has one constant delay a query. */
  std::deque<ShardTimer> m_HedgeTimers;
  std::deque<ShardTimer> m_RetryTimers;
  HitMerger m_Merger;
  Coverage m_Coverage;
  QueryCounts m_Counts;
  std::size_t m_Unsettled = 0;
  std::error_code m_LastError; ///< Of shards that are not covered.
  bool m_AnyByteSent = false;
  bool m_CanaryPending = false; ///< The rest waits for the canary.
  bool m_Held = false;          ///< A crash was reported.
  bool m_RestartAsked = false;  ///< Cleared by declineRestart().
  bool m_Over = false;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_SCATTERGATHER_H
