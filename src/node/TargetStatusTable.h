#ifndef FIGTURN_NODE_TARGETSTATUSTABLE_H
#define FIGTURN_NODE_TARGETSTATUSTABLE_H

/**
 * Status of each target as observed by this VM, for choosing replicas on any
 * worker. Entries hold atomics; the table of entries is read through an atomic
 * shared pointer and replaced when the configuration changes.
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

/** Status of one target. */
struct TargetStatusEntry {
  std::atomic<bool> m_AcceptsNewWork{false}; ///< Set by the configuration.
  std::atomic<bool> m_Leaving{false};  ///< Marked in the platform's VM list.
  std::atomic<bool> m_Refusing{false}; ///< The last connection attempt failed.
  std::atomic<bool> m_Cold{true};
  std::atomic<bool> m_HasCapacity{true};
  std::atomic<std::uint32_t> m_Outstanding{0};
  std::atomic<std::int64_t> m_LatencyNs{0}; ///< Moving average.
  std::atomic<std::uint32_t> m_Connections{0};
  /** The ramp's level, which counts the slots of all VMs. */
  std::atomic<std::uint32_t> m_UsableSlots{0};
};

/** Shared table; thread-safe. */
class TargetStatusTable : public ReplicaTable {
public:
  using Entries = std::map<TargetName, std::shared_ptr<TargetStatusEntry>>;

  /** Adds and removes entries to match the targets of \p Config. */
  void configure(const Configuration &Config);
  /** Marks the targets at \p Addresses ("ip:port") as leaving, so that they
   *  get no new work, and clears the mark of all others. */
  void setLeaving(const Configuration &Config,
                  const std::set<std::string> &Addresses);
  /** The entry of \p Target, or null. */
  std::shared_ptr<TargetStatusEntry> find(const TargetName &Target) const;
  std::shared_ptr<const Entries> entries() const;

  ReplicaStatus status(const TargetName &Target) const override;
  void addOutstanding(const TargetName &Target) override;
  void removeOutstanding(const TargetName &Target);
  /** Records the latency of a successful call. */
  void addLatency(const TargetName &Target, Duration Latency);

private:
  std::atomic<std::shared_ptr<const Entries>> m_Entries{
      std::make_shared<const Entries>()};
};

} // namespace figturn

#endif // FIGTURN_NODE_TARGETSTATUSTABLE_H
