#include "coordination/CoveragePolicy.h"

#include <algorithm>
#include <cmath>

namespace figturn {

namespace {

/** Absorbs the rounding of shares such as 0.9 = 9 / 10. */
constexpr double ShareTolerance = 1e-9;

} // namespace

std::size_t CoveragePolicy::minShards(std::size_t Shards) const {
  const double Least = m_Options.m_MinCoverage * static_cast<double>(Shards);
  const auto Whole = static_cast<std::size_t>(
      std::ceil(std::max(0.0, Least - ShareTolerance)));
  return std::max<std::size_t>(Whole, 1);
}

TimePoint CoveragePolicy::lateDeadline() const {
  // Late answers are worth completing, but not at the price of the deadline.
  const auto Rest = m_Options.m_Deadline - m_Options.m_OnTimeDeadline;
  return m_Options.m_OnTimeDeadline + std::max<Duration>(Rest / 2, Duration(0));
}

SearchDecision CoveragePolicy::decide(const SearchProgress &Progress,
                                      TimePoint Now) {
  const std::size_t Least = minShards(Progress.m_Shards);
  const bool IsEnough = Progress.m_Answered >= Least;
  if (Progress.m_Answered + Progress.m_Lost >= Progress.m_Shards)
    return IsEnough ? SearchDecision::Answer : SearchDecision::Fail;
  if (Progress.m_Shards - Progress.m_Lost < Least)
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

TimePoint CoveragePolicy::nextTime(TimePoint Now) const {
  if (Now < m_Options.m_OnTimeDeadline)
    return m_Options.m_OnTimeDeadline;
  return Now < lateDeadline() ? lateDeadline() : m_Options.m_Deadline;
}

} // namespace figturn
