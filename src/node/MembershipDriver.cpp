#include "node/MembershipDriver.h"

#include "node/StatusReport.h"
#include "protocol/MemberListCodec.h"
#include "state/Event.h"

#include <algorithm>
#include <utility>

namespace figturn {

namespace {

constexpr milliseconds TickInterval{250};
/** A longer gap between two ticks means that the process did not run. */
constexpr milliseconds LongestTick{1500};
constexpr milliseconds HeartbeatTimeout{1000};
/** Every so many ticks heartbeats are sent. */
constexpr std::uint64_t TicksPerHeartbeat = 2;
/** Every so many ticks the platform's objects are read. */
constexpr std::uint64_t TicksPerRead = 8;

} // namespace

MembershipDriver::MembershipDriver(MembershipContext Context)
    : m_Context(std::move(Context)),
      m_Lease({}, m_Context.m_Self.m_Vm, m_Context.m_Self.m_Boot),
      m_Proposer({}, m_Context.m_Self.m_Vm), m_Pause(LongestTick) {
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
  const MemberList *List = m_Lease.adopted();
  return List != nullptr &&
         !List->contains(m_Context.m_Self.m_Vm, m_Context.m_Self.m_Boot);
}

void MembershipDriver::tick() {
  if (const auto Paused = m_Pause.onTurn(Clock::now()))
    logEvent(Event::NodePaused, "ms={}",
             std::chrono::duration_cast<milliseconds>(*Paused).count());
  ++m_Tick;
  if (m_Tick % TicksPerRead == 0) {
    readMembers();
    fetchVms();
  }
  m_Context.m_Dispatcher.collectDrain([this](TimePoint Drained) {
    m_Context.m_Post([this, Drained] {
      m_DrainedBy =
          Drained == TimePoint::min() ? std::nullopt : std::optional(Drained);
    });
  });
  if (m_Tick % TicksPerHeartbeat == 0) {
    propose();
    m_Context.m_Dispatcher.collectReports([this](auto Reports) {
      m_Context.m_Post(
          [this, Reports = std::move(Reports)] { beatPeers(Reports); });
    });
  }
  publish();
}

void MembershipDriver::readMembers() {
  if (std::exchange(m_Reading, true))
    return;
  const TimePoint Started = Clock::now();
  m_Context.m_Store.get(
      std::string(MemberListPath), [this, Started](ObjectResult Result) {
        m_Reading = false;
        if (Result.m_Error == Errc::ObjectNotFound) {
          m_StoreVersion = 0;
          m_ListKnown = true;
          propose();
          return;
        }
        if (Result.m_Error)
          return;
        const auto List = decodeMemberList(Result.m_Body);
        if (!List)
          return;
        m_StoreVersion = Result.m_Version;
        m_ListKnown = true;
        m_Lease.onPlatformRead(*List, Started, m_DrainedBy, Clock::now());
        publish();
      });
}

void MembershipDriver::fetchVms() {
  m_Context.m_VmList.fetchVmList([this](VmListResult Result) {
    if (!Result.m_Error)
      takeVms(Result.m_Vms);
  });
}

void MembershipDriver::takeVms(const std::vector<VmEntry> &Vms) {
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
  if (m_Lease.adopted() == nullptr)
    findPeers();
}

void MembershipDriver::findPeers() {
  for (const std::string &Address : m_ListedAddresses)
    m_Fetcher.fetch({.m_Url = "http://" + Address + "/v1/status"},
                    [this](const FetchResult &Result) {
                      if (!Result.m_Error)
                        m_FoundPeers = decodeStatusMembers(Result.m_Body);
                    });
}

void MembershipDriver::propose() {
  if (m_Writing || !m_ListKnown)
    return;
  const TimePoint Now = Clock::now();
  ProposalInput Input{.m_Activated = m_Lease.isActivated(Now),
                      .m_Listed = m_Listed};
  if (const MemberList *Adopted = m_Lease.adopted())
    Input.m_Current = *Adopted;
  for (const auto &[Vm, Heard] : m_Heard)
    Input.m_Heard.push_back(Heard);
  Input.m_Heard.push_back({.m_Member = m_Context.m_Self,
                           .m_LastHeard = Now,
                           .m_Drained = m_Drained});
  if (const auto List = m_Proposer.decide(Input, Now))
    writeProposal(*List);
}

void MembershipDriver::writeProposal(const MemberList &List) {
  m_Writing = true;
  const TimePoint Started = Clock::now();
  const auto Condition = m_StoreVersion == 0
                             ? WriteCondition::ifAbsent()
                             : WriteCondition::ifVersion(m_StoreVersion);
  logEvent(Event::MembersProposed, "epoch={} members={}", List.m_Epoch,
           List.m_Members.size());
  m_Context.m_Store.put(std::string(MemberListPath), encodeMemberList(List),
                        Condition, [this, List, Started](ObjectResult Result) {
                          m_Writing = false;
                          if (Result.m_Error) {
                            readMembers();
                            return;
                          }
                          m_StoreVersion = Result.m_Version;
                          m_Lease.onPlatformRead(List, Started, m_DrainedBy,
                                                 Clock::now());
                          publish();
                        });
}

std::vector<Member> MembershipDriver::heartbeatPeers() const {
  std::vector<Member> Peers = m_Lease.peers(Clock::now());
  if (m_Lease.adopted() != nullptr)
    return Peers;
  return m_FoundPeers;
}

void MembershipDriver::beatPeers(
    const std::map<VmName, std::vector<RampReport>> &Reports) {
  for (const Member &Peer : heartbeatPeers()) {
    const auto Mine = Reports.find(Peer.m_Vm);
    beat(Peer, Mine == Reports.end() ? std::vector<RampReport>{} : Mine->second,
         {});
  }
}

void MembershipDriver::beat(const Member &Peer, std::vector<RampReport> Reports,
                            std::vector<RegressNotice> Regresses) {
  const TimePoint SentAt = Clock::now();
  PeerHeartbeat Beat = makeBeat(m_Lease.makeHeartbeat(m_DrainedBy, SentAt));
  Beat.m_Reports = std::move(Reports);
  Beat.m_Regressions = std::move(Regresses);
  m_Context.m_Peers.sendHeartbeat(
      Peer.m_PeerAddress, std::move(Beat), HeartbeatTimeout,
      [this, SentAt](std::error_code Error, PeerHeartbeat Reply) {
        if (Error)
          return;
        m_Context.m_Post([this, SentAt, Reply = std::move(Reply)] {
          onReply(Reply, SentAt);
        });
      });
}

PeerHeartbeat MembershipDriver::makeBeat(Heartbeat Lease) {
  const ConfigurationPtr Config = m_Context.m_Routing.configuration();
  return {.m_Sender = m_Context.m_Self,
          .m_Lease = std::move(Lease),
          .m_ConfigVersion = Config ? Config->m_Version : ConfigVersion(),
          .m_IndexDigest = m_Context.m_Routing.indexDigest(),
          .m_Draining = m_Draining,
          .m_Drained = m_Drained};
}

void MembershipDriver::onReply(const PeerHeartbeat &Reply, TimePoint SentAt) {
  m_Lease.onHeartbeatReply(Reply.m_Lease, SentAt, m_DrainedBy, Clock::now());
  m_Context.m_Dispatcher.onGrants(Reply.m_Grants, Reply.m_Sender.m_Vm, SentAt);
  heard(Reply);
}

void MembershipDriver::onHeartbeat(PeerHeartbeat Beat,
                                   PeerResponder<PeerHeartbeat> Respond) {
  heard(Beat);
  m_Context.m_Dispatcher.onRegresses(Beat.m_Regressions);
  // A grant is only worth something while this VM is the authority, so the
  // lease is answered after the reports were taken.
  m_Context.m_Dispatcher.onReports(
      Beat.m_Reports,
      [this, Lease = Beat.m_Lease,
       Respond = std::move(Respond)](std::vector<RampGrant> Grants) {
        m_Context.m_Post([this, Lease, Respond, Grants = std::move(Grants)] {
          PeerHeartbeat Reply =
              makeBeat(m_Lease.onHeartbeat(Lease, m_DrainedBy, Clock::now()));
          Reply.m_Grants = Grants;
          Respond(std::move(Reply));
          publish();
        });
      });
}

void MembershipDriver::heard(const PeerHeartbeat &Beat) {
  const VmName &Vm = Beat.m_Sender.m_Vm;
  m_Heard[Vm] = {.m_Member = Beat.m_Sender,
                 .m_LastHeard = Clock::now(),
                 .m_Drained = Beat.m_Drained};
  m_Context.m_Table.setDraining(Vm, Beat.m_Draining);
  for (const CrashNotice &Notice : Beat.m_Quarantines)
    m_Context.m_Canaries.onLearn(Notice);
  m_Context.m_OnPeerHeard(Beat);
  publish();
}

void MembershipDriver::sendRegress(const VmName &Vm, RegressNotice Notice) {
  if (const auto Peer = m_Context.m_Table.member(Vm))
    beat(*Peer, {}, {std::move(Notice)});
}

void MembershipDriver::publish() {
  const MemberList *Adopted = m_Lease.adopted();
  if (Adopted == nullptr)
    return;
  const MemberListPtr Old = m_Context.m_Table.members();
  const auto OldRight = m_Context.m_Table.right();
  const auto Right = m_Lease.right(Clock::now());
  MemberListPtr List =
      *Old == *Adopted ? Old : std::make_shared<const MemberList>(*Adopted);
  m_Context.m_Table.update(List, Right);
  const bool EpochChanged = List != Old;
  const bool RightChanged =
      Right.has_value() != OldRight.has_value() ||
      (Right && (Right->m_Epoch != OldRight->m_Epoch ||
                 Right->m_OnlyCarried != OldRight->m_OnlyCarried));
  if (EpochChanged)
    logEvent(Event::MembersAdopted, "epoch={} members={}", List->m_Epoch,
             List->m_Members.size());
  if (RightChanged)
    logEvent(Event::EpochRightChanged, "epoch={} usable={} carried={}",
             List->m_Epoch, Right.has_value(), Right && Right->m_OnlyCarried);
  if (EpochChanged || RightChanged)
    m_Context.m_Dispatcher.onMembership();
  if (EpochChanged)
    m_Context.m_OnAdopted();
}

} // namespace figturn
