/**
 * Random faults over the ownership decisions of a few VMs in virtual time:
 * lost and late messages, partitions, pauses, deaths and restarts of VMs,
 * outages of the platform and restarts of the target, with clocks that drift.
 * A call is checked as it starts: its slot is in use by nobody else, and the
 * target's process bears it. FIGTURN_SEED runs one seed.
 */

#include "coordination/EpochLease.h"
#include "coordination/MemberProposer.h"
#include "coordination/TargetGate.h"
#include "support/Members.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <random>

using namespace figturn;
using namespace figturn::test;

namespace {

constexpr int VmCount = 6;
constexpr Duration Step = milliseconds(50);
constexpr Duration CallEndMargin = milliseconds(200);
const TargetName Desk("wd-01");
const ColdRampOptions Ramp{
    .m_ColdSlots = 1, .m_AllSlots = 12, .m_RampSuccesses = 15};

/** The decision objects of one process of an entry VM. */
struct Process {
  Process(int Index, int Starts)
      : m_Self(member(fmt::format("vm-{}", Index))),
        m_Lease({}, m_Self.m_Vm, BootId(fmt::format("{}", Starts))),
        m_Proposer({}, m_Self.m_Vm), m_Gate({}, Ramp, Desk, m_Self.m_Vm) {
    m_Self.m_Boot = BootId(fmt::format("{}", Starts));
  }

  Member m_Self;
  EpochLease m_Lease;
  MemberProposer m_Proposer;
  TargetGate m_Gate;
  std::optional<std::pair<Epoch, bool>> m_SlotsOf;
  std::map<VmName, HeardVm> m_Heard;
};

/** An entry VM's place, its clock and the process that runs there. */
struct Vm {
  std::unique_ptr<Process> m_Process; ///< Empty while it is dead.
  int m_Starts = 0;
  double m_ClockRate = 1;
  Duration m_PausedUntil{};
  Duration m_DiedAt{};
  int m_Side = 0; ///< Only VMs on the same side of a partition talk.
  bool m_ReachesPlatform = true;
};

/** A call at the target; it goes on when its VM dies. */
struct Call {
  int m_Vm;
  int m_VmStarts;
  std::uint32_t m_Slot;
  Duration m_Start;
  Duration m_End;
};

class World {
public:
  explicit World(unsigned Seed) : m_Random(Seed) {
    for (int I = 0; I < VmCount; ++I) {
      m_Vms[I].m_ClockRate = 0.97 + 0.01 * pick(0, 6);
      startVm(I);
    }
  }

  void run(Duration Length, bool Faults) {
    const Duration End = m_Now + Length;
    for (; m_Now < End; m_Now += Step) {
      if (Faults && pick(0, 79) == 0)
        causeFault();
      while (!m_Events.empty() && m_Events.begin()->first <= m_Now) {
        auto Event = m_Events.extract(m_Events.begin());
        Event.mapped()();
      }
      for (int I = 0; I < VmCount; ++I)
        if (isAwake(I))
          stepVm(I);
    }
  }
  void heal() {
    m_PlatformUp = true;
    m_LossPercent = 0;
    for (int I = 0; I < VmCount; ++I) {
      m_Vms[I].m_Side = 0;
      m_Vms[I].m_ReachesPlatform = true;
      m_Vms[I].m_PausedUntil = m_Now;
      startVm(I);
    }
  }
  int usableVms() {
    int Count = 0;
    for (int I = 0; I < VmCount; ++I)
      if (const MemberList *List = process(I).m_Lease.usableEpoch(local(I)))
        Count += List->m_Epoch == m_Platform->m_Epoch;
    return Count;
  }
  std::uint64_t epochs() const { return m_Platform->m_Epoch.value(); }
  std::uint32_t bears() const {
    const std::uint32_t Rises = m_Successes / Ramp.m_RampSuccesses;
    return std::min(Ramp.m_ColdSlots << std::min(Rises, 8U), Ramp.m_AllSlots);
  }
  int m_CallsMade = 0;
  int m_DoubleUses = 0;
  int m_Overloads = 0;
  std::size_t m_MostInFlight = 0;

private:
  int pick(int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(m_Random);
  }
  milliseconds span(int Least, int Most) {
    return milliseconds(pick(Least, Most));
  }
  Process &process(int I) { return *m_Vms[I].m_Process; }
  bool isAwake(int I) const {
    return m_Vms[I].m_Process && m_Vms[I].m_PausedUntil <= m_Now;
  }
  /** The present time on a VM's own clock. */
  TimePoint local(int I) const {
    const std::chrono::duration<double> Passed = m_Now * m_Vms[I].m_ClockRate;
    return at(seconds(100 * I) + std::chrono::duration_cast<Duration>(Passed));
  }
  void startVm(int I) {
    if (!m_Vms[I].m_Process)
      m_Vms[I].m_Process = std::make_unique<Process>(I, ++m_Vms[I].m_Starts);
  }

