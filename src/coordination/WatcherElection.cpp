#include "coordination/WatcherElection.h"

#include "state/RendezvousHash.h"

#include <algorithm>

namespace figturn {

std::string_view storeRoleName(StoreRole Role) {
  switch (Role) {
  case StoreRole::Follower:
    return "follower";
  case StoreRole::Watcher:
    return "watcher";
  case StoreRole::Sentinel:
    return "sentinel";
  }
  return "";
}

StoreRole storeRole(const VmName &Self, const std::vector<VmName> &Able,
                    const WatcherOptions &Options) {
  const auto Order = rendezvousOrder(Able, stableHash("store-watchers"));
  const auto Place = static_cast<std::size_t>(
      std::find(Order.begin(), Order.end(), Self) - Order.begin());
  if (Place < Options.m_SentinelCount)
    return StoreRole::Sentinel;
  const bool Watches = Able.size() <= Options.m_MaxAllWatchingVms ||
                       Place < Options.m_WatcherCount;
  return Watches ? StoreRole::Watcher : StoreRole::Follower;
}

} // namespace figturn
