#ifndef FIGTURN_COORDINATION_FRESHNESSTRACKER_H
#define FIGTURN_COORDINATION_FRESHNESSTRACKER_H

/**
 * Tracks how fresh a VM's copy of the registry is: the latest time at which it
 * was known to be complete, or the registry was unavailable. An entry that is
 * found to be missing was therefore removed after that time, however late the
 * VM learns of it; and an entry that expired while the registry was unavailable
 * counts as present until it was available again.
 */

#include "state/Time.h"

#include <optional>

namespace figturn {

struct FreshnessOptions {
  /** Time for the reply to a watch to arrive once an entry has changed. */
  Duration m_ReplyTime = milliseconds(200);
  /** Time for the gossip about a newer state to reach each VM. */
  Duration m_SpreadTime = milliseconds(800);
  /** A tick that is this late means that the process did not run. */
  Duration m_PauseThreshold = milliseconds(600);
};

/** Freshness of one VM's copy. Not thread-safe. */
class FreshnessTracker {
public:
  FreshnessTracker(FreshnessOptions Options, TimePoint Now)
      : m_Options(Options), m_LastTickAt(Now), m_RunningSince(Now) {}

  /** The first page of a listing is requested. */
  void onListingSent(TimePoint Now);
  /** The listing was read completely and applied. */
  void onListed();
  /** A watch is sent that continues from the state held. */
  void onWatchSent(TimePoint Now);
  /** The reply to the watch was applied. */
  void onWatchReply();
  /** The watch ended without a reply, or was cancelled. */
  void onWatchEnded();
  /** A call to the registry failed. */
  void onUnavailable(TimePoint Now);
  /** Another VM's copy was imported, which was complete at \p FreshAt. */
  void onCopied(TimePoint FreshAt);
  /** Other VMs are heard, and none has a newer state than this VM. */
  void onFleetAgrees(TimePoint Now);
  /** Called periodically, between events of the network. */
  void onTick(TimePoint Now);

  /** The present freshness; the epoch if there is no state yet. */
  TimePoint freshAt() const;
  /** A time at which the copy was shown to be complete. Unlike freshAt(), it
   *  relies neither on a pending watch, whose connection may be silent, nor on
   *  failed calls. */
  TimePoint provenAt() const { return m_ProvenAt; }

private:
  void raiseTo(TimePoint FreshAt);
  bool isPaused(TimePoint Now) const;

  FreshnessOptions m_Options;
  TimePoint m_FreshAt;
  TimePoint m_ProvenAt;
  TimePoint m_LastTickAt;
  TimePoint m_RunningSince; ///< Start, or end of the last pause.
  std::optional<TimePoint> m_ListingSentAt;
  std::optional<TimePoint> m_WatchSentAt;
  /** A time without a change, as the watch was pending well after it. */
  TimePoint m_UnchangedAt;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_FRESHNESSTRACKER_H
