/** Which requests a VM takes during a planned stop. */

#include "coordination/StopDeadline.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Fixture {
  StopDeadline m_Stop;

  bool mayTake(RouteKind Kind, Duration Elapsed,
               Duration Timeout = seconds(4)) const {
    const TimePoint Now = Start + Elapsed;
    return m_Stop.mayTake({.m_Kind = Kind,
                           .m_Objective = milliseconds(600),
                           .m_Deadline = Now + Timeout},
                          Now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StopDeadlineTest, Fixture)

BOOST_AUTO_TEST_CASE(Request_withoutStop_isTaken) {
  BOOST_TEST(!m_Stop.answerBy().has_value());
  BOOST_TEST(mayTake(RouteKind::SingleRun, seconds(100)));
}

BOOST_AUTO_TEST_CASE(Answers_duringStop_areDueBeforeTheProcessIsKilled) {
  m_Stop.begin(seconds(6), Start);
  m_Stop.begin(seconds(6), Start + seconds(3));
  BOOST_REQUIRE(m_Stop.answerBy().has_value());
  BOOST_TEST((*m_Stop.answerBy() == Start + seconds(5)));
}

BOOST_AUTO_TEST_CASE(Request_whoseObjectiveEndsInTime_isTaken) {
  m_Stop.begin(seconds(6), Start);
  BOOST_TEST(mayTake(RouteKind::Idempotent, milliseconds(4400)));
  BOOST_TEST(!mayTake(RouteKind::Idempotent, milliseconds(4401)));
}

BOOST_AUTO_TEST_CASE(SingleRun_withLessThanThreeObjectivesLeft_isNotTaken) {
  m_Stop.begin(seconds(6), Start);
  BOOST_TEST(mayTake(RouteKind::SingleRun, milliseconds(3200)));
  BOOST_TEST(!mayTake(RouteKind::SingleRun, milliseconds(3201)));
}

BOOST_AUTO_TEST_CASE(Request_whoseDeadlineEndsInTime_isTaken) {
  m_Stop.begin(seconds(6), Start);
  BOOST_TEST(
      mayTake(RouteKind::SingleRun, milliseconds(4900), milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()
