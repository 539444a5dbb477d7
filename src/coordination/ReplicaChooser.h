#ifndef FIGTURN_COORDINATION_REPLICACHOOSER_H
#define FIGTURN_COORDINATION_REPLICACHOOSER_H

/**
 * Strategy that selects the replica for a call. It is separate from the query
 * so that routing rules can change without affecting query semantics.
 */

#include "coordination/QueryTypes.h"
#include "state/IndexSnapshot.h"
#include "state/Time.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace figturn {

/** A set of replicas of a shard by index; higher indices are never used. */
using ReplicaMask = std::bitset<64>;

/** The state of a target as known to this VM when it routes a call. */
struct ReplicaStatus {
  /** Registered, accepting connections, not quarantined, not leaving. */
  bool m_Usable = false;
  bool m_Cold = false;
  /** This VM may send one more call to the target. */
  bool m_HasCapacity = true;
  std::uint32_t m_Outstanding = 0;
  Duration m_Latency{}; ///< Moving average; zero if unknown.
};

/** The state of targets that routing needs. */
class ReplicaTable {
public:
  virtual ~ReplicaTable() = default;
  virtual ReplicaStatus status(const TargetName &Target) const = 0;
  /** Counts a call as outstanding as soon as its target is chosen, so that
   *  later calls of the same batch take it into account. The owner of the query
   *  decrements the count when the call's outcome arrives. */
  virtual void addOutstanding(const TargetName &Target) = 0;
};

/** Selects replicas. */
class ReplicaChooser {
public:
  virtual ~ReplicaChooser() = default;

  /** Returns the index of a replica of \p Shard that may receive a call of
   *  \p Kind and is not in \p Excluded, or nothing. Hedges and retries are
   *  never sent to a cold target. */
  virtual std::optional<std::size_t> choose(const ShardInfo &Shard,
                                            const ReplicaMask &Excluded,
                                            CallKind Kind, TimePoint Now) = 0;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_REPLICACHOOSER_H
