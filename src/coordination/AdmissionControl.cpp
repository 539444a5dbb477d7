#include "coordination/AdmissionControl.h"

#include <algorithm>
#include <cmath>

namespace figturn {

AdmissionControl::AdmissionControl(AdmissionControlOptions Options)
    : m_Options(Options), m_Limit(Options.m_Limit),
      m_Queue(
          {.m_Slots = m_Limit.limit(), .m_MaxPending = Options.m_MaxPending}) {
  m_Limit.setFloor(Options.m_MinFloor);
}

AdmissionChange AdmissionControl::setFairShare(std::size_t Slots, double Share,
                                               TimePoint Now) {
  const double Floor =
      m_Options.m_FloorPerSlot * static_cast<double>(Slots) * Share;
  m_Limit.setFloor(std::max(m_Options.m_MinFloor,
                            static_cast<std::uint32_t>(std::ceil(Floor))));
  return m_Queue.setSlots(m_Limit.limit(), Now);
}

AdmissionDecision AdmissionControl::admit(const AdmissionRequest &Request,
                                          TimePoint Now) {
  const Duration Objective = Request.m_Objective > Duration(0)
                                 ? Request.m_Objective
                                 : Request.m_Deadline - Request.m_ReceivedAt;
  const auto MaxWait = std::chrono::duration_cast<Duration>(
      m_Options.m_MaxWaitRatio * std::chrono::duration<double>(Objective));
  // If a slot is free, a request that has already missed its objective still
  // runs.
  const bool HasFreeSlot = m_Queue.running() < m_Limit.limit();
  const TimePoint LatestEnd =
      HasFreeSlot
          ? Request.m_Deadline
          : std::max(Request.m_ReceivedAt + Objective, Now + Duration(1));
  AdmissionDecision Decision =
      m_Queue.admit({.m_Id = Request.m_Id,
                     .m_Priority = Request.m_Priority,
                     .m_Deadline = std::min(Request.m_Deadline, LatestEnd),
                     .m_LatestStart = Request.m_ReceivedAt + MaxWait},
                    Now);
  m_Limit.recordLoad(static_cast<std::uint32_t>(m_Queue.running()),
                     Decision.m_Admission != Admission::Run);
  return Decision;
}

AdmissionChange AdmissionControl::onRequestFinished(Duration ServiceTime,
                                                    TimePoint Now) {
  return m_Queue.onRequestFinished(ServiceTime, Now);
}

AdmissionChange AdmissionControl::onCallFinished(CallOutcome Outcome,
                                                 Duration Latency,
                                                 Duration Objective,
                                                 TimePoint Now) {
  m_Limit.recordLoad(static_cast<std::uint32_t>(m_Queue.running()),
                     m_Queue.waiting() > 0);
  if (!m_Limit.onCallFinished(Outcome, Latency, Objective, Now))
    return {};
  return m_Queue.setSlots(m_Limit.limit(), Now);
}

} // namespace figturn
