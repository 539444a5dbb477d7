#ifndef FIGTURN_COORDINATION_WATCHERELECTION_H
#define FIGTURN_COORDINATION_WATCHERELECTION_H

/**
 * Which VMs follow the platform's store by themselves. Each watch and each
 * change costs a call a VM, and the store's rates grow more slowly than the
 * fleet, so in a large fleet only some VMs watch and the others take what
 * changed from their peers. Every VM works out the same answer from the list
 * of VMs that run; while lists differ some more watch, which is harmless.
 *
 * A store that goes silent swallows the watches that are sent meanwhile, and
 * answers them never, also when it is back. Sentinels keep their watches short
 * and so are the first to know again; the others hear it from them.
 */

#include "state/Ids.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace figturn {

/** How a VM follows the store. */
enum class StoreRole {
  Follower, ///< Takes changes from other VMs.
  Watcher,  ///< Waits for changes at the store.
  Sentinel  ///< Waits for a short time only, again and again.
};

/** "follower", "watcher" or "sentinel", for logs. */
std::string_view storeRoleName(StoreRole Role);

/** Sizes of WatcherElection. */
struct WatcherOptions {
  /** Fleets up to this size watch altogether. */
  std::size_t m_MaxAllWatchingVms = 20;
  /** Watchers of a larger fleet; one that works is enough, and so many don't
   *  fail at once in the same seconds. */
  std::size_t m_WatcherCount = 12; ///< Sentinels included.
  std::size_t m_SentinelCount = 4;
};

/** The role of \p Self, given the VMs that run and reach the store, itself
 *  included. */
StoreRole storeRole(const VmName &Self, const std::vector<VmName> &Able,
                    const WatcherOptions &Options = {});

} // namespace figturn

#endif // FIGTURN_COORDINATION_WATCHERELECTION_H
