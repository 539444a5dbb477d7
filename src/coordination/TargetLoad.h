#ifndef FIGTURN_COORDINATION_TARGETLOAD_H
#define FIGTURN_COORDINATION_TARGETLOAD_H

/**
 * What one VM knows of a target from its own calls. Reported health lags and
 * misleads, so placement goes by results: calls outstanding, those overdue,
 * latency relative to what such calls take elsewhere, the share of failures.
 * Bad marks fade with time, so that a target that recovered gets calls again.
 */

#include "state/Time.h"

#include <cstdint>
#include <unordered_map>

namespace figturn {

/** How a call to a target ended. */
enum class CallOutcome {
  Answered,    ///< A whole answer of the target's service.
  Failed,      ///< The target ran it, or may have, and answered a failure.
  Refused,     ///< The target says that it did not run it.
  Misdirected, ///< Another process has the address; it did not run it.
  NotSent,     ///< No byte reached the target.
  Lost,        ///< Sent; the connection ended or broke without an answer.
  Unanswered,  ///< Sent; no byte of an answer came until its deadline.
  Abandoned    ///< Given up by the caller; says nothing about the target.
};

/** Load and health of one target as seen from one VM. Not thread-safe. */
class TargetLoad {
public:
  using CallNumber = std::uint64_t;

  /** A call was sent that counts as overdue from \p OverdueAt on. */
  void begin(CallNumber Call, TimePoint OverdueAt);

  /** The call ended. \p RelativeLatency is its latency in multiples of what
   *  calls of its route usually take; it counts only for Answered. */
  void end(CallNumber Call, CallOutcome Outcome, double RelativeLatency,
           TimePoint Now);

  std::uint32_t outstanding() const {
    return static_cast<std::uint32_t>(m_Calls.size());
  }
  /** Whether a call waits for longer than such calls take. */
  bool isOverdue(TimePoint Now) const;
  /** Recent latency in multiples of the usual; 1 without news. */
  double slowness(TimePoint Now) const;
  /** Recent share of calls that failed or were refused, 0 to 1. */
  double failureShare(TimePoint Now) const;
  /** Whether it was unreachable a moment ago, so that only a trial is due
   *  once the time is up. */
  bool isBackingOff(TimePoint Now) const { return Now < m_BackoffUntil; }
  /** Another process answers at its address: of no use until its registry
   *  entry changes. */
  bool isMisdirected() const { return m_IsMisdirected; }
  /** Unreachable on each of the latest calls; one trial at a time is due. */
  bool isUnreachable() const { return m_ConsecutiveUnreachable > 0; }

private:
  /** Weight of the newest sample in the moving averages. */
  static constexpr double SampleWeight = 0.25;
  /** After so long without a call half of a bad mark is left; short against
   *  the seconds that slow phases of targets last. */
  static constexpr Duration PenaltyHalfLife = seconds(2);
  /** First pause after a target could not be reached; doubles up to the
   *  longest. Targets that restart are back within seconds. */
  static constexpr Duration InitialBackoff = milliseconds(250);
  static constexpr Duration MaxBackoff = seconds(2);

  static double decay(double Mark, Duration Age);
  void recordUnreachable(TimePoint Now);

  std::unordered_map<CallNumber, TimePoint> m_Calls;
  double m_Slowness = 1;
  double m_FailureShare = 0;
  TimePoint m_UpdatedAt;
  std::uint32_t m_ConsecutiveUnreachable = 0;
  TimePoint m_BackoffUntil;
  bool m_IsMisdirected = false;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_TARGETLOAD_H
