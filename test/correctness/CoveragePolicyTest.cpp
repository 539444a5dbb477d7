/** Decisions on when a search is answered. */

#include "coordination/CoveragePolicy.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Fixture {
  CoveragePolicy m_Policy{{.m_MinCoverage = 0.89,
                           .m_OnTimeDeadline = Start + milliseconds(140),
                           .m_Deadline = Start + milliseconds(800)}};

  SearchDecision decide(std::size_t Answered, std::size_t Lost, int ElapsedMs) {
    return m_Policy.decide(
        {.m_Shards = 10, .m_Answered = Answered, .m_Lost = Lost},
        Start + milliseconds(ElapsedMs));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CoveragePolicyTest, Fixture)

BOOST_AUTO_TEST_CASE(Search_withAllShards_isAnsweredAtOnce) {
  BOOST_TEST((decide(10, 0, 5) == SearchDecision::Answer));
}

BOOST_AUTO_TEST_CASE(Search_withEnoughShards_waitsWhileItIsOnTime) {
  BOOST_TEST((decide(9, 0, 139) == SearchDecision::Wait));
  BOOST_TEST((decide(9, 0, 140) == SearchDecision::Answer));
}

BOOST_AUTO_TEST_CASE(Search_whoseLastShardIsLost_isAnsweredAtOnce) {
  BOOST_TEST((decide(9, 1, 5) == SearchDecision::Answer));
}

BOOST_AUTO_TEST_CASE(Search_withUnreachableCoverage_failsAtOnce) {
  BOOST_TEST((decide(3, 2, 5) == SearchDecision::Fail));
}

BOOST_AUTO_TEST_CASE(Search_decidedLateByABusyVm_isAnswered) {
  BOOST_TEST((decide(9, 0, 190) == SearchDecision::Answer));
}

BOOST_AUTO_TEST_CASE(Search_incompleteOnTime_waitsForTheRemainingShards) {
  BOOST_TEST((decide(8, 0, 140) == SearchDecision::Wait));
  BOOST_TEST((decide(9, 0, 150) == SearchDecision::Wait));
  BOOST_TEST((decide(10, 0, 160) == SearchDecision::Answer));
}

BOOST_AUTO_TEST_CASE(Search_incompleteOnTime_isAnsweredHalfwayToTheDeadline) {
  BOOST_TEST((decide(8, 0, 140) == SearchDecision::Wait));
  BOOST_TEST((decide(9, 0, 469) == SearchDecision::Wait));
  BOOST_TEST((decide(9, 0, 470) == SearchDecision::Answer));
}

BOOST_AUTO_TEST_CASE(Search_withTooFewShardsAtItsDeadline_fails) {
  BOOST_TEST((decide(8, 0, 140) == SearchDecision::Wait));
  BOOST_TEST((decide(8, 0, 800) == SearchDecision::Fail));
}

BOOST_AUTO_TEST_CASE(NextTimer_atAnyTime_isTheNextChangeOfTheDecision) {
  const auto Next = [this](int Millis) {
    return m_Policy.nextTimer(Start + milliseconds(Millis)) - Start;
  };
  BOOST_TEST((Next(0) == milliseconds(140)));
  BOOST_TEST((Next(140) == milliseconds(470)));
  BOOST_TEST((Next(470) == milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(MinShards_ofAShare_areRoundedUpDespiteRoundingErrors) {
  BOOST_TEST(m_Policy.minShards(10) == 9U);
  const CoveragePolicy Tenths({.m_MinCoverage = 0.7});
  BOOST_TEST(Tenths.minShards(10) == 7U);
  const CoveragePolicy None({.m_MinCoverage = 0});
  BOOST_TEST(None.minShards(10) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
