/**
 * Which replica gets a call, and the budget of extra calls.
 */

#include "support/QueryDriver.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

constexpr std::size_t Left = 0;
constexpr std::size_t Right = 1;

struct Fixture {
  QueryWorld m_World{1};
  const ShardInfo &m_Shard = m_World.m_Snapshot->m_Shards[0];

  ReplicaStatus &status(std::size_t Replica) {
    return m_World.m_Status.at(m_Shard.m_Replicas[Replica]);
  }
  std::optional<std::size_t> choose(CallKind Kind = CallKind::First,
                                    ReplicaMask Excluded = {}) {
    return m_World.m_Chooser.choose(m_Shard, Excluded, Kind, TimePoint());
  }
  /** How often \p Replica gets one of a hundred first calls that end at
   *  once. */
  int share(std::size_t Replica) {
    int Chosen = 0;
    for (int I = 0; I < 100; ++I) {
      const std::size_t Index = choose().value();
      --status(Index).m_Outstanding;
      Chosen += Index == Replica ? 1 : 0;
    }
    return Chosen;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeastLoadedChooserTest, Fixture)

BOOST_AUTO_TEST_CASE(Replica_slowerOrBusier_getsNoCall) {
  status(Left).m_Latency = milliseconds(50);
  status(Right).m_Latency = milliseconds(5);
  BOOST_TEST(share(Right) == 100);
  status(Right).m_Outstanding = 20;
  BOOST_TEST(share(Left) == 100);
}

BOOST_AUTO_TEST_CASE(Replicas_alikeInOneBatch_shareItsCalls) {
  for (int I = 0; I < 10; ++I)
    choose();
  BOOST_TEST(status(Left).m_Outstanding == 5U);
}

BOOST_AUTO_TEST_CASE(Replica_unusableOrExcluded_isNeverChosen) {
  status(Left).m_Usable = false;
  BOOST_TEST(share(Right) == 100);
  BOOST_TEST(!choose(CallKind::First, ReplicaMask().set(Right)));
}

BOOST_AUTO_TEST_CASE(ColdReplica_besideAWarmOne_getsFewFirstCallsOnly) {
  status(Left).m_Cold = true;
  const int Trials = share(Left);
  BOOST_TEST(Trials > 0);
  BOOST_TEST(Trials <= 7);
  for (int I = 0; I < 100; ++I) {
    BOOST_TEST(choose(CallKind::Hedge).value() == Right);
    BOOST_TEST(choose(CallKind::Retry).value() == Right);
  }
}

BOOST_AUTO_TEST_CASE(ColdReplica_withoutRoom_getsNoCall) {
  status(Left).m_Cold = status(Right).m_Cold = true;
  BOOST_TEST(choose().has_value());
  BOOST_TEST(!choose(CallKind::Hedge));
  status(Left).m_HasCapacity = status(Right).m_HasCapacity = false;
  BOOST_TEST(!choose());
}

BOOST_AUTO_TEST_CASE(Budget_ofAShare_allowsNoMoreAtAnyMoment) {
  ExtraLoadBudget Budget(0.05, 2);
  BOOST_TEST(!Budget.trySpend());
  Budget.earn(19);
  BOOST_TEST(!Budget.trySpend());
  Budget.earn(2);
  BOOST_TEST(Budget.trySpend());
  Budget.earn(100000);
  BOOST_TEST(Budget.trySpend());
  BOOST_TEST(Budget.trySpend());
  BOOST_TEST(!Budget.trySpend());
}

BOOST_AUTO_TEST_SUITE_END()
