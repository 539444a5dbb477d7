#include "coordination/PauseDetector.h"
#include "support/Members.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

BOOST_AUTO_TEST_SUITE(PauseDetectorTest)

BOOST_AUTO_TEST_CASE(Turns_in_time_are_no_pause) {
  PauseDetector Detector(seconds(1));
  for (int Turn = 0; Turn < 5; ++Turn)
    BOOST_TEST(!Detector.onLoopIteration(at(seconds(Turn))).has_value());
}

BOOST_AUTO_TEST_CASE(Turn_after_a_gap_reports_it_once) {
  PauseDetector Detector(seconds(1));
  Detector.onLoopIteration(at(seconds(0)));
  BOOST_TEST((Detector.onLoopIteration(at(seconds(9))) == seconds(9)));
  BOOST_TEST(!Detector.onLoopIteration(at(seconds(10))).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
