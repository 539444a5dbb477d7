#ifndef FIGTURN_COORDINATION_ADMISSIONQUEUE_H
#define FIGTURN_COORDINATION_ADMISSIONQUEUE_H

/**
 * Decides at one VM which requests run, wait or are shed. A request is shed as
 * soon as it is known that it can't end before its deadline. No part of it has
 * been sent by then, so the refusal can state that it was not run.
 *
 * Urgent requests run before ordinary ones; within a class the earliest
 * deadline runs first. Ordinary requests don't starve: while any of them waits,
 * every OrdinaryInterval-th request started from the queue is ordinary.
 */

#include "state/Priority.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <system_error>
#include <vector>

namespace figturn {

/** Limits of an AdmissionQueue. */
struct AdmissionQueueOptions {
  std::uint32_t m_Slots = 64; ///< Maximum number of running requests.
  /** Maximum number of running and waiting requests. */
  std::size_t m_MaxPending = 1000;
};

/** A request to be admitted. */
struct QueuedRequest {
  std::uint64_t m_Id = 0; ///< Unique among running and waiting requests.
  Priority m_Priority = Priority::Ordinary;
  TimePoint m_Deadline; ///< Latest time at which it may end.
  /** Latest time at which it may start, whatever its service time is. */
  TimePoint m_LatestStart = TimePoint::max();
};

/** A request refused with the verdict NotRun. */
struct ShedRequest {
  std::uint64_t m_Id = 0;
  std::error_code m_Reason; ///< Overloaded or DeadlineExceeded.
};

/** Decision on a request. */
enum class Admission { Run, Wait, Shed };

/** Result of admit(). */
struct AdmissionDecision {
  Admission m_Admission = Admission::Wait;
  /** The request itself if it is shed, and requests that it displaced. */
  std::vector<ShedRequest> m_Shed;
};

/**
 * Effect of a freed slot or of elapsed time: requests to start and requests to
 * shed.
 */
struct AdmissionChange {
  std::vector<std::uint64_t> m_Run;
  std::vector<ShedRequest> m_Shed;
};

/** The queue of one VM. Not thread-safe. */
class AdmissionQueue {
public:
  explicit AdmissionQueue(AdmissionQueueOptions Options);

  /** Decides whether \p Request runs, waits or is shed. */
  AdmissionDecision admit(const QueuedRequest &Request, TimePoint Now);

  /** Reports that a running request ended after \p ServiceTime. */
  AdmissionChange onRequestFinished(Duration ServiceTime, TimePoint Now);

  /** Changes the number of slots; running requests are not interrupted. */
  AdmissionChange setSlots(std::uint32_t Slots, TimePoint Now);

  /** Removes a waiting request whose caller disconnected; false if no such
   *  request waits. */
  bool remove(std::uint64_t Id);

  /** Sheds requests that can't end in time; call it at nextTimer(). */
  AdmissionChange onTimer(TimePoint Now);

  /** When the next waiting request will have to be shed. */
  std::optional<TimePoint> nextTimer() const;

  std::size_t running() const { return m_Running; }
  std::size_t waiting() const { return m_Urgent.size() + m_Ordinary.size(); }
  /** Moving average of the reported service times; zero before the first
   *  one. */
  Duration serviceTime() const { return m_ServiceTime; }

private:
  /** While both classes wait, one of this many started requests is ordinary. */
  static constexpr std::uint32_t OrdinaryInterval = 8;
  /** A service time has weight 1/16 in the moving average. */
  static constexpr int AverageDivisor = 16;

  /** Waiting requests of one priority class, the earliest deadline last. */
  using Queue = std::vector<QueuedRequest>;

  Queue &queueOf(Priority Class);
  std::size_t countAhead(const QueuedRequest &Request) const;
  bool canFinish(const QueuedRequest &Request, std::size_t RequestsAhead,
                 TimePoint Now) const;
  void shedUnschedulable(Queue &Waiting, std::vector<ShedRequest> &Shed,
                         TimePoint Now) const;
  QueuedRequest popNext();
  AdmissionChange fillSlots(TimePoint Now);

  AdmissionQueueOptions m_Options;
  Queue m_Urgent;
  Queue m_Ordinary;
  std::size_t m_Running = 0;
  /** Urgent requests started since the last ordinary one. */
  std::uint32_t m_ConsecutiveUrgent = 0;
  Duration m_ServiceTime{};
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_ADMISSIONQUEUE_H
