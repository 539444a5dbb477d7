#ifndef FIGTURN_COORDINATION_ADMISSIONQUEUE_H
#define FIGTURN_COORDINATION_ADMISSIONQUEUE_H

/**
 * Decides at one VM which request runs, waits or is shed. A request is shed
 * the moment it is known that it can't end before its deadline, while
 * nothing of it was sent, so the refusal "not run" is true and early.
 *
 * Urgent requests go before ordinary ones and within a class the earliest
 * deadline goes first. An ordinary request isn't starved: while any waits,
 * every OrdinaryInterval-th request that is run from the queue is ordinary.
 */

#include "state/Priority.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <system_error>
#include <vector>

namespace figturn {

/** Bounds of an AdmissionQueue. */
struct AdmissionQueueOptions {
  std::uint32_t m_Slots = 64;      ///< Requests that run at a time.
  std::size_t m_MaxPending = 1000; ///< Requests that run or wait.
};

/** A request that asks to run. */
struct QueuedRequest {
  std::uint64_t m_Id = 0; ///< Unique among running and waiting requests.
  Priority m_Priority = Priority::Ordinary;
  TimePoint m_Deadline; ///< When it has to have ended.
  /** When it has to have started at the latest, whatever time it takes. */
  TimePoint m_LatestStart = TimePoint::max();
};

/** A request that is refused with the verdict NotRun. */
struct ShedRequest {
  std::uint64_t m_Id = 0;
  std::error_code m_Reason; ///< Overloaded or DeadlineExceeded.
};

/** What happens to a request that asked to run. */
enum class Admission { Run, Wait, Shed };

/** Answer to admit(). */
struct AdmissionDecision {
  Admission m_Admission = Admission::Wait;
  /** The request itself if it is shed, and those it displaced. */
  std::vector<ShedRequest> m_Shed;
};

/** Answer to events that free a slot or pass time. */
struct AdmissionChange {
  std::vector<std::uint64_t> m_Run;
  std::vector<ShedRequest> m_Shed;
};

/** The queue of one VM. Not thread-safe. */
class AdmissionQueue {
public:
  explicit AdmissionQueue(AdmissionQueueOptions Options);

  /** Asks for \p Request to run. */
  AdmissionDecision admit(const QueuedRequest &Request, TimePoint Now);

  /** A running request ended after \p ServiceTime of running. */
  AdmissionChange finished(Duration ServiceTime, TimePoint Now);

  /** Changes how many requests run at a time; those that run go on. */
  AdmissionChange setSlots(std::uint32_t Slots, TimePoint Now);

  /** A waiting request's caller left; false if it doesn't wait. */
  bool remove(std::uint64_t Id);

  /** Sheds what can't end in time; to be called at nextTimer(). */
  AdmissionChange onTimer(TimePoint Now);

  /** When the next waiting request becomes hopeless. */
  std::optional<TimePoint> nextTimer() const;

  std::size_t running() const { return m_Running; }
  std::size_t waiting() const { return m_Urgent.size() + m_Ordinary.size(); }
  /** Moving average of reported service times; zero before the first. */
  Duration serviceTime() const { return m_ServiceTime; }

private:
  /** Of so many requests run from the queue one is ordinary. */
  static constexpr std::uint32_t OrdinaryInterval = 8;
  /** One service time has the weight 1/16 in the moving average. */
  static constexpr int AverageWeight = 16;

  /** Waiting requests of a class, the earliest deadline at the back. */
  using Queue = std::vector<QueuedRequest>;

  Queue &queueOf(Priority Class);
  std::size_t countAhead(const QueuedRequest &Request) const;
  bool canFinish(const QueuedRequest &Request, std::size_t Turns,
                 TimePoint Now) const;
  void shedUnschedulable(Queue &From, std::vector<ShedRequest> &Shed,
                         TimePoint Now) const;
  QueuedRequest popNext();
  AdmissionChange fillSlots(TimePoint Now);

  AdmissionQueueOptions m_Options;
  Queue m_Urgent;
  Queue m_Ordinary;
  std::size_t m_Running = 0;
  std::uint32_t m_ConsecutiveUrgent = 0; ///< Run since the last ordinary one.
  Duration m_ServiceTime{};
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_ADMISSIONQUEUE_H
