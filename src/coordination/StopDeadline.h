#ifndef FIGTURN_COORDINATION_STOPDEADLINE_H
#define FIGTURN_COORDINATION_STOPDEADLINE_H

/**
 * Decides which requests a VM still takes during a planned stop, and by when it
 * must have answered all of them. The platform kills the process at the end of
 * the grace period, and a request that is running then is cut off without an
 * answer.
 *
 * Load pattern: callers that cached the VM's address, or that hold a connection
 * to it, send requests until shortly before the end.
 */

#include "state/RoutingConfig.h"
#include "state/Time.h"

#include <optional>

namespace figturn {

/** A request that arrives during a planned stop. */
struct StopRequest {
  RouteKind m_Kind = RouteKind::Idempotent;
  Duration m_Objective{}; ///< Latency objective of its route.
  TimePoint m_Deadline;
};

/** The end of a planned stop. Not thread-safe. */
class StopDeadline {
public:
  /** Starts the stop, whose process is killed after \p GracePeriod; later calls
   *  have no effect. */
  void begin(Duration GracePeriod, TimePoint Now);

  /** When every request must be answered; none if no stop was started. */
  std::optional<TimePoint> answerBy() const { return m_AnswerBy; }

  /** Whether a request can be expected to end in time. If not, it must be
   *  refused before it is sent, so that its caller can use another VM. */
  bool mayTake(const StopRequest &Request, TimePoint Now) const;

private:
  std::optional<TimePoint> m_AnswerBy;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_STOPDEADLINE_H