  Duration delay() { return pick(0, 20) ? span(0, 100) : span(100, 5000); }
  void after(Duration Delay, std::function<void()> Action) {
    m_Events.emplace(m_Now + Delay, std::move(Action));
  }
  /** Runs \p Action in VM \p To unless its process ends before. */
  void deliver(int To, int Starts, std::function<void()> Action) {
    if (!m_Vms[To].m_Process || m_Vms[To].m_Starts != Starts)
      return;
    if (isAwake(To))
      return Action();
    after(m_Vms[To].m_PausedUntil - m_Now,
          [=, this] { deliver(To, Starts, Action); });
  }
  void send(int From, int To, std::function<void()> Action) {
    const bool Cut = m_Vms[From].m_Side != m_Vms[To].m_Side;
    const int Starts = m_Vms[To].m_Starts;
    if (!Cut && pick(1, 100) > m_LossPercent)
      after(delay(), [=, this] { deliver(To, Starts, Action); });
  }
  /** Sends \p Request to the platform and its result back to VM \p I. */
  void askPlatform(int I, std::function<bool()> Request) {
    const TimePoint Started = local(I);
    const int Starts = m_Vms[I].m_Starts;
    after(delay(), [=, this] {
      if (!m_PlatformUp || !m_Vms[I].m_ReachesPlatform || !Request())
        return;
      const MemberList Shown = *m_Platform;
      if (pick(1, 100) > m_LossPercent)
        after(delay(), [=, this] {
          deliver(I, Starts, [=, this] {
            process(I).m_Lease.onPlatformRead(
                Shown, Started, process(I).m_Gate.drainedBy(), local(I));
          });
        });
    });
  }

