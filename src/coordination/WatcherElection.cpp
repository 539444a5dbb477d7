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
  if (Place < Options.m_Sentinels)
    return StoreRole::Sentinel;
  const bool Watches =
      Able.size() <= Options.m_AllUpTo || Place < Options.m_Watchers;
  return Watches ? StoreRole::Watcher : StoreRole::Follower;
}

} // namespace figturn
