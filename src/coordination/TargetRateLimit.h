#ifndef FIGTURN_COORDINATION_TARGETRATELIMIT_H
#define FIGTURN_COORDINATION_TARGETRATELIMIT_H

/**
 * The request rate that a target names in its replies: the most that it takes
 * from all VMs together, for as long as its replies name it.
 */

#include "state/Time.h"

#include <optional>

namespace figturn {

/** What one reply says about the target's limit. */
struct RateLimitReport {
  std::optional<double> m_RequestsPerSecond; ///< None if it names no limit.
  TimePoint m_SentAt; ///< When the call was sent that it answers.
};

/** Limit of one target as known to one VM. Not thread-safe. */
class TargetRateLimit {
public:
  /** Handles a reply; returns whether the limit has changed. */
  bool onReply(const RateLimitReport &Report, TimePoint Now);

  /** Requests a second from all VMs together; none if there is no limit. */
  std::optional<double> requestsPerSecond() const {
    return m_RequestsPerSecond;
  }
  /** When a reply named the limit last. */
  TimePoint confirmedAt() const { return m_ConfirmedAt; }

private:
  std::optional<double> m_RequestsPerSecond;
  TimePoint m_ConfirmedAt;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_TARGETRATELIMIT_H
