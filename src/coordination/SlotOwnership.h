#ifndef FIGTURN_COORDINATION_SLOTOWNERSHIP_H
#define FIGTURN_COORDINATION_SLOTOWNERSHIP_H

/**
 * Which VM may use which slot of a target. A slot is the right to have one
 * call in flight there; each has exactly one owner, by rendezvous hash of
 * (target, slot) over the epoch's members. The sum over all VMs therefore
 * can't exceed the target's slots, and no message is needed while the member
 * list stands still.
 */

#include "coordination/MemberList.h"

#include <cstdint>
#include <map>
#include <vector>

namespace figturn {

/** The owners of one target's slots, as one VM sees them in one epoch. */
struct TargetSlots {
  Epoch m_Epoch;
  /** Whether m_OwnSlots holds only slots owned in the epoch before as well. */
  bool m_OnlyCarried = false;
  std::vector<VmName> m_Owners;          ///< Owner of each slot.
  std::vector<std::uint32_t> m_OwnSlots; ///< Slots this VM may use, ascending.

  /** Number of slots of the target. */
  std::uint32_t count() const {
    return static_cast<std::uint32_t>(m_Owners.size());
  }
  /** The owner of slot 0, who decides the target's ramp; nullptr if there
   *  are no owners. */
  const VmName *authority() const;
};

/**
 * Computes the owners of \p Slots slots of \p Target; costs O(members) a
 * slot. With \p OnlyCarried, the slots of \p Self are those that it owned
 * in the epoch before as well.
 */
TargetSlots assignSlots(const MemberList &List, const TargetName &Target,
                        std::uint32_t Slots, const VmName &Self,
                        bool OnlyCarried);

/** The slot tables of all targets, computed once per epoch and target. */
class SlotOwnership {
public:
  explicit SlotOwnership(VmName Self) : m_Self(std::move(Self)) {}

  /** Takes another epoch, or the same one with another \p OnlyCarried, and
   *  forgets the tables of the one before. */
  void rebuild(const MemberList &List, bool OnlyCarried);

  /** The table of \p Target; computed at the first call in an epoch. */
  const TargetSlots &slotTable(const TargetName &Target, std::uint32_t Slots);

  /** Slots of \p Target that this VM may use. */
  const std::vector<std::uint32_t> &ownedSlots(const TargetName &Target,
                                               std::uint32_t Slots) {
    return slotTable(Target, Slots).m_OwnSlots;
  }

private:
  VmName m_Self;
  MemberList m_List;
  bool m_OnlyCarried = false;
  std::map<TargetName, TargetSlots> m_Tables;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_SLOTOWNERSHIP_H
