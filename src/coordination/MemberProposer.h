#ifndef FIGTURN_COORDINATION_MEMBERPROPOSER_H
#define FIGTURN_COORDINATION_MEMBERPROPOSER_H

/**
 * Decides whether this VM should write the next member list, and which. All
 * VMs run it; by rendezvous hash over the members that are heard, mostly one
 * of them acts, so that the platform isn't asked by all at once. If a change
 * stays wanted, further VMs act, one after each removal delay. The conditional
 * update of the platform decides between VMs that act together.
 */

#include "coordination/MemberList.h"
#include "state/Ids.h"
#include "state/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace figturn {

/** An entry VM as the platform's VM list shows it. */
struct ListedVm {
  VmName m_Vm;
  bool m_Leaving = false;
};

/** An entry VM as its heartbeats show it. */
struct VmHeartbeat {
  Member m_Member;
  TimePoint m_LastHeartbeat;
  bool m_Drained = false; ///< It is leaving and has no work in flight.
};

/** What a decision about the next member list rests on. */
struct ProposalInput {
  /** The list in force; nothing if the platform holds none. */
  std::optional<MemberList> m_Current;
  /** Whether m_Current is activated; see EpochLease::isActivated(). */
  bool m_Activated = false;
  std::vector<ListedVm> m_Listed;        ///< Empty if the VM list is not known.
  std::vector<VmHeartbeat> m_Heartbeats; ///< With this VM itself, heard now.
};

/** Times of the proposer. */
struct MemberProposerOptions {
  /** A member that was not heard for so long is removed. */
  Duration m_RemovalDelay = seconds(5);
};

/** Proposes member lists for one VM. Not thread-safe. */
class MemberProposer {
public:
  MemberProposer(MemberProposerOptions Options, VmName Self)
      : m_Options(Options), m_Self(std::move(Self)) {}

  /**
   * The list to write now, on condition that the platform still holds
   * m_Current; nothing if no change is wanted or another VM should write it.
   *
   * VMs that are listed as live and heard are added, all in one change.
   * Members are removed that are leaving and drained, that another process
   * of their name replaced, that the VM list has dropped and nobody hears,
   * and, if at least half of the members are heard, those not heard for the
   * removal delay: with fewer, this VM may be the one that is cut off.
   */
  std::optional<MemberList> decide(const ProposalInput &Input, TimePoint Now);

private:
  void recordHeartbeats(const ProposalInput &Input, TimePoint Now);
  bool hasRecentHeartbeat(const VmName &Vm, TimePoint Now) const;
  bool shouldRemainMember(const Member &One, const ProposalInput &Input,
                          bool HearsHalf, TimePoint Now) const;
  std::vector<Member> desiredMembers(const ProposalInput &Input,
                                     TimePoint Now) const;
  bool mayPropose(const ProposalInput &Input, TimePoint Now) const;

  MemberProposerOptions m_Options;
  VmName m_Self;
  /** Last heard, or first expected to be. */
  std::map<VmName, TimePoint> m_LastHeartbeat;
  std::optional<TimePoint> m_ChangePendingSince;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_MEMBERPROPOSER_H
