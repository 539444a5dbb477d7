#ifndef FIGTURN_STATE_INDEXSNAPSHOT_H
#define FIGTURN_STATE_INDEXSNAPSHOT_H

/**
 * One version of a service's index: its shards, the number of documents in each
 * and the targets that hold replicas. The indexer publishes it as an object of
 * the platform; a query uses the same snapshot until it ends.
 */

#include "state/Ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace figturn {

/** One shard of a snapshot. */
struct ShardInfo {
  ShardId m_Shard;
  std::uint64_t m_Documents = 0;
  std::vector<TargetName> m_Replicas;
};

/** One immutable version of a service's index. */
struct IndexSnapshot {
  ServiceName m_Service;
  IndexVersion m_Version;
  std::vector<ShardInfo> m_Shards;
  /** The shard that holds \p Record, by stable hash of its name. The snapshot
   *  must have at least one shard. */
  const ShardInfo &shardOfRecord(std::string_view Record) const;
  /** Number of documents in all shards. */
  std::uint64_t documents() const;
};

using IndexSnapshotPtr = std::shared_ptr<const IndexSnapshot>;

} // namespace figturn

#endif // FIGTURN_STATE_INDEXSNAPSHOT_H
