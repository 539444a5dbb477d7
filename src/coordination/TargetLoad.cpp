#include "coordination/TargetLoad.h"

#include <algorithm>
#include <cmath>

namespace figturn {

void TargetLoad::begin(CallNumber Call, TimePoint OverdueTime) {
  m_Calls.emplace(Call, OverdueTime);
}

void TargetLoad::end(CallNumber Call, CallOutcome Outcome,
                     double RelativeLatency, TimePoint Now) {
  const auto Sent = m_Calls.extract(Call);
  m_IsMisdirected = m_IsMisdirected || Outcome == CallOutcome::Misdirected;
  if (Outcome == CallOutcome::Abandoned || Outcome == CallOutcome::Misdirected)
    return;
  const double Slowness = slowness(Now);
  const double Failures = failureShare(Now);
  m_UpdatedAt = Now;
  m_Slowness = Slowness;
  const bool IsBad = Outcome != CallOutcome::Answered;
  m_FailureShare = Failures + SampleWeight * ((IsBad ? 1 : 0) - Failures);
  switch (Outcome) {
  case CallOutcome::Answered:
    m_Slowness = Slowness +
                 SampleWeight *
                     (std::min(RelativeLatency, MaxRelativeLatency) - Slowness);
    if (!Sent.empty())
      recordAnswer(Sent.mapped(), RelativeLatency, Now);
    m_ConsecutiveUnreachable = 0;
    m_BackoffUntil = {};
    break;
  case CallOutcome::NotSent:
  case CallOutcome::Lost:
  case CallOutcome::Unanswered:
    recordUnreachable(Now);
    break;
  default:
    m_ConsecutiveUnreachable = 0;
    break;
  }
}

void TargetLoad::recordAnswer(TimePoint OverdueTime, double RelativeLatency,
                              TimePoint Now) {
  if (RelativeLatency < MaxRelativeLatency) {
    m_SlowStreak = 0;
    return;
  }
  // A call that was due before the end of the last slow one met the same pause.
  if (OverdueTime <= m_LastSlowEnd)
    return;
  ++m_SlowStreak;
  m_LastSlowEnd = Now;
  m_NextSlowTrial = Now + SlowTrialInterval;
}

bool TargetLoad::isSlow(TimePoint Now) const {
  return m_SlowStreak >= MinSlowStreak && Now < m_NextSlowTrial;
}

void TargetLoad::recordUnreachable(TimePoint Now) {
  constexpr std::uint32_t MaxDoublings = 3;
  const std::uint32_t Doublings =
      std::min(m_ConsecutiveUnreachable, MaxDoublings);
  m_BackoffUntil =
      Now + std::min<Duration>(InitialBackoff * (1 << Doublings), MaxBackoff);
  ++m_ConsecutiveUnreachable;
}

bool TargetLoad::isOverdue(TimePoint Now) const {
  return std::any_of(m_Calls.begin(), m_Calls.end(),
                     [Now](const auto &Call) { return Call.second <= Now; });
}

double TargetLoad::decay(double Penalty, Duration Age) {
  using FloatSeconds = std::chrono::duration<double>;
  return Penalty *
         std::exp2(-FloatSeconds(Age) / FloatSeconds(PenaltyHalfLife));
}

double TargetLoad::slowness(TimePoint Now) const {
  return 1 + decay(m_Slowness - 1, Now - m_UpdatedAt);
}

double TargetLoad::failureShare(TimePoint Now) const {
  return decay(m_FailureShare, Now - m_UpdatedAt);
}

} // namespace figturn
