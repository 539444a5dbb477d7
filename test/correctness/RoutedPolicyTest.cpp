/** Tests of hedge delays, Retry-After delays, watcher election and weighted
 *  round robin. */

#include "coordination/HedgeDelayEstimator.h"
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
  HedgeDelayEstimator m_HedgeDelays{HedgeDelayOptions{}, milliseconds(150)};
  RetryAfterPolicy m_RetryAfter{RetryAfterOptions{}, 1};

  void record(int Count, milliseconds Latency) {
    for (int I = 0; I < Count; ++I)
      m_HedgeDelays.record(Latency, Start);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RoutedPolicyTest, Fixture)

BOOST_AUTO_TEST_CASE(Hedge_withoutSamples_usesTheDefaultShareOfTheObjective) {
  BOOST_TEST((m_HedgeDelays.delay() == milliseconds(45)));
}

BOOST_AUTO_TEST_CASE(Hedge_usesTheUpperQuantileOfRecentCalls) {
  record(90, milliseconds(20));
  record(10, milliseconds(200));
  BOOST_TEST((m_HedgeDelays.delay() >= milliseconds(20)));
  BOOST_TEST((m_HedgeDelays.delay() <= milliseconds(24)));
}

BOOST_AUTO_TEST_CASE(Hedge_isLimitedToSharesOfTheObjective) {
  record(100, milliseconds(1));
  BOOST_TEST((m_HedgeDelays.delay() == milliseconds(18)));
  record(1000, milliseconds(400));
  BOOST_TEST((m_HedgeDelays.delay() == milliseconds(60)));
}

BOOST_AUTO_TEST_CASE(RetryAfter_isJitteredAndLimitedByTheRemainingTime) {
  milliseconds MinDelay = seconds(10);
  milliseconds MaxDelay{0};
  for (int I = 0; I < 200; ++I) {
    const auto Delay =
        m_RetryAfter.retryAfter(Errc::TargetShed, seconds(4)).value();
    MinDelay = std::min(MinDelay, Delay);
    MaxDelay = std::max(MaxDelay, Delay);
    BOOST_TEST(
        (m_RetryAfter.retryAfter(Errc::NoTarget, milliseconds(400)).value() <=
         milliseconds(120)));
  }
  BOOST_TEST((MinDelay >= milliseconds(60)));
  BOOST_TEST((MaxDelay <= milliseconds(180)));
  BOOST_TEST((MaxDelay - MinDelay > milliseconds(80)));
}

BOOST_AUTO_TEST_CASE(RetryAfter_duringAPlannedStop_isZero) {
  BOOST_TEST(
      (m_RetryAfter.retryAfter(Errc::Draining, seconds(1)) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(RetryAfter_whenARetryCantSucceed_isNone) {
  BOOST_TEST(!m_RetryAfter.retryAfter(Errc::DeadlineExceeded, seconds(1)));
  BOOST_TEST(!m_RetryAfter.retryAfter(Errc::NoTarget, Duration(0)));
}

BOOST_AUTO_TEST_CASE(Watchers_ofALargeFleet_areTwelveAndReplacedIndividually) {
  std::vector<VmName> Fleet;
  Fleet.reserve(117);
  for (int I = 0; I < 117; ++I)
    Fleet.emplace_back("vm-" + std::to_string(I));
  const auto Watchers = [&] {
    std::set<VmName> Result;
    for (const VmName &Vm : Fleet)
      if (storeRole(Vm, Fleet) != StoreRole::Follower)
        Result.insert(Vm);
    return Result;
  };
  const std::set<VmName> OldWatchers = Watchers();
  BOOST_TEST(OldWatchers.size() == 12U);
  std::erase(Fleet, *OldWatchers.begin());
  std::set<VmName> NewWatchers = Watchers();
  BOOST_TEST(NewWatchers.size() == 12U);
  for (const VmName &Vm : OldWatchers)
    NewWatchers.erase(Vm);
  BOOST_TEST(NewWatchers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Watchers_ofASmallFleet_areAllVms) {
  std::vector<VmName> Fleet;
  Fleet.reserve(15);
  for (int I = 0; I < 15; ++I)
    Fleet.emplace_back("vm-" + std::to_string(I));
  int Sentinels = 0;
  for (const VmName &Vm : Fleet) {
    BOOST_TEST((storeRole(Vm, Fleet) != StoreRole::Follower));
    Sentinels += storeRole(Vm, Fleet) == StoreRole::Sentinel ? 1 : 0;
  }
  BOOST_TEST(Sentinels == 3);
}

BOOST_AUTO_TEST_CASE(RoundRobin_givesEachServiceItsExactShare) {
  const std::array<WeightedService, 3> Services{
      WeightedService{ServiceName("a"), 5},
      WeightedService{ServiceName("b"), 0},
      WeightedService{ServiceName("c"), 15}};
  WeightedRoundRobin RoundRobin;
  std::array<int, 3> Counts{};
  for (int I = 0; I < 400; ++I)
    ++Counts.at(RoundRobin.next(Services));
  BOOST_TEST(Counts[0] == 100);
  BOOST_TEST(Counts[1] == 0);
  BOOST_TEST(Counts[2] == 300);
}

BOOST_AUTO_TEST_SUITE_END()
