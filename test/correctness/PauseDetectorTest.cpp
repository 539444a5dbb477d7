#include "coordination/PauseDetector.h"
#include "support/Members.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

BOOST_AUTO_TEST_SUITE(PauseDetectorTest)

BOOST_AUTO_TEST_CASE(Iterations_withinTheMaximumGap_areNoPause) {
  PauseDetector Detector(seconds(1));
  for (int Iteration = 0; Iteration < 5; ++Iteration)
    BOOST_TEST(!Detector.onLoopIteration(at(seconds(Iteration))).has_value());
}

BOOST_AUTO_TEST_CASE(Iteration_afterAPause_reportsItOnce) {
  PauseDetector Detector(seconds(1));
  Detector.onLoopIteration(at(seconds(0)));
  BOOST_TEST((Detector.onLoopIteration(at(seconds(9))) == seconds(9)));
  BOOST_TEST(!Detector.onLoopIteration(at(seconds(10))).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
