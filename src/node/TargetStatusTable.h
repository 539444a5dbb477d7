#ifndef FIGTURN_NODE_TARGETSTATUSTABLE_H
#define FIGTURN_NODE_TARGETSTATUSTABLE_H

/**
 * What this VM knows about each target, for the choice of replicas on any
 * worker. Entries hold atomics and are created under a lock once; the table
 * of entries is read through a shared pointer.
 */

#include "coordination/ReplicaChooser.h"
#include "node/RoutingTable.h"
#include "state/Ids.h"

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace figturn {

/** One target's state. */
struct TargetStatusEntry {
  std::atomic<bool> m_Accepts{false}; ///< Configured to get new work.
  std::atomic<bool> m_Leaving{false}; ///< The platform's VM list says so.
  std::atomic<bool> m_Refusing{false};
  std::atomic<bool> m_Cold{true};
  std::atomic<bool> m_HasRoom{true};
  std::atomic<std::uint32_t> m_Outstanding{0};
  std::atomic<std::int64_t> m_LatencyNs{0}; ///< Moving average.
  std::atomic<std::uint32_t> m_Connections{0};
  std::atomic<std::uint32_t> m_Level{0};
};

/** Shared table; thread-safe. */
class TargetStatusTable : public ReplicaTable {
public:
  using Entries = std::map<TargetName, std::shared_ptr<TargetStatusEntry>>;

  /** Makes the entries those of \p Config's targets. */
  void configure(const Configuration &Config);
  /** Targets at one of \p Addresses ("ip:port") get no new work; all others
   *  may, as far as the VM list is concerned. */
  void setLeaving(const Configuration &Config,
                  const std::set<std::string> &Addresses);
  /** The entry of \p Target, or null. */
  std::shared_ptr<TargetStatusEntry> find(const TargetName &Target) const;
  std::shared_ptr<const Entries> entries() const;

  ReplicaStatus status(const TargetName &Target) const override;
  void addOutstanding(const TargetName &Target) override;
  void removeOutstanding(const TargetName &Target);
  /** Takes the latency of a call that succeeded. */
  void addLatency(const TargetName &Target, Duration Latency);

private:
  std::atomic<std::shared_ptr<const Entries>> m_Entries{
      std::make_shared<const Entries>()};
};

} // namespace figturn

#endif // FIGTURN_NODE_TARGETSTATUSTABLE_H
