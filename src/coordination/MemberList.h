#ifndef FIGTURN_COORDINATION_MEMBERLIST_H
#define FIGTURN_COORDINATION_MEMBERLIST_H

/**
 * The membership of entry VMs in one epoch. It is stored as a single platform
 * object that is changed only by conditional update, and each change increments
 * the epoch. Everything that is partitioned over the VMs (target slots, home
 * VMs of keys and fingerprints) is computed from it, so VMs with equal lists
 * agree on owners without exchanging messages.
 */

#include "state/Ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace figturn {

/** One entry VM in a member list. A restarted process is a new member. */
struct Member {
  VmName m_Vm;
  BootId m_Boot; ///< Identifies the process instance.
  DataCentreName m_DataCentre;
  std::string m_PeerAddress;   ///< "ip:port" for connections from other VMs.
  std::string m_CallerAddress; ///< "ip:port" for connections from callers.

  bool operator==(const Member &) const = default;
};

/** The members of one epoch and of the preceding epoch. */
struct MemberList {
  Epoch m_Epoch;
  std::vector<Member> m_Members;  ///< Sorted by VM name, names unique.
  std::vector<Member> m_Previous; ///< Members of the preceding epoch; sorted.

  bool operator==(const MemberList &) const = default;

  /** The member named \p Vm, or nullptr. */
  const Member *find(const VmName &Vm) const;
  /** Whether the process instance \p Boot of \p Vm is a member. */
  bool contains(const VmName &Vm, const BootId &Boot) const;
  /** Names of the members in list order. */
  std::vector<VmName> names() const;
  /** Names of the members of the preceding epoch. */
  std::vector<VmName> previousNames() const;
};

/** The size of the smallest majority of \p Count members. */
std::size_t majoritySize(std::size_t Count);

} // namespace figturn

#endif // FIGTURN_COORDINATION_MEMBERLIST_H
