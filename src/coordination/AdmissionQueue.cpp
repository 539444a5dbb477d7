#include "coordination/AdmissionQueue.h"

#include "state/Errc.h"

#include <algorithm>
#include <utility>

namespace figturn {

namespace {

bool isLater(const QueuedRequest &Left, const QueuedRequest &Right) {
  return Left.m_Deadline > Right.m_Deadline;
}

/**
 * Number of requests in \p Waiting with the deadline of \p Request or an
 * earlier one.
 */
std::size_t countEarlier(const std::vector<QueuedRequest> &Waiting,
                         const QueuedRequest &Request) {
  const auto Position =
      std::lower_bound(Waiting.begin(), Waiting.end(), Request, isLater);
  return static_cast<std::size_t>(Waiting.end() - Position);
}

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions Options)
    : m_Options(Options) {}

AdmissionDecision AdmissionQueue::admit(const QueuedRequest &Request,
                                        TimePoint Now) {
  AdmissionDecision Decision;
  const auto ShedWith = [&](Errc Reason) {
    Decision.m_Admission = Admission::Shed;
    Decision.m_Shed.push_back({.m_Id = Request.m_Id, .m_Reason = Reason});
    return Decision;
  };
  if (Now >= Request.m_Deadline)
    return ShedWith(Errc::DeadlineExceeded);
  // A free slot is used even if the average service time predicts that the
  // request will be late. Otherwise, an average from a slow period could shed
  // all requests and would never be corrected.
  if (m_Running < m_Options.m_Slots) {
    ++m_Running;
    Decision.m_Admission = Admission::Run;
    return Decision;
  }
  if (!canFinish(Request, countAhead(Request) + 1, Now))
    return ShedWith(Errc::Overloaded);
  if (m_Running + waiting() >= m_Options.m_MaxPending) {
    const bool MayDisplace =
        Request.m_Priority == Priority::Urgent && !m_Ordinary.empty();
    if (!MayDisplace)
      return ShedWith(Errc::Overloaded);
    Decision.m_Shed.push_back(
        {.m_Id = m_Ordinary.front().m_Id, .m_Reason = Errc::Overloaded});
    m_Ordinary.erase(m_Ordinary.begin());
  }
  Queue &Waiting = queueOf(Request.m_Priority);
  // Inserted before requests with an equal deadline, which are popped from the
  // back first.
  Waiting.insert(
      std::lower_bound(Waiting.begin(), Waiting.end(), Request, isLater),
      Request);
  return Decision;
}

AdmissionChange AdmissionQueue::onRequestFinished(Duration ServiceTime,
                                                  TimePoint Now) {
  if (m_ServiceTime == Duration::zero())
    m_ServiceTime = ServiceTime;
  else
    m_ServiceTime += (ServiceTime - m_ServiceTime) / AverageDivisor;
  if (m_Running > 0)
    --m_Running;
  return fillSlots(Now);
}

AdmissionChange AdmissionQueue::setSlots(std::uint32_t Slots, TimePoint Now) {
  m_Options.m_Slots = std::max<std::uint32_t>(1, Slots);
  return fillSlots(Now);
}

bool AdmissionQueue::remove(std::uint64_t Id) {
  const auto HasId = [Id](const QueuedRequest &Each) {
    return Each.m_Id == Id;
  };
  return std::erase_if(m_Urgent, HasId) + std::erase_if(m_Ordinary, HasId) > 0;
}

AdmissionChange AdmissionQueue::onTimer(TimePoint Now) {
  return fillSlots(Now);
}

std::optional<TimePoint> AdmissionQueue::nextTimer() const {
  std::optional<TimePoint> Next;
  for (const Queue *Each : {&m_Urgent, &m_Ordinary}) {
    for (const QueuedRequest &Waiting : *Each) {
      // First moment at which the request can no longer start or end in time.
      const TimePoint ShedTime =
          std::min(Waiting.m_Deadline - m_ServiceTime, Waiting.m_LatestStart) +
          Duration(1);
      Next = Next ? std::min(*Next, ShedTime) : ShedTime;
    }
  }
  return Next;
}

AdmissionQueue::Queue &AdmissionQueue::queueOf(Priority Class) {
  return Class == Priority::Urgent ? m_Urgent : m_Ordinary;
}

/** Number of waiting requests scheduled before \p Request. */
std::size_t AdmissionQueue::countAhead(const QueuedRequest &Request) const {
  constexpr std::size_t UrgentPerOrdinary = OrdinaryInterval - 1;
  if (Request.m_Priority == Priority::Urgent) {
    const std::size_t Earlier = countEarlier(m_Urgent, Request);
    const std::size_t Interleaved =
        (Earlier + m_ConsecutiveUrgent) / UrgentPerOrdinary;
    return Earlier + std::min(Interleaved, m_Ordinary.size());
  }
  const std::size_t Earlier = countEarlier(m_Ordinary, Request);
  const std::size_t Interleaved =
      (Earlier + 1) * UrgentPerOrdinary - m_ConsecutiveUrgent;
  return Earlier + std::min(Interleaved, m_Urgent.size());
}

/** Whether \p Request can end in time if \p RequestsAhead others run first. */
bool AdmissionQueue::canFinish(const QueuedRequest &Request,
                               std::size_t RequestsAhead, TimePoint Now) const {
  const Duration Wait = m_ServiceTime *
                        static_cast<Duration::rep>(RequestsAhead) /
                        m_Options.m_Slots;
  return Now + Wait + m_ServiceTime <= Request.m_Deadline &&
         Now + Wait <= Request.m_LatestStart;
}

void AdmissionQueue::shedUnschedulable(Queue &Waiting,
                                       std::vector<ShedRequest> &Shed,
                                       TimePoint Now) const {
  std::erase_if(Waiting, [&](const QueuedRequest &Each) {
    if (canFinish(Each, 0, Now))
      return false;
    const bool IsExpired = Now >= Each.m_Deadline;
    Shed.push_back(
        {.m_Id = Each.m_Id,
         .m_Reason = IsExpired ? Errc::DeadlineExceeded : Errc::Overloaded});
    return true;
  });
}

QueuedRequest AdmissionQueue::popNext() {
  const bool IsOrdinaryDue = m_ConsecutiveUrgent + 1 >= OrdinaryInterval;
  const bool TakesOrdinary =
      m_Urgent.empty() || (!m_Ordinary.empty() && IsOrdinaryDue);
  Queue &Source = TakesOrdinary ? m_Ordinary : m_Urgent;
  // Urgent requests count only while an ordinary request waits.
  m_ConsecutiveUrgent =
      TakesOrdinary || m_Ordinary.empty() ? 0 : m_ConsecutiveUrgent + 1;
  const QueuedRequest Next = Source.back();
  Source.pop_back();
  return Next;
}

AdmissionChange AdmissionQueue::fillSlots(TimePoint Now) {
  AdmissionChange Change;
  shedUnschedulable(m_Urgent, Change.m_Shed, Now);
  shedUnschedulable(m_Ordinary, Change.m_Shed, Now);
  while (m_Running < m_Options.m_Slots && waiting() > 0) {
    Change.m_Run.push_back(popNext().m_Id);
    ++m_Running;
  }
  return Change;
}

} // namespace figturn
