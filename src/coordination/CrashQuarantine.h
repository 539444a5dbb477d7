#ifndef FIGTURN_COORDINATION_CRASHQUARANTINE_H
#define FIGTURN_COORDINATION_CRASHQUARANTINE_H

/**
 * Finds requests that crash the targets that run them, and quarantines them
 * at every VM. A target that lost a call's connection and then refuses new
 * ones has crashed; the calls that it had are suspects. Most of them succeed
 * at another target, which clears them. A request that crashed several
 * targets and never succeeded is refused for a time.
 *
 * VMs tell one another which request crashed which target. The sum over the
 * fleet is the size of a set, so that news may arrive twice or by any way.
 * All tables are bounded.
 */

#include "state/Ids.h"
#include "state/TargetEntry.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace figturn {

/** Limits of a CrashQuarantine. */
struct CrashQuarantineOptions {
  /** Targets that a request may crash before it is quarantined. An innocent
   *  request may have been at two targets that crashed. */
  std::size_t m_CrashLimit = 3;
  Duration m_QuarantineDuration = std::chrono::minutes(10);
  /** A target refuses connections at once after its crash; a later refusal
   *  has another cause. */
  Duration m_ConfirmationTimeout = seconds(2);
  /** Other VMs hear of a crash after this time, unless the request succeeds
   *  first: a retry and its answer take less. */
  Duration m_GossipDelay = milliseconds(400);
  std::size_t m_MaxSuspects = 1000;
  std::size_t m_MaxPending = 1000;
};

/** One request crashed one target. */
struct CrashRecord {
  Fingerprint m_Request;
  std::uint32_t m_Target = 0; ///< Names one start of a target.
  milliseconds m_Remaining{}; ///< The mark holds so long.

  bool operator==(const CrashRecord &) const = default;
};

/** One VM's knowledge of requests that crash targets. Not thread-safe. */
class CrashQuarantine {
public:
  explicit CrashQuarantine(CrashQuarantineOptions Options)
      : m_Options(Options) {}

  /** Whether nothing is suspected, so that no fingerprint is needed. */
  bool isEmpty() const { return m_Pending.empty() && m_Suspects.empty(); }

  /** The connection of a call to \p Target ended without an answer. */
  void onCallLost(Fingerprint Request, const TargetInstance &Target,
                  TimePoint Now);
  /** \p Request was answered by a target. */
  void onAnswered(Fingerprint Request, TimePoint Now);
  /** Whether calls were lost at \p Target whose cause is not known yet. */
  bool isWatched(const TargetInstance &Target, TimePoint Now) const;
  /** \p Target refuses connections or was started anew. Returns the requests
   *  that this makes suspects. */
  std::vector<Fingerprint> onTargetDown(const TargetInstance &Target,
                                        TimePoint Now);
  /** \p Target takes connections: the calls were lost for another reason. */
  void onTargetUp(const TargetInstance &Target);

  /** Whether \p Request is to be refused. */
  bool isQuarantined(Fingerprint Request, TimePoint Now) const;
  /** How many targets \p Request crashed, as far as this VM knows. */
  std::size_t crashes(Fingerprint Request, TimePoint Now) const;

  /** Up to \p Most marks to tell other VMs, the least told first. */
  std::vector<CrashRecord> selectRecordsToSend(std::size_t Most, TimePoint Now);
  /** Takes what another VM told; returns whether the request is quarantined
   *  from now on. */
  bool mergeRecord(const CrashRecord &CrashEntry, TimePoint Now);

private:
  struct Pending {
    Fingerprint m_Request;
    TargetInstance m_Target;
    TimePoint m_Since;
  };
  struct CrashEntry {
    TimePoint m_Until;
    TimePoint m_SendNotBefore;
    std::uint32_t m_SendCount = 0;
  };
  using CrashEntries = std::map<std::uint32_t, CrashEntry>; ///< By target.

  void add(Fingerprint Request, std::uint32_t Target, const CrashEntry &New,
           TimePoint Now);
  void dropExpired(TimePoint Now);

  CrashQuarantineOptions m_Options;
  std::vector<Pending> m_Pending;
  std::map<Fingerprint, CrashEntries> m_Suspects;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_CRASHQUARANTINE_H
