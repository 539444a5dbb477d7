/**
 * Gossip membership: which VMs are considered alive, and the number of
 * messages.
 */

#include "coordination/FleetView.h"
#include "support/RoutedTargets.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>

using namespace figturn;
using namespace figturn::test;

namespace {

VmRecord makeVm(std::size_t Index, std::int64_t StartedMs = 1) {
  const std::string Name = "vm-" + std::to_string(Index);
  return {.m_Vm = VmName(Name),
          .m_StartedMs = StartedMs,
          .m_Phase = VmPhase::Serving,
          .m_DataCentre = DataCentreName("dc-" + std::to_string(Index % 3)),
          .m_CallerAddress = "c-" + Name,
          .m_GossipAddress = "g-" + Name,
          .m_StateAddress = "s-" + Name};
}

/**
 * VMs whose messages arrive immediately, unless the VMs are partitioned or
 * stopped.
 */
struct Fixture {
  std::vector<std::unique_ptr<FleetView>> m_Vms;
  std::vector<bool> m_IsRunning;
  std::vector<int>
      m_Partition; ///< Messages are only delivered between equal values.
  std::vector<TimePoint> m_NextRound;
  TimePoint m_Now = Start;
  std::map<std::size_t, CrashQuarantine> m_Crashes;
  std::size_t m_Messages = 0;

