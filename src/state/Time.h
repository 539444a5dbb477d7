#ifndef FIGTURN_STATE_TIME_H
#define FIGTURN_STATE_TIME_H

/**
 * Clock types. Decision functions take the current time as an argument, so that
 * tests run them in virtual time. Apart from the log, only the layers above
 * coordination read a clock.
 */

#include <chrono>
#include <cstdint>
#include <ctime>

namespace figturn {

/**
 * Monotonic clock for leases, deadlines and timeouts. Unlike
 * std::chrono::steady_clock it keeps running while the system is suspended, so
 * that whatever expired in the meantime counts as expired on resume.
 */
struct Clock {
  using duration = std::chrono::nanoseconds;         // NOLINT: std's
  using rep = duration::rep;                         // NOLINT: std's
  using period = duration::period;                   // NOLINT: std's
  using time_point = std::chrono::time_point<Clock>; // NOLINT: std's
  static constexpr bool is_steady = true;            // NOLINT: std's

  static time_point now() noexcept {
    timespec Time{};
    ::clock_gettime(CLOCK_BOOTTIME, &Time);
    return time_point(std::chrono::seconds(Time.tv_sec) +
                      std::chrono::nanoseconds(Time.tv_nsec));
  }
};

/** A point in time on the monotonic clock of this process. */
using TimePoint = Clock::time_point;

/** A duration on the monotonic clock. */
using Duration = Clock::duration;

/** \p Time in ms since the clock's start, to be sent to other VMs. */
inline std::int64_t toMillis(TimePoint Time) {
  return std::chrono::floor<std::chrono::milliseconds>(Time)
      .time_since_epoch()
      .count();
}

/** The inverse of toMillis(). */
inline TimePoint fromMillis(std::int64_t Millis) {
  return TimePoint(std::chrono::milliseconds(Millis));
}

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace figturn

#endif // FIGTURN_STATE_TIME_H
