#include "coordination/CoverageRule.h"

#include <algorithm>
#include <cmath>

namespace figturn {

namespace {

/** Absorbs the rounding of shares such as 0.9 = 9 / 10. */
constexpr double ShareTolerance = 1e-9;

} // namespace

std::size_t CoverageRule::leastShards(std::size_t Shards) const {
  const double Least = m_Options.m_LeastCoverage * static_cast<double>(Shards);
  const auto Whole = static_cast<std::size_t>(
      std::ceil(std::max(0.0, Least - ShareTolerance)));
  return std::max<std::size_t>(Whole, 1);
}

TimePoint CoverageRule::lateCut() const {
  // Late answers are worth completing, but not at the price of the deadline.
  const auto Rest = m_Options.m_Deadline - m_Options.m_OnTimeUntil;
  return m_Options.m_OnTimeUntil + std::max<Duration>(Rest / 2, Duration(0));
}

SearchStep CoverageRule::decide(const SearchProgress &Progress, TimePoint Now) {
  const std::size_t Least = leastShards(Progress.m_Shards);
  const bool IsEnough = Progress.m_Answered >= Least;
  if (Progress.m_Answered + Progress.m_Lost >= Progress.m_Shards)
    return IsEnough ? SearchStep::Answer : SearchStep::Fail;
  if (Progress.m_Shards - Progress.m_Lost < Least)
    return SearchStep::Fail;
  if (Now >= m_Options.m_Deadline)
    return IsEnough ? SearchStep::Answer : SearchStep::Fail;
  if (!IsEnough) {
    m_ShortAtCut = m_ShortAtCut || Now >= m_Options.m_OnTimeUntil;
    return SearchStep::Wait;
  }
  if (Now < m_Options.m_OnTimeUntil)
    return SearchStep::Wait;
  return !m_ShortAtCut || Now >= lateCut() ? SearchStep::Answer
                                           : SearchStep::Wait;
}

TimePoint CoverageRule::nextTime(TimePoint Now) const {
  if (Now < m_Options.m_OnTimeUntil)
    return m_Options.m_OnTimeUntil;
  return Now < lateCut() ? lateCut() : m_Options.m_Deadline;
}

} // namespace figturn
