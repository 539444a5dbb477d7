/** Hedge times, pauses of refused callers, weighted splits. */

#include "coordination/HedgeTimer.h"
#include "coordination/RetryAfterPolicy.h"
#include "coordination/WatcherElection.h"
#include "coordination/WeightedRoundRobin.h"
#include "state/Errc.h"
#include "support/RoutedTargets.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Fixture {
  HedgeTimer m_Timer{HedgeOptions{}, milliseconds(150)};
  RetryAfterPolicy m_Advice{RetryAfterOptions{}, 1};

  void record(int Count, milliseconds Latency) {
    for (int I = 0; I < Count; ++I)
      m_Timer.record(Latency, Start);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RoutedPolicyTest, Fixture)

BOOST_AUTO_TEST_CASE(Hedge_withoutSamples_leavesMostOfTheObjective) {
  BOOST_TEST((m_Timer.delay() == milliseconds(45)));
}

BOOST_AUTO_TEST_CASE(Hedge_followsTheUpperQuantileOfRecentCalls) {
  record(90, milliseconds(20));
  record(10, milliseconds(200));
  BOOST_TEST((m_Timer.delay() >= milliseconds(20)));
  BOOST_TEST((m_Timer.delay() <= milliseconds(24)));
}

BOOST_AUTO_TEST_CASE(Hedge_staysWithinItsPartsOfTheObjective) {
  record(100, milliseconds(1));
  BOOST_TEST((m_Timer.delay() == milliseconds(18)));
  record(1000, milliseconds(400));
  BOOST_TEST((m_Timer.delay() == milliseconds(60)));
}

BOOST_AUTO_TEST_CASE(Pause_staysWithinTheCallersTimeAndIsSpread) {
  milliseconds Least = seconds(10);
  milliseconds Most{0};
  for (int I = 0; I < 200; ++I) {
    const auto Pause =
        m_Advice.retryAfter(Errc::TargetShed, seconds(4)).value();
    Least = std::min(Least, Pause);
    Most = std::max(Most, Pause);
    BOOST_TEST(
        (m_Advice.retryAfter(Errc::NoTarget, milliseconds(400)).value() <=
         milliseconds(120)));
  }
  BOOST_TEST((Least >= milliseconds(60)));
  BOOST_TEST((Most <= milliseconds(180)));
  BOOST_TEST((Most - Least > milliseconds(80)));
}

BOOST_AUTO_TEST_CASE(Pause_thatCantHelp_isNotAdvised) {
  BOOST_TEST(!m_Advice.retryAfter(Errc::DeadlineExceeded, seconds(1)));
  BOOST_TEST(!m_Advice.retryAfter(Errc::NoTarget, Duration(0)));
}

BOOST_AUTO_TEST_CASE(Watchers_ofALargeFleet_areTwelveAndReplacedOneByOne) {
  std::vector<VmName> Fleet;
  Fleet.reserve(117);
  for (int I = 0; I < 117; ++I)
    Fleet.emplace_back("vm-" + std::to_string(I));
  const auto Watchers = [&] {
    std::set<VmName> Out;
    for (const VmName &Each : Fleet)
      if (storeRole(Each, Fleet) != StoreRole::Follower)
        Out.insert(Each);
    return Out;
  };
  const std::set<VmName> Before = Watchers();
  BOOST_TEST(Before.size() == 12U);
  std::erase(Fleet, *Before.begin());
  std::set<VmName> After = Watchers();
  BOOST_TEST(After.size() == 12U);
  for (const VmName &Each : Before)
    After.erase(Each);
  BOOST_TEST(After.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Watchers_ofTodaysFleet_areAllVms) {
  std::vector<VmName> Fleet;
  Fleet.reserve(15);
  for (int I = 0; I < 15; ++I)
    Fleet.emplace_back("vm-" + std::to_string(I));
  int Sentinels = 0;
  for (const VmName &Each : Fleet) {
    BOOST_TEST((storeRole(Each, Fleet) != StoreRole::Follower));
    Sentinels += storeRole(Each, Fleet) == StoreRole::Sentinel ? 1 : 0;
  }
  BOOST_TEST(Sentinels == 4);
}

BOOST_AUTO_TEST_CASE(Rotation_givesEachServiceItsExactShare) {
  const std::array<WeightedService, 3> Services{
      WeightedService{ServiceName("a"), 5},
      WeightedService{ServiceName("b"), 0},
      WeightedService{ServiceName("c"), 15}};
  WeightedRoundRobin Rotation;
  std::array<int, 3> Counts{};
  for (int I = 0; I < 400; ++I)
    ++Counts.at(Rotation.next(Services));
  BOOST_TEST(Counts[0] == 100);
  BOOST_TEST(Counts[1] == 0);
  BOOST_TEST(Counts[2] == 300);
}

BOOST_AUTO_TEST_SUITE_END()
