#include "node/MembershipTable.h"

#include "state/RendezvousHash.h"

#include <mutex>
#include <utility>

namespace figturn {

MemberListPtr MembershipTable::members() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Members;
}

std::optional<EpochPermit> MembershipTable::permit() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Permit;
}

std::set<VmName> MembershipTable::draining() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Draining;
}

std::optional<Member> MembershipTable::ownerVm(std::uint64_t Key) const {
  const std::lock_guard Lock(m_Mutex);
  const VmName *Owner = rendezvousOwner(m_Names, Key);
  if (Owner == nullptr)
    return std::nullopt;
  return *m_Members->find(*Owner);
}

std::optional<Member> MembershipTable::member(const VmName &Vm) const {
  const std::lock_guard Lock(m_Mutex);
  const Member *Found = m_Members->find(Vm);
  return Found ? std::optional(*Found) : std::nullopt;
}

void MembershipTable::update(MemberListPtr Members,
                             std::optional<EpochPermit> Permit) {
  const std::lock_guard Lock(m_Mutex);
  if (Members != m_Members)
    m_Names = Members->names();
  m_Members = std::move(Members);
  m_Permit = Permit;
}

void MembershipTable::setDraining(const VmName &Vm, bool Draining) {
  const std::lock_guard Lock(m_Mutex);
  if (Draining)
    m_Draining.insert(Vm);
  else
    m_Draining.erase(Vm);
}

} // namespace figturn
