#include "coordination/TargetLoad.h"

#include <algorithm>
#include <cmath>

namespace figturn {

void TargetLoad::begin(CallNumber Call, TimePoint OverdueAt) {
  m_Calls.emplace(Call, OverdueAt);
}

void TargetLoad::end(CallNumber Call, CallOutcome Outcome,
                     double RelativeLatency, TimePoint Now) {
  m_Calls.erase(Call);
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
    m_Slowness = Slowness + SampleWeight * (RelativeLatency - Slowness);
    m_UnreachableInRow = 0;
    m_AvoidUntil = {};
    break;
  case CallOutcome::NotSent:
  case CallOutcome::Lost:
  case CallOutcome::Unanswered:
    noteUnreachable(Now);
    break;
  default:
    m_UnreachableInRow = 0;
    break;
  }
}

void TargetLoad::noteUnreachable(TimePoint Now) {
  constexpr std::uint32_t MostDoublings = 3;
  const std::uint32_t Doublings = std::min(m_UnreachableInRow, MostDoublings);
  m_AvoidUntil = Now + std::min<Duration>(FirstAvoidance * (1 << Doublings),
                                          LongestAvoidance);
  ++m_UnreachableInRow;
}

bool TargetLoad::isOverdue(TimePoint Now) const {
  return std::any_of(m_Calls.begin(), m_Calls.end(),
                     [Now](const auto &Call) { return Call.second <= Now; });
}

double TargetLoad::fade(double Mark, Duration Age) {
  using FloatSeconds = std::chrono::duration<double>;
  return Mark * std::exp2(-FloatSeconds(Age) / FloatSeconds(MarkHalfLife));
}

double TargetLoad::slowness(TimePoint Now) const {
  return 1 + fade(m_Slowness - 1, Now - m_UpdatedAt);
}

double TargetLoad::failureShare(TimePoint Now) const {
  return fade(m_FailureShare, Now - m_UpdatedAt);
}

} // namespace figturn
