#ifndef FIGTURN_COORDINATION_MEMBERPROPOSER_H
#define FIGTURN_COORDINATION_MEMBERPROPOSER_H

/**
 * Decides whether this VM should write the next member list, and computes
 * that list. Every VM runs a proposer. Rendezvous hashing over the members
 * with recent heartbeats usually selects a single VM to propose, which avoids
 * concurrent writes to the platform. While a change remains pending, one more
 * VM may propose after each removal delay. If several VMs propose at once, the
 * platform's conditional update accepts only one of them.
 */

#include "coordination/MemberList.h"
#include "state/Ids.h"
#include "state/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace figturn {

/** An entry VM in the platform's VM list. */
struct ListedVm {
  VmName m_Vm;
  bool m_Leaving = false;
};

/** The state of an entry VM according to its heartbeats. */
struct MemberHeartbeat {
  Member m_Member;
  TimePoint m_LastHeartbeat;
  bool m_Drained = false; ///< Leaving, with no work in flight.
};

/** The input of a decision about the next member list. */
struct ProposalInput {
  /** The current list; nothing if the platform holds none. */
  std::optional<MemberList> m_Current;
  /** Whether m_Current is activated; see EpochLease::isActivated(). */
  bool m_Activated = false;
  std::vector<ListedVm> m_Listed; ///< Empty if the VM list is unknown.
  /** Includes this VM itself, with the current time. */
  std::vector<MemberHeartbeat> m_Heartbeats;
};

/** Configuration of MemberProposer. */
struct MemberProposerOptions {
  /** A member without a heartbeat for this time is removed. */
  Duration m_RemovalDelay = seconds(5);
};

/** Proposes member lists on behalf of one VM. Not thread-safe. */
class MemberProposer {
public:
  MemberProposer(MemberProposerOptions Options, VmName Self)
      : m_Options(Options), m_Self(std::move(Self)) {}

  /**
   * Returns the list to write now, provided that the platform still holds
   * m_Current; nothing if m_Current is not activated yet, no change is needed
   * or another VM should write it.
   *
   * All VMs that are listed, not leaving, and have a recent heartbeat are added
   * in a single change. A member is removed if it is leaving and drained, if
   * another process has replaced it, or if it has had no heartbeat for the
   * removal delay and either is absent from the VM list or at least half of
   * the members have recent heartbeats. With fewer than half, this VM may
   * itself be partitioned from the others.
   */
  std::optional<MemberList> decide(const ProposalInput &Input, TimePoint Now);

private:
  void recordHeartbeats(const ProposalInput &Input, TimePoint Now);
  bool hasRecentHeartbeat(const VmName &Vm, TimePoint Now) const;
  bool shouldRemainMember(const Member &Entry, const ProposalInput &Input,
                          bool IsHalfAlive, TimePoint Now) const;
  std::vector<Member> desiredMembers(const ProposalInput &Input,
                                     TimePoint Now) const;
  bool mayPropose(const ProposalInput &Input, TimePoint Now) const;

  MemberProposerOptions m_Options;
  VmName m_Self;
  /** Time of the last heartbeat, or when one was first expected. */
  std::map<VmName, TimePoint> m_LastHeartbeat;
  std::optional<TimePoint> m_ChangePendingSince;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_MEMBERPROPOSER_H
