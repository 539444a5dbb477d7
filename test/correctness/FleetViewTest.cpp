/** Which VMs are taken to run, and what gossip costs. */

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

/** VMs whose messages arrive at once, unless they are cut off or stopped. */
struct Fixture {
  std::vector<std::unique_ptr<FleetView>> m_Vms;
  std::vector<bool> m_Runs;
  std::vector<int> m_Side; ///< Messages pass between equal ones only.
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
    m_Runs.push_back(true);
    m_Side.push_back(0);
    m_NextRound.push_back(m_Now);
  }
  void deliver(std::size_t From, const GossipMessage &Message) {
    for (const std::string &Address : Message.m_Receivers)
      for (std::size_t I = 0; I < m_Vms.size(); ++I)
        if (m_Vms[I]->self().m_GossipAddress == Address) {
          ++m_Messages;
          if (m_Runs[I] && m_Side[I] == m_Side[From])
            receive(I, Message.m_Payload);
        }
  }
  void receive(std::size_t I, const GossipPayload &News) {
    m_Vms[I]->receive(News, m_Now);
    for (const CrashRecord &Each : News.m_Crashes)
      crashes(I).mergeRecord(Each, m_Now);
  }
  CrashQuarantine &crashes(std::size_t I) {
    return m_Crashes.try_emplace(I, CrashQuarantineOptions{}).first->second;
  }
  /** So many times the usual interval of a round passes. */
  void runRounds(int Count) {
    const TimePoint End = m_Now + Count * milliseconds(400);
    while (m_Now < End) {
      m_Now += milliseconds(50);
      for (std::size_t I = 0; I < m_Vms.size(); ++I)
        if (m_Runs[I] && m_NextRound[I] <= m_Now) {
          deliver(I, m_Vms[I]->beginRound(crashes(I), m_Now));
          m_NextRound[I] = m_Now + m_Vms[I]->roundInterval(m_Now);
        }
    }
  }
  bool names(std::size_t Who, std::size_t Whom) const {
    const auto Serving = m_Vms[Who]->serving(m_Now);
    return std::any_of(Serving.begin(), Serving.end(),
                       [&](const VmRecord &Each) {
                         return Each.m_Vm == m_Vms[Whom]->self().m_Vm;
                       });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetViewTest, Fixture)

BOOST_AUTO_TEST_CASE(
    Fleet_thatStartsAtOnce_isKnownEverywhereWithinFourSeconds) {
  setFleet(15);
  runRounds(10);
  for (const auto &Each : m_Vms)
    BOOST_TEST(Each->serving(m_Now).size() == 15U);
}

BOOST_AUTO_TEST_CASE(Vm_thatDied_isNamedByNobodyAfterFourSeconds) {
  setFleet(15);
  runRounds(10);
  m_Runs[4] = false;
  runRounds(10);
  for (std::size_t I = 0; I < 15; ++I)
    if (I != 4)
      BOOST_TEST(!names(I, 4));
}

BOOST_AUTO_TEST_CASE(LargeFleet_thatStartsAtOnce_isKnownWithinTheRecoveryTime) {
  setFleet(126);
  runRounds(37); // 15 s, the users' bound for recovery.
  for (const auto &Each : m_Vms)
    BOOST_TEST(Each->serving(m_Now).size() == 126U);
}

BOOST_AUTO_TEST_CASE(Vm_thatRuns_isNeverTakenForLost) {
  setFleet(126);
  runRounds(60);
  for (int Round = 0; Round < 100; ++Round) {
    runRounds(1);
    for (const auto &Each : m_Vms)
      BOOST_REQUIRE(Each->serving(m_Now).size() == 126U);
  }
}

BOOST_AUTO_TEST_CASE(Messages_ofAVm_areAsManyInALargeFleetAsInASmallOne) {
  setFleet(126);
  runRounds(60);
  m_Messages = 0;
  runRounds(10);
  BOOST_TEST(m_Messages <= 126U * 10 * 4);
}

BOOST_AUTO_TEST_CASE(Vm_inAPlannedStop_isNotNamedOnceAnnounced) {
  setFleet(15);
  runRounds(10);
  m_Vms[2]->setSelf(VmPhase::Stopping, 1);
  deliver(2, m_Vms[2]->announce(m_Now));
  for (std::size_t I = 0; I < 15; ++I)
    BOOST_TEST(!names(I, 2));
}

BOOST_AUTO_TEST_CASE(Vm_startedAnew_isTakenWithItsLowerCounter) {
  setFleet(3);
  runRounds(10);
  m_Vms[0]->takeServingChanges(m_Now);
  m_Vms[2] = std::make_unique<FleetView>(
      makeVm(2, 2), std::vector<std::string>{"g-vm-0"}, FleetViewOptions{}, 9);
  runRounds(4);
  BOOST_TEST(names(0, 2));
  BOOST_TEST(m_Vms[0]->takeServingChanges(m_Now).empty());
}

