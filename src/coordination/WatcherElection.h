#ifndef FIGTURN_COORDINATION_WATCHERELECTION_H
#define FIGTURN_COORDINATION_WATCHERELECTION_H

/**
 * Selects the VMs that watch the platform's store directly. Each watch and each
 * change costs one call per VM, and the store's rate limits grow more slowly
 * than the number of VMs. In a large fleet, therefore, only some VMs watch, and
 * the others receive changes from their peers. All VMs compute the same result
 * from the list of running VMs; while their lists differ, more VMs watch, which
 * is harmless.
 *
 * A store that stops responding never replies to watches sent during the
 * outage, even after it recovers. Sentinels use short watches, so they detect
 * the recovery first and notify the other VMs.
 */

#include "state/Ids.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace figturn {

/** How a VM receives changes of the store. */
enum class StoreRole {
  Follower, ///< Receives changes from other VMs.
  Watcher,  ///< Watches the store.
  Sentinel  ///< Watches the store with short timeouts.
};

/** "follower", "watcher" or "sentinel", for logs. */
std::string_view storeRoleName(StoreRole Role);

/** Limits for the election of watchers. */
struct WatcherOptions {
  /** All VMs watch in fleets up to this size. */
  std::size_t m_MaxAllWatchingVms = 20;
  /** Number of watchers in a larger fleet, including sentinels. One working
   *  watcher is enough, and this many are unlikely to fail within the same
   *  seconds. */
  std::size_t m_WatcherCount = 12;
  std::size_t m_SentinelCount = 3;
};

/** The role of \p Self. \p EligibleVms are the running VMs that reach the
 * store, including \p Self. */
StoreRole storeRole(const VmName &Self, const std::vector<VmName> &EligibleVms,
                    const WatcherOptions &Options = {});

} // namespace figturn

#endif // FIGTURN_COORDINATION_WATCHERELECTION_H
