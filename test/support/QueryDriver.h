#ifndef FIGTURN_TEST_SUPPORT_QUERYDRIVER_H
#define FIGTURN_TEST_SUPPORT_QUERYDRIVER_H

/**
 * Drives one ScatterGather step by step with controllable policies, and
 * records the returned actions by type.
 */

#include "coordination/LeastLoadedChooser.h"
#include "coordination/ScatterGather.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace figturn {

/** An index with ten documents and two replicas per shard, and the policies
 *  of a query. */
struct QueryFixture final : ReplicaTable, HedgePolicy {
  std::map<TargetName, ReplicaStatus> m_Status;
  std::optional<Duration> m_HedgeDelay;
  ExtraLoadBudget m_Budget{0.05, 5};
  CallIdAllocator m_Ids;
  LeastLoadedChooser m_Chooser{*this, {}, 1};
  std::shared_ptr<IndexSnapshot> m_Snapshot = std::make_shared<IndexSnapshot>();

  explicit QueryFixture(std::uint32_t Shards = 3) {
    m_Snapshot->m_Version = IndexVersion(7);
    for (std::uint32_t Shard = 0; Shard < Shards; ++Shard) {
      const TargetName Left(fmt::format("left-{}", Shard));
      const TargetName Right(fmt::format("right-{}", Shard));
      m_Status[Left].m_Usable = m_Status[Right].m_Usable = true;
      m_Snapshot->m_Shards.push_back({.m_Shard = ShardId(Shard),
                                      .m_Documents = 10,
                                      .m_Replicas = {Left, Right}});
    }
  }

  ReplicaStatus status(const TargetName &Target) const override {
    return m_Status.at(Target);
  }
  void addOutstanding(const TargetName &Target) override {
    ++m_Status.at(Target).m_Outstanding;
  }
  std::optional<Duration> delay(TimePoint) const override {
    return m_HedgeDelay;
  }
};

/** Drives one query with a deadline of 100 ms after its start. */
class QueryDriver {
public:
  QueryDriver(QueryFixture &Fixture, ScatterGatherOptions Options)
      : m_Query(withDefaults(Fixture, std::move(Options)),
                {.m_Chooser = Fixture.m_Chooser,
                 .m_Hedge = Fixture,
                 .m_Budget = Fixture.m_Budget,
                 .m_Ids = Fixture.m_Ids}) {}

  static TimePoint deadline() { return TimePoint(milliseconds(100)); }

  void start() { applyActions(m_Query.start(m_Now)); }
  void reply(std::size_t CallIndex, QueryCallOutcome Outcome) {
    applyActions(m_Query.onReply(m_Sent.at(CallIndex).m_Call,
                                 std::move(Outcome), m_Now));
  }
  CallAnswered makeAnswer(std::size_t CallIndex, std::vector<Hit> Hits) const {
    return {.m_Version = IndexVersion(7),
            .m_Shard = m_Sent.at(CallIndex).m_Shard,
            .m_Documents = 10,
            .m_Hits = std::move(Hits)};
  }
  void answer(std::size_t CallIndex, std::vector<Hit> Hits) {
    reply(CallIndex, makeAnswer(CallIndex, std::move(Hits)));
  }
  void advanceTime(milliseconds Delay) {
    m_Now += Delay;
    applyActions(m_Query.onTimer(m_Now));
  }

  void applyActions(QueryActions Actions) {
    for (QueryAction &Each : Actions)
      std::visit([this](auto &Action) { recordAction(Action); }, Each);
  }

  ScatterGather m_Query;
  TimePoint m_Now;
  std::vector<SendCall> m_Sent;
  std::vector<CallId> m_Cancelled;
  std::optional<QueryAnswer> m_Answer;
  std::optional<Refusal> m_Refusal;
  int m_FinishCount = 0;
  int m_RestartCount = 0;
  int m_CrashReportCount = 0;

private:
  static ScatterGatherOptions withDefaults(QueryFixture &Fixture,
                                           ScatterGatherOptions Options) {
    Options.m_Snapshot = Fixture.m_Snapshot;
    Options.m_Deadline = deadline();
    return Options;
  }

  void recordAction(SendCall &Action) { m_Sent.push_back(Action); }
  void recordAction(CancelCall &Action) {
    m_Cancelled.push_back(Action.m_Call);
  }
  void recordAction(RestartQuery &) { ++m_RestartCount; }
  void recordAction(ReportCrash &) { ++m_CrashReportCount; }
  void recordAction(Finish &Action) {
    ++m_FinishCount;
    if (auto *Answer = std::get_if<QueryAnswer>(&Action.m_Outcome))
      m_Answer = std::move(*Answer);
    else
      m_Refusal = std::get<Refusal>(Action.m_Outcome);
  }
};

} // namespace figturn

#endif // FIGTURN_TEST_SUPPORT_QUERYDRIVER_H
