#ifndef FIGTURN_COORDINATION_HITMERGER_H
#define FIGTURN_COORDINATION_HITMERGER_H

/**
 * Merges the hits of many shards and keeps the best ones. The order is part of
 * the query semantics: higher scores first, equal scores ordered by id, each id
 * once.
 */

#include "coordination/QueryTypes.h"

#include <cstddef>
#include <vector>

namespace figturn {

/** Keeps the best hits in bounded space. Not thread-safe. */
class HitMerger {
public:
  explicit HitMerger(std::size_t Limit);

  /** Adds the hits of one shard, whose scores must be finite. */
  void add(std::vector<Hit> Hits);

  /** The best hits in order; the merger is empty afterwards. */
  std::vector<Hit> take();

private:
  void compact();

  std::size_t m_Limit;
  std::vector<Hit> m_Hits;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_HITMERGER_H
