/** Choice of the replica for a call, and the budget of extra calls. */

#include "support/QueryDriver.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

constexpr std::size_t ReplicaA = 0;
constexpr std::size_t ReplicaB = 1;

struct Fixture {
  QueryFixture m_QueryFixture{1};
  const ShardInfo &m_Shard = m_QueryFixture.m_Snapshot->m_Shards[0];

  ReplicaStatus &status(std::size_t Replica) {
    return m_QueryFixture.m_Status.at(m_Shard.m_Replicas[Replica]);
  }
  std::optional<std::size_t> choose(CallKind Kind = CallKind::First,
                                    ReplicaMask Excluded = {}) {
    return m_QueryFixture.m_Chooser.choose(m_Shard, Excluded, Kind,
                                           TimePoint());
  }
  /** Returns how many of a hundred first calls that end immediately are sent to
   *  \p Replica. */
  int countCalls(std::size_t Replica) {
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
  status(ReplicaA).m_Latency = milliseconds(50);
  status(ReplicaB).m_Latency = milliseconds(5);
  BOOST_TEST(countCalls(ReplicaB) == 100);
  status(ReplicaB).m_Outstanding = 20;
  BOOST_TEST(countCalls(ReplicaA) == 100);
}

BOOST_AUTO_TEST_CASE(Replicas_withEqualLoad_shareTheCallsOfABatch) {
  for (int I = 0; I < 10; ++I)
    choose();
  BOOST_TEST(status(ReplicaA).m_Outstanding == 5U);
}

BOOST_AUTO_TEST_CASE(Replica_unusableOrExcluded_isNeverChosen) {
  status(ReplicaA).m_Usable = false;
  BOOST_TEST(countCalls(ReplicaB) == 100);
  BOOST_TEST(!choose(CallKind::First, ReplicaMask().set(ReplicaB)));
}

BOOST_AUTO_TEST_CASE(ColdReplica_besideAWarmOne_getsOnlyAFewFirstCalls) {
  status(ReplicaA).m_Cold = true;
  const int Probes = countCalls(ReplicaA);
  BOOST_TEST(Probes > 0);
  BOOST_TEST(Probes <= 7);
  for (int I = 0; I < 100; ++I) {
    BOOST_TEST(choose(CallKind::Hedge).value() == ReplicaB);
    BOOST_TEST(choose(CallKind::Retry).value() == ReplicaB);
  }
}

BOOST_AUTO_TEST_CASE(ColdReplica_withoutFreeCapacity_getsNoCall) {
  status(ReplicaA).m_Cold = status(ReplicaB).m_Cold = true;
  BOOST_TEST(choose().has_value());
  BOOST_TEST(!choose(CallKind::Hedge));
  status(ReplicaA).m_HasCapacity = status(ReplicaB).m_HasCapacity = false;
  BOOST_TEST(!choose());
}

BOOST_AUTO_TEST_CASE(Budget_ofExtraCalls_isBoundedByItsShareAndBurst) {
  ExtraLoadBudget Budget(0.05, 2);
  BOOST_TEST(!Budget.tryAcquire());
  Budget.recordFirstCalls(19);
  BOOST_TEST(!Budget.tryAcquire());
  Budget.recordFirstCalls(2);
  BOOST_TEST(Budget.tryAcquire());
  Budget.recordFirstCalls(100000);
  BOOST_TEST(Budget.tryAcquire());
  BOOST_TEST(Budget.tryAcquire());
  BOOST_TEST(!Budget.tryAcquire());
}

BOOST_AUTO_TEST_SUITE_END()
