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

StoreRole storeRole(const VmName &Self, const std::vector<VmName> &EligibleVms,
                    const WatcherOptions &Options) {
  const auto Order = rendezvousOrder(EligibleVms, stableHash("store-watchers"));
  const auto Rank = static_cast<std::size_t>(
      std::find(Order.begin(), Order.end(), Self) - Order.begin());
  if (Rank < Options.m_SentinelCount)
    return StoreRole::Sentinel;
  const bool IsWatcher = EligibleVms.size() <= Options.m_MaxAllWatchingVms ||
                         Rank < Options.m_WatcherCount;
  return IsWatcher ? StoreRole::Watcher : StoreRole::Follower;
}

} // namespace figturn
