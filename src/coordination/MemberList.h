#ifndef FIGTURN_COORDINATION_MEMBERLIST_H
#define FIGTURN_COORDINATION_MEMBERLIST_H

/**
 * The agreed list of entry VMs of one epoch. It is one object of the
 * platform, changed only by conditional update, and each change raises the
 * epoch by one. Everything that is split over the VMs (slots of targets, home
 * VMs of keys and fingerprints) is computed from it, so that equal lists give
 * equal owners without a message.
 */

#include "state/Ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace figturn {

/** One entry VM in a member list. A restarted process is another member. */
struct Member {
  VmName m_Vm;
  BootId m_Boot; ///< The process instance that joined.
  DataCentreName m_DataCentre;
  std::string m_PeerAddress;   ///< "ip:port" for other VMs.
  std::string m_CallerAddress; ///< "ip:port" for callers.

  bool operator==(const Member &) const = default;
};

/** The members of one epoch and of the epoch before it. */
struct MemberList {
  Epoch m_Epoch;
  std::vector<Member> m_Members;  ///< Sorted by VM name, names unique.
  std::vector<Member> m_Previous; ///< Members of the epoch before; sorted.

  bool operator==(const MemberList &) const = default;

  /** The member named \p Vm, or nullptr. */
  const Member *find(const VmName &Vm) const;
  /** Whether the process \p Boot of \p Vm is a member. */
  bool contains(const VmName &Vm, const BootId &Boot) const;
  /** Names of the members in the order of the list. */
  std::vector<VmName> names() const;
  /** Names of the members of the epoch before. */
  std::vector<VmName> previousNames() const;
};

/** The fewest members out of \p Count that are more than a half. */
std::size_t majoritySize(std::size_t Count);

} // namespace figturn

#endif // FIGTURN_COORDINATION_MEMBERLIST_H
