#ifndef FIGTURN_COORDINATION_WATCHERELECTION_H
#define FIGTURN_COORDINATION_WATCHERELECTION_H

/**
 * Which VMs follow the platform's store by themselves. Each watch and each
 * change costs a call a VM, and the store's rates grow more slowly than the
 * fleet, so in a large fleet only some VMs watch and the others take what
 * changed from their peers. Every VM works out the same answer from the list
 * of VMs that run; while lists differ some more watch, which is harmless.
 */

#include "state/Ids.h"

#include <cstddef>
#include <vector>

namespace figturn {

/** Sizes of WatcherElection. */
struct WatcherOptions {
  /** Fleets up to this size watch altogether. */
  std::size_t m_AllUpTo = 20;
  /** Watchers of a larger fleet; one that works is enough, and so many don't
   *  fail at once in the same seconds. */
  std::size_t m_Watchers = 12;
};

/** Whether \p Self watches, given the VMs that run and reach the store, itself
 *  included. */
bool isWatcher(const VmName &Self, const std::vector<VmName> &Able,
               const WatcherOptions &Options = {});

} // namespace figturn

#endif // FIGTURN_COORDINATION_WATCHERELECTION_H
