#ifndef FIGTURN_COORDINATION_COVERAGERULE_H
#define FIGTURN_COORDINATION_COVERAGERULE_H

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
enum class SearchStep {
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
struct CoverageOptions {
  double m_LeastCoverage = 1; ///< Share of the shards.
  TimePoint m_OnTimeUntil;    ///< An answer sent by then arrives on time.
  TimePoint m_Deadline;       ///< An answer sent after it reaches nobody.
};

/** The rule for one search. */
class CoverageRule {
public:
  explicit CoverageRule(CoverageOptions Options) : m_Options(Options) {}

  /** What to do at \p Now. */
  SearchStep decide(const SearchProgress &Progress, TimePoint Now);
  /** When time alone may change the decision; the deadline at the latest. */
  TimePoint nextTime(TimePoint Now) const;
  /** Shards that an answer must cover. */
  std::size_t leastShards(std::size_t Shards) const;

private:
  TimePoint lateCut() const;

  CoverageOptions m_Options;
  bool m_ShortAtCut = false; ///< Too little was in when time was up.
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_COVERAGERULE_H
