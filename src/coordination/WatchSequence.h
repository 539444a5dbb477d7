#ifndef FIGTURN_COORDINATION_WATCHSEQUENCE_H
#define FIGTURN_COORDINATION_WATCHSEQUENCE_H

/**
 * Decides the next call to the platform's store that keeps track of one kind of
 * object: list all objects page by page, then watch for changes from the
 * revision of the first page on, and list again if the store's history was
 * compacted or a watch failed. Resuming a failed watch at its revision is not
 * sufficient: a store that has compacted its history may accept the watch and
 * never deliver the dropped changes.
 * Watches are renewed after a short delay, which limits the number of calls
 * during bursts of changes. Failures back off, with jitter so that VMs don't
 * retry in lockstep.
 */

#include "state/Time.h"

#include <cstdint>
#include <random>
#include <string>

namespace figturn {

/** A call to the store. */
enum class StoreCall { List, Watch };

/** The next call and the time at which it is due. */
struct WatchStep {
  StoreCall m_Call = StoreCall::List;
  std::string m_ListAfter; ///< For List: the last name of the previous page.
  /** For Watch: the revision after which to report changes. */
  std::uint64_t m_Revision = 0;
  TimePoint m_DueTime;
};

/** Delays of a WatchSequence. */
struct WatchOptions {
  /** Delay between a watch that returned changes and the next one; a fraction
   * of the seconds within which changes must take effect. */
  Duration m_WatchDelay = milliseconds(250);
  Duration m_InitialBackoff = milliseconds(100);
  Duration m_MaxBackoff = milliseconds(800);
};

/** The sequence of calls for one kind of object. Not thread-safe. */
class WatchSequence {
public:
  WatchSequence(WatchOptions Options, std::uint32_t Seed, TimePoint Now);

  /** The next call. */
  const WatchStep &next() const { return m_Next; }

  /** Delays the first listing until \p Until, if no call was made yet. */
  void delayFirstListing(TimePoint Until);
  /** Whether the first listing is still delayed; a listing that failed and is
   *  due again is not. */
  bool isFirstListingDelayed(TimePoint Now) const;
  /** Replaces the first listing by another VM's copy of the objects as of
   *  \p Revision. */
  void onCopied(std::uint64_t Revision, TimePoint Now);
  /** Handles a page of a listing. */
  void onPage(std::uint64_t Revision, bool HasMore, const std::string &LastName,
              TimePoint Now);
  /** Handles the reply to a watch, with or without changes. */
  void onWatched(std::uint64_t Revision, bool HasChanges, TimePoint Now);
  /** The store no longer holds the changes since the watch's revision. */
  void onHistoryCompacted(TimePoint Now);
  /** The call failed; the state may be stale until a call succeeds. */
  void onFailure(TimePoint Now);
  /** Makes a delayed call due now, as the store is reachable again. */
  void makeDueNow(TimePoint Now);
  /** Lists again now, as another VM has a newer state. */
  void restart(TimePoint Now);

  /** Whether a complete listing has been read since the start. */
  bool isComplete() const { return m_Complete; }
  /** Whether a listing is due or in progress, so that entries may be missing.
   */
  bool isListing() const { return m_Next.m_Call == StoreCall::List; }
  std::uint32_t consecutiveFailures() const { return m_ConsecutiveFailures; }

private:
  WatchOptions m_Options;
  std::minstd_rand m_Random;
  WatchStep m_Next;
  std::uint64_t m_ListRevision = 0; ///< Revision of the listing's first page.
  bool m_Complete = false;
  bool m_IsFirstListingDelayed = false;
  std::uint32_t m_ConsecutiveFailures = 0;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_WATCHSEQUENCE_H
