#ifndef FIGTURN_COORDINATION_CONCURRENCYLIMIT_H
#define FIGTURN_COORDINATION_CONCURRENCYLIMIT_H

/**
 * Adaptive limit on the requests that one VM runs concurrently against a set of
 * targets. The limit is decreased when targets refuse calls or most calls wait
 * in their queues, and increased by one while it is reached and calls are fast.
 *
 * Load pattern: callers ask for several times what the targets can serve. Each
 * target then refuses some calls independently of the others, and a search that
 * needs nearly all of many shards fails although most of its calls ran.
 * Limiting the number of searches instead avoids this wasted work.
 */

#include "coordination/TargetLoad.h"
#include "state/Time.h"

#include <cstdint>

namespace figturn {

/** Parameters of a ConcurrencyLimit. */
struct ConcurrencyLimitOptions {
  /** Calls are evaluated over windows of this length: several call durations,
   *  so that a decrease takes effect before the limit is adjusted again. */
  Duration m_Window = milliseconds(100);
  /** Minimum number of calls in a window, those of a few searches; fewer are
   *  not representative. */
  std::uint32_t m_MinCalls = 40;
  /** Share of refused calls from which the limit is decreased; one failing
   *  replica of three stays below it once calls are placed elsewhere. */
  double m_RefusedRatioThreshold = 0.2;
  /** Fraction of its latency objective from which a call is slow; the slowest
   *  call of a search takes two or three times as long as most. */
  double m_SlowLatencyRatio = 0.35;
  /** Share of slow calls from which the limit is decreased; one paused replica
   *  or one unavailable shard of many makes fewer calls slow. */
  double m_SlowRatioThreshold = 0.5;
  double m_DecreaseFactor = 0.85; ///< Factor applied by a decrease.
  std::uint32_t m_MaxLimit = 64;  ///< Initial value and upper bound.
};

/** The limit of one VM for one set of targets. Not thread-safe. */
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions Options)
      : m_Options(Options), m_Limit(Options.m_MaxLimit) {}

  /** Sets the lower bound of the limit: this VM's share of the targets' slots,
   *  which they can serve at any time. */
  void setFloor(std::uint32_t Floor);

  /** Records the number of requests that run at this VM, and whether others
   * wait because of the limit. */
  void recordLoad(std::uint32_t Running, bool HasWaiting);

  /** Records the end of a call after \p Latency, on a route with the latency
   *  objective \p Objective. Returns whether the limit changed or, at its
   * floor, would have been decreased. */
  bool onCallFinished(CallOutcome Outcome, Duration Latency, Duration Objective,
                      TimePoint Now);

  std::uint32_t limit() const { return m_Limit; }

private:
  /** Adjusts the limit after a window; returns whether targets are
   *  overloaded. */
  bool adjustLimit();

  ConcurrencyLimitOptions m_Options;
  std::uint32_t m_Limit;
  std::uint32_t m_Floor = 1;
  TimePoint m_WindowStart;
  std::uint32_t m_Calls = 0;
  std::uint32_t m_Refused = 0;
  std::uint32_t m_Slow = 0;
  std::uint32_t m_PeakRunning = 0;
  /** Requests waited because of the limit in this window. */
  bool m_WasLimiting = false;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_CONCURRENCYLIMIT_H
