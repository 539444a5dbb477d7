#include "coordination/SlotOwnership.h"

#include "state/RendezvousHash.h"

namespace figturn {

namespace {

std::uint64_t slotKey(std::uint64_t TargetHash, std::uint32_t Slot) {
  return stableHash("slot", TargetHash + Slot);
}

} // namespace

const VmName *TargetSlots::authority() const {
  return m_Owners.empty() ? nullptr : &m_Owners.front();
}

TargetSlots assignSlots(const MemberList &List, const TargetName &Target,
                        std::uint32_t Slots, const VmName &Self,
                        bool OnlyCarried) {
  TargetSlots Table{.m_Epoch = List.m_Epoch, .m_OnlyCarried = OnlyCarried};
  if (List.m_Members.empty())
    return Table;
  std::vector<VmName> Names = List.names();
  std::vector<VmName> Previous = List.previousNames();
  std::uint64_t TargetHash = stableHash(Target.value());
  Table.m_Owners.reserve(Slots);
  for (std::uint32_t Slot = 0; Slot < Slots; ++Slot) {
    std::uint64_t Key = slotKey(TargetHash, Slot);
    Table.m_Owners.push_back(*rendezvousOwner(Names, Key));
    if (Table.m_Owners.back() != Self)
      continue;
    if (OnlyCarried) {
      const VmName *PreviousOwner = rendezvousOwner(Previous, Key);
      if (!PreviousOwner || *PreviousOwner != Self)
        continue;
    }
    Table.m_OwnSlots.push_back(Slot);
  }
  return Table;
}

void SlotOwnership::rebuild(const MemberList &List, bool OnlyCarried) {
  m_List = List;
  m_OnlyCarried = OnlyCarried;
  m_Tables.clear();
}

const TargetSlots &SlotOwnership::slotTable(const TargetName &Target,
                                            std::uint32_t Slots) {
  auto Found = m_Tables.find(Target);
  if (Found != m_Tables.end() && Found->second.count() == Slots)
    return Found->second;
  TargetSlots Table = assignSlots(m_List, Target, Slots, m_Self, m_OnlyCarried);
  return m_Tables.insert_or_assign(Target, std::move(Table)).first->second;
}

} // namespace figturn
