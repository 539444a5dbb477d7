#ifndef FIGTURN_COORDINATION_RETRYAFTERPOLICY_H
#define FIGTURN_COORDINATION_RETRYAFTERPOLICY_H

/**
 * When a refused caller should come back. Load pattern: many callers are
 * refused in the same moment, because a shard or the whole VM has no room,
 * and would all return at once. Returns are spread over the time in which
 * room is likely, within a part of the time that the caller still has, so
 * that the second attempt can be served.
 */

#include "state/Time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <system_error>

namespace figturn {

/** Times of RetryAfterPolicy. */
struct RetryAfterOptions {
  /** Mean pause after a refusal for load; a queue of a target's length is
   *  worked off in about this time. */
  Duration m_OverloadDelay = milliseconds(120);
  /** Mean pause while no target or configuration is known; as long as a
   *  restart or a change of placement takes to show. */
  Duration m_OutageDelay = milliseconds(300);
  /** Largest part of the caller's remaining time that a pause may take. */
  double m_MaxRemainingTimeShare = 0.3;
};

/** Works out pauses. Not thread-safe. */
class RetryAfterPolicy {
public:
  RetryAfterPolicy(RetryAfterOptions Options, std::uint32_t Seed)
      : m_Options(Options), m_Random(Seed) {}

  /** The pause for a request refused because of \p Reason whose caller waits
   *  for \p Left more; none if coming back can't help. */
  std::optional<milliseconds> retryAfter(std::error_code Reason, Duration Left);

private:
  RetryAfterOptions m_Options;
  std::minstd_rand m_Random;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_RETRYAFTERPOLICY_H
