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
    put(std::move(Entry), Change);
  }
  std::vector<TargetPtr> Missing;
  for (const auto &[Name, Known] : m_ByName)
    if (!Listed.contains(Name))
      Missing.push_back(Known);
  for (const TargetPtr &MissingTarget : Missing)
    markMissing(MissingTarget, PresentAt, Now, Change);
  return Change;
}

RegistryChange TargetRegistry::upsert(TargetEntry Entry, TimePoint) {
  RegistryChange Change;
  put(std::move(Entry), Change);
  return Change;
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
  for (const auto &[Name, Known] : m_ByName)
    if (Known->isGone(Now))
      Change.m_RemovedTargets.push_back(Known);
  for (const TargetPtr &Removed : Change.m_RemovedTargets)
    drop(Removed);
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

void TargetRegistry::put(TargetEntry Entry, RegistryChange &Change) {
  const auto Found = m_ByName.find(Entry.m_Instance.m_Name);
  if (Found != m_ByName.end()) {
    const TargetPtr Known = Found->second;
    const TargetEntry &Old = Known->m_Entry;
    // A late entry of an earlier process instance doesn't apply to this one.
    if (Entry.m_Instance.m_StartedMs < Old.m_Instance.m_StartedMs)
      return;
    const bool IsSameProcess =
        Entry.m_Instance == Old.m_Instance && Entry.m_Host == Old.m_Host &&
        Entry.m_Port == Old.m_Port && Entry.m_Service == Old.m_Service;
    if (IsSameProcess) {
      const bool IsChanged = !(Entry == Old) || Known->m_RetainedUntil;
      Known->m_Entry = std::move(Entry);
      Known->m_RetainedUntil.reset();
      Change.m_Updated += IsChanged ? 1 : 0;
      return;
    }
    drop(Known);
    Change.m_Restarted.push_back(Known);
  }
  auto New = std::make_shared<Target>();
  New->m_Entry = std::move(Entry);
  m_ByName[New->m_Entry.m_Instance.m_Name] = New;
  m_ByService[New->m_Entry.m_Service].push_back(New);
  ++Change.m_Added;
}

void TargetRegistry::markMissing(const TargetPtr &Missing, TimePoint PresentAt,
                                 TimePoint Now, RegistryChange &Change) {
  const bool IsNew = !Missing->m_RetainedUntil;
  if (IsNew)
    Missing->m_RetainedUntil = retentionEnd(PresentAt, Now);
  if (Missing->m_Entry.m_Draining || Missing->isGone(Now)) {
    drop(Missing);
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

void TargetRegistry::drop(TargetPtr Old) {
  m_ByName.erase(Old->m_Entry.m_Instance.m_Name);
  std::erase(m_ByService[Old->m_Entry.m_Service], Old);
}

} // namespace figturn
