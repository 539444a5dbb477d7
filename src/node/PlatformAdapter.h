#ifndef FIGTURN_NODE_PLATFORMADAPTER_H
#define FIGTURN_NODE_PLATFORMADAPTER_H

/**
 * Interface between a VM in routed mode and the platform, independent of a
 * platform's protocol. Each supported platform implements PlatformAdapter.
 */

#include "coordination/WatcherElection.h"
#include "state/Ids.h"
#include "state/RoutingConfig.h"
#include "state/StateVersion.h"
#include "state/TargetEntry.h"
#include "state/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace figturn {

/** Receives updates from the platform. Called on the VM's worker. */
class PlatformListener {
public:
  virtual ~PlatformListener() = default;
  /** A configuration newer than all previous ones. */
  virtual void onConfig(RoutingConfigPtr Config) = 0;
  /** A complete listing of the registry. Entries that are not in it were
   *  present, or the registry was unavailable, at \p PresentAt. */
  virtual void onTargets(std::vector<TargetEntry> Entries,
                         TimePoint PresentAt) = 0;
  /** A new or changed registry entry. It changed, or the registry was
   *  unavailable, after \p ChangedAfter. */
  virtual void onTarget(TargetEntry Entry, TimePoint ChangedAfter) = 0;
  /** A registry entry that was removed or is no longer usable. It was present,
   *  or the registry was unavailable, at \p PresentAt. */
  virtual void onTargetRemoved(const TargetName &Name, TimePoint PresentAt) = 0;
  /** The data centres that receive no new work. */
  virtual void onEvacuations(std::set<DataCentreName> Evacuated) = 0;
  /** Gossip addresses of the registered VMs. */
  virtual void onVmAddresses(const std::vector<std::string> &Addresses) = 0;
};

/** Counts of calls to the platform. */
struct PlatformCounters {
  std::uint64_t m_Reads = 0;
  std::uint64_t m_Watches = 0;
  std::uint64_t m_Writes = 0;
  std::uint64_t m_Failures = 0;
};

/** Eras of the platform's store, as this VM knows them. */
struct StoreEraStatus {
  std::uint64_t m_Era = 0;   ///< The latest; 0 if the store names none.
  std::uint64_t m_Rises = 0; ///< How often it rose since this VM's start.
};

/** Relates the times in another VM's copy of the state to this VM's clock. */
struct CopyTimes {
  TimePoint m_RequestedAt; ///< When this VM requested the copy.
  /** The other VM's clock when it sent the copy; none if it doesn't tell. */
  std::optional<TimePoint> m_SentAt;

  /** A time of this VM's clock that is not later than \p Other of the other
   *  VM's clock. */
  TimePoint toOwnClock(TimePoint Other) const {
    return m_SentAt ? m_RequestedAt + std::min(Other - *m_SentAt, Duration(0))
                    : m_RequestedAt;
  }
};

/** What this VM's peers tell of the state that it holds. */
struct FleetAgreement {
  /** Peers are heard, and none has a newer registry. */
  bool m_OnRegistry = false;
  /** A peer that reaches the platform is heard, and none has a newer
   *  configuration. */
  bool m_OnConfig = false;
};

/** Connection to a platform. Confined to the VM's worker. */
class PlatformAdapter {
public:
  virtual ~PlatformAdapter() = default;
  /** Starts to deliver updates to \p Listener, until stop(). */
  virtual void start(PlatformListener &Listener) = 0;
  virtual void stop() = 0;
  /** Sets whether this VM watches the platform or follows other VMs. */
  virtual void setRole(StoreRole Role) = 0;
  virtual bool isWatching() const = 0;
  /** Whether the platform answered the most recent calls. */
  virtual bool isReachable() const = 0;
  /** Reads the registered VMs again; called while no peer is alive. */
  virtual void refreshVms() = 0;
  /** Whether configuration and registry are up to date with the platform. */
  virtual bool isCurrent() const = 0;
  /** Whether the configuration in force is shown to have been the newest one
   *  within the time in which a change has to take effect. If not, a request
   *  that it doesn't allow may be allowed by a newer one. */
  virtual bool isConfigProven(TimePoint Now) const = 0;
  /** Version of the state held, whether read or imported. */
  virtual StateVersion stateVersion() const = 0;
  /** Reads \p Part from the platform, whether this VM watches it or not. */
  virtual void readState(StatePart Part) = 0;
  /** The query string for exportState() of another VM that selects what is
   *  newer than this VM's \p Part. */
  virtual std::string stateQuery(StatePart Part) const = 0;
  /** State that is new for a VM whose stateQuery() is \p Query. */
  virtual std::string exportState(const std::string &Query) const = 0;
  /** Applies the parts of another VM's \p State that are newer than this
   *  VM's. */
  virtual void importState(const std::string &State,
                           const CopyTimes &Times) = 0;
  /** Called periodically. */
  virtual void onTick(const FleetAgreement &Agreement, TimePoint Now) = 0;
  virtual const PlatformCounters &counters() const = 0;
  virtual StoreEraStatus storeEra() const = 0;
  /** Further counters in the Prometheus text format. */
  virtual std::string metricsText() const = 0;
};

} // namespace figturn

#endif // FIGTURN_NODE_PLATFORMADAPTER_H
