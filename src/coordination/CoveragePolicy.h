#ifndef FIGTURN_COORDINATION_COVERAGEPOLICY_H
#define FIGTURN_COORDINATION_COVERAGEPOLICY_H

/**
 * Decides when a search over shards is answered. Complete answers are sent
 * immediately. An incomplete answer with sufficient coverage waits for the
 * remaining shards only until its on-time deadline. One with insufficient
 * coverage waits longer, and fails as soon as it can no longer reach the
 * minimum coverage.
 *
 * Load pattern: one shard of many is late in a third of the searches.
 */

#include "state/Time.h"

#include <cstddef>

namespace figturn {

/** Decision on a search. */
enum class SearchDecision {
  Wait,
  Answer, ///< Answer with the shards received so far.
  Fail    ///< The search can't be answered in time.
};

/** Progress of a search. */
struct SearchProgress {
  std::size_t m_Shards = 0;   ///< Total number of shards.
  std::size_t m_Answered = 0; ///< Shards whose results have arrived.
  std::size_t m_Lost = 0;     ///< Shards that can't answer any more.
};

/** Deadlines and minimum coverage of one search. */
struct CoveragePolicyOptions {
  double m_MinCoverage = 1; ///< Share of the shards that an answer must cover.
  TimePoint m_OnTimeDeadline; ///< An answer sent by this time arrives on time.
  TimePoint m_Deadline;       ///< The caller stops waiting at this time.
};

/** The policy state of one search. Not thread-safe. */
class CoveragePolicy {
public:
  explicit CoveragePolicy(CoveragePolicyOptions Options) : m_Options(Options) {}

  /** Decides what to do at \p Now. */
  SearchDecision decide(const SearchProgress &Progress, TimePoint Now);
  /** When elapsed time alone may change the decision; the deadline at the
   *  latest. */
  TimePoint nextTimer(TimePoint Now) const;
  /** Brings the deadline forward to \p Deadline, if it is later. */
  void limitDeadline(TimePoint Deadline);
  /** Minimum number of shards that an answer must cover. */
  std::size_t minShards(std::size_t Shards) const;

private:
  TimePoint lateDeadline() const;

  CoveragePolicyOptions m_Options;
  /** Coverage was insufficient at the on-time deadline. */
  bool m_WasIncompleteOnTime = false;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_COVERAGEPOLICY_H
