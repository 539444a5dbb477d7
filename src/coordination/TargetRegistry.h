#ifndef FIGTURN_COORDINATION_TARGETREGISTRY_H
#define FIGTURN_COORDINATION_TARGETREGISTRY_H

/**
 * The targets that one VM knows, by service. Follows the registry's feed and
 * decides what a missing entry means: entries lapse while the registry is
 * away and come back shortly after it, so a target whose entry vanished
 * without notice stays in use, as the last choice, for a hold time that ends
 * well before a target that really left stops to serve.
 */

#include "coordination/TargetLoad.h"
#include "state/TargetEntry.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace figturn {

/** A target and what this VM knows of it. */
struct Target {
  TargetEntry m_Entry;
  TargetLoad m_Load;
  /** When its entry vanished; none while the registry names it. */
  std::optional<TimePoint> m_MissingSince;

  bool isCold(TimePoint Now) const { return Now < m_Entry.m_ColdUntil; }
};

using TargetPtr = std::shared_ptr<Target>;

/** Times of a TargetRegistry. */
struct TargetRegistryOptions {
  /** A target whose entry vanished without notice is used for so long. */
  Duration m_MissingRetention = milliseconds(2400);
};

/** How an update changed the registry. */
struct RegistryChange {
  std::vector<TargetPtr> m_RemovedTargets; ///< No longer to be used at all.
  std::vector<TargetPtr> m_Missing;        ///< Entry vanished; held for now.
  std::vector<TargetPtr> m_Restarted;      ///< Replaced by a later start.
  std::size_t m_Added = 0;
  std::size_t m_Updated = 0;
};

/** The registry's view at one VM. Not thread-safe. */
class TargetRegistry {
public:
  explicit TargetRegistry(TargetRegistryOptions Options) : m_Options(Options) {}

  /** Takes a complete listing; entries that it lacks have vanished. */
  RegistryChange replaceAll(std::vector<TargetEntry> Entries, TimePoint Now);
  /** Takes one new or changed entry. */
  RegistryChange upsert(TargetEntry Entry, TimePoint Now);
  /** The entry of \p Name was removed or can't be read any more. */
  RegistryChange remove(const TargetName &Name, TimePoint Now);
  /** Drops targets that were held for long enough. */
  RegistryChange expire(TimePoint Now);
  /** When expire() is due next. */
  std::optional<TimePoint> nextExpiry() const;

  /** Targets of \p Service, held ones included. */
  std::span<const TargetPtr> targets(const ServiceName &Service) const;
  std::size_t size() const { return m_ByName.size(); }
  const std::map<TargetName, TargetPtr> &all() const { return m_ByName; }

  /** Data centres that receive no new work. */
  void setEvacuated(std::set<DataCentreName> Evacuated);
  bool isEvacuated(const DataCentreName &DataCentre) const {
    return m_Evacuated.contains(DataCentre);
  }

private:
  void put(TargetEntry Entry, RegistryChange &Change);
  void markMissing(const TargetPtr &Lost, TimePoint Now,
                   RegistryChange &Change);
  /** By value: the argument may be one of the table's own. */
  void drop(TargetPtr Old);

  TargetRegistryOptions m_Options;
  std::map<TargetName, TargetPtr> m_ByName;
  std::map<ServiceName, std::vector<TargetPtr>> m_ByService;
  std::set<DataCentreName> m_Evacuated;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_TARGETREGISTRY_H
