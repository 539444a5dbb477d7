#ifndef FIGTURN_NODE_MEMBERSHIPDRIVER_H
#define FIGTURN_NODE_MEMBERSHIPDRIVER_H

/**
 * Runs membership on the control thread: reads the member list, sends
 * heartbeats, feeds EpochLease and MemberProposer, and publishes the result
 * to the workers through the MembershipTable.
 */

#include "coordination/EpochLease.h"
#include "coordination/MemberProposer.h"
#include "coordination/PauseDetector.h"
#include "node/CanaryClient.h"
#include "node/MembershipTable.h"
#include "node/RoutingTable.h"
#include "node/TargetDispatcher.h"
#include "protocol/ObjectStore.h"
#include "protocol/VmList.h"
#include "transport/HttpFetcher.h"
#include "transport/PeerNetwork.h"

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>

namespace figturn {

/** Dependencies of the driver; all outlive it. */
struct MembershipContext {
  Member m_Self;
  ObjectStore &m_Store;
  VmListSource &m_VmList;
  PeerNetwork &m_Peers;
  MembershipTable &m_Table;
  RoutingTable &m_Routing;
  TargetDispatcher &m_Dispatcher;
  CanaryClient &m_Canaries;
  /** Posts to the control thread from any thread. */
  std::function<void(std::function<void()>)> m_Post;
  /** Called for each heartbeat received from a peer, including replies. */
  std::function<void(const PeerHeartbeat &)> m_OnPeerHeartbeat;
  /** Called after a different member list was adopted. */
  std::function<void()> m_OnAdopted;
  /** Receives the entries of the VMs with targets that the platform's VM list
   *  marks as leaving. */
  std::function<void(const std::vector<VmEntry> &)> m_OnLeaving;
};

/** Membership of one VM; confined to the control thread. */
class MembershipDriver : public QObject {
public:
  explicit MembershipDriver(MembershipContext Context);

  void start();
  /** Marks the start of a planned stop: the VM is no longer advertised but
   *  keeps its slots. */
  void setDraining();
  /** Marks the planned stop as finished; asks to be removed from the member
   *  list. */
  void setDrained();
  /** Whether the member list no longer contains this process. */
  bool isRemoved() const;

  /** Processes a peer's heartbeat; \p Respond runs once, later, on the control
   *  thread. */
  void onHeartbeat(PeerHeartbeat Message, PeerResponder<PeerHeartbeat> Respond);
  /** Notifies the ramp authority \p Vm immediately that a target is cold. */
  void sendRegressNotice(const VmName &Vm, RegressNotice Notice);

private:
  void tick();
  void readMembers();
  void fetchVms();
  void applyVmList(const std::vector<VmEntry> &Vms);
  void discoverPeers();
  void propose();
  void writeProposal(const MemberList &List);
  void sendHeartbeats(const std::map<VmName, std::vector<RampReport>> &Reports);
  void sendHeartbeatTo(const Member &Peer, std::vector<RampReport> Reports,
                       std::vector<RegressNotice> Notices);
  PeerHeartbeat buildHeartbeat(Heartbeat Lease);
  void onReply(const PeerHeartbeat &Reply, TimePoint SentAt);
  void recordHeartbeat(const PeerHeartbeat &Message);
  void publish();
  std::vector<Member> heartbeatPeers() const;

  MembershipContext m_Context;
  EpochLease m_Lease;
  MemberProposer m_Proposer;
  PauseDetector m_Pause;
  HttpFetcher m_Fetcher;
  QTimer m_Timer;
  std::uint64_t m_TickCount = 0;
  /** Version of the member list last read or written; 0 if there is none. */
  ObjectVersion m_StoreVersion = 0;
  std::vector<ListedVm> m_Listed;
  /** Caller addresses of listed entry VMs, used to discover peers. */
  std::vector<std::string> m_ListedAddresses;
  std::vector<Member>
      m_DiscoveredPeers; ///< Used until a member list is adopted.
  std::map<VmName, MemberHeartbeat> m_Heartbeats;
  /** When the last call in flight at this VM ends, as of the last tick. */
  std::optional<TimePoint> m_LastCallEnd;
  /** Whether the platform has returned the member list or its absence. */
  bool m_IsMemberListKnown = false;
  bool m_Reading = false;
  bool m_Writing = false;
  bool m_Draining = false;
  bool m_Drained = false;
};

} // namespace figturn

#endif // FIGTURN_NODE_MEMBERSHIPDRIVER_H
