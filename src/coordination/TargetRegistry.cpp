#include "coordination/TargetRegistry.h"

#include <algorithm>
#include <utility>

namespace figturn {

RegistryChange TargetRegistry::replaceAll(std::vector<TargetEntry> Entries,
                                          TimePoint PresentAt, TimePoint Now) {
  RegistryChange Change;
  std::set<TargetName> Listed;
  for (TargetEntry &Entry : Entries) {
    Listed.insert(Entry.m_Instance.m_Name);
    put(std::move(Entry), PresentAt, Now, Change);
  }
  std::vector<TargetPtr> Missing;
  for (const auto &[Name, Known] : m_ByName)
    if (!Listed.contains(Name))
      Missing.push_back(Known);
  for (const TargetPtr &MissingTarget : Missing)
    markMissing(MissingTarget, PresentAt, Now, Change);
  return Change;
}

RegistryChange TargetRegistry::upsert(TargetEntry Entry, TimePoint ChangedAfter,
                                      TimePoint Now) {
  RegistryChange Change;
  put(std::move(Entry), ChangedAfter, Now, Change);
  return Change;
}

void TargetRegistry::onLeavingWord(Target &Leaving, TimePoint Now) {
  limitWrites(Leaving, Now);
}

RegistryChange TargetRegistry::remove(const TargetName &Name,
                                      TimePoint PresentAt, TimePoint Now) {
  RegistryChange Change;
  if (const auto Found = m_ByName.find(Name); Found != m_ByName.end())
    markMissing(TargetPtr(Found->second), PresentAt, Now, Change);
  return Change;
}

RegistryChange TargetRegistry::expire(TimePoint Now) {
  RegistryChange Change;
  for (const auto &[Name, Known] : m_ByName) {
    if (Known->isGone(Now))
      Change.m_RemovedTargets.push_back(Known);
    if (Known->m_DrainingContradictedAt &&
        Now - *Known->m_DrainingContradictedAt >= m_Options.m_TakeBackDelay) {
      Known->m_DrainingContradictedAt.reset();
      Known->m_WritesUntil.reset();
      Known->m_Entry.m_Draining = false;
      Change.m_TakenBack.push_back(Known);
    }
  }
  for (const TargetPtr &Removed : Change.m_RemovedTargets)
    drop(Removed, Now);
  std::erase_if(m_Departed, [&](const auto &Entry) {
    return Now - Entry.second > m_Options.m_DepartedMemory;
  });
  return Change;
}

std::optional<TimePoint> TargetRegistry::nextExpiry() const {
  std::optional<TimePoint> Next;
  for (const auto &[Name, Known] : m_ByName)
    if (Known->m_RetainedUntil)
      Next = std::min(Next.value_or(TimePoint::max()), *Known->m_RetainedUntil);
  return Next;
}

std::span<const TargetPtr>
TargetRegistry::targets(const ServiceName &Service) const {
  const auto Found = m_ByService.find(Service);
  if (Found == m_ByService.end())
    return {};
  return Found->second;
}

void TargetRegistry::setEvacuated(std::set<DataCentreName> Evacuated) {
  m_Evacuated = std::move(Evacuated);
}

void TargetRegistry::put(TargetEntry Entry, TimePoint ChangedAfter,
                         TimePoint Now, RegistryChange &Change) {
  const auto Found = m_ByName.find(Entry.m_Instance.m_Name);
  if (Found != m_ByName.end()) {
    const TargetPtr Known = Found->second;
    const TargetEntry &Old = Known->m_Entry;
    // A late entry of an earlier process instance doesn't apply to this one;
    // but one that drains may be of a later process whose clock was set back.
    if (Entry.m_Instance.m_StartedMs < Old.m_Instance.m_StartedMs) {
      if (Entry.m_Draining &&
          !std::exchange(Known->m_HasEarlierDrainingEntry, true))
        Change.m_Leaving.push_back(Known);
      if (Entry.m_Draining)
        limitWrites(*Known, ChangedAfter);
      return;
    }
    const bool IsSameProcess =
        Entry.m_Instance == Old.m_Instance && Entry.m_Host == Old.m_Host &&
        Entry.m_Port == Old.m_Port && Entry.m_Service == Old.m_Service;
    if (IsSameProcess) {
      update(Known, std::move(Entry), ChangedAfter, Now, Change);
      return;
    }
    drop(Known, Now);
    Change.m_Restarted.push_back(Known);
  }
  auto New = std::make_shared<Target>();
  New->m_Entry = std::move(Entry);
  // It may be listed once more by a heartbeat that was stored late.
  if (m_Departed.contains(New->m_Entry.m_Instance) &&
      !std::exchange(New->m_Entry.m_Draining, true))
    New->m_DrainingContradictedAt = Now;
  m_ByName[New->m_Entry.m_Instance.m_Name] = New;
  m_ByService[New->m_Entry.m_Service].push_back(New);
  ++Change.m_Added;
}

void TargetRegistry::update(const TargetPtr &Known, TargetEntry Entry,
                            TimePoint ChangedAfter, TimePoint Now,
                            RegistryChange &Change) {
  const bool WasLeaving = Known->isLeaving();
  const bool WasDraining = Known->m_Entry.m_Draining;
  const bool IsContradicted = WasDraining && !Entry.m_Draining;
  if (!IsContradicted)
    Known->m_DrainingContradictedAt.reset();
  else if (!Known->m_DrainingContradictedAt)
    Known->m_DrainingContradictedAt = Now;
  Entry.m_Draining = Entry.m_Draining || WasDraining;
  const bool IsChanged = !(Entry == Known->m_Entry) || Known->m_RetainedUntil;
  const bool StartsDraining = Entry.m_Draining && !WasDraining;
  Known->m_Entry = std::move(Entry);
  Known->m_RetainedUntil.reset();
  Known->m_HasEarlierDrainingEntry = false;
  if (StartsDraining) {
    limitWrites(*Known, ChangedAfter);
    Change.m_Leaving.push_back(Known);
  } else if (!Known->isLeaving()) {
    Known->m_WritesUntil.reset();
    if (WasLeaving)
      Change.m_TakenBack.push_back(Known);
  }
  Change.m_Updated += IsChanged ? 1 : 0;
}

void TargetRegistry::limitWrites(Target &Leaving, TimePoint UsableAt) const {
  const TimePoint Until =
      UsableAt + m_Options.m_DrainTime - m_Options.m_TransitTime;
  Leaving.m_WritesUntil =
      std::min(Leaving.m_WritesUntil.value_or(Until), Until);
}

void TargetRegistry::markMissing(const TargetPtr &Missing, TimePoint PresentAt,
                                 TimePoint Now, RegistryChange &Change) {
  const bool IsNew = !Missing->m_RetainedUntil;
  if (IsNew) {
    Missing->m_RetainedUntil = retentionEnd(PresentAt, Now);
    limitWrites(*Missing, PresentAt);
  }
  if (Missing->m_Entry.m_Draining || Missing->isGone(Now)) {
    drop(Missing, Now);
    Change.m_RemovedTargets.push_back(Missing);
  } else if (IsNew) {
    Change.m_Missing.push_back(Missing);
  }
}

TimePoint TargetRegistry::retentionEnd(TimePoint PresentAt,
                                       TimePoint Now) const {
  return std::min(Now + m_Options.m_MissingRetention,
                  PresentAt + m_Options.m_DrainTime - m_Options.m_TransitTime);
}

void TargetRegistry::drop(TargetPtr Old, TimePoint Now) {
  if (Old->isLeaving())
    m_Departed[Old->m_Entry.m_Instance] = Now;
  m_ByName.erase(Old->m_Entry.m_Instance.m_Name);
  std::erase(m_ByService[Old->m_Entry.m_Service], Old);
}

} // namespace figturn
