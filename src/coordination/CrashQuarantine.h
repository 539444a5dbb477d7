#ifndef FIGTURN_COORDINATION_CRASHQUARANTINE_H
#define FIGTURN_COORDINATION_CRASHQUARANTINE_H

/**
 * Detects requests that crash targets, and quarantines them at every VM. A
 * target that lost the connection of a call and then refuses new connections
 * has crashed, and the requests that it was running are suspects. Most of them
 * succeed at another target, which clears them. A request that has caused
 * several crashes and never succeeded is refused for a while.
 *
 * Targets may also go down together, for example with their data centre, and
 * take down all calls of a search at once. Targets that were lost by attempts
 * that overlap in time therefore count as one crash: only an attempt that began
 * after the previous crash adds evidence.
 *
 * VMs send each other records of which request crashed which target. The
 * records form a set, so duplicates and the order of arrival do not matter. All
 * tables are bounded.
 */

#include "state/Ids.h"
#include "state/TargetEntry.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace figturn {

/** Limits of a CrashQuarantine. */
struct CrashQuarantineOptions {
  /** Number of crashes after which a request is quarantined. An innocent
   *  request may by chance have been at two targets that crashed. */
  std::size_t m_CrashLimit = 3;
  /** The VM that owns the table. */
  VmName m_Self{};
  /** Crashes that several VMs record within this time count as one. Covers the
   *  time after which VMs notice the same outage, and the transit of records.
   */
  Duration m_CommonCauseWindow = seconds(1);
  Duration m_QuarantineDuration = std::chrono::minutes(10);
  /** Maximum time from a lost call to the refused connection that confirms a
   *  crash. A crashed target refuses connections immediately; a later refusal
   *  has another cause. */
  Duration m_ConfirmationTimeout = seconds(2);
  /** Delay before a crash is sent to other VMs, in which the request may still
   *  succeed; a retry and its reply take less. */
  Duration m_GossipDelay = milliseconds(400);
  std::size_t m_MaxSuspects = 1000;
  std::size_t m_MaxPending = 1000;
};

/** An attempt of a request whose call to a target was lost. */
struct LostCall {
  Fingerprint m_Request;
  TargetInstance m_Target;
  /** When the attempt sent its first call, to this or another target. */
  TimePoint m_AttemptStartedAt;
};

/** Record that a request crashed a target. */
struct CrashRecord {
  Fingerprint m_Request;
  std::uint32_t m_Target = 0; ///< Identifies one process instance of a target.
  std::uint32_t m_Vm = 0;     ///< Identifies the VM that recorded the crash.
  milliseconds m_Remaining{}; ///< Remaining validity.

  bool operator==(const CrashRecord &) const = default;
};

/** The crash records of one VM. Not thread-safe. */
class CrashQuarantine {
public:
  explicit CrashQuarantine(CrashQuarantineOptions Options);

  /** Whether there are no suspects, so that no fingerprint needs to be
   *  computed. */
  bool isEmpty() const { return m_Pending.empty() && m_Suspects.empty(); }

  /** Records that the connection of \p Call ended without a reply. */
  void onCallLost(const LostCall &Call, TimePoint Now);
  /** Records that a target answered \p Request, which is then no longer suspect
   *  unless it is quarantined. */
  void onAnswered(Fingerprint Request, TimePoint Now);
  /** Whether calls to \p Target were lost recently and it is not known yet
   *  whether the target crashed. */
  bool hasUnexplainedLoss(const TargetInstance &Target, TimePoint Now) const;
  /** Records that \p Target refuses connections or was restarted. Returns the
   *  requests that become suspects. */
  std::vector<Fingerprint> onTargetDown(const TargetInstance &Target,
                                        TimePoint Now);
  /** Records that \p Target accepts connections, so that its calls were not
   *  lost because of a crash. */
  void onTargetUp(const TargetInstance &Target);

  /** Whether \p Request must be refused. */
  bool isQuarantined(Fingerprint Request, TimePoint Now) const;
  /** Number of crashes of \p Request that may have independent causes. */
  std::size_t crashes(Fingerprint Request, TimePoint Now) const;

  /** Selects up to \p MaxRecords records to send to other VMs, the least often
   *  sent first. */
  std::vector<CrashRecord> selectRecordsToSend(std::size_t MaxRecords,
                                               TimePoint Now);
  /** Merges a record received from another VM; returns whether this quarantines
   *  the request. */
  bool mergeRecord(const CrashRecord &Record, TimePoint Now);

private:
  struct Pending {
    LostCall m_Call;
    TimePoint m_LostAt;
  };
  struct CrashKey {
    std::uint32_t m_Vm;
    std::uint32_t m_Target;

    bool operator<(const CrashKey &Other) const {
      return std::tie(m_Vm, m_Target) < std::tie(Other.m_Vm, Other.m_Target);
    }
  };
  struct CrashEntry {
    TimePoint m_LostAt;
    TimePoint m_SendNotBefore;
    std::uint32_t m_SendCount = 0;
  };
  using CrashEntries = std::map<CrashKey, CrashEntry>;

  void addOwn(const Pending &Lost, TimePoint Now);
  void add(Fingerprint Request, const CrashKey &Key, const CrashEntry &New,
           TimePoint Now);
  bool isExpired(const CrashEntry &Entry, TimePoint Now) const {
    return Now >= Entry.m_LostAt + m_Options.m_QuarantineDuration;
  }
  void dropExpired(TimePoint Now);

  CrashQuarantineOptions m_Options;
  std::uint32_t m_SelfKey;
  std::vector<Pending> m_Pending;
  std::map<Fingerprint, CrashEntries> m_Suspects;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_CRASHQUARANTINE_H
