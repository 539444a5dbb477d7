#ifndef FIGTURN_COORDINATION_REPLICACHOOSER_H
#define FIGTURN_COORDINATION_REPLICACHOOSER_H

/**
 * Strategy that picks the replica a call goes to. It stands apart from the
 * query so that routing rules can change without touching what a query
 * means.
 */

#include "coordination/QueryTypes.h"
#include "state/IndexSnapshot.h"
#include "state/Time.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace figturn {

/** Replicas of a shard by index; those past its size are never used. */
using ReplicaMask = std::bitset<64>;

/** What this VM knows about a target when it routes a call. */
struct ReplicaStatus {
  /** In, not refusing connections, not quarantined, not leaving. */
  bool m_Usable = false;
  bool m_Cold = false;
  /** One more call fits into what this VM may send to the target. */
  bool m_HasCapacity = true;
  std::uint32_t m_Outstanding = 0;
  Duration m_Latency{}; ///< Moving average; zero if not known.
};

/** The table of targets, as far as routing needs it. */
class ReplicaTable {
public:
  virtual ~ReplicaTable() = default;
  virtual ReplicaStatus status(const TargetName &Target) const = 0;
  /** Counts a call as outstanding from the moment it is decided, so that
   *  the calls of one batch see one another. The embedder counts it down
   *  when the call's outcome arrives. */
  virtual void addOutstanding(const TargetName &Target) = 0;
};

/** Picks replicas. */
class ReplicaChooser {
public:
  virtual ~ReplicaChooser() = default;

  /** Index in \p Shard's replicas of one that may get a call of \p Kind and
   *  is not in \p Excluded, or none. Hedges and retries are never given to
   *  a cold target. */
  virtual std::optional<std::size_t> choose(const ShardInfo &Shard,
                                            const ReplicaMask &Excluded,
                                            CallKind Kind, TimePoint Now) = 0;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_REPLICACHOOSER_H
