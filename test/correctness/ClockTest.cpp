/** The clock used for deadlines keeps running while the VM is suspended. */

#include "state/Time.h"

#include <boost/test/unit_test.hpp>
#include <ctime>

using namespace figturn;

namespace {

TimePoint bootTime() {
  timespec Time{};
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(seconds(Time.tv_sec) +
                   std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClockTest)

BOOST_AUTO_TEST_CASE(Clock_comparedWithBootTime_includesSuspensions) {
  const TimePoint Before = bootTime();
  const TimePoint Now = Clock::now();
  const TimePoint After = bootTime();
  BOOST_TEST((Before <= Now && Now <= After));
}

BOOST_AUTO_TEST_SUITE_END()
