/**
 * Tests slot ownership among a few VMs under random faults in virtual time:
 * lost and delayed messages, partitions, pauses, crashes and restarts of VMs,
 * platform outages, target restarts and clock drift. Each call is checked when
 * it starts: its slot must not be in use by another call, and the target must
 * have the capacity for it. FIGTURN_SEED=N runs only seed N.
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
const TargetName TestTarget("wd-01");
const ColdStartRampOptions Ramp{
    .m_ColdSlots = 1, .m_WarmSlots = 12, .m_RampSuccesses = 15};

/** The decision objects of one process of an entry VM. */
struct Process {
  Process(int Index, int StartCount)
      : m_Self(member(fmt::format("vm-{}", Index))),
        m_Lease({}, m_Self.m_Vm, BootId(fmt::format("{}", StartCount))),
        m_Proposer({}, m_Self.m_Vm), m_Gate({}, Ramp, TestTarget, m_Self.m_Vm) {
    m_Self.m_Boot = BootId(fmt::format("{}", StartCount));
  }

  Member m_Self;
  EpochLease m_Lease;
  MemberProposer m_Proposer;
  TargetGate m_Gate;
  std::optional<std::pair<Epoch, bool>> m_SlotsVersion;
  std::map<VmName, MemberHeartbeat> m_Heartbeats;
};

/** An entry VM, its clock and the process that runs on it. */
struct Vm {
  std::unique_ptr<Process>
      m_Process; ///< Empty while the process is not running.
  int m_StartCount = 0;
  double m_ClockRate = 1;
  Duration m_PausedUntil{};
  Duration m_StoppedAt{};
  int m_PartitionSide =
      0; ///< VMs on different sides of a partition can't communicate.
  bool m_ReachesPlatform = true;
};

/** A call at the target; it continues if its VM crashes. */
struct Call {
  int m_Vm;
  int m_VmStartCount;
  std::uint32_t m_Slot;
  Duration m_Start;
  Duration m_End;
};

class FleetSimulation {
public:
  explicit FleetSimulation(unsigned Seed) : m_Random(Seed) {
    for (int I = 0; I < VmCount; ++I) {
      m_Vms[I].m_ClockRate = 0.97 + 0.01 * randomInt(0, 6);
      startVm(I);
    }
  }

