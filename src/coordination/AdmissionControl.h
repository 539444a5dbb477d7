#ifndef FIGTURN_COORDINATION_ADMISSIONCONTROL_H
#define FIGTURN_COORDINATION_ADMISSIONCONTROL_H

/**
 * Which requests for one set of targets run at this VM now, which wait, and
 * which are refused before anything of them was sent. Joins the queue to the
 * limit that is learned from the targets.
 *
 * Load pattern: a crowd of callers beyond what the targets can do. Requests
 * of the most important rank run first; a request waits for a part of its
 * latency objective at most, and is refused at once if its turn can't come by
 * then, so that its caller can come back while its deadline still allows it.
 */

#include "coordination/AdmissionQueue.h"
#include "coordination/ConcurrencyLimit.h"

#include <cstddef>

namespace figturn {

/** Bounds of AdmissionControl. */
struct AdmissionControlOptions {
  ConcurrencyLimitOptions m_Limit;
  /** Part of its latency objective for which a request may wait. */
  double m_MaxWaitRatio = 0.25;
  std::size_t m_MaxPending = 1000; ///< Requests that run or wait.
  /** Requests per slot of the targets that the VMs may run between them
   *  whatever the targets say: enough to keep each slot busy while answers
   *  and next calls are on their way. */
  double m_FloorPerSlot = 1.5;
  /** For VMs with a small part; callers come in uneven numbers. */
  std::uint32_t m_MinFloor = 3;
};

/** A request that asks to run. */
struct AdmissionRequest {
  std::uint64_t m_Id = 0; ///< Unique among running and waiting requests.
  Priority m_Priority = Priority::Ordinary;
  TimePoint m_ReceivedAt;
  TimePoint m_Deadline;   ///< The caller waits no longer.
  Duration m_Objective{}; ///< 0: none is known.
};

/** Admission for one set of targets at one VM. Not thread-safe. */
class AdmissionControl {
public:
  explicit AdmissionControl(AdmissionControlOptions Options);

  /** \p Slots are those of the targets, of which \p Vms VMs have a part. */
  AdmissionChange setFairShare(std::size_t Slots, std::size_t Vms,
                               TimePoint Now);

  /** Asks for a request to run. */
  AdmissionDecision admit(const AdmissionRequest &Ask, TimePoint Now);
  /** A running request ended after \p ServiceTime of running. */
  AdmissionChange finished(Duration ServiceTime, TimePoint Now);
  /** A call of some request ended; see ConcurrencyLimit::onCallFinished(). */
  AdmissionChange onCallFinished(CallOutcome Outcome, Duration Latency,
                                 Duration Objective, TimePoint Now);
  /** A waiting request's caller left; false if it doesn't wait. */
  bool remove(std::uint64_t Id) { return m_Queue.remove(Id); }
  /** Refuses what can't run in time; to be called at nextTimer(). */
  AdmissionChange onTimer(TimePoint Now) { return m_Queue.onTimer(Now); }
  std::optional<TimePoint> nextTimer() const { return m_Queue.nextTimer(); }

  /** Whether requests are held back: extra calls would take the room of first
   *  ones. */
  bool isSaturated() const { return m_Queue.waiting() > 0; }
  std::uint32_t limit() const { return m_Limit.limit(); }
  std::size_t running() const { return m_Queue.running(); }
  std::size_t waiting() const { return m_Queue.waiting(); }

private:
  AdmissionControlOptions m_Options;
  ConcurrencyLimit m_Limit;
  AdmissionQueue m_Queue;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_ADMISSIONCONTROL_H
