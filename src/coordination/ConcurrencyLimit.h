#ifndef FIGTURN_COORDINATION_CONCURRENCYLIMIT_H
#define FIGTURN_COORDINATION_CONCURRENCYLIMIT_H

/**
 * How many requests one VM runs at a time against a set of targets, learned
 * from the targets' answers: cut when they refuse calls or most calls wait in
 * their queues, raised by one while the limit binds and calls are quick.
 *
 * Load pattern: callers ask for several times what the targets can do. Each
 * target then refuses calls on its own, and a search that needs nearly all of
 * many shards is lost although most of its calls ran. Holding back whole
 * searches keeps the work of those that run from being wasted.
 */

#include "coordination/TargetLoad.h"
#include "state/Time.h"

#include <cstdint>

namespace figturn {

/** How a limit is learned. */
struct ConcurrencyLimitOptions {
  /** Calls are judged together over this time; a few calls' length, so that
   *  a cut shows before the next one is decided. */
  Duration m_Window = milliseconds(100);
  /** Fewer calls than this say too little: those of a few searches. */
  std::uint32_t m_MinCalls = 40;
  /** From this share of refused calls on the limit is cut; one failing
   *  replica of three refuses less once placement has left it. */
  double m_RefusedRatioThreshold = 0.2;
  /** A call is slow from this part of its latency objective on: the slowest
   *  call of a search takes two or three times as long as most. */
  double m_SlowLatencyRatio = 0.35;
  /** From this share of slow calls on the limit is cut: one replica that
   *  pauses, or one dark shard of many, makes fewer calls slow. */
  double m_SlowRatioThreshold = 0.5;
  double m_DecreaseFactor = 0.85; ///< What a cut leaves.
  std::uint32_t m_MaxLimit = 64;  ///< Where the limit starts and ends to rise.
};

/** The limit of one VM for one set of targets. Not thread-safe. */
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions Options)
      : m_Options(Options), m_Limit(Options.m_MaxLimit) {}

  /** The limit isn't cut below \p Floor: the VM's part of the targets' slots,
   *  which they can serve at any time. */
  void setFloor(std::uint32_t Floor);

  /** \p Running requests run at this VM, and \p AreHeld tells whether others
   *  wait for the limit. */
  void recordLoad(std::uint32_t Running, bool AreHeld);

  /** A call ended after \p Latency; its route's objective is \p Objective.
   *  Returns whether the limit changed. */
  bool onCallFinished(CallOutcome Outcome, Duration Latency, Duration Objective,
                      TimePoint Now);

  std::uint32_t limit() const { return m_Limit; }

private:
  bool adjustLimit();

  ConcurrencyLimitOptions m_Options;
  std::uint32_t m_Limit;
  std::uint32_t m_Floor = 1;
  TimePoint m_WindowStart;
  std::uint32_t m_Calls = 0;
  std::uint32_t m_Refused = 0;
  std::uint32_t m_Slow = 0;
  std::uint32_t m_PeakRunning = 0;
  bool m_WasLimiting = false; ///< Requests were held back in this window.
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_CONCURRENCYLIMIT_H