BOOST_AUTO_TEST_CASE(Vm_startedAnewWithItsTimeOfDaySetBack_isFoundAgain) {
  setFleet(15);
  runRounds(10);
  m_Vms[2] = std::make_unique<FleetView>(makeVm(2, -2000),
                                         std::vector<std::string>{"g-vm-0"},
                                         FleetViewOptions{}, 9);
  runRounds(20);
  for (std::size_t I = 0; I < m_Vms.size(); ++I)
    BOOST_TEST(names(I, 2));
}

BOOST_AUTO_TEST_CASE(Vm_whoseOldRecordStillTravels_isKnownByItsNewOne) {
  setFleet(3);
  runRounds(10);
  const GossipMessage Old = m_Vms[2]->beginRound(crashes(2), m_Now);
  m_Vms[2] = std::make_unique<FleetView>(
      makeVm(2, 2), std::vector<std::string>{"g-vm-0"}, FleetViewOptions{}, 9);
  runRounds(4);
  m_Vms[0]->takeServingChanges(m_Now);
  receive(0, Old.m_Payload);
  BOOST_TEST(m_Vms[0]->takeServingChanges(m_Now).empty());
  BOOST_TEST(names(0, 2));
}

BOOST_AUTO_TEST_CASE(
    Vm_thatIsCutOff_namesTheOthersForAWhileAndThenItselfAlone) {
  setFleet(15);
  runRounds(10);
  m_Side[3] = 1;
  runRounds(8); // 3.2 s
  BOOST_TEST(m_Vms[3]->serving(m_Now).size() == 15U);
  runRounds(7); // 6 s
  BOOST_TEST(m_Vms[3]->serving(m_Now).size() == 1U);
  BOOST_TEST(m_Vms[5]->serving(m_Now).size() == 14U);
}

BOOST_AUTO_TEST_CASE(Parts_ofAFleetThatWereCutApart_findTogetherAgain) {
  setFleet(15);
  runRounds(10);
  for (std::size_t I = 0; I < 15; ++I)
    m_Side[I] = static_cast<int>(I % 2);
  runRounds(25);
  BOOST_TEST(m_Vms[0]->serving(m_Now).size() == 8U);
  m_Side.assign(15, 0);
  runRounds(8);
  for (const auto &Each : m_Vms)
    BOOST_TEST(Each->serving(m_Now).size() == 15U);
}

BOOST_AUTO_TEST_CASE(Messages_ofALargeFleet_rarelyLeaveTheirDataCentre) {
  setFleet(126);
  runRounds(60);
  std::size_t Far = 0;
  std::size_t All = 0;
  for (std::size_t I = 0; I < m_Vms.size(); ++I)
    for (const std::string &To :
         m_Vms[I]->beginRound(crashes(I), m_Now).m_Receivers) {
      const std::size_t Index = std::stoul(To.substr(5));
      Far += Index % 3 == I % 3 ? 0 : 1;
      ++All;
    }
  BOOST_TEST(Far * 8 <= All);
  BOOST_TEST(Far > 0U);
}

BOOST_AUTO_TEST_CASE(News_ofTheState_isHeardOfEverywhereWithinASecond) {
  setFleet(126);
  runRounds(60);
  m_Vms[9]->setState({.m_Config = 40, .m_Targets = 41}, true);
  runRounds(5); // 2 s of the 5 within which changes are in force
  std::size_t Heard = 0;
  for (std::size_t I = 0; I < m_Vms.size(); ++I)
    Heard += m_Vms[I]->selectNewerStateSource().has_value() ? 1 : 0;
  BOOST_TEST(Heard == 125U);
  BOOST_TEST(!m_Vms[9]->selectNewerStateSource());
  m_Vms[3]->setState({.m_Config = 40, .m_Targets = 41}, true);
  BOOST_TEST(!m_Vms[3]->selectNewerStateSource());
}

BOOST_AUTO_TEST_CASE(Request_thatCrashesTargets_isQuarantinedEverywhereInTime) {
  setFleet(126);
  runRounds(60);
  const Fingerprint Bad(17);
  for (int Target = 0; Target < 3; ++Target) {
    const TargetInstance Crashed{.m_Name =
                                     TargetName("t-" + std::to_string(Target))};
    crashes(9).onCallLost(Bad, Crashed, m_Now);
    crashes(9).onTargetDown(Crashed, m_Now);
  }
  runRounds(10); // 4 s: the least stability window of the users' bounds
  std::size_t Refusing = 0;
  for (std::size_t I = 0; I < m_Vms.size(); ++I)
    Refusing += crashes(I).isQuarantined(Bad, m_Now) ? 1 : 0;
  BOOST_TEST(Refusing == m_Vms.size());
}

BOOST_AUTO_TEST_CASE(Vms_thatReachTheStore_areKnownAsThose) {
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

BOOST_AUTO_TEST_CASE(Vm_thatWasLostAMomentAgo_stillCountsForCommonLimits) {
  setFleet(5);
  runRounds(10);
  m_Runs[4] = false;
  runRounds(20);
  BOOST_TEST(m_Vms[0]->quotaMembers(m_Now).size() == 5U);
  runRounds(80);
  BOOST_TEST(m_Vms[0]->quotaMembers(m_Now).size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
