#ifndef FIGTURN_COORDINATION_LEARNINGTIMES_H
#define FIGTURN_COORDINATION_LEARNINGTIMES_H

/**
 * Measures how late a VM learns what the platform's store has acknowledged.
 * A version may have been acknowledged just after the time up to which the VM's
 * copy was shown to be complete; the time since then is an upper bound, which
 * is recorded by part of the state and by the way in which the VM learned the
 * version.
 */

#include "coordination/FreshnessTracker.h"
#include "coordination/LatencyHistogram.h"
#include "coordination/WatcherElection.h"
#include "state/StateVersion.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace figturn {

/** Parts of the state that are learned independently. */
enum class LearnedPart : std::uint8_t { Config, Targets, Evacuations };

/** How a VM learned a version. */
enum class LearningWay : std::uint8_t {
  Watch,         ///< Reply to a watch.
  StartListing,  ///< First listing after the start.
  RetryListing,  ///< Listing after a failure of the store.
  BehindListing, ///< Listing, as the VM stayed behind its peers.
  RoleListing,   ///< Listing of a follower that begins to watch.
  Copy           ///< Copy of another VM's state.
};

/** For logs and metrics, for example "targets" and "retry-listing". */
std::string_view learnedPartName(LearnedPart Part);
std::string_view learningWayName(LearningWay Way);

/** A version of one part that was applied. */
struct AppliedVersion {
  LearnedPart m_Part = LearnedPart::Config;
  StateRevision m_Revision;          ///< Of the store.
  std::uint64_t m_ConfigVersion = 0; ///< In force after it was applied.
  /** Freshness of the part before it was applied. */
  TimePoint m_ProvenAt;
  TimePoint m_FreshAt;
};

/** Learning times of one VM. Not thread-safe. */
class LearningTimes {
public:
  explicit LearningTimes(TimePoint Now)
      : m_RoleSince(Now), m_Registry({}, Now) {}

  void onRole(StoreRole Role, TimePoint Now);
  /** Called periodically. \p AgreesOnRegistry: peers are heard and none has a
   *  newer registry. */
  void onTick(bool AgreesOnRegistry, TimePoint Now);
  /** The next listing of \p Part has the cause \p Way. */
  void onListingDue(LearnedPart Part, LearningWay Way);
  /** An object of \p Part was added, changed or removed. */
  void onChange(LearnedPart Part);
  /** An object was ignored, as its revision is lower than the known one. */
  void onOutdatedObject(LearnedPart Part, std::string_view Name,
                        StateRevision Revision, StateRevision KnownRevision);
  /** The reply to a watch, a listing or a copy was applied completely.
   *  Logged and recorded if an object has changed since the last one. */
  void onWatched(const AppliedVersion &Applied, TimePoint Now,
                 std::chrono::system_clock::time_point WallTime);
  void onListed(const AppliedVersion &Applied, TimePoint Now,
                std::chrono::system_clock::time_point WallTime);
  void onCopied(const AppliedVersion &Applied, TimePoint Now,
                std::chrono::system_clock::time_point WallTime);

  /** All counters in the Prometheus text format. */
  std::string metricsText() const;
  std::uint64_t outdatedObjects(LearnedPart Part) const;

private:
  struct Part {
    LearningWay m_ListingWay = LearningWay::StartListing;
    bool m_HasChange = false;
    std::uint64_t m_OutdatedObjects = 0;
  };

  void onApplied(const AppliedVersion &Applied, LearningWay Way, TimePoint Now,
                 std::chrono::system_clock::time_point WallTime);
  TimePoint provenAt(const AppliedVersion &Applied) const;
  Part &part(LearnedPart Key);

  std::array<Part, 3> m_Parts;
  StoreRole m_Role = StoreRole::Watcher;
  TimePoint m_RoleSince;
  /** When the peers showed the registry to be complete; a watcher's own
   *  freshness leaves that out. */
  FreshnessTracker m_Registry;
  std::map<std::pair<LearnedPart, LearningWay>, LatencyHistogram> m_Times;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_LEARNINGTIMES_H
