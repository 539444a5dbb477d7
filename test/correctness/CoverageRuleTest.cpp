/** When a search is answered. */

#include "coordination/CoverageRule.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Fixture {
  CoverageRule m_Rule{{.m_LeastCoverage = 0.89,
                       .m_OnTimeUntil = Start + milliseconds(140),
                       .m_Deadline = Start + milliseconds(800)}};

  SearchStep decide(std::size_t Answered, std::size_t Lost, int AtMillis) {
    return m_Rule.decide(
        {.m_Shards = 10, .m_Answered = Answered, .m_Lost = Lost},
        Start + milliseconds(AtMillis));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CoverageRuleTest, Fixture)

BOOST_AUTO_TEST_CASE(Search_withAllShards_isAnsweredAtOnce) {
  BOOST_TEST((decide(10, 0, 5) == SearchStep::Answer));
}

BOOST_AUTO_TEST_CASE(Search_withEnoughShards_waitsWhileItIsOnTime) {
  BOOST_TEST((decide(9, 0, 139) == SearchStep::Wait));
  BOOST_TEST((decide(9, 0, 140) == SearchStep::Answer));
}

BOOST_AUTO_TEST_CASE(Search_whoseLastShardIsLost_isAnsweredAtOnce) {
  BOOST_TEST((decide(9, 1, 5) == SearchStep::Answer));
}

BOOST_AUTO_TEST_CASE(Search_thatCantCoverEnough_failsAtOnce) {
  BOOST_TEST((decide(3, 2, 5) == SearchStep::Fail));
}

BOOST_AUTO_TEST_CASE(Decision_madeLateByABusyVm_isStillTheSame) {
  BOOST_TEST((decide(9, 0, 190) == SearchStep::Answer));
}

BOOST_AUTO_TEST_CASE(Search_shortWhenTimeWasUp_completesBeforeTheDeadline) {
  BOOST_TEST((decide(8, 0, 140) == SearchStep::Wait));
  BOOST_TEST((decide(9, 0, 150) == SearchStep::Wait));
  BOOST_TEST((decide(10, 0, 160) == SearchStep::Answer));
}

BOOST_AUTO_TEST_CASE(Search_shortWhenTimeWasUp_isAnsweredAtTheLatestHalfway) {
  BOOST_TEST((decide(8, 0, 140) == SearchStep::Wait));
  BOOST_TEST((decide(9, 0, 469) == SearchStep::Wait));
  BOOST_TEST((decide(9, 0, 470) == SearchStep::Answer));
}

BOOST_AUTO_TEST_CASE(Search_atItsDeadline_isAnsweredOrFails) {
  BOOST_TEST((decide(8, 0, 140) == SearchStep::Wait));
  BOOST_TEST((decide(8, 0, 800) == SearchStep::Fail));
}

BOOST_AUTO_TEST_CASE(Times_atWhichTheDecisionChanges_areNamedInOrder) {
  const auto Next = [this](int Millis) {
    return m_Rule.nextTime(Start + milliseconds(Millis)) - Start;
  };
  BOOST_TEST((Next(0) == milliseconds(140)));
  BOOST_TEST((Next(140) == milliseconds(470)));
  BOOST_TEST((Next(470) == milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(LeastShards_areRoundedUpButNotByRoundingErrors) {
  BOOST_TEST(m_Rule.leastShards(10) == 9U);
  const CoverageRule Tenths({.m_LeastCoverage = 0.7});
  BOOST_TEST(Tenths.leastShards(10) == 7U);
  const CoverageRule None({.m_LeastCoverage = 0});
  BOOST_TEST(None.leastShards(10) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
