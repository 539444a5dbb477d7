#ifndef FIGTURN_COORDINATION_SCATTERGATHER_H
#define FIGTURN_COORDINATION_SCATTERGATHER_H

/**
 * Scatter-gather of one query over the shards of a pinned index snapshot. This
 * class implements the semantics of a query: its shards, its version, what
 * counts as covered, and how hits are merged. Replica selection, hedging and
 * limits are delegated to strategy objects.
 *
 * Each event handler takes the current time and returns the actions to execute,
 * in order. Its cost doesn't depend on the number of shards, except at the
 * start and the end of the query and while a canary, a crash or a declined
 * restart is handled.
 *
 * - A reply is accepted only if its version, shard and document count match the
 *   pinned snapshot. Different versions are never merged.
 * - The first valid reply for a shard is used; its other calls are cancelled.
 * - A replica that doesn't hold the version is skipped and isn't counted as
 *   failing. If no replica is left, the query requests one restart.
 * - A call that failed before any byte was sent is sent to another replica
 *   while the deadline allows; other retries also need extra-load budget.
 * - Once all replicas of a shard have been tried, those that may recover are
 *   tried again after a delay.
 * - At the deadline, the query finishes with the shards covered so far.
 */

#include "coordination/CallIdAllocator.h"
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

/** Parameters and limits of a query. */
struct ScatterGatherOptions {
  IndexSnapshotPtr m_Snapshot; ///< Never null.
  TimePoint m_Deadline;
  std::size_t m_Limit = 10; ///< Maximum number of hits to return.
  /** Restricts the query to this shard, for example to look up a record. */
  std::optional<ShardId> m_OnlyShard;
  /** Sends a single call first and the others only once it has succeeded. */
  bool m_Canary = false;
  /** Whether a restart may be requested; false in a restarted query. */
  bool m_MayRestart = true;
  /** Minimum remaining time for which a restart is requested. */
  Duration m_MinRestartTime = milliseconds(20);
  /** Delay before a shard without an available replica is tried again. */
  Duration m_RetryDelay = milliseconds(10);
  /** Number of such delays after which the shard is given up. */
  std::uint32_t m_MaxRetryRounds = 8;
};

/** The strategies of a query; all objects must outlive it. */
struct ScatterGatherStrategies {
  ReplicaChooser &m_Chooser;
  const HedgePolicy &m_Hedge;
  ExtraLoadBudget &m_Budget;
  CallIdAllocator &m_Ids;
};

/** A running query. Not thread-safe; confined to one worker. */
class ScatterGather {
public:
  ScatterGather(ScatterGatherOptions Options,
                ScatterGatherStrategies Strategies);

  /** Sends the initial calls. */
  QueryActions start(TimePoint Now);

  /** Handles the outcome of \p Call; late replies are only counted. */
  QueryActions onReply(CallId Call, QueryCallOutcome Outcome, TimePoint Now);

  /** To be called at nextTimer() or later. */
  QueryActions onTimer(TimePoint Now);

  /** When onTimer() is due next; none once the query is over. */
  std::optional<TimePoint> nextTimer() const;

  /** The caller disconnected: cancels all calls without a Finish. */
  QueryActions onCallerDisconnect(TimePoint Now);

  /** A restarted query replaces this one: cancels all calls without a Finish.
   */
  QueryActions supersede(TimePoint Now);

  /** No newer snapshot is available: the affected shards stay uncovered. */
  QueryActions declineRestart(TimePoint Now);

  /** Resumes sending calls after a ReportCrash. */
  QueryActions onCanaryPermission(TimePoint Now);

  /** Finishes the query with \p Reason after a ReportCrash. */
  QueryActions onCanaryDenied(Refusal Reason, TimePoint Now);

  bool isOver() const { return m_Over; }
  const QueryCounts &counts() const { return m_Counts; }

private:
  /** Maximum number of calls per shard, including hedges and retries. */
  static constexpr std::size_t MaxCallsPerShard = 8;
  /** Maximum number of outstanding calls per shard: one call and its hedge. */
  static constexpr std::size_t MaxOutstanding = 2;

