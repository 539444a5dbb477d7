#ifndef FIGTURN_NODE_MEMBERSHIPTABLE_H
#define FIGTURN_NODE_MEMBERSHIPTABLE_H

/**
 * What workers need to know of membership: the member list that this VM
 * holds, its present right to use it, and which members are draining. The
 * control thread writes it; workers read it before each decision.
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
  /** The member list of the epoch held; empty before the first. */
  MemberListPtr members() const;
  /** The right to use the epoch's ownership, or none. It lapses by itself:
   *  check EpochPermit::validAt() immediately before acting. */
  std::optional<EpochPermit> permit() const;
  /** Members that told they are in a planned stop. */
  std::set<VmName> draining() const;
  /** The home VM of \p Key: its rendezvous owner; none without members. */
  std::optional<Member> home(std::uint64_t Key) const;
  /** The member \p Vm, if it is in the list. */
  std::optional<Member> member(const VmName &Vm) const;

  void update(MemberListPtr Members, std::optional<EpochPermit> Right);
  void setDraining(const VmName &Vm, bool Draining);

private:
  mutable RankedMutex m_Mutex{LockRank::Membership};
  MemberListPtr m_Members = std::make_shared<const MemberList>();
  std::vector<VmName> m_Names;
  std::optional<EpochPermit> m_Right;
  std::set<VmName> m_Draining;
};

} // namespace figturn

#endif // FIGTURN_NODE_MEMBERSHIPTABLE_H
