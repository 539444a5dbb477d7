#include "coordination/CoveragePolicy.h"

#include <algorithm>
#include <cmath>

namespace figturn {

namespace {

/** Tolerance for rounding errors of shares such as 0.9 = 9 / 10. */
constexpr double ShareTolerance = 1e-9;

} // namespace

std::size_t CoveragePolicy::minShards(std::size_t Shards) const {
  const double Minimum = m_Options.m_MinCoverage * static_cast<double>(Shards);
  const auto Count = static_cast<std::size_t>(
      std::ceil(std::max(0.0, Minimum - ShareTolerance)));
  return std::max<std::size_t>(Count, 1);
}

void CoveragePolicy::limitDeadline(TimePoint Deadline) {
  m_Options.m_Deadline = std::min(m_Options.m_Deadline, Deadline);
  m_Options.m_OnTimeDeadline = std::min(m_Options.m_OnTimeDeadline, Deadline);
}

TimePoint CoveragePolicy::lateDeadline() const {
  // An answer that is late in any case waits for further shards, but only for
  // half of the remaining time, so that it doesn't miss the deadline.
  const auto LateTime = m_Options.m_Deadline - m_Options.m_OnTimeDeadline;
  return m_Options.m_OnTimeDeadline +
         std::max<Duration>(LateTime / 2, Duration(0));
}

SearchDecision CoveragePolicy::decide(const SearchProgress &Progress,
                                      TimePoint Now) {
  const std::size_t Minimum = minShards(Progress.m_Shards);
  const bool IsEnough = Progress.m_Answered >= Minimum;
  if (Progress.m_Answered + Progress.m_Lost >= Progress.m_Shards)
    return IsEnough ? SearchDecision::Answer : SearchDecision::Fail;
  if (Progress.m_Shards - Progress.m_Lost < Minimum)
    return SearchDecision::Fail;
  if (Now >= m_Options.m_Deadline)
    return IsEnough ? SearchDecision::Answer : SearchDecision::Fail;
  if (!IsEnough) {
    m_WasIncompleteOnTime =
        m_WasIncompleteOnTime || Now >= m_Options.m_OnTimeDeadline;
    return SearchDecision::Wait;
  }
  if (Now < m_Options.m_OnTimeDeadline)
    return SearchDecision::Wait;
  return !m_WasIncompleteOnTime || Now >= lateDeadline()
             ? SearchDecision::Answer
             : SearchDecision::Wait;
}

TimePoint CoveragePolicy::nextTimer(TimePoint Now) const {
  if (Now < m_Options.m_OnTimeDeadline)
    return m_Options.m_OnTimeDeadline;
  return Now < lateDeadline() ? lateDeadline() : m_Options.m_Deadline;
}

} // namespace figturn
