#ifndef FIGTURN_NODE_MEMBERSHIPTABLE_H
#define FIGTURN_NODE_MEMBERSHIPTABLE_H

/**
 * Membership state for workers: the member list that this VM holds, its
 * current permit to use it, and the draining members. Written by the control
 * thread; workers read it before each decision.
 */

#include "coordination/EpochPermit.h"
#include "coordination/MemberList.h"
#include "state/RankedMutex.h"

#include <memory>
#include <optional>
#include <set>

namespace figturn {

using MemberListPtr = std::shared_ptr<const MemberList>;

/** Shared table; thread-safe. */
class MembershipTable {
public:
  /** The member list of the current epoch; empty before the first. */
  MemberListPtr members() const;
  /** The permit to use the epoch's slot ownership, or none. It expires: check
   *  EpochPermit::validAt() immediately before acting. */
  std::optional<EpochPermit> permit() const;
  /** VMs in a planned stop, according to their heartbeats, and this VM if it is
   *  in one. */
  std::set<VmName> draining() const;
  /** The VM that owns \p Key by rendezvous hashing; none without members. */
  std::optional<Member> ownerVm(std::uint64_t Key) const;
  /** The member \p Vm, if the list contains it. */
  std::optional<Member> member(const VmName &Vm) const;

  void update(MemberListPtr Members, std::optional<EpochPermit> Permit);
  void setDraining(const VmName &Vm, bool Draining);

private:
  mutable RankedMutex m_Mutex{LockRank::Membership};
  MemberListPtr m_Members = std::make_shared<const MemberList>();
  std::vector<VmName> m_Names;
  std::optional<EpochPermit> m_Permit;
  std::set<VmName> m_Draining;
};

} // namespace figturn

#endif // FIGTURN_NODE_MEMBERSHIPTABLE_H