  void run(Duration Length, bool Faults) {
    const Duration End = m_Now + Length;
    for (; m_Now < End; m_Now += Step) {
      if (Faults && randomInt(0, 79) == 0)
        injectFault();
      while (!m_PendingEvents.empty() &&
             m_PendingEvents.begin()->first <= m_Now) {
        auto Event = m_PendingEvents.extract(m_PendingEvents.begin());
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
      m_Vms[I].m_PartitionSide = 0;
      m_Vms[I].m_ReachesPlatform = true;
      m_Vms[I].m_PausedUntil = m_Now;
      startVm(I);
    }
  }
  int countUsableVms() {
    int Count = 0;
    for (int I = 0; I < VmCount; ++I)
      if (const MemberList *List = process(I).m_Lease.usableList(localTime(I)))
        Count += List->m_Epoch == m_Platform->m_Epoch;
    return Count;
  }
  std::uint64_t epochs() const { return m_Platform->m_Epoch.value(); }
  std::uint32_t targetCapacity() const {
    const std::uint32_t Doublings = m_Successes / Ramp.m_RampSuccesses;
    return std::min(Ramp.m_ColdSlots << std::min(Doublings, 8U),
                    Ramp.m_WarmSlots);
  }
  int m_CallsMade = 0;
  int m_DoubleUses = 0;
  int m_Overloads = 0;
  std::size_t m_MaxInFlight = 0;

private:
  int randomInt(int Min, int Max) {
    return std::uniform_int_distribution<int>(Min, Max)(m_Random);
  }
  milliseconds randomDelay(int Min, int Max) {
    return milliseconds(randomInt(Min, Max));
  }
  Process &process(int I) { return *m_Vms[I].m_Process; }
  bool isAwake(int I) const {
    return m_Vms[I].m_Process && m_Vms[I].m_PausedUntil <= m_Now;
  }
  /** The current time on the clock of VM \p I. */
  TimePoint localTime(int I) const {
    const std::chrono::duration<double> Elapsed = m_Now * m_Vms[I].m_ClockRate;
    return at(seconds(100 * I) + std::chrono::duration_cast<Duration>(Elapsed));
  }
  void startVm(int I) {
    if (!m_Vms[I].m_Process)
      m_Vms[I].m_Process =
          std::make_unique<Process>(I, ++m_Vms[I].m_StartCount);
  }

  Duration delay() {
    return randomInt(0, 20) ? randomDelay(0, 100) : randomDelay(100, 5000);
  }
  void scheduleAfter(Duration Delay, std::function<void()> Action) {
    m_PendingEvents.emplace(m_Now + Delay, std::move(Action));
  }
  /** Runs \p Action on VM \p Receiver unless its process has ended. */
  void deliver(int Receiver, int StartCount, std::function<void()> Action) {
    if (!m_Vms[Receiver].m_Process ||
        m_Vms[Receiver].m_StartCount != StartCount)
      return;
    if (isAwake(Receiver))
      return Action();
    scheduleAfter(m_Vms[Receiver].m_PausedUntil - m_Now,
                  [=, this] { deliver(Receiver, StartCount, Action); });
  }
  void send(int Sender, int Receiver, std::function<void()> Action) {
    const bool IsPartitioned =
        m_Vms[Sender].m_PartitionSide != m_Vms[Receiver].m_PartitionSide;
    const int StartCount = m_Vms[Receiver].m_StartCount;
    if (!IsPartitioned && randomInt(1, 100) > m_LossPercent)
      scheduleAfter(delay(),
                    [=, this] { deliver(Receiver, StartCount, Action); });
  }
  /** Runs \p Request at the platform; if it returns true, the platform sends
   *  its current member list to VM \p I. */
  void callPlatform(int I, std::function<bool()> Request) {
    const TimePoint Started = localTime(I);
    const int StartCount = m_Vms[I].m_StartCount;
    scheduleAfter(delay(), [=, this] {
      if (!m_PlatformUp || !m_Vms[I].m_ReachesPlatform || !Request())
        return;
      const MemberList Current = *m_Platform;
      if (randomInt(1, 100) > m_LossPercent)
        scheduleAfter(delay(), [=, this] {
          deliver(I, StartCount, [=, this] {
            process(I).m_Lease.onPlatformRead(
                Current, Started, process(I).m_Gate.lastCallEndTime(),
                localTime(I));
          });
        });
    });
  }

  /** Whether an action that VM \p I takes every \p Steps steps is due. */
  bool isDue(int I, int Steps) const { return (m_Now / Step + I) % Steps == 0; }
  void stepVm(int I) {
    if (isDue(I, 10))
      sendHeartbeats(I);
    if (isDue(I, 20))
      callPlatform(I, [this] { return m_Platform.has_value(); });
    if (randomInt(0, 9) == 0)
      proposeList(I);
    if (randomInt(0, 4) == 0)
      process(I).m_Gate.ramp().onHello(targetBoot());
    if (isDue(I, 10))
      reportRamp(I);
    updateSlots(I);
    for (int Try = randomInt(1, 3); Try > 0; --Try)
      tryCall(I);
  }
  void sendHeartbeats(int I) {
    const TimePoint SentAt = localTime(I);
    const Heartbeat Sent = process(I).m_Lease.makeHeartbeat(
        process(I).m_Gate.lastCallEndTime(), SentAt);
    const Member Sender = process(I).m_Self;
    for (int Receiver = 0; Receiver < VmCount; ++Receiver)
      if (Receiver != I)
        send(I, Receiver, [=, this] {
          Process &Peer = process(Receiver);
          Peer.m_Heartbeats[Sender.m_Vm] = {Sender, localTime(Receiver)};
          const Heartbeat Reply = Peer.m_Lease.onHeartbeat(
              Sent, Peer.m_Gate.lastCallEndTime(), localTime(Receiver));
          send(Receiver, I, [=, this] {
            process(I).m_Lease.onHeartbeatReply(
                Reply, SentAt, process(I).m_Gate.lastCallEndTime(),
                localTime(I));
          });
        });
  }
  /** Whether the platform's VM list contains VM \p I; it keeps a VM for 20 s
   *  after its process has ended. */
  bool isListed(int I) const {
    return m_Vms[I].m_Process || m_Now - m_Vms[I].m_StoppedAt < seconds(20);
  }
  void proposeList(int I) {
    Process &Self = process(I);
    if (!m_PlatformUp || !m_Vms[I].m_ReachesPlatform)
      return;
    ProposalInput Input{.m_Activated = Self.m_Lease.isActivated(localTime(I))};
    if (const MemberList *List = Self.m_Lease.adoptedList())
      Input.m_Current = *List;
    for (int Other = 0; Other < VmCount; ++Other) {
      const VmName Name(fmt::format("vm-{}", Other));
      if (isListed(Other))
        Input.m_Listed.push_back({Name});
      else
        Self.m_Lease.onMemberEnded(Name, localTime(I));
    }
    Self.m_Heartbeats[Self.m_Self.m_Vm] = {Self.m_Self, localTime(I)};
    for (const auto &[Name, Received] : Self.m_Heartbeats)
      Input.m_Heartbeats.push_back(Received);
    const auto Next = Self.m_Proposer.decide(Input, localTime(I));
    if (Next)
      callPlatform(I, [this, Next] {
        const std::uint64_t CurrentEpoch = m_Platform ? epochs() : 0;
        if (CurrentEpoch + 1 != Next->m_Epoch.value())
          return false;
        m_Platform = Next;
        return true;
      });
  }
  void reportRamp(int I) {
    const auto Report = process(I).m_Gate.ramp().makeReport();
    if (!Report)
      return;
    const TimePoint SentAt = localTime(I);
    const VmName Authority = process(I).m_Gate.ramp().authority();
    const int Receiver = Authority.value().back() - '0';
    send(I, Receiver, [=, this] {
      const auto Grant = process(Receiver).m_Gate.ramp().onReport(
          *Report, localTime(Receiver));
      if (Grant)
        send(Receiver, I, [=, this] {
          process(I).m_Gate.ramp().onGrant(*Grant, Authority, SentAt,
                                           localTime(I));
        });
    });
  }
  void updateSlots(int I) {
    Process &Self = process(I);
    const auto Permit = Self.m_Lease.permit(localTime(I));
    if (!Permit)
      return;
    const std::pair SlotsVersion(Permit->m_Epoch, Permit->m_OnlyCarried);
    if (Self.m_SlotsVersion == SlotsVersion)
      return;
    Self.m_SlotsVersion = SlotsVersion;
    Self.m_Gate.setSlots(assignSlots(*Self.m_Lease.adoptedList(), TestTarget,
                                     Ramp.m_WarmSlots, Self.m_Self.m_Vm,
                                     Permit->m_OnlyCarried),
                         localTime(I));
  }
  void tryCall(int I) {
    Process &Self = process(I);
    const TimePoint Deadline = localTime(I) + randomDelay(100, 5000);
    const auto Decision = Self.m_Gate.tryAcquire(
        {CallId(++m_LastCall), Priority::Ordinary, Deadline, true},
        Self.m_Lease.permit(localTime(I)), localTime(I));
    if (std::holds_alternative<SlotQueued>(Decision))
      Self.m_Gate.withdraw(CallId(m_LastCall));
    if (const auto *Granted = std::get_if<SlotGranted>(&Decision))
      startCall(I, *Granted);
  }
  void startCall(int I, const SlotGranted &Granted) {
    if (Granted.m_Boot != targetBoot()) // Its connection is broken.
      return release(I, Granted.m_Slot, SlotOutcome::NotSent);
    ++m_CallsMade;
    std::erase_if(m_Calls,
                  [&](const Call &Entry) { return Entry.m_End <= m_Now; });
    for (const Call &Entry : m_Calls)
      m_DoubleUses += Entry.m_Slot == Granted.m_Slot;
    const Duration Allowed = Granted.m_HardDeadline - localTime(I);
    const bool Slow = randomInt(0, 3) == 0;
    const Duration Length =
        Slow ? Allowed + CallEndMargin - milliseconds(20)
             : std::min<Duration>(Allowed, randomDelay(20, 300));
    m_Calls.push_back(
        {I, m_Vms[I].m_StartCount, Granted.m_Slot, m_Now, m_Now + Length});
    m_MaxInFlight = std::max(m_MaxInFlight, m_Calls.size());
    m_Overloads += m_Calls.size() > targetCapacity();
    const int StartCount = m_Vms[I].m_StartCount;
    const int Boot = m_TargetStartCount;
    scheduleAfter(Length, [=, this] {
      const bool Served = Boot == m_TargetStartCount;
      m_Successes += Served;
      deliver(I, StartCount, [=, this] {
        release(I, Granted.m_Slot,
                Served ? SlotOutcome::Succeeded : SlotOutcome::Failed);
      });
    });
  }
  void release(int I, std::uint32_t Slot, SlotOutcome Outcome) {
    process(I).m_Gate.release(Slot, Outcome, milliseconds(20),
                              process(I).m_Lease.permit(localTime(I)),
                              localTime(I));
  }
  BootId targetBoot() const {
    return BootId(fmt::format("target-{}", m_TargetStartCount));
  }

  void injectFault() {
    const int I = randomInt(0, VmCount - 1);
    switch (randomInt(0, 7)) {
    case 0:
      m_Vms[I].m_Process.reset();
      m_Vms[I].m_StoppedAt = m_Now;
      return scheduleAfter(randomDelay(500, 40000), [=, this] { startVm(I); });
    case 1:
    case 2:
      m_Vms[I].m_PausedUntil = m_Now + randomDelay(500, 15000);
      return;
    case 3:
      for (Vm &Entry : m_Vms)
        Entry.m_PartitionSide = randomInt(0, 3) == 0;
      return scheduleAfter(randomDelay(1000, 20000), [this] {
        for (Vm &Entry : m_Vms)
          Entry.m_PartitionSide = 0;
      });
    case 4:
      m_PlatformUp = false;
      return scheduleAfter(randomDelay(1000, 20000),
                           [this] { m_PlatformUp = true; });
    case 5:
      m_Vms[I].m_ReachesPlatform = false;
      return scheduleAfter(randomDelay(1000, 20000),
                           [=, this] { m_Vms[I].m_ReachesPlatform = true; });
    case 6:
      m_LossPercent = randomInt(0, 40);
      return;
    default:
      if (randomInt(0, 3) != 0)
        return;
      ++m_TargetStartCount;
      m_Successes = 0;
      m_Calls.clear();
    }
  }

  std::mt19937 m_Random;
  Duration m_Now{};
  std::multimap<Duration, std::function<void()>> m_PendingEvents;
  std::array<Vm, VmCount> m_Vms;
  std::optional<MemberList> m_Platform;
  bool m_PlatformUp = true;
  int m_LossPercent = 5;
  int m_TargetStartCount = 1;
  std::uint32_t m_Successes = 0; ///< Successes of the target's current process.
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

BOOST_AUTO_TEST_CASE(Target_underRandomFaults_isNeverOverloaded) {
  for (unsigned Seed : seeds()) {
    FleetSimulation Fleet(Seed);
    Fleet.run(std::chrono::minutes(5), true);
    fmt::print("FIGTURN_SEED={} epochs={} calls={} max in flight={}\n", Seed,
               Fleet.epochs(), Fleet.m_CallsMade, Fleet.m_MaxInFlight);
    BOOST_TEST_CONTEXT("FIGTURN_SEED=" << Seed) {
      BOOST_TEST(Fleet.m_DoubleUses == 0);
      BOOST_TEST(Fleet.m_Overloads == 0);
      Fleet.heal();
      Fleet.run(std::chrono::minutes(1), false);
      BOOST_TEST(Fleet.m_DoubleUses == 0);
      BOOST_TEST(Fleet.m_Overloads == 0);
      BOOST_TEST(Fleet.countUsableVms() == VmCount);
      BOOST_TEST(Fleet.targetCapacity() == Ramp.m_WarmSlots);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
