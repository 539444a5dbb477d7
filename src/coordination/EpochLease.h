#ifndef FIGTURN_COORDINATION_EPOCHLEASE_H
#define FIGTURN_COORDINATION_EPOCHLEASE_H

/**
 * Decides when this VM may use the ownership assigned by a member list, so that
 * no slot, key or fingerprint ever has two owners, whatever messages are lost
 * or delayed and whatever VMs are paused or partitioned.
 *
 * A VM adopts the newest list that it receives and thereby permanently stops
 * using the previous one. It may use the adopted epoch N while both of these
 * conditions hold:
 *
 * 1. Its lease is valid. Either a platform read started within the last
 *    m_LeaseDuration returned N as the newest epoch, or a majority of N's
 *    members, including this VM, acknowledged N in reply to heartbeats sent
 *    within the last m_LeaseDuration. A member that adopted a later epoch never
 *    acknowledges N again.
 *
 * 2. N is activated: no member of N-1 can still use N-1 or have a call in
 *    flight under it. This holds when every one of them has acknowledged N (or
 *    its process has ended) and the calls that it had in flight have ended; or
 *    when the members that have not done so are no longer a majority and their
 *    leases and last calls have expired, with a margin for clock drift; or when
 *    a peer reports that it has activated N.
 *
 * Until N is activated, a VM may go on using what it owned in N-1 and also owns
 * in N (EpochPermit::m_OnlyCarried), since no other VM owns it in either epoch.
 *
 * A list is only proposed after the previous one was activated, so an activated
 * N also ends all epochs before N-1.
 *
 * This requires that platform reads return the newest version, and that at most
 * one process at a time runs under a VM name. Not thread-safe.
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

/** Lease parameters; they must be equal on all VMs. */
struct EpochLeaseOptions {
  /** Maximum age of a confirmation under which an epoch may be used. */
  Duration m_LeaseDuration = seconds(3);
  /** Maximum time for which a call may hold a slot. */
  Duration m_MaxCallTime = seconds(3);
  /** Maximum delay between the end of a call at its VM and at the target. */
  Duration m_CallEndMargin = milliseconds(200);
  /** Waits that depend on the clocks of other VMs are extended by one part in
   *  this number. */
  std::int64_t m_DriftDivisor = 10;
};

/**
 * Message that a VM sends to its peers as a heartbeat or as the reply to one.
 */
struct Heartbeat {
  VmName m_Sender;
  BootId m_Boot;
  Epoch m_Epoch; ///< Newest epoch that the sender adopted; 0 if none.
  /** The sender has determined that no VM can use an epoch before m_Epoch. */
  bool m_Activated = false;
  /** Time from sending until the sender's calls in flight have ended at their
   *  targets, including the sender's margins. */
  Duration m_DrainTime{};
  /** The adopted list, in a reply to a VM whose epoch is older. */
  std::shared_ptr<const MemberList> m_List;
};

/** The epoch leases of one VM. */
class EpochLease {
public:
  EpochLease(EpochLeaseOptions Options, VmName Self, BootId Boot);

  // In all functions, LastCallEndTime is the time at which the last call in
  // flight at this VM, to any target, will have ended; none if there is no
  // call.

  /** Handles \p List as the newest list according to the platform, from a read
   *  or a conditional write started at \p RequestStarted. */
  void onPlatformRead(const MemberList &List, TimePoint RequestStarted,
                      std::optional<TimePoint> LastCallEndTime, TimePoint Now);

  /** The heartbeat to send now. */
  Heartbeat makeHeartbeat(std::optional<TimePoint> LastCallEndTime,
                          TimePoint Now) const;
  /** Handles a peer's heartbeat; returns the reply to send. */
  Heartbeat onHeartbeat(const Heartbeat &Received,
                        std::optional<TimePoint> LastCallEndTime,
                        TimePoint Now);
  /** Handles the reply to a heartbeat sent at \p SentAt. */
  void onHeartbeatReply(const Heartbeat &Reply, TimePoint SentAt,
                        std::optional<TimePoint> LastCallEndTime,
                        TimePoint Now);
  /** Records that the process of the previous epoch's member \p Vm has
   *  certainly ended: the platform's VM list, read after the current epoch was
   *  adopted, no longer contains it. */
  void onMemberEnded(const VmName &Vm, TimePoint Now);

  /** The permit of this VM at \p Now; nothing if its lease has expired, it is
   *  not a member, or the epoch is not usable yet. Call this immediately before
   *  acting on it. */
  std::optional<EpochPermit> permit(TimePoint Now) const;
  /** The list that is usable without restriction at \p Now, or nullptr. */
  const MemberList *usableList(TimePoint Now) const;
  /** The adopted list while it is not activated yet, or nullptr. */
  const MemberList *pendingList(TimePoint Now) const;
  /** The adopted list, usable or not, or nullptr. */
  const MemberList *adoptedList() const { return m_List.get(); }
  /** Whether no VM can use an epoch before the adopted one any more. */
  bool isActivated(TimePoint Now) const;

  /** Receivers of heartbeats, without this VM: the members, and those of the
   *  previous epoch while their acknowledgements are required. */
  std::vector<Member> peers(TimePoint Now) const;
  /** When elapsed time alone next changes the result of permit(). */
  std::optional<TimePoint> nextTimer(TimePoint Now) const;

private:
  void adopt(const MemberList &List, std::optional<TimePoint> LastCallEndTime,
             TimePoint Now);
  void processHeartbeat(const Heartbeat &Received, TimePoint Now);
  void recordRelease(const VmName &Vm, TimePoint ReleaseTime, TimePoint Now);
  Duration addDriftMargin(Duration Wait) const;
  Duration drainTime(std::optional<TimePoint> LastCallEndTime,
                     TimePoint Now) const;
  std::optional<TimePoint> activationTime() const;
  TimePoint leaseEnd(TimePoint Now) const;
  void renewLease();
  bool isMember() const;

  EpochLeaseOptions m_Options;
  VmName m_Self;
  BootId m_Boot;
  std::shared_ptr<const MemberList> m_List; ///< The adopted list.
  TimePoint m_AdoptedAt;
  /** The previous epoch was usable at this VM. */
  bool m_RetainsOwnership = false;
  /** This is the first epoch, or a peer reported it as activated. */
  bool m_KnownActivated = false;
  /** When the lease expires, unless this VM alone is the majority. Stored
   *  because permit() is called for every call and must be cheap. */
  TimePoint m_LeaseEnd = TimePoint::min();
  /** Start of the newest read that returned m_List. */
  std::optional<TimePoint> m_ReadStarted;
  /** Send times of the acknowledged heartbeats. */
  std::map<VmName, TimePoint> m_Acknowledgements;
  /** When each member of the previous epoch releases what it used. */
  std::map<VmName, TimePoint> m_ReleasedAt;
  /** When the members of the previous epoch that are not in m_ReleasedAt
   *  ceased to be a majority, so that they could no longer confirm it to each
   *  other. */
  std::optional<TimePoint> m_QuorumLostAt;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_EPOCHLEASE_H
