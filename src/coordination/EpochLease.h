#ifndef FIGTURN_COORDINATION_EPOCHLEASE_H
#define FIGTURN_COORDINATION_EPOCHLEASE_H

/**
 * Decides when this VM may use the ownership that a member list assigns, so
 * that no slot, key or fingerprint has two owners at a time, whatever is
 * lost, late, paused or partitioned.
 *
 * A VM adopts the newest list that it hears of and, with that, stops using
 * the one before for good. It may use the adopted epoch N while both hold:
 *
 * 1. Its lease is fresh. Either a platform read that started less than
 *    LeaseTime ago showed N as the newest, or a majority of N's members, this
 *    VM counted, answered heartbeats sent less than LeaseTime ago that they
 *    hold N. A member that adopted a later epoch never answers N again.
 * 2. N is activated: no member of N-1 can still use N-1 or have a call in
 *    flight under it. This is so when each of them acknowledged N (or its
 *    process ended) and the calls that it had in flight then have ended; or
 *    when so many of them did that the rest are no majority, and after
 *    that the lease of the rest and their last calls have run out, with a
 *    margin for clock drift; or when a peer says that it activated N.
 *
 * While N is not yet activated, what this VM owned in N-1 and owns in N as
 * well may be used further (EpochPermit::m_OnlyCarried): no other VM is its
 * owner in either.
 *
 * A list is only proposed after the one before it was activated, so an
 * activated N also ends all epochs before N-1.
 *
 * The platform must answer reads with the newest version, and one VM name
 * must be that of one process at a time. Not thread-safe.
 */

#include "coordination/EpochPermit.h"
#include "coordination/MemberList.h"
#include "state/Ids.h"
#include "state/Time.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace figturn {

/** Times of the leases; equal on all VMs. */
struct EpochLeaseOptions {
  /** Longest age of a confirmation under which an epoch may be used. */
  Duration m_LeaseDuration = seconds(3);
  /** Longest time that a call may hold a slot. */
  Duration m_MaxCallTime = seconds(3);
  /** Time by which a target may end a call later than its VM. */
  Duration m_CallEndMargin = milliseconds(200);
  /** One part in so many is added to waits for other VMs' clocks. */
  std::int64_t m_DriftDivisor = 10;
};

/** What a VM tells its peers in heartbeats and in the answers to them. */
struct Heartbeat {
  VmName m_From;
  BootId m_Boot;
  Epoch m_Epoch; ///< Newest epoch that the sender adopted; 0 if none.
  /** The sender found that no VM can use an epoch before m_Epoch. */
  bool m_Activated = false;
  /** In so long from its sending, the calls in flight at the sender will have
   *  ended at their targets; the sender's margins are in it. */
  Duration m_DrainTime{};
  /** The adopted list, in an answer to a VM whose epoch is older. */
  std::shared_ptr<const MemberList> m_List;
};

/** The leases of one VM. */
class EpochLease {
public:
  EpochLease(EpochLeaseOptions Options, VmName Self, BootId Boot);

  // DrainedBy, wherever it is asked for: when the last call in flight at this
  // VM will have ended, over all targets; nothing if none is in flight.

  /** The platform showed \p List as newest, to a read or a conditional write
   *  that started at \p RequestStarted. */
  void onPlatformRead(const MemberList &List, TimePoint RequestStarted,
                      std::optional<TimePoint> DrainedBy, TimePoint Now);

  /** The heartbeat to send now. */
  Heartbeat makeHeartbeat(std::optional<TimePoint> DrainedBy,
                          TimePoint Now) const;
  /** Takes a peer's heartbeat; returns the answer to send. */
  Heartbeat onHeartbeat(const Heartbeat &Received,
                        std::optional<TimePoint> DrainedBy, TimePoint Now);
  /** Takes the answer to a heartbeat that was sent at \p SentAt. */
  void onHeartbeatReply(const Heartbeat &Reply, TimePoint SentAt,
                        std::optional<TimePoint> DrainedBy, TimePoint Now);
  /** The process that was the previous epoch's member \p Vm has ended for
   *  certain: the platform's VM list, read after the present epoch was
   *  adopted, has dropped it. */
  void onMemberEnded(const VmName &Vm, TimePoint Now);

  /** What this VM may use at \p Now; nothing if its lease lapsed, it is no
   *  member, or the epoch can't be used yet. Ask immediately before acting. */
  std::optional<EpochPermit> permit(TimePoint Now) const;
  /** The list that may be used in full at \p Now, or nullptr. */
  const MemberList *usableEpoch(TimePoint Now) const;
  /** The adopted list while it is not activated yet, or nullptr. */
  const MemberList *pendingEpoch(TimePoint Now) const;
  /** The adopted list, whether it may be used or not, or nullptr. */
  const MemberList *adopted() const { return m_List.get(); }
  /** Whether no VM can use an epoch before the adopted one any more. */
  bool isActivated(TimePoint Now) const;

  /** To whom heartbeats go: members, and those of the epoch before while
   *  their acknowledgements are wanted; not this VM. */
  std::vector<Member> peers(TimePoint Now) const;
  /** When right() changes next by the passing of time alone. */
  std::optional<TimePoint> nextWake(TimePoint Now) const;

private:
  void adopt(const MemberList &List, std::optional<TimePoint> DrainedBy,
             TimePoint Now);
  void observe(const Heartbeat &Received, TimePoint Now);
  void recordRelease(const VmName &Vm, TimePoint At, TimePoint Now);
  Duration addDriftMargin(Duration Wait) const;
  Duration drainTime(std::optional<TimePoint> DrainedBy, TimePoint Now) const;
  std::optional<TimePoint> activationTime() const;
  TimePoint leaseEnd(TimePoint Now) const;
  void renewLease();
  bool isMember() const;

  EpochLeaseOptions m_Options;
  VmName m_Self;
  BootId m_Boot;
  std::shared_ptr<const MemberList> m_List; ///< Adopted.
  TimePoint m_AdoptedAt;
  bool m_RetainsOwnership = false; ///< The epoch before was usable here.
  bool m_KnownActivated = false;   ///< First epoch, or a peer says so.
  /** When the lease runs out, unless this VM alone is the majority. Kept so
   *  that right() is cheap: it is asked for each call. */
  TimePoint m_LeaseEnd = TimePoint::min();
  std::optional<TimePoint> m_ReadStarted; ///< Newest read that showed m_List.
  std::map<VmName, TimePoint>
      m_Acknowledgements; ///< Send time of the heartbeat.
  /** When what a member of the epoch before used is free. */
  std::map<VmName, TimePoint> m_ReleasedAt;
  /** When the members of the epoch before that are not in m_ReleasedAt
   *  became too few to promise it to one another. */
  std::optional<TimePoint> m_QuorumLostAt;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_EPOCHLEASE_H
