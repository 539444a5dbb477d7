// Benchmarks the decisions made for each call, query and member change at
// several fleet sizes. tools/bench runs it; tools/capacity reads its JSON.

#include "coordination/EpochLease.h"
#include "coordination/LeastLoadedChooser.h"
#include "coordination/ScatterGather.h"
#include "coordination/TargetGate.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

using namespace figturn;

namespace {

constexpr std::uint32_t SlotsPerTarget = 12;

MemberList makeMembers(std::int64_t Count) {
  MemberList List{.m_Epoch = Epoch(2)};
  for (std::int64_t I = 0; I < Count; ++I)
    List.m_Members.push_back(
        {.m_Vm = VmName(fmt::format("vm-{:03}", I)), .m_Boot = BootId("b")});
  List.m_Previous = List.m_Members;
  return List;
}

/** Assigns one target's slots after a change of the member list. */
void slotAssignment(benchmark::State &State) {
  const MemberList List = makeMembers(State.range(0));
  const TargetName Target("workshop-desk-01");
  const VmName Self("vm-000");
  for ([[maybe_unused]] auto Step : State)
    benchmark::DoNotOptimize(
        assignSlots(List, Target, SlotsPerTarget, Self, false));
}

/** Acquires and releases the slot of one call. */
void admission(benchmark::State &State) {
  const MemberList List = makeMembers(1);
  const VmName Self("vm-000");
  const TargetName Target("workshop-desk-01");
  const TimePoint Now{};
  TargetGate Gate({}, {.m_ColdSlots = 1, .m_WarmSlots = SlotsPerTarget}, Target,
                  Self);
  Gate.setSlots(assignSlots(List, Target, SlotsPerTarget, Self, false), Now);
  const std::optional<EpochPermit> Permit =
      EpochPermit{.m_Epoch = Epoch(2), .m_ValidUntil = TimePoint::max()};
  std::uint64_t Next = 1;
  for ([[maybe_unused]] auto Step : State) {
    const auto Decision = Gate.tryAcquire(
        {.m_Call = CallId(Next++), .m_Deadline = Now + seconds(1)}, Permit,
        Now);
    if (const auto *Granted = std::get_if<SlotGranted>(&Decision))
      Gate.release(Granted->m_Slot, SlotOutcome::Succeeded, milliseconds(6),
                   Permit, Now);
  }
}

/** Processes one peer's heartbeat, by length of the member list. */
void heartbeat(benchmark::State &State) {
  const MemberList List = makeMembers(State.range(0));
  const TimePoint Now = TimePoint{} + seconds(10);
  EpochLease Lease({}, VmName("vm-000"), BootId("b"));
  Lease.onPlatformRead(List, Now, std::nullopt, Now);
  const Heartbeat Message{.m_Sender = VmName("vm-001"),
                          .m_Boot = BootId("b"),
                          .m_Epoch = Epoch(2),
                          .m_Activated = true};
  for ([[maybe_unused]] auto Step : State) {
    benchmark::DoNotOptimize(Lease.onHeartbeat(Message, std::nullopt, Now));
    benchmark::DoNotOptimize(Lease.permit(Now));
  }
}

/** Reports each target as usable, warm and idle. */
class IdleTargets final : public ReplicaTable {
public:
  ReplicaStatus status(const TargetName &) const override {
    return {.m_Usable = true, .m_Latency = milliseconds(6)};
  }
  void addOutstanding(const TargetName &) override {}
};

IndexSnapshotPtr makeSnapshot(std::int64_t Shards) {
  auto Snapshot = std::make_shared<IndexSnapshot>();
  Snapshot->m_Version = IndexVersion(1);
  for (std::int64_t I = 0; I < Shards; ++I)
    Snapshot->m_Shards.push_back(
        {.m_Shard = ShardId(static_cast<std::uint32_t>(I)),
         .m_Documents = 100,
         .m_Replicas = {TargetName(fmt::format("t-{}", I)),
                        TargetName(fmt::format("t-{}", I + 1))}});
  return Snapshot;
}

/** One query: routing, a reply with ten hits from each shard, merge, answer. */
void query(benchmark::State &State) {
  const IndexSnapshotPtr Snapshot = makeSnapshot(State.range(0));
  const TimePoint Now{};
  IdleTargets Targets;
  LeastLoadedChooser Chooser(Targets, {}, 1);
  const NoHedgePolicy Hedge;
  ExtraLoadBudget Budget(0.05, 50);
  CallIdAllocator Ids;
  const std::vector<Hit> Hits(10, Hit{"B-0001", 1.0, "{}"});
  for ([[maybe_unused]] auto Step : State) {
    ScatterGather Query(
        {.m_Snapshot = Snapshot, .m_Deadline = Now + seconds(1)},
        {Chooser, Hedge, Budget, Ids});
    for (const QueryAction &Action : Query.start(Now))
      if (const auto *Send = std::get_if<SendCall>(&Action))
        benchmark::DoNotOptimize(Query.onReply(
            Send->m_Call,
            CallAnswered{Send->m_Version, Send->m_Shard, 100, Hits}, Now));
  }
}

} // namespace

BENCHMARK(slotAssignment)->Arg(15)->Arg(50)->Arg(150)->Arg(430);
BENCHMARK(admission);
BENCHMARK(heartbeat)->Arg(15)->Arg(50)->Arg(150)->Arg(430);
BENCHMARK(query)->Arg(8)->Arg(50)->Arg(250);

BENCHMARK_MAIN();