  /** Whether VM \p I does now what it does each \p Steps steps. */
  bool isDue(int I, int Steps) const { return (m_Now / Step + I) % Steps == 0; }
  void stepVm(int I) {
    if (isDue(I, 10))
      sendHeartbeats(I);
    if (isDue(I, 20))
      askPlatform(I, [this] { return m_Platform.has_value(); });
    if (pick(0, 9) == 0)
      proposeList(I);
    if (pick(0, 4) == 0)
      process(I).m_Gate.ramp().onHello(targetBoot());
    if (isDue(I, 10))
      reportRamp(I);
    updateSlots(I);
    for (int Try = pick(1, 3); Try > 0; --Try)
      tryCall(I);
  }
  void sendHeartbeats(int I) {
    const TimePoint SentAt = local(I);
    const Heartbeat Sent =
        process(I).m_Lease.makeHeartbeat(process(I).m_Gate.drainedBy(), SentAt);
    const Member From = process(I).m_Self;
    for (int To = 0; To < VmCount; ++To)
      if (To != I)
        send(I, To, [=, this] {
          Process &Peer = process(To);
          Peer.m_Heard[From.m_Vm] = {From, local(To)};
          const Heartbeat Reply = Peer.m_Lease.onHeartbeat(
              Sent, Peer.m_Gate.drainedBy(), local(To));
          send(To, I, [=, this] {
            process(I).m_Lease.onHeartbeatReply(
                Reply, SentAt, process(I).m_Gate.drainedBy(), local(I));
          });
        });
  }
  bool isListed(int I) const {
    return m_Vms[I].m_Process || m_Now - m_Vms[I].m_DiedAt < seconds(20);
  }
  void proposeList(int I) {
    Process &Self = process(I);
    if (!m_PlatformUp || !m_Vms[I].m_ReachesPlatform)
      return;
    ProposalInput Input{.m_Activated = Self.m_Lease.isActivated(local(I))};
    if (const MemberList *List = Self.m_Lease.adopted())
      Input.m_Current = *List;
    for (int Other = 0; Other < VmCount; ++Other) {
      const VmName Name(fmt::format("vm-{}", Other));
      if (isListed(Other))
        Input.m_Listed.push_back({Name});
      else
        Self.m_Lease.onMemberGone(Name, local(I));
    }
    Self.m_Heard[Self.m_Self.m_Vm] = {Self.m_Self, local(I)};
    for (const auto &[Name, Heard] : Self.m_Heard)
      Input.m_Heard.push_back(Heard);
    const auto Next = Self.m_Proposer.decide(Input, local(I));
    if (Next)
      askPlatform(I, [this, Next] {
        const std::uint64_t Held = m_Platform ? epochs() : 0;
        if (Held + 1 != Next->m_Epoch.value())
          return false;
        m_Platform = Next;
        return true;
      });
  }
  void reportRamp(int I) {
    const auto Report = process(I).m_Gate.ramp().makeReport();
    if (!Report)
      return;
    const TimePoint SentAt = local(I);
    const VmName Authority = process(I).m_Gate.ramp().authority();
    const int To = Authority.value().back() - '0';
    send(I, To, [=, this] {
      const auto Grant = process(To).m_Gate.ramp().onReport(*Report, local(To));
      if (Grant)
        send(To, I, [=, this] {
          process(I).m_Gate.ramp().onGrant(*Grant, Authority, SentAt, local(I));
        });
    });
  }
  void updateSlots(int I) {
    Process &Self = process(I);
    const auto Right = Self.m_Lease.right(local(I));
    if (!Right)
      return;
    const std::pair Wanted(Right->m_Epoch, Right->m_OnlyCarried);
    if (Self.m_SlotsOf == Wanted)
      return;
    Self.m_SlotsOf = Wanted;
    Self.m_Gate.setSlots(assignSlots(*Self.m_Lease.adopted(), Desk,
                                     Ramp.m_AllSlots, Self.m_Self.m_Vm,
                                     Right->m_OnlyCarried),
                         local(I));
  }
  void tryCall(int I) {
    Process &Self = process(I);
    const TimePoint Deadline = local(I) + span(100, 5000);
    const auto Decision = Self.m_Gate.tryAcquire(
        {CallId(++m_LastCall), Priority::Ordinary, Deadline, true},
        Self.m_Lease.right(local(I)), local(I));
    if (std::holds_alternative<SlotQueued>(Decision))
      Self.m_Gate.withdraw(CallId(m_LastCall));
    if (const auto *Granted = std::get_if<SlotGranted>(&Decision))
      startCall(I, *Granted);
  }
  void startCall(int I, const SlotGranted &Granted) {
    if (Granted.m_Boot != targetBoot()) // Its connection is broken.
      return release(I, Granted.m_Slot, SlotOutcome::NotSent);
    ++m_CallsMade;
    std::erase_if(m_Calls, [&](const Call &One) { return One.m_End <= m_Now; });
    for (const Call &One : m_Calls)
      m_DoubleUses += One.m_Slot == Granted.m_Slot;
    const Duration Allowed = Granted.m_HardEnd - local(I);
    const bool Slow = pick(0, 3) == 0;
    const Duration Length = Slow ? Allowed + CallEndMargin - milliseconds(20)
                                 : std::min<Duration>(Allowed, span(20, 300));
    m_Calls.push_back(
        {I, m_Vms[I].m_Starts, Granted.m_Slot, m_Now, m_Now + Length});
    m_MostInFlight = std::max(m_MostInFlight, m_Calls.size());
    m_Overloads += m_Calls.size() > bears();
    const int Starts = m_Vms[I].m_Starts;
    const int Boot = m_TargetStarts;
    after(Length, [=, this] {
      const bool Served = Boot == m_TargetStarts;
      m_Successes += Served;
      deliver(I, Starts, [=, this] {
        release(I, Granted.m_Slot,
                Served ? SlotOutcome::Succeeded : SlotOutcome::Failed);
      });
    });
  }
  void release(int I, std::uint32_t Slot, SlotOutcome Outcome) {
    process(I).m_Gate.release(Slot, Outcome, milliseconds(20),
                              process(I).m_Lease.right(local(I)), local(I));
  }
  BootId targetBoot() const {
    return BootId(fmt::format("target-{}", m_TargetStarts));
  }

