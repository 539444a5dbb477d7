#ifndef FIGTURN_COORDINATION_STATECOPYSCHEDULE_H
#define FIGTURN_COORDINATION_STATECOPYSCHEDULE_H

/**
 * Decides when a VM that is behind its peers requests a copy of one part of
 * their state, when it reads that part from the platform instead, and which
 * copies a VM may send.
 */

#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace figturn {

/** Delays and timeouts of copies of one part. */
struct StateCopyOptions {
  /** A VM that watches the platform itself requests a copy after being behind
   *  for this long: its own watch may have gone silent. */
  Duration m_WatcherDelay = milliseconds(700);
  /** Limits the number of copies during a burst of changes. */
  Duration m_MinInterval = milliseconds(300);
  /** Delay after a peer deferred the request. */
  Duration m_DeferredDelay = milliseconds(100);
  milliseconds m_Timeout{800};
  /** A VM that is behind for this long, with no copy received, reads the part
   *  from the platform: its peers can't serve it. */
  Duration m_StoreReadDelay = milliseconds(1500);
  /** The same for a VM that watches the platform itself: its watch is silent,
   *  and the peer may be, too. */
  Duration m_WatcherStoreReadDelay = milliseconds(1200);
};

/** Options for targets and evacuations. */
StateCopyOptions registryCopyOptions();
/** Options for the configuration, whose copies can be large. */
StateCopyOptions configCopyOptions();

/** What a VM does to obtain newer state. */
enum class CopyStep : std::uint8_t {
  None,
  AskPeer,
  ReadStore ///< Read from the platform itself.
};

/** How a request to a peer ended. */
enum class CopyOutcome : std::uint8_t {
  Complete,
  Unchanged, ///< The copy held nothing newer.
  Deferred,  ///< The peer has too many copies to send.
  Failed
};

/** Copies of one part, one at a time. Not thread-safe. */
class StateCopySchedule {
public:
  explicit StateCopySchedule(StateCopyOptions Options) : m_Options(Options) {}

  /** The next step at \p Now, which counts as started. \p IsBehind: a peer has
   *  newer state. \p HasCurrentWatch: this VM's own watch of the platform
   *  works. */
  CopyStep next(bool IsBehind, bool HasCurrentWatch, TimePoint Now);
  /** The copy requested last arrived or failed. */
  void onEnded(CopyOutcome Outcome, TimePoint Now);
  milliseconds timeout() const { return m_Options.m_Timeout; }

private:
  StateCopyOptions m_Options;
  std::optional<TimePoint> m_BehindSince;
  TimePoint m_NextRequest;
  TimePoint m_NextStoreRead;
  bool m_IsRunning = false;
};

/** Whether a VM sends a copy of \p Bytes now rather than defer the request.
 *  \p PendingAnswers are the answers, including this one, not completely
 *  sent. */
bool maySendCopy(std::size_t Bytes, std::size_t PendingAnswers);

} // namespace figturn

#endif // FIGTURN_COORDINATION_STATECOPYSCHEDULE_H
