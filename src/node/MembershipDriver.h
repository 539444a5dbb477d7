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

/** What the driver works with; all outlive it. */
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
  /** A peer was heard: its address and what it holds. */
  std::function<void(const PeerHeartbeat &)> m_OnPeerHeard;
  /** Another member list was adopted. */
  std::function<void()> m_OnAdopted;
  /** Names the VMs that the platform's VM list calls leaving, with their
   *  addresses. */
  std::function<void(const std::vector<VmEntry> &)> m_OnLeaving;
};

/** Membership of one VM; lives on the control thread. */
class MembershipDriver : public QObject {
public:
  explicit MembershipDriver(MembershipContext Context);

  void start();
  /** A planned stop began: no longer handed out, ownership goes on. */
  void setDraining();
  /** The planned stop has no work left; asks to be taken off the list. */
  void setDrained();
  /** Whether the member list no longer holds this process. */
  bool isRemoved() const;

  /** A peer's heartbeat; \p Respond runs on any thread. */
  void onHeartbeat(PeerHeartbeat Beat, PeerResponder<PeerHeartbeat> Respond);
  /** Tells the ramp authority \p Vm at once that a target is cold. */
  void sendRegress(const VmName &Vm, RegressNotice Notice);

private:
  void tick();
  void readMembers();
  void fetchVms();
  void takeVms(const std::vector<VmEntry> &Vms);
  void findPeers();
  void propose();
  void writeProposal(const MemberList &List);
  void beatPeers(const std::map<VmName, std::vector<RampReport>> &Reports);
  void beat(const Member &Peer, std::vector<RampReport> Reports,
            std::vector<RegressNotice> Regresses);
  PeerHeartbeat makeBeat(Heartbeat Lease);
  void onReply(const PeerHeartbeat &Reply, TimePoint SentAt);
  void heard(const PeerHeartbeat &Beat);
  void publish();
  std::vector<Member> heartbeatPeers() const;

  MembershipContext m_Context;
  EpochLease m_Lease;
  MemberProposer m_Proposer;
  PauseDetector m_Pause;
  HttpFetcher m_Fetcher;
  QTimer m_Timer;
  std::uint64_t m_Tick = 0;
  ObjectVersion m_StoreVersion = 0; ///< Of the member list last read.
  std::vector<ListedVm> m_Listed;
  /** Callers' addresses of listed entry VMs, to ask them for peers. */
  std::vector<std::string> m_ListedAddresses;
  std::vector<Member> m_FoundPeers; ///< Before a member list is adopted.
  std::map<VmName, HeardVm> m_Heard;
  std::optional<TimePoint> m_DrainedBy;
  /** The platform has shown the list, or that there is none. */
  bool m_ListKnown = false;
  bool m_Reading = false;
  bool m_Writing = false;
  bool m_Draining = false;
  bool m_Drained = false;
};

} // namespace figturn

#endif // FIGTURN_NODE_MEMBERSHIPDRIVER_H