  void causeFault() {
    const int I = pick(0, VmCount - 1);
    switch (pick(0, 7)) {
    case 0:
      m_Vms[I].m_Process.reset();
      m_Vms[I].m_DiedAt = m_Now;
      return after(span(500, 40000), [=, this] { startVm(I); });
    case 1:
    case 2:
      m_Vms[I].m_PausedUntil = m_Now + span(500, 15000);
      return;
    case 3:
      for (Vm &One : m_Vms)
        One.m_Side = pick(0, 3) == 0;
      return after(span(1000, 20000), [this] {
        for (Vm &One : m_Vms)
          One.m_Side = 0;
      });
    case 4:
      m_PlatformUp = false;
      return after(span(1000, 20000), [this] { m_PlatformUp = true; });
    case 5:
      m_Vms[I].m_ReachesPlatform = false;
      return after(span(1000, 20000),
                   [=, this] { m_Vms[I].m_ReachesPlatform = true; });
    case 6:
      m_LossPercent = pick(0, 40);
      return;
    default:
      if (pick(0, 3) != 0)
        return;
      ++m_TargetStarts;
      m_Successes = 0;
      m_Calls.clear();
    }
  }

  std::mt19937 m_Random;
  Duration m_Now{};
  std::multimap<Duration, std::function<void()>> m_Events;
  std::array<Vm, VmCount> m_Vms;
  std::optional<MemberList> m_Platform;
  bool m_PlatformUp = true;
  int m_LossPercent = 5;
  int m_TargetStarts = 1;
  std::uint32_t m_Successes = 0; ///< Of the target's present process.
  std::vector<Call> m_Calls;
  std::uint64_t m_LastCall = 0;
};

std::vector<unsigned> seeds() {
  if (const char *Given = std::getenv("FIGTURN_SEED"))
    return {static_cast<unsigned>(std::strtoul(Given, nullptr, 10))};
  return {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 3120};
}

} // namespace

BOOST_AUTO_TEST_SUITE(OwnershipRandomTest)

BOOST_AUTO_TEST_CASE(Target_under_random_faults_is_never_given_too_much) {
  for (unsigned Seed : seeds()) {
    World Fleet(Seed);
    Fleet.run(std::chrono::minutes(5), true);
    fmt::print("FIGTURN_SEED={} epochs={} calls={} most in flight={}\n", Seed,
               Fleet.epochs(), Fleet.m_CallsMade, Fleet.m_MostInFlight);
    BOOST_TEST_CONTEXT("FIGTURN_SEED=" << Seed) {
      BOOST_TEST(Fleet.m_DoubleUses == 0);
      BOOST_TEST(Fleet.m_Overloads == 0);
      Fleet.heal();
      Fleet.run(std::chrono::minutes(1), false);
      BOOST_TEST(Fleet.m_DoubleUses == 0);
      BOOST_TEST(Fleet.m_Overloads == 0);
      BOOST_TEST(Fleet.usableVms() == VmCount);
      BOOST_TEST(Fleet.bears() == Ramp.m_AllSlots);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
