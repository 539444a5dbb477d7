#ifndef FIGTURN_COORDINATION_ADMISSIONCONTROL_H
#define FIGTURN_COORDINATION_ADMISSIONCONTROL_H

/**
 * Admission control for the requests that one VM sends to a set of targets:
 * decides which requests run, which wait and which are refused before any part
 * of them is sent. Combines an AdmissionQueue with a ConcurrencyLimit that
 * adapts to the targets' responses.
 *
 * Load pattern: callers offer more load than the targets can serve. Requests of
 * the highest priority run first. A request waits for at most a fraction of its
 * latency objective and is refused immediately if it can't start by then, so
 * that its caller can retry before its own deadline.
 */

#include "coordination/AdmissionQueue.h"
#include "coordination/ConcurrencyLimit.h"

#include <cstddef>

namespace figturn {

/** Limits of an AdmissionControl. */
struct AdmissionControlOptions {
  ConcurrencyLimitOptions m_Limit;
  /** Fraction of its latency objective for which a request may wait. */
  double m_MaxWaitRatio = 0.25;
  std::size_t m_MaxPending = 1000; ///< Running and waiting requests.
  /** Requests per target slot that the VMs may run in total, whatever the
   *  targets' responses are. Above 1, so that each slot stays busy while
   *  replies and the next calls are in transit. */
  double m_FloorPerSlot = 1.5;
  /** Lower bound of the floor, since callers are distributed unevenly over VMs
   *  with a small share. */
  std::uint32_t m_MinFloor = 3;
};

/** A request to be admitted. */
struct AdmissionRequest {
  std::uint64_t m_Id = 0; ///< Unique among running and waiting requests.
  Priority m_Priority = Priority::Ordinary;
  TimePoint m_ReceivedAt;
  TimePoint m_Deadline;   ///< The caller gives up at this time.
  Duration m_Objective{}; ///< Latency objective; 0 if unknown.
};

/** Admission control for one set of targets at one VM. Not thread-safe. */
class AdmissionControl {
public:
  explicit AdmissionControl(AdmissionControlOptions Options);

  /** Sets the floor of the limit to this VM's part \p Share, from 0 to 1, of
   * the \p Slots of the targets. */
  AdmissionChange setFairShare(std::size_t Slots, double Share, TimePoint Now);

  /** Decides whether a request runs, waits or is refused. */
  AdmissionDecision admit(const AdmissionRequest &Request, TimePoint Now);
  /** Reports that a running request ended after \p ServiceTime. */
  AdmissionChange onRequestFinished(Duration ServiceTime, TimePoint Now);
  /** Reports the end of a call; see ConcurrencyLimit::onCallFinished(). */
  AdmissionChange onCallFinished(CallOutcome Outcome, Duration Latency,
                                 Duration Objective, TimePoint Now);
  /** Removes a waiting request whose caller disconnected; false if no such
   *  request waits. */
  bool remove(std::uint64_t Id) { return m_Queue.remove(Id); }
  /** Refuses requests that can no longer run in time; call it at
   *  nextTimer(). */
  AdmissionChange onTimer(TimePoint Now) { return m_Queue.onTimer(Now); }
  std::optional<TimePoint> nextTimer() const { return m_Queue.nextTimer(); }

  /** Whether requests are waiting; extra calls would then take capacity from
   *  first calls. */
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
