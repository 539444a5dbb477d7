#include "coordination/WatcherElection.h"

#include "state/RendezvousHash.h"

#include <algorithm>

namespace figturn {

bool isWatcher(const VmName &Self, const std::vector<VmName> &Able,
               const WatcherOptions &Options) {
  if (Able.size() <= Options.m_AllUpTo)
    return true;
  const auto Order = rendezvousOrder(Able, stableHash("store-watchers"));
  const auto Place = std::find(Order.begin(), Order.end(), Self);
  return Place - Order.begin() <
         static_cast<std::ptrdiff_t>(Options.m_Watchers);
}

} // namespace figturn
