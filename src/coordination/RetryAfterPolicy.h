#ifndef FIGTURN_COORDINATION_RETRYAFTERPOLICY_H
#define FIGTURN_COORDINATION_RETRYAFTERPOLICY_H

/**
 * Computes the Retry-After delay for refused callers. Many callers are refused
 * at the same moment if a shard or the whole VM is at capacity, and would
 * otherwise retry at the same moment too. Delays are spread over the time in
 * which capacity is likely to become available and are limited to a share of
 * the caller's remaining time, so that the second attempt can still succeed.
 */

#include "state/Time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <system_error>

namespace figturn {

/** Configuration of RetryAfterPolicy. */
struct RetryAfterOptions {
  /** Mean delay after a refusal for overload; about the time in which a target
   * drains a full queue. */
  Duration m_OverloadDelay = milliseconds(120);
  /** Mean delay while no target or configuration is available; about the time
   * until a restart or a change of placement becomes visible. */
  Duration m_OutageDelay = milliseconds(300);
  /** Maximum share of the caller's remaining time that a delay may take. */
  double m_MaxRemainingTimeShare = 0.3;
};

/** Computes randomised delays. Not thread-safe. */
class RetryAfterPolicy {
public:
  RetryAfterPolicy(RetryAfterOptions Options, std::uint32_t Seed)
      : m_Options(Options), m_Random(Seed) {}

  /** The delay for a request that was refused for \p Reason and whose caller
   *  waits for another \p Remaining; none if a retry can't succeed. */
  std::optional<milliseconds> retryAfter(std::error_code Reason,
                                         Duration Remaining);

private:
  RetryAfterOptions m_Options;
  std::minstd_rand m_Random;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_RETRYAFTERPOLICY_H
