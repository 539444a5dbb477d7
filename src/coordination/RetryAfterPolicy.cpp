#include "coordination/RetryAfterPolicy.h"

#include "state/Errc.h"

#include <algorithm>

namespace figturn {

namespace {

bool isOutage(std::error_code Reason) {
  return Reason == Errc::NoTarget || Reason == Errc::NotReady ||
         Reason == Errc::ConnectFailed;
}

} // namespace

std::optional<milliseconds> RetryAfterPolicy::retryAfter(std::error_code Reason,
                                                         Duration Left) {
  if (Left <= Duration(0) || Reason == Errc::DeadlineExceeded ||
      Reason == Errc::Quarantined)
    return std::nullopt;
  const Duration Mean =
      isOutage(Reason) ? m_Options.m_OutageDelay : m_Options.m_OverloadDelay;
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  const auto Pause = std::chrono::duration_cast<Duration>(
      Spread(m_Random) * std::chrono::duration<double>(Mean));
  const auto Most = std::chrono::duration_cast<Duration>(
      m_Options.m_MaxRemainingTimeShare * std::chrono::duration<double>(Left));
  return std::chrono::duration_cast<milliseconds>(std::min(Pause, Most));
}

} // namespace figturn
