#ifndef FIGTURN_COORDINATION_TARGETLOAD_H
#define FIGTURN_COORDINATION_TARGETLOAD_H

/**
 * Load and health of a target as measured by the calls of one VM. Reported
 * health is delayed and unreliable, so placement uses call results: outstanding
 * and overdue calls, latency relative to the same kind of call elsewhere, and
 * the failure rate. Penalties decay over time, so that a recovered target
 * receives calls again.
 */

#include "state/Time.h"

#include <cstdint>
#include <unordered_map>

namespace figturn {

/** The outcome of a call to a target. */
enum class CallOutcome {
  Answered, ///< The target's service sent a complete reply.
  Failed,   ///< The target ran the call, or may have, and reported a failure.
  Refused,  ///< The target reported that it did not run the call.
  Misdirected, ///< Another process has the address; the call did not run.
  NotSent,     ///< No byte reached the target.
  Lost,        ///< Sent; the connection was closed or lost before a reply.
  Unanswered,  ///< Sent; no byte of a reply arrived before the deadline.
  Abandoned    ///< Cancelled by the caller; no information about the target.
};

/** Load and health of one target as measured by one VM. Not thread-safe. */
class TargetLoad {
public:
  using CallNumber = std::uint64_t;

  /** Records a sent call that is overdue from \p OverdueTime on. */
  void begin(CallNumber Call, TimePoint OverdueTime);

  /** Records the end of a call. \p RelativeLatency is its latency as a multiple
   * of the usual latency of its route; it is used only for Answered. */
  void end(CallNumber Call, CallOutcome Outcome, double RelativeLatency,
           TimePoint Now);

  std::uint32_t outstanding() const {
    return static_cast<std::uint32_t>(m_Calls.size());
  }
  /** Whether any outstanding call is overdue. */
  bool isOverdue(TimePoint Now) const;
  /** Whether calls sent one after the other were slow, unlike those that meet
   *  the same pause, and the next trial of the target isn't due yet. */
  bool isSlow(TimePoint Now) const;
  /** Recent latency as a multiple of the usual; 1 without recent calls. */
  double slowness(TimePoint Now) const;
  /** Recent share of calls that did not succeed, from 0 to 1. */
  double failureShare(TimePoint Now) const;
  /** Whether the target was unreachable recently and must not be probed yet. */
  bool isBackingOff(TimePoint Now) const { return Now < m_BackoffUntil; }
  /** Another process replies at its address: unusable until its registry entry
   *  names another process instance, address or service. */
  bool isMisdirected() const { return m_IsMisdirected; }
  /** Unreachable on the latest call; probed by one call at a time. */
  bool isUnreachable() const { return m_ConsecutiveUnreachable > 0; }

private:
  /** Weight of a new sample in the moving averages. */
  static constexpr double SampleWeight = 0.25;
  /** Longer latencies count as this multiple of the usual one, so that a pause
   *  of a fraction of a second, which one or two calls meet, doesn't outweigh
   *  the calls before and after it. */
  static constexpr double MaxRelativeLatency = 3;
  /** Time without calls after which a penalty has halved; short compared with
   *  the seconds that slow phases of targets last. */
  static constexpr Duration PenaltyHalfLife = seconds(2);
  /** Initial backoff after a target was unreachable; doubles up to MaxBackoff.
   *  Restarting targets are reachable again within seconds. */
  static constexpr Duration InitialBackoff = milliseconds(250);
  static constexpr Duration MaxBackoff = seconds(2);

  /** Number of slow calls, none sent before the end of another, from which a
   *  target counts as slow. */
  static constexpr std::uint32_t MinSlowStreak = 2;
  /** Time between trials of a slow target; each delays a request. */
  static constexpr Duration SlowTrialInterval = seconds(2);

  static double decay(double Penalty, Duration Age);
  void recordUnreachable(TimePoint Now);
  void recordAnswer(TimePoint OverdueTime, double RelativeLatency,
                    TimePoint Now);

  std::unordered_map<CallNumber, TimePoint> m_Calls;
  double m_Slowness = 1;
  double m_FailureShare = 0;
  std::uint32_t m_SlowStreak = 0; ///< Slow calls in succession.
  TimePoint m_LastSlowEnd;
  TimePoint m_NextSlowTrial;
  TimePoint m_UpdatedAt;
  std::uint32_t m_ConsecutiveUnreachable = 0;
  TimePoint m_BackoffUntil;
  bool m_IsMisdirected = false;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_TARGETLOAD_H
