#ifndef FIGTURN_COORDINATION_SLOTOWNERSHIP_H
#define FIGTURN_COORDINATION_SLOTOWNERSHIP_H

/**
 * Assigns the slots of targets to VMs. A slot is the right to have one call in
 * flight at the target. Each slot has exactly one owner, chosen by rendezvous
 * hashing of (target, slot) over the members of the epoch. The calls in flight
 * from all VMs therefore can't outnumber the target's slots, and VMs need no
 * messages to agree on owners while the member list is unchanged.
 */

#include "coordination/MemberList.h"

#include <cstdint>
#include <map>
#include <vector>

namespace figturn {

/** The owners of a target's slots in one epoch, from the view of one VM. */
struct TargetSlots {
  Epoch m_Epoch;
  /** Whether m_OwnSlots contains only slots also owned in the preceding epoch.
   */
  bool m_OnlyCarried = false;
  std::vector<VmName> m_Owners; ///< Owners, indexed by slot.
  /** Slots that this VM may use, ascending. */
  std::vector<std::uint32_t> m_OwnSlots;

  /** Number of slots of the target. */
  std::uint32_t count() const {
    return static_cast<std::uint32_t>(m_Owners.size());
  }
  /** The owner of slot 0, which controls the target's ramp; nullptr if there
   * are no owners. */
  const VmName *authority() const;
};

/**
 * Computes the owners of the \p Slots slots of \p Target in O(members) per
 * slot. With \p OnlyCarried, m_OwnSlots is limited to slots that \p Self also
 * owned in the preceding epoch.
 */
TargetSlots assignSlots(const MemberList &List, const TargetName &Target,
                        std::uint32_t Slots, const VmName &Self,
                        bool OnlyCarried);

/** The slot tables of all targets, cached per epoch and target. Not
 *  thread-safe. */
class SlotOwnership {
public:
  explicit SlotOwnership(VmName Self) : m_Self(std::move(Self)) {}

  /** Switches to another epoch, or to another value of \p OnlyCarried, and
   *  discards all cached tables. */
  void rebuild(const MemberList &List, bool OnlyCarried);

  /** The table of \p Target; computed on the first call in an epoch and when
   *  \p Slots changes. The reference is valid until rebuild() or a call
   *  with other \p Slots. */
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
