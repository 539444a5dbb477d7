#include "node/MembershipDriver.h"

#include "node/StatusReport.h"
#include "protocol/MemberListCodec.h"
#include "state/Event.h"

#include <algorithm>
#include <utility>

namespace figturn {

namespace {

constexpr milliseconds TickInterval{250};
/** A longer gap between two ticks means that the process was paused. */
constexpr milliseconds MaxTickGap{1500};
constexpr milliseconds HeartbeatTimeout{1000};
/** Ticks between heartbeats. */
constexpr std::uint64_t TicksPerHeartbeat = 2;
/** Ticks between reads of the member list and the VM list. */
constexpr std::uint64_t TicksPerRead = 8;

} // namespace

MembershipDriver::MembershipDriver(MembershipContext Context)
    : m_Context(std::move(Context)),
      m_Lease({}, m_Context.m_Self.m_Vm, m_Context.m_Self.m_Boot),
      m_Proposer({}, m_Context.m_Self.m_Vm), m_Pause(MaxTickGap) {
  connect(&m_Timer, &QTimer::timeout, this, [this] { tick(); });
}

void MembershipDriver::start() {
  m_Timer.start(TickInterval);
  readMembers();
  fetchVms();
}

void MembershipDriver::setDraining() { m_Draining = true; }

void MembershipDriver::setDrained() { m_Drained = true; }

bool MembershipDriver::isRemoved() const {
  const MemberList *List = m_Lease.adoptedList();
  return List != nullptr &&
         !List->contains(m_Context.m_Self.m_Vm, m_Context.m_Self.m_Boot);
}

void MembershipDriver::tick() {
  if (const auto Paused = m_Pause.onLoopIteration(Clock::now()))
    logEvent(Event::NodePaused, "ms={}",
             std::chrono::duration_cast<milliseconds>(*Paused).count());
  ++m_TickCount;
  if (m_TickCount % TicksPerRead == 0) {
    readMembers();
    fetchVms();
  }
  m_Context.m_Dispatcher.collectLastCallEndTime([this](TimePoint EndTime) {
    m_Context.m_Post([this, EndTime] {
      m_LastCallEnd =
          EndTime == TimePoint::min() ? std::nullopt : std::optional(EndTime);
    });
  });
  if (m_TickCount % TicksPerHeartbeat == 0) {
    propose();
    m_Context.m_Dispatcher.collectReports([this](auto Reports) {
      m_Context.m_Post(
          [this, Reports = std::move(Reports)] { sendHeartbeats(Reports); });
    });
  }
  publish();
}

void MembershipDriver::readMembers() {
  if (std::exchange(m_Reading, true))
    return;
  const TimePoint StartedAt = Clock::now();
  m_Context.m_Store.get(
      std::string(MemberListPath), [this, StartedAt](ObjectResult Result) {
        m_Reading = false;
        if (Result.m_Error == Errc::ObjectNotFound) {
          m_StoreVersion = 0;
          m_IsMemberListKnown = true;
          propose();
          return;
        }
        if (Result.m_Error)
          return;
        const auto List = decodeMemberList(Result.m_Body);
        if (!List)
          return;
        m_StoreVersion = Result.m_Version;
        m_IsMemberListKnown = true;
        m_Lease.onPlatformRead(*List, StartedAt, m_LastCallEnd, Clock::now());
        publish();
      });
}

void MembershipDriver::fetchVms() {
  m_Context.m_VmList.fetchVmList([this](VmListResult Result) {
    if (!Result.m_Error)
      applyVmList(Result.m_Vms);
  });
}

void MembershipDriver::applyVmList(const std::vector<VmEntry> &Vms) {
  std::vector<VmEntry> LeavingTargets;
  m_Listed.clear();
  m_ListedAddresses.clear();
  for (const VmEntry &Entry : Vms) {
    const bool Leaving = Entry.m_State == VmState::Leaving;
    if (Entry.m_Role == VmRole::Target) {
      if (Leaving)
        LeavingTargets.push_back(Entry);
      continue;
    }
    m_Listed.push_back({.m_Vm = Entry.m_Name, .m_Leaving = Leaving});
    if (Entry.m_Name != m_Context.m_Self.m_Vm)
      m_ListedAddresses.push_back(Entry.m_Address);
  }
  m_Context.m_OnLeaving(LeavingTargets);
  if (m_Lease.adoptedList() == nullptr)
    discoverPeers();
}

void MembershipDriver::discoverPeers() {
  for (const std::string &Address : m_ListedAddresses)
    m_Fetcher.fetch({.m_Url = "http://" + Address + "/v1/status"},
                    [this](const FetchResult &Result) {
                      if (!Result.m_Error)
                        m_DiscoveredPeers = decodeStatusMembers(Result.m_Body);
                    });
}

void MembershipDriver::propose() {
  if (m_Writing || !m_IsMemberListKnown)
    return;
  const TimePoint Now = Clock::now();
  ProposalInput Input{.m_Activated = m_Lease.isActivated(Now),
                      .m_Listed = m_Listed};
  if (const MemberList *Adopted = m_Lease.adoptedList())
    Input.m_Current = *Adopted;
  for (const auto &[Vm, LastHeartbeat] : m_Heartbeats)
    Input.m_Heartbeats.push_back(LastHeartbeat);
  Input.m_Heartbeats.push_back({.m_Member = m_Context.m_Self,
                                .m_LastHeartbeat = Now,
                                .m_Drained = m_Drained});
  if (const auto List = m_Proposer.decide(Input, Now))
    writeProposal(*List);
}

void MembershipDriver::writeProposal(const MemberList &List) {
  m_Writing = true;
  const TimePoint StartedAt = Clock::now();
  const auto Condition = m_StoreVersion == 0
                             ? WriteCondition::ifAbsent()
                             : WriteCondition::ifVersion(m_StoreVersion);
  logEvent(Event::MembersProposed, "epoch={} members={}", List.m_Epoch,
           List.m_Members.size());
  m_Context.m_Store.put(
      std::string(MemberListPath), encodeMemberList(List), Condition,
      [this, List, StartedAt](ObjectResult Result) {
        m_Writing = false;
        if (Result.m_Error) {
          readMembers();
          return;
        }
        m_StoreVersion = Result.m_Version;
        m_Lease.onPlatformRead(List, StartedAt, m_LastCallEnd, Clock::now());
        publish();
      });
}

std::vector<Member> MembershipDriver::heartbeatPeers() const {
  std::vector<Member> Peers = m_Lease.peers(Clock::now());
  if (m_Lease.adoptedList() != nullptr)
    return Peers;
  return m_DiscoveredPeers;
}

void MembershipDriver::sendHeartbeats(
    const std::map<VmName, std::vector<RampReport>> &Reports) {
  for (const Member &Peer : heartbeatPeers()) {
    const auto PeerReports = Reports.find(Peer.m_Vm);
    sendHeartbeatTo(Peer,
                    PeerReports == Reports.end() ? std::vector<RampReport>{}
                                                 : PeerReports->second,
                    {});
  }
}

void MembershipDriver::sendHeartbeatTo(const Member &Peer,
                                       std::vector<RampReport> Reports,
                                       std::vector<RegressNotice> Notices) {
  const TimePoint SentAt = Clock::now();
  PeerHeartbeat Message =
      buildHeartbeat(m_Lease.makeHeartbeat(m_LastCallEnd, SentAt));
  Message.m_Reports = std::move(Reports);
  Message.m_Regressions = std::move(Notices);
  m_Context.m_Peers.sendHeartbeat(
      Peer.m_PeerAddress, std::move(Message), HeartbeatTimeout,
      [this, SentAt](std::error_code Error, PeerHeartbeat Reply) {
        if (Error)
          return;
        m_Context.m_Post([this, SentAt, Reply = std::move(Reply)] {
          onReply(Reply, SentAt);
        });
      });
}

PeerHeartbeat MembershipDriver::buildHeartbeat(Heartbeat Lease) {
  const ConfigurationPtr Config = m_Context.m_Routing.configuration();
  return {.m_Sender = m_Context.m_Self,
          .m_Lease = std::move(Lease),
          .m_ConfigVersion = Config ? Config->m_Version : ConfigVersion(),
          .m_IndexDigest = m_Context.m_Routing.indexDigest(),
          .m_Draining = m_Draining,
          .m_Drained = m_Drained};
}

void MembershipDriver::onReply(const PeerHeartbeat &Reply, TimePoint SentAt) {
  m_Lease.onHeartbeatReply(Reply.m_Lease, SentAt, m_LastCallEnd, Clock::now());
  m_Context.m_Dispatcher.onGrants(Reply.m_Grants, Reply.m_Sender.m_Vm, SentAt);
  recordHeartbeat(Reply);
}

void MembershipDriver::onHeartbeat(PeerHeartbeat Message,
                                   PeerResponder<PeerHeartbeat> Respond) {
  recordHeartbeat(Message);
  m_Context.m_Dispatcher.onRegressNotices(Message.m_Regressions);
  // Grants are valid only while this VM is the authority, so the lease's reply
  // is made after the reports have been processed.
  m_Context.m_Dispatcher.onReports(
      Message.m_Reports,
      [this, Lease = Message.m_Lease,
       Respond = std::move(Respond)](std::vector<RampGrant> Grants) {
        m_Context.m_Post([this, Lease, Respond, Grants = std::move(Grants)] {
          PeerHeartbeat Reply = buildHeartbeat(
              m_Lease.onHeartbeat(Lease, m_LastCallEnd, Clock::now()));
          Reply.m_Grants = Grants;
          Respond(std::move(Reply));
          publish();
        });
      });
}

void MembershipDriver::recordHeartbeat(const PeerHeartbeat &Message) {
  const VmName &Vm = Message.m_Sender.m_Vm;
  m_Heartbeats[Vm] = {.m_Member = Message.m_Sender,
                      .m_LastHeartbeat = Clock::now(),
                      .m_Drained = Message.m_Drained};
  m_Context.m_Table.setDraining(Vm, Message.m_Draining);
  for (const CrashNotice &Notice : Message.m_Quarantines)
    m_Context.m_Canaries.onCrashNotice(Notice);
  m_Context.m_OnPeerHeartbeat(Message);
  publish();
}

void MembershipDriver::sendRegressNotice(const VmName &Vm,
                                         RegressNotice Notice) {
  if (const auto Peer = m_Context.m_Table.member(Vm))
    sendHeartbeatTo(*Peer, {}, {std::move(Notice)});
}

void MembershipDriver::publish() {
  const MemberList *Adopted = m_Lease.adoptedList();
  if (Adopted == nullptr)
    return;
  const MemberListPtr Old = m_Context.m_Table.members();
  const auto OldPermit = m_Context.m_Table.permit();
  const auto Permit = m_Lease.permit(Clock::now());
  MemberListPtr List =
      *Old == *Adopted ? Old : std::make_shared<const MemberList>(*Adopted);
  m_Context.m_Table.update(List, Permit);
  const bool EpochChanged = List != Old;
  const bool PermitChanged =
      Permit.has_value() != OldPermit.has_value() ||
      (Permit && (Permit->m_Epoch != OldPermit->m_Epoch ||
                  Permit->m_OnlyCarried != OldPermit->m_OnlyCarried));
  if (EpochChanged)
    logEvent(Event::MembersAdopted, "epoch={} members={}", List->m_Epoch,
             List->m_Members.size());
  if (PermitChanged)
    logEvent(Event::EpochRightChanged, "epoch={} usable={} carried={}",
             List->m_Epoch, Permit.has_value(),
             Permit && Permit->m_OnlyCarried);
  if (EpochChanged || PermitChanged)
    m_Context.m_Dispatcher.onMembership();
  if (EpochChanged)
    m_Context.m_OnAdopted();
}

} // namespace figturn
