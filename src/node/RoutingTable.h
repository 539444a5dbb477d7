#ifndef FIGTURN_NODE_ROUTINGTABLE_H
#define FIGTURN_NODE_ROUTINGTABLE_H

/**
 * The active configuration and the newest snapshot of each service's index.
 * Both are immutable values behind shared pointers: workers read them without
 * copying, and a query keeps the versions that it started with.
 */

#include "state/Configuration.h"
#include "state/IndexSnapshot.h"
#include "state/RankedMutex.h"

#include <map>
#include <memory>
#include <vector>

namespace figturn {

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/** Shared table; thread-safe. */
class RoutingTable {
public:
  /** The active configuration; null before the first. */
  ConfigurationPtr configuration() const;
  /** The newest snapshot of \p Service, or null. */
  IndexSnapshotPtr snapshot(const ServiceName &Service) const;

  /** Activates \p Config. Returns false if the active version is at least as
   *  new. */
  bool install(ConfigurationPtr Config);
  /** Installs a snapshot. Returns false if the held one is at least as new. */
  bool install(IndexSnapshotPtr Snapshot);

  /** Versions of the held snapshots. */
  std::map<ServiceName, IndexVersion> indexVersions() const;
  /** Hash of indexVersions() for comparison with peers. */
  std::uint64_t indexDigest() const;

private:
  mutable RankedMutex m_Mutex{LockRank::Routing};
  ConfigurationPtr m_Configuration;
  std::map<ServiceName, IndexSnapshotPtr> m_Snapshots;
};

} // namespace figturn

#endif // FIGTURN_NODE_ROUTINGTABLE_H
