#ifndef FIGTURN_NODE_PLATFORMADAPTER_H
#define FIGTURN_NODE_PLATFORMADAPTER_H

/**
 * What the platform tells a routed VM and what it is asked, in the product's
 * own terms. The adapter to a platform implements PlatformAdapter.
 */

#include "coordination/WatcherElection.h"
#include "state/Ids.h"
#include "state/RoutingConfig.h"
#include "state/StateVersion.h"
#include "state/TargetEntry.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace figturn {

/** Takes what the platform says. Called on the VM's worker. */
class PlatformListener {
public:
  virtual ~PlatformListener() = default;
  /** A configuration that is newer than all before. */
  virtual void onConfig(RoutingConfigPtr Config) = 0;
  /** The complete registry. */
  virtual void onTargets(std::vector<TargetEntry> Entries) = 0;
  /** One new or changed entry of the registry. */
  virtual void onTarget(TargetEntry Entry) = 0;
  /** An entry that is gone, or names no target that could be used. */
  virtual void onTargetRemoved(const TargetName &Name) = 0;
  /** Data centres that get no new work. */
  virtual void onEvacuations(std::set<DataCentreName> Evacuated) = 0;
  /** Gossip addresses under which VMs have registered. */
  virtual void onVmAddresses(const std::vector<std::string> &Addresses) = 0;
};

/** Counts of calls to the platform. */
struct PlatformCounters {
  std::uint64_t m_Reads = 0;
  std::uint64_t m_Watches = 0;
  std::uint64_t m_Writes = 0;
  std::uint64_t m_Failures = 0;
};

/** A platform. Lives on the VM's worker. */
class PlatformAdapter {
public:
  virtual ~PlatformAdapter() = default;
  virtual void start(PlatformListener &Listener) = 0;
  virtual void stop() = 0;
  /** How to follow the platform. */
  virtual void setRole(StoreRole Role) = 0;
  virtual bool isWatching() const = 0;
  /** Whether the platform answered the latest calls. */
  virtual bool isReachable() const = 0;
  /** Asks for the registered VMs again: none is heard. */
  virtual void refreshVms() = 0;
  /** Whether configuration and registry follow the platform right now. */
  virtual bool isCurrent() const = 0;
  /** How recent the state read or taken is. */
  virtual StateVersion stateVersion() const = 0;
  /** The path and query under which another VM gives what is new here. */
  virtual std::string stateQuery() const = 0;
  /** What is new for the VM that asked with \p Query of stateQuery(). */
  virtual std::string exportState(const std::string &Query) const = 0;
  /** Takes another VM's copy as far as it is newer than what is known. */
  virtual void importState(const std::string &State) = 0;
  virtual const PlatformCounters &counters() const = 0;
};

} // namespace figturn

#endif // FIGTURN_NODE_PLATFORMADAPTER_H
