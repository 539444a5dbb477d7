#include "state/Verdict.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

BOOST_AUTO_TEST_SUITE(VerdictTest)

BOOST_AUTO_TEST_CASE(Verdict_withUnknownName_isMayHaveRun) {
  BOOST_TEST((parseVerdict("gibberish") == RunVerdict::MayHaveRun));
  BOOST_TEST((parseVerdict("not-run") == RunVerdict::NotRun));
}

BOOST_AUTO_TEST_CASE(Verdicts_thatDiffer_combineToMayHaveRun) {
  BOOST_TEST((combineVerdicts(RunVerdict::NotRun, RunVerdict::Ran) ==
              RunVerdict::MayHaveRun));
  BOOST_TEST((combineVerdicts(RunVerdict::NotRun, RunVerdict::NotRun) ==
              RunVerdict::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()
