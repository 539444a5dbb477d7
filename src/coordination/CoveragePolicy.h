#ifndef FIGTURN_COORDINATION_COVERAGEPOLICY_H
#define FIGTURN_COORDINATION_COVERAGEPOLICY_H

/**
 * Decides when a search over shards is answered. Complete answers go out at
 * once. Short of that an answer waits for its last shards only as long as it
 * is still on time; one that covers too little waits on, and one that can't
 * cover enough any more fails at once rather than at its deadline. Load
 * pattern: one shard of many is late in a third of the searches.
 */

#include "state/Time.h"

#include <cstddef>

namespace figturn {

/** What to do with a search now. */
enum class SearchDecision {
  Wait,
  Answer, ///< With the shards that are in.
  Fail    ///< It can't be answered in time.
};

/** Where a search stands. */
struct SearchProgress {
  std::size_t m_Shards = 0;   ///< Of the search.
  std::size_t m_Answered = 0; ///< Shards whose part is in.
  std::size_t m_Lost = 0;     ///< Shards that won't answer.
};

/** Times and least coverage of one search. */
struct CoveragePolicyOptions {
  double m_MinCoverage = 1;   ///< Share of the shards.
  TimePoint m_OnTimeDeadline; ///< An answer sent by then arrives on time.
  TimePoint m_Deadline;       ///< An answer sent after it reaches nobody.
};

/** The rule for one search. */
class CoveragePolicy {
public:
  explicit CoveragePolicy(CoveragePolicyOptions Options) : m_Options(Options) {}

  /** What to do at \p Now. */
  SearchDecision decide(const SearchProgress &Progress, TimePoint Now);
  /** When time alone may change the decision; the deadline at the latest. */
  TimePoint nextTime(TimePoint Now) const;
  /** Shards that an answer must cover. */
  std::size_t minShards(std::size_t Shards) const;

private:
  TimePoint lateDeadline() const;

  CoveragePolicyOptions m_Options;
  bool m_WasIncompleteOnTime = false; ///< Too little was in when time was up.
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_COVERAGEPOLICY_H
