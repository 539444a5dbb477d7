#ifndef FIGTURN_COORDINATION_TARGETREGISTRY_H
#define FIGTURN_COORDINATION_TARGETREGISTRY_H

/**
 * The targets known to one VM, by service. Applies the updates of the
 * platform's registry and handles missing entries: entries expire while the
 * registry is unavailable and reappear shortly after it recovers. A target
 * whose entry disappears without having been marked as draining is therefore
 * retained at the lowest preference, but never for longer than a leaving target
 * continues to serve, whenever this VM learns that the entry is missing.
 */

#include "coordination/TargetLoad.h"
#include "coordination/TargetRateLimit.h"
#include "coordination/TargetSignals.h"
#include "state/TargetEntry.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace figturn {

/** A target and its state as known to this VM. */
struct Target {
  TargetEntry m_Entry;
  TargetLoad m_Load;
  TargetRateLimit m_RateLimit;
  TargetSignals m_Signals;
  /** Until when it may be used though its entry has disappeared; none while the
   *  registry lists it. */
  std::optional<TimePoint> m_RetainedUntil;
  /** Until when bytes of requests may be written to it, as it is leaving or its
   *  entry has disappeared. */
  std::optional<TimePoint> m_WritesUntil;
  /** Since when its entry has said that it is ready, though it has drained. */
  std::optional<TimePoint> m_DrainingContradictedAt;
  /** The registry holds an entry of an earlier start of it that drains. */
  bool m_HasEarlierDrainingEntry = false;

  /** Whether it must no longer be used. */
  bool isGone(TimePoint Now) const {
    return m_RetainedUntil && *m_RetainedUntil <= Now;
  }
  /** Whether it takes no new requests, by its entry or its own word. */
  bool isLeaving() const {
    return m_Entry.m_Draining || m_HasEarlierDrainingEntry ||
           m_Signals.isLeaving();
  }
  bool isCold(TimePoint Now) const { return Now < m_Entry.m_ColdUntil; }
};

using TargetPtr = std::shared_ptr<Target>;

/** Configuration of TargetRegistry. */
struct TargetRegistryOptions {
  /** How long a target is retained once its entry is known to have disappeared
   *  without draining. */
  Duration m_MissingRetention = milliseconds(2400);
  /** How long a target serves after its entry was removed. */
  Duration m_DrainTime = milliseconds(3000);
  /** Part of the drain time that is left for requests in transit. */
  Duration m_TransitTime = milliseconds(200);
  /** How long an entry must say that a draining target is ready again before
   *  it counts: a heartbeat that was sent before may be stored seconds late. */
  Duration m_TakeBackDelay = seconds(8);
  /** How long a leaving process is remembered after its entry was dropped. */
  Duration m_DepartedMemory = seconds(60);
};

/** The changes made by an update. */
struct RegistryChange {
  std::vector<TargetPtr> m_RemovedTargets; ///< Must no longer be used.
  std::vector<TargetPtr> m_Missing; ///< Entry disappeared; still retained.
  /** Replaced: the entry names a newer process instance, another address or
   *  another service. */
  std::vector<TargetPtr> m_Restarted;
  std::vector<TargetPtr> m_Leaving;   ///< Have started to drain.
  std::vector<TargetPtr> m_TakenBack; ///< Don't drain after all.
  std::size_t m_Added = 0; ///< Includes the replacements of m_Restarted.
  std::size_t m_Updated = 0;
};

/** One VM's view of the registry. Not thread-safe. */
class TargetRegistry {
public:
  explicit TargetRegistry(TargetRegistryOptions Options) : m_Options(Options) {}

  void setDrainTime(Duration DrainTime) { m_Options.m_DrainTime = DrainTime; }

  /** Applies a complete listing; entries not in it have disappeared after
   *  \p PresentAt. */
  RegistryChange replaceAll(std::vector<TargetEntry> Entries,
                            TimePoint PresentAt, TimePoint Now);
  /** Adds or updates an entry, which has changed after \p ChangedAfter. */
  RegistryChange upsert(TargetEntry Entry, TimePoint ChangedAfter,
                        TimePoint Now);
  /** Records that \p Leaving has said itself that it is leaving. */
  void onLeavingWord(Target &Leaving, TimePoint Now);
  /** Handles an entry that was removed or has become unreadable after
   *  \p PresentAt. */
  RegistryChange remove(const TargetName &Name, TimePoint PresentAt,
                        TimePoint Now);
  /** Drops missing targets whose retention has expired, and takes targets back
   *  whose entries have contradicted an earlier one for long enough. */
  RegistryChange expire(TimePoint Now);
  /** When expire() is due next. */
  std::optional<TimePoint> nextExpiry() const;

  /** Targets of \p Service, including retained missing ones. */
  std::span<const TargetPtr> targets(const ServiceName &Service) const;
  std::size_t size() const { return m_ByName.size(); }
  const std::map<TargetName, TargetPtr> &all() const { return m_ByName; }

  /** Sets the data centres that receive no new work. */
  void setEvacuated(std::set<DataCentreName> Evacuated);
  bool isEvacuated(const DataCentreName &DataCentre) const {
    return m_Evacuated.contains(DataCentre);
  }

private:
  void put(TargetEntry Entry, TimePoint ChangedAfter, TimePoint Now,
           RegistryChange &Change);
  /** Applies an entry of the process that is known already. */
  void update(const TargetPtr &Known, TargetEntry Entry, TimePoint ChangedAfter,
              TimePoint Now, RegistryChange &Change);
  /** Bounds the writes to \p Leaving, which was not leaving at \p UsableAt. */
  void limitWrites(Target &Leaving, TimePoint UsableAt) const;
  void markMissing(const TargetPtr &Missing, TimePoint PresentAt, TimePoint Now,
                   RegistryChange &Change);
  /** Until when a target may be used whose entry disappeared after
   *  \p PresentAt. */
  TimePoint retentionEnd(TimePoint PresentAt, TimePoint Now) const;
  /** Takes its argument by value, as it may be an element of these tables. */
  void drop(TargetPtr Old, TimePoint Now);

  TargetRegistryOptions m_Options;
  std::map<TargetName, TargetPtr> m_ByName;
  std::map<ServiceName, std::vector<TargetPtr>> m_ByService;
  std::set<DataCentreName> m_Evacuated;
  /** Processes that were leaving when they were dropped, and when that was. */
  std::map<TargetInstance, TimePoint> m_Departed;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_TARGETREGISTRY_H
