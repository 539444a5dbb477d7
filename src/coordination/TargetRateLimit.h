#ifndef FIGTURN_COORDINATION_TARGETRATELIMIT_H
#define FIGTURN_COORDINATION_TARGETRATELIMIT_H

/**
 * The request rate that a target names in its replies: the most that it takes
 * from all VMs together, for as long as its replies name it. Each VM keeps to
 * its share without communication among them: it may send one request at each
 * of the regular times that its share allows, and for a short time after.
 *
 * Load pattern: a hundred VMs share a rate of a few requests a second, and a
 * burst of searches reaches all of them at the same moment. What a VM doesn't
 * use lapses, so that the VMs can't spend what they saved all at once.
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
  /** Handles a reply; returns whether the limit has changed. \p Phase, from 0
   *  to 1, is the fraction of a period after which the VM's first request is
   *  allowed; random phases spread the VMs' requests. \p Share: as in
   *  maySend(). */
  bool onReply(const RateLimitReport &Report, double Phase, double Share,
               TimePoint Now);

  /** Whether this VM may send a request now. \p Share is the fraction of the
   *  limit that is this VM's, from 0 to 1. */
  bool maySend(double Share, TimePoint Now) const;
  /** Acquires the right to send one request now, if there is one. */
  bool tryAcquire(double Share, TimePoint Now);

  /** Requests a second from all VMs together; none if there is no limit. */
  std::optional<double> requestsPerSecond() const {
    return m_RequestsPerSecond;
  }
  /** When a reply named the limit last. */
  TimePoint confirmedAt() const { return m_ConfirmedAt; }

private:
  /** How long a request may be sent after the time at which it is allowed. */
  static constexpr Duration Validity = seconds(1);

  Duration period(double Share) const;
  TimePoint nextSendTime(Duration Period, TimePoint Now) const;

  std::optional<double> m_RequestsPerSecond;
  TimePoint m_ConfirmedAt;
  /** The earliest time at which a request is allowed that is not used yet. */
  TimePoint m_NextSendTime;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_TARGETRATELIMIT_H
