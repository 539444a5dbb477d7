#ifndef FIGTURN_SUPPORT_QUERYDRIVER_H
#define FIGTURN_SUPPORT_QUERYDRIVER_H

/**
 * Drives one ScatterGather by hand: strategies with settable state, and the
 * query's actions sorted into lists.
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

/** Three shards of ten documents, two replicas each, and the strategies. */
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

/** One query, whose deadline is 100 ms after its start. */
class QueryDriver {
public:
  QueryDriver(QueryFixture &World, ScatterGatherOptions Options)
      : m_Query(withDefaults(World, std::move(Options)),
                {.m_Chooser = World.m_Chooser,
                 .m_Hedge = World,
                 .m_Budget = World.m_Budget,
                 .m_Ids = World.m_Ids}) {}

  static TimePoint deadline() { return TimePoint(milliseconds(100)); }

  void start() { applyActions(m_Query.start(m_Now)); }
  void reply(std::size_t Sent, CallOutcome Outcome) {
    applyActions(m_Query.onReply(m_Sent.at(Sent).m_Call, std::move(Outcome), m_Now));
  }
  CallAnswered makeAnswer(std::size_t Sent, std::vector<Hit> Hits) const {
    return {.m_Version = IndexVersion(7),
            .m_Shard = m_Sent.at(Sent).m_Shard,
            .m_Documents = 10,
            .m_Hits = std::move(Hits)};
  }
  void answer(std::size_t Sent, std::vector<Hit> Hits) {
    reply(Sent, makeAnswer(Sent, std::move(Hits)));
  }
  void advanceTime(milliseconds Later) {
    m_Now += Later;
    applyActions(m_Query.onTimer(m_Now));
  }

  void applyActions(QueryActions Actions) {
    for (QueryAction &Each : Actions)
      std::visit([this](auto &What) { recordAction(What); }, Each);
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
  static ScatterGatherOptions withDefaults(QueryFixture &World,
                                       ScatterGatherOptions Options) {
    Options.m_Snapshot = World.m_Snapshot;
    Options.m_Deadline = deadline();
    return Options;
  }

  void recordAction(SendCall &What) { m_Sent.push_back(What); }
  void recordAction(CancelCall &What) { m_Cancelled.push_back(What.m_Call); }
  void recordAction(RestartQuery &) { ++m_RestartCount; }
  void recordAction(ReportCrash &) { ++m_CrashReportCount; }
  void recordAction(Finish &What) {
    ++m_FinishCount;
    if (auto *Complete = std::get_if<QueryAnswer>(&What.m_Outcome))
      m_Answer = std::move(*Complete);
    else
      m_Refusal = std::get<Refusal>(What.m_Outcome);
  }
};

} // namespace figturn

#endif // FIGTURN_SUPPORT_QUERYDRIVER_H
