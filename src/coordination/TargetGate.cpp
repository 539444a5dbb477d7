#include "coordination/TargetGate.h"

#include "state/Assert.h"

#include <algorithm>

namespace figturn {

TargetGate::TargetGate(TargetGateOptions Options, ColdStartRampOptions Ramp,
                       TargetName Target, VmName Self)
    : m_Options(Options), m_Self(Self),
      m_Ramp(Ramp, std::move(Target), std::move(Self)) {}

void TargetGate::setSlots(const TargetSlots &Slots, TimePoint Now) {
  m_Slots = Slots;
  if (const VmName *Authority = m_Slots.authority())
    m_Ramp.setAuthority(*Authority, Now);
}

SlotDecision TargetGate::tryAcquire(const SlotRequest &Request,
                                    const std::optional<EpochPermit> &Permit,
                                    TimePoint Now) {
  if (Request.m_Deadline <= Now)
    return SlotRefused{Errc::DeadlineExceeded};
  if (m_Slots.m_Owners.empty())
    return SlotRefused{Errc::NotReady};
  // Queued calls take precedence, unless this one ranks before all of them.
  const QueuedCall Rank{Request.m_Priority, Request.m_Deadline, Request.m_Call};
  if (m_Queue.empty() || Rank < *m_Queue.begin())
    if (auto Granted = acquireFreeSlot(Request.m_Deadline, Permit, Now))
      return *Granted;
  const std::size_t Usable = usableSlots(Permit, Now);
  const bool HasQueueCapacity =
      m_Queue.size() < Usable * m_Options.m_QueuePerSlot;
  if (HasQueueCapacity)
    return enqueue(Request);
  if (Request.m_Forwarded)
    return Usable > 0 ? enqueue(Request)
                      : SlotDecision(SlotRefused{Errc::SlotNotOwned});
  if (auto Other = chooseOtherOwner(Now))
    return SlotForwarded{*Other};
  return Usable > 0 ? enqueue(Request)
                    : SlotDecision(SlotRefused{Errc::NotReady});
}

GateActions TargetGate::release(std::uint32_t Slot, SlotOutcome Outcome,
                                Duration Latency,
                                const std::optional<EpochPermit> &Permit,
                                TimePoint Now) {
  std::optional<RegressNotice> Regress;
  auto Found = m_InUse.find(Slot);
  if (FIGTURN_INVARIANT(Found != m_InUse.end())) {
    const BootId Boot = Found->second.m_Boot;
    if (Outcome == SlotOutcome::Lost)
      Found->second.m_Lost = true;
    else
      m_InUse.erase(Found);
    if (Outcome == SlotOutcome::Succeeded)
      Regress = m_Ramp.onSuccess(Boot, Latency, Now);
    else if (Outcome == SlotOutcome::Shed)
      Regress = m_Ramp.onColdSignal(ColdSignal::Shed, Now);
  }
  GateActions Actions = poll(Permit, Now);
  Actions.m_Regress = std::move(Regress);
  return Actions;
}

GateActions TargetGate::poll(const std::optional<EpochPermit> &Permit,
                             TimePoint Now) {
  shedExpired(Now);
  freeLostCalls(Now);
  GateActions Actions;
  while (!m_Queue.empty()) {
    const QueuedCall First = *m_Queue.begin();
    auto Granted = acquireFreeSlot(First.m_Deadline, Permit, Now);
    if (!Granted)
      break;
    m_Queue.erase(m_Queue.begin());
    Actions.m_Started.push_back({First.m_Call, *Granted});
  }
  Actions.m_Shed.swap(m_Shed);
  return Actions;
}

bool TargetGate::withdraw(CallId Call) {
  return std::erase_if(m_Queue, [&](const QueuedCall &Queued) {
           return Queued.m_Call == Call;
         }) > 0;
}

std::optional<TimePoint> TargetGate::nextTimer() const {
  std::optional<TimePoint> Earliest;
  for (const QueuedCall &Queued : m_Queue)
    if (!Earliest || Queued.m_Deadline < *Earliest)
      Earliest = Queued.m_Deadline;
  for (const auto &[Slot, Use] : m_InUse) {
    const TimePoint FreeTime = Use.m_HardDeadline + m_Options.m_LostCallMargin;
    if (Use.m_Lost && (!Earliest || FreeTime < *Earliest))
      Earliest = FreeTime;
  }
  return Earliest;
}

std::optional<TimePoint> TargetGate::lastCallEndTime() const {
  std::optional<TimePoint> Latest;
  for (const auto &[Slot, Use] : m_InUse)
    if (!Latest || Use.m_HardDeadline > *Latest)
      Latest = Use.m_HardDeadline;
  return Latest;
}

std::size_t TargetGate::usableSlots(const std::optional<EpochPermit> &Permit,
                                    TimePoint Now) const {
  if (!mayUse(Permit, Now))
    return 0;
  const std::uint32_t Level = m_Ramp.usableLevel(Now);
  auto FirstAboveLevel = std::lower_bound(m_Slots.m_OwnSlots.begin(),
                                          m_Slots.m_OwnSlots.end(), Level);
  return static_cast<std::size_t>(FirstAboveLevel - m_Slots.m_OwnSlots.begin());
}

bool TargetGate::mayUse(const std::optional<EpochPermit> &Permit,
                        TimePoint Now) const {
  if (!Permit || !Permit->validAt(Now) || Permit->m_Epoch != m_Slots.m_Epoch)
    return false;
  return m_Slots.m_OnlyCarried || !Permit->m_OnlyCarried;
}

std::optional<SlotGranted>
TargetGate::acquireFreeSlot(TimePoint Deadline,
                            const std::optional<EpochPermit> &Permit,
                            TimePoint Now) {
  if (!mayUse(Permit, Now))
    return std::nullopt;
  const std::uint32_t Level = m_Ramp.usableLevel(Now);
  for (std::uint32_t Slot : m_Slots.m_OwnSlots) {
    if (Slot >= Level)
      break;
    if (m_InUse.contains(Slot))
      continue;
    const TimePoint HardDeadline =
        std::min(Deadline, Now + m_Options.m_MaxCallTime);
    m_InUse.emplace(Slot, SlotUse{HardDeadline, m_Ramp.boot()});
    return SlotGranted{Slot, m_Ramp.boot(), HardDeadline};
  }
  return std::nullopt;
}

std::optional<VmName> TargetGate::chooseOtherOwner(TimePoint Now) {
  const std::uint32_t Level =
      std::min(m_Ramp.usableLevel(Now), m_Slots.count());
  for (std::uint32_t Tried = 0; Tried < Level; ++Tried) {
    const VmName &Owner = m_Slots.m_Owners[m_NextOwner++ % Level];
    if (Owner != m_Self)
      return Owner;
  }
  return std::nullopt;
}

SlotDecision TargetGate::enqueue(const SlotRequest &Request) {
  const QueuedCall Queued{Request.m_Priority, Request.m_Deadline,
                          Request.m_Call};
  if (m_Queue.size() >= m_Options.m_QueueLimit) {
    if (m_Queue.empty() || *m_Queue.rbegin() < Queued)
      return SlotRefused{Errc::Overloaded};
    auto Last = std::prev(m_Queue.end());
    m_Shed.push_back({Last->m_Call, Errc::Overloaded});
    m_Queue.erase(Last);
  }
  m_Queue.insert(Queued);
  return SlotQueued{};
}

void TargetGate::freeLostCalls(TimePoint Now) {
  const BootId &Boot = m_Ramp.boot();
  std::erase_if(m_InUse, [&](const auto &Entry) {
    const SlotUse &Use = Entry.second;
    const bool HasEnded =
        Now >= Use.m_HardDeadline + m_Options.m_LostCallMargin;
    const bool IsRestarted = !Boot.value().empty() &&
                             !Use.m_Boot.value().empty() && Boot != Use.m_Boot;
    return Use.m_Lost && (HasEnded || IsRestarted);
  });
}

void TargetGate::shedExpired(TimePoint Now) {
  std::erase_if(m_Queue, [&](const QueuedCall &Queued) {
    if (Queued.m_Deadline > Now)
      return false;
    m_Shed.push_back({Queued.m_Call, Errc::DeadlineExceeded});
    return true;
  });
}

} // namespace figturn
