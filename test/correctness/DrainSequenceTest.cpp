#include "coordination/DrainSequence.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

struct Fixture {
  /** The step after \p Interval with \p Progress. */
  DrainStep advance(const DrainProgress &Progress, Duration Interval) {
    m_Now += Interval;
    return m_Drain.advance(Progress, m_Now);
  }
  void finishServing() {
    m_Drain.begin(m_Now);
    advance({}, seconds(7));
    BOOST_TEST_REQUIRE((m_Drain.step() == DrainStep::Finishing));
  }

  DrainSequence m_Drain{
      {.m_AddressLifetime = seconds(7), .m_LeaveTimeout = seconds(10)}};
  TimePoint m_Now{std::chrono::hours(1)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DrainSequenceTest, Fixture)

BOOST_AUTO_TEST_CASE(Stop_withRequests_finishesThem) {
  finishServing();
  BOOST_TEST(
      (advance({.m_CallerRequests = 1}, seconds(60)) == DrainStep::Finishing));
  BOOST_TEST(
      (advance({.m_SingleRuns = 1}, seconds(1)) == DrainStep::Finishing));
  BOOST_TEST((advance({}, seconds(1)) == DrainStep::LeavingMembership));
  BOOST_TEST((advance({.m_PeerCalls = 1, .m_Removed = true}, seconds(1)) ==
              DrainStep::LeavingMembership));
  BOOST_TEST((advance({.m_Removed = true}, seconds(1)) == DrainStep::Done));
}

// Regression: a request that arrived on a kept connection while the VM left the
// member list was cut.
BOOST_AUTO_TEST_CASE(Request_arrivingWhileLeaving_isFinished) {
  finishServing();
  advance({}, seconds(1));
  for (const DrainProgress &Arrived :
       {DrainProgress{.m_CallerRequests = 1, .m_Removed = true},
        DrainProgress{.m_SingleRuns = 1, .m_Removed = true}})
    BOOST_TEST((advance(Arrived, seconds(20)) == DrainStep::LeavingMembership));
  BOOST_TEST((advance({.m_Removed = true}, seconds(0)) == DrainStep::Done));
}

BOOST_AUTO_TEST_CASE(Removal_thatIsNotSeen_endsTheStopByItsTimeout) {
  finishServing();
  advance({}, seconds(1));
  BOOST_TEST((advance({}, seconds(9)) == DrainStep::LeavingMembership));
  BOOST_TEST((advance({}, seconds(1)) == DrainStep::Done));
}

BOOST_AUTO_TEST_SUITE_END()
