#include "coordination/TargetRateLimit.h"

#include <algorithm>
#include <utility>

namespace figturn {

namespace {

/** Fraction of the limit that is divided among the VMs. The rest is for VMs
 *  that disagree on their shares. */
constexpr double ShareableFraction = 0.9;

/** Rate at which all VMs together use a target with a lower limit, to find out
 *  whether it still names it. */
constexpr double MinRequestsPerSecond = 0.25;

constexpr Duration MaxPeriod = std::chrono::hours(1);

} // namespace

Duration TargetRateLimit::period(double Share) const {
  const double Rate =
      ShareableFraction * Share *
      std::max(m_RequestsPerSecond.value_or(0), MinRequestsPerSecond);
  const std::chrono::duration<double> Period(1 / Rate); // Infinite if 0.
  return Period < MaxPeriod ? std::chrono::duration_cast<Duration>(Period)
                            : MaxPeriod;
}

bool TargetRateLimit::onReply(const RateLimitReport &Report, double Phase,
                              double Share, TimePoint Now) {
  // A reply without a limit may be older than the one that named it last.
  const bool IsOutdated =
      !Report.m_RequestsPerSecond && Report.m_SentAt < m_ConfirmedAt;
  if (IsOutdated)
    return false;
  if (Report.m_RequestsPerSecond)
    m_ConfirmedAt = Now;
  const auto Previous =
      std::exchange(m_RequestsPerSecond, Report.m_RequestsPerSecond);
  if (Previous == m_RequestsPerSecond)
    return false;
  // A higher limit takes effect before the time that the former one allowed.
  const TimePoint FirstSendTime =
      Now + std::chrono::duration_cast<Duration>(Phase * period(Share));
  m_NextSendTime =
      Previous ? std::min(m_NextSendTime, FirstSendTime) : FirstSendTime;
  return true;
}

TimePoint TargetRateLimit::nextSendTime(Duration Period, TimePoint Now) const {
  const Duration Lapsed = Now - Validity - m_NextSendTime;
  if (Lapsed <= Duration::zero())
    return m_NextSendTime;
  return m_NextSendTime + Period * ((Lapsed + Period - Duration(1)) / Period);
}

bool TargetRateLimit::maySend(double Share, TimePoint Now) const {
  return !m_RequestsPerSecond || nextSendTime(period(Share), Now) <= Now;
}

bool TargetRateLimit::tryAcquire(double Share, TimePoint Now) {
  if (!m_RequestsPerSecond)
    return true;
  const Duration Period = period(Share);
  m_NextSendTime = nextSendTime(Period, Now);
  if (m_NextSendTime > Now)
    return false;
  m_NextSendTime += Period;
  return true;
}

} // namespace figturn
