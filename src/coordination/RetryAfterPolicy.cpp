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
                                                         Duration Remaining) {
  if (Remaining <= Duration(0) || Reason == Errc::DeadlineExceeded ||
      Reason == Errc::Quarantined)
    return std::nullopt;
  // Other VMs can take the request at once.
  if (Reason == Errc::Draining)
    return milliseconds(0);
  const Duration MeanDelay =
      isOutage(Reason) ? m_Options.m_OutageDelay : m_Options.m_OverloadDelay;
  std::uniform_real_distribution<double> JitterFactor(0.5, 1.5);
  const auto Delay = std::chrono::duration_cast<Duration>(
      JitterFactor(m_Random) * std::chrono::duration<double>(MeanDelay));
  const auto MaxDelay = std::chrono::duration_cast<Duration>(
      m_Options.m_MaxRemainingTimeShare *
      std::chrono::duration<double>(Remaining));
  return std::chrono::duration_cast<milliseconds>(std::min(Delay, MaxDelay));
}

} // namespace figturn
