#include "coordination/TargetRateLimit.h"

#include <utility>

namespace figturn {

bool TargetRateLimit::onReply(const RateLimitReport &Report, TimePoint Now) {
  // A reply without a limit may be older than the one that named it last.
  const bool IsOutdated =
      !Report.m_RequestsPerSecond && Report.m_SentAt < m_ConfirmedAt;
  if (IsOutdated)
    return false;
  if (Report.m_RequestsPerSecond)
    m_ConfirmedAt = Now;
  const auto Previous =
      std::exchange(m_RequestsPerSecond, Report.m_RequestsPerSecond);
  return Previous != m_RequestsPerSecond;
}

} // namespace figturn