  /** The next step of a shard that has no outstanding call. */
  enum class NextStep {
    None,   ///< Calls are outstanding, or the shard is settled.
    First,  ///< A call that causes no extra load.
    Retry,  ///< A call that needs budget.
    Restart ///< A restart with a newer snapshot.
  };

  struct Shard {
    const ShardInfo *m_Info = nullptr;
    /** Excluded until the next retry delay has passed. */
    ReplicaMask m_TriedReplicas;
    /** Excluded: these replicas lack the version. */
    ReplicaMask m_VersionNotHeld;
    std::array<std::uint32_t, MaxOutstanding> m_Outstanding{};
    std::uint8_t m_OutstandingCount = 0;
    std::uint8_t m_CallCount = 0;
    std::uint32_t m_RetryRoundCount = 0;
    NextStep m_NextStep = NextStep::First;
    bool m_BackingOff = false; ///< Waiting for a timer in m_RetryTimers.
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
    TimePoint m_DueTime;
    std::uint32_t m_Shard = 0;
    std::uint32_t m_Call = 0; ///< Index of the call to hedge.
  };

  void sendPendingShards(QueryActions &Actions, TimePoint Now);
  /** Sends only the canary if one is pending, otherwise all pending calls. */
  void sendPermitted(QueryActions &Actions, TimePoint Now);
  void sendCanary(QueryActions &Actions, TimePoint Now);
  void reassignCanary(std::uint32_t Index, QueryActions &Actions,
                      TimePoint Now);
  void sendNextCall(std::uint32_t Index, QueryActions &Actions, TimePoint Now);
  bool trySend(std::uint32_t Index, CallKind Kind, QueryActions &Actions,
               TimePoint Now);
  void backOffOrGiveUp(std::uint32_t Index, TimePoint Now);
  void resume(std::uint32_t Index, QueryActions &Actions, TimePoint Now);
  void hedge(const ShardTimer &Timer, QueryActions &Actions, TimePoint Now);
  void acceptAnswer(std::uint32_t Index, CallAnswered &Answered,
                    QueryActions &Actions, TimePoint Now);
  void acceptFailure(CallId Id, const Call &EndedCall,
                     const CallFailed &Failure, QueryActions &Actions,
                     TimePoint Now);
  bool matchesSnapshot(const Shard &Entry, const CallAnswered &Answered) const;
  bool canRestart(TimePoint Now) const;
  void requestRestart(std::uint32_t Index, QueryActions &Actions);
  void settle(Shard &Entry, bool IsCovered);
  void endCall(std::uint32_t CallIndex);
  void cancelOutstanding(Shard &Entry, QueryActions &Actions);
  QueryActions cancelAll();
  void finishIfSettled(QueryActions &Actions);
  void finish(QueryActions &Actions);
  QueryAnswer makeAnswer();
  CallId callIdAt(std::uint32_t CallIndex) const;

  ScatterGatherOptions m_Options;
  ScatterGatherStrategies m_Strategies;
  std::optional<Duration> m_HedgeDelay;
  CallId m_FirstId;
  std::vector<Shard> m_Shards;
  std::vector<Call> m_Calls;
  /** Both are ordered by due time: each uses one fixed delay per query. */
  std::deque<ShardTimer> m_HedgeTimers;
  std::deque<ShardTimer> m_RetryTimers;
  HitMerger m_Merger;
  Coverage m_Coverage;
  QueryCounts m_Counts;
  std::size_t m_UnsettledShards = 0;
  std::error_code m_LastError; ///< Last error of an uncovered shard.
  bool m_AnyByteSent = false;
  bool m_CanaryPending = false;    ///< Other calls wait for the canary.
  bool m_Suspended = false;        ///< A crash was reported; no calls are sent.
  bool m_RestartRequested = false; ///< Reset by declineRestart().
  bool m_Over = false;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_SCATTERGATHER_H