  void setFleet(std::size_t Size) {
    for (std::size_t I = 0; I < Size; ++I)
      addVm();
  }
  void addVm() {
    const std::size_t Index = m_Vms.size();
    m_Vms.push_back(std::make_unique<FleetView>(
        makeVm(Index), std::vector<std::string>{"g-vm-0", "g-vm-1"},
        FleetViewOptions{}, static_cast<std::uint32_t>(Index + 1)));
    m_IsRunning.push_back(true);
    m_Partition.push_back(0);
    m_NextRound.push_back(m_Now);
  }
  void deliver(std::size_t Sender, const GossipMessage &Message) {
    for (const std::string &Address : Message.m_Receivers)
      for (std::size_t I = 0; I < m_Vms.size(); ++I)
        if (m_Vms[I]->self().m_GossipAddress == Address) {
          ++m_Messages;
          if (m_IsRunning[I] && m_Partition[I] == m_Partition[Sender])
            receive(I, Message.m_Payload);
        }
  }
  void receive(std::size_t I, const GossipPayload &Payload) {
    m_Vms[I]->receive(Payload, m_Now);
    for (const CrashRecord &Each : Payload.m_Crashes)
      crashes(I).mergeRecord(Each, m_Now);
  }
  CrashQuarantine &crashes(std::size_t I) {
    return m_Crashes.try_emplace(I, CrashQuarantineOptions{}).first->second;
  }
  /** Advances the time by \p Count regular round intervals. */
  void runRounds(int Count) {
    const TimePoint End = m_Now + Count * milliseconds(400);
    while (m_Now < End) {
      m_Now += milliseconds(50);
      for (std::size_t I = 0; I < m_Vms.size(); ++I)
        if (m_IsRunning[I] && m_NextRound[I] <= m_Now) {
          deliver(I, m_Vms[I]->beginRound(crashes(I), m_Now));
          m_NextRound[I] = m_Now + m_Vms[I]->roundInterval(m_Now);
        }
    }
  }
  bool advertises(std::size_t Observer, std::size_t Subject) const {
    const auto Serving = m_Vms[Observer]->serving(m_Now);
    return std::any_of(Serving.begin(), Serving.end(),
                       [&](const VmRecord &Each) {
                         return Each.m_Vm == m_Vms[Subject]->self().m_Vm;
                       });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetViewTest, Fixture)

BOOST_AUTO_TEST_CASE(Fleet_startedAtOnce_isKnownEverywhereWithinFourSeconds) {
  setFleet(15);
  runRounds(10);
  for (const auto &Each : m_Vms)
    BOOST_TEST(Each->serving(m_Now).size() == 15U);
}

BOOST_AUTO_TEST_CASE(FailedVm_afterFourSeconds_isAdvertisedByNoVm) {
  setFleet(15);
  runRounds(10);
  m_IsRunning[4] = false;
  runRounds(10);
  for (std::size_t I = 0; I < 15; ++I)
    if (I != 4)
      BOOST_TEST(!advertises(I, 4));
}

BOOST_AUTO_TEST_CASE(LargeFleet_startedAtOnce_isKnownWithinTheRecoveryTime) {
  setFleet(126);
  runRounds(37); // 14.8 s of the 15 s specified for recovery.
  for (const auto &Each : m_Vms)
    BOOST_TEST(Each->serving(m_Now).size() == 126U);
}

BOOST_AUTO_TEST_CASE(RunningVm_inALargeFleet_isNeverConsideredFailed) {
  setFleet(126);
  runRounds(60);
  for (int Round = 0; Round < 100; ++Round) {
    runRounds(1);
    for (const auto &Each : m_Vms)
      BOOST_REQUIRE(Each->serving(m_Now).size() == 126U);
  }
}

BOOST_AUTO_TEST_CASE(Messages_inALargeFleet_averageAtMostFourPerVmAndRound) {
  setFleet(126);
  runRounds(60);
  m_Messages = 0;
  runRounds(10);
  BOOST_TEST(m_Messages <= 126U * 10 * 4);
}

BOOST_AUTO_TEST_CASE(Vm_announcingAPlannedStop_isNoLongerAdvertised) {
  setFleet(15);
  runRounds(10);
  m_Vms[2]->setSelf(VmPhase::Stopping, 1);
  deliver(2, m_Vms[2]->announce(m_Now));
  for (std::size_t I = 0; I < 15; ++I)
    BOOST_TEST(!advertises(I, 2));
}

BOOST_AUTO_TEST_CASE(RestartedVm_withALowerHeartbeatCount_isAccepted) {
  setFleet(3);
  runRounds(10);
  m_Vms[0]->takeServingChanges(m_Now);
  m_Vms[2] = std::make_unique<FleetView>(
      makeVm(2, 2), std::vector<std::string>{"g-vm-0"}, FleetViewOptions{}, 9);
  runRounds(4);
  BOOST_TEST(advertises(0, 2));
  BOOST_TEST(m_Vms[0]->takeServingChanges(m_Now).empty());
}

BOOST_AUTO_TEST_CASE(RestartedVm_withItsClockSetBack_isAccepted) {
  setFleet(15);
  runRounds(10);
  m_Vms[2] = std::make_unique<FleetView>(makeVm(2, -2000),
                                         std::vector<std::string>{"g-vm-0"},
                                         FleetViewOptions{}, 9);
  runRounds(20);
  for (std::size_t I = 0; I < m_Vms.size(); ++I)
    BOOST_TEST(advertises(I, 2));
}

BOOST_AUTO_TEST_CASE(RestartedVm_afterADelayedOldRecord_keepsItsNewRecord) {
  setFleet(3);
  runRounds(10);
  const GossipMessage Delayed = m_Vms[2]->beginRound(crashes(2), m_Now);
  m_Vms[2] = std::make_unique<FleetView>(
      makeVm(2, 2), std::vector<std::string>{"g-vm-0"}, FleetViewOptions{}, 9);
  runRounds(4);
  m_Vms[0]->takeServingChanges(m_Now);
  receive(0, Delayed.m_Payload);
  BOOST_TEST(m_Vms[0]->takeServingChanges(m_Now).empty());
  BOOST_TEST(advertises(0, 2));
}

BOOST_AUTO_TEST_CASE(IsolatedVm_afterTheTimeout_advertisesOnlyItself) {
  setFleet(15);
  runRounds(10);
  m_Partition[3] = 1;
  runRounds(8); // 3.2 s
  BOOST_TEST(m_Vms[3]->serving(m_Now).size() == 15U);
  runRounds(7); // 6 s
  BOOST_TEST(m_Vms[3]->serving(m_Now).size() == 1U);
  BOOST_TEST(m_Vms[5]->serving(m_Now).size() == 14U);
}

BOOST_AUTO_TEST_CASE(PartitionedFleet_afterThePartitionHeals_isReunited) {
  setFleet(15);
  runRounds(10);
  for (std::size_t I = 0; I < 15; ++I)
    m_Partition[I] = static_cast<int>(I % 2);
  runRounds(25);
  BOOST_TEST(m_Vms[0]->serving(m_Now).size() == 8U);
  m_Partition.assign(15, 0);
  runRounds(8);
  for (const auto &Each : m_Vms)
    BOOST_TEST(Each->serving(m_Now).size() == 15U);
}

BOOST_AUTO_TEST_CASE(Messages_inALargeFleet_rarelyLeaveTheirDataCentre) {
  setFleet(126);
  runRounds(60);
  std::size_t Remote = 0;
  std::size_t All = 0;
  for (std::size_t I = 0; I < m_Vms.size(); ++I)
    for (const std::string &Receiver :
         m_Vms[I]->beginRound(crashes(I), m_Now).m_Receivers) {
      const std::size_t Index = std::stoul(Receiver.substr(5));
      Remote += Index % 3 == I % 3 ? 0 : 1;
      ++All;
    }
  BOOST_TEST(Remote * 8 <= All);
  BOOST_TEST(Remote > 0U);
}

BOOST_AUTO_TEST_CASE(NewState_atOneVm_isKnownEverywhereWithinTwoSeconds) {
  setFleet(126);
  runRounds(60);
  m_Vms[9]->setState({.m_Config = 40, .m_Targets = 41}, true);
  runRounds(5); // 2 s of the 5 s within which changes must take effect.
  std::size_t Informed = 0;
  for (std::size_t I = 0; I < m_Vms.size(); ++I)
    Informed +=
        m_Vms[I]->selectNewerStateSource(StatePart::Config).has_value() ? 1 : 0;
  BOOST_TEST(Informed == 125U);
  BOOST_TEST(!m_Vms[9]->selectNewerStateSource(StatePart::Config));
  m_Vms[3]->setState({.m_Config = 40, .m_Targets = 41}, true);
  BOOST_TEST(!m_Vms[3]->selectNewerStateSource(StatePart::Config));
}

BOOST_AUTO_TEST_CASE(Request_crashingTargets_isQuarantinedEverywhereInTime) {
  setFleet(126);
  runRounds(60);
  const Fingerprint CrashingRequest(17);
  for (int Target = 0; Target < 3; ++Target) {
    const TargetInstance Crashed{.m_Name =
                                     TargetName("t-" + std::to_string(Target))};
    crashes(9).onCallLost({.m_Request = CrashingRequest,
                           .m_Target = Crashed,
                           .m_AttemptStartedAt = m_Now},
                          m_Now);
    crashes(9).onTargetDown(Crashed, m_Now);
  }
  runRounds(10); // 4 s, the shortest specified stability window.
  std::size_t Refusing = 0;
  for (std::size_t I = 0; I < m_Vms.size(); ++I)
    Refusing += crashes(I).isQuarantined(CrashingRequest, m_Now) ? 1 : 0;
  BOOST_TEST(Refusing == m_Vms.size());
}

BOOST_AUTO_TEST_CASE(StoreReaders_withAnUnreachableStore_excludeThatVm) {
  setFleet(5);
  runRounds(10);
  m_Vms[1]->setState({}, false);
  runRounds(10);
  BOOST_TEST(m_Vms[0]->storeReaders(m_Now).size() == 4U);
  for (const auto &Each : m_Vms)
    Each->setState({}, false);
  runRounds(10);
  BOOST_TEST(m_Vms[0]->storeReaders(m_Now).size() == 5U);
}

BOOST_AUTO_TEST_CASE(FailedVm_beforeTheRetentionEnds_countsForCommonLimits) {
  setFleet(5);
  runRounds(10);
  m_IsRunning[4] = false;
  runRounds(20);
  BOOST_TEST(m_Vms[0]->quotaMembers(m_Now).size() == 5U);
  runRounds(80);
  BOOST_TEST(m_Vms[0]->quotaMembers(m_Now).size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
