#include "coordination/FleetView.h"

#include "state/RendezvousHash.h"

#include <algorithm>
#include <array>
#include <bit>
#include <iterator>
#include <numeric>
#include <utility>

namespace figturn {

std::uint32_t vmInstanceKey(const VmRecord &Record) {
  return static_cast<std::uint32_t>(stableHash(
      Record.m_Vm.value(), static_cast<std::uint64_t>(Record.m_StartedMs)));
}

FleetView::FleetView(VmRecord Self, std::vector<std::string> Seeds,
                     FleetViewOptions Options, std::uint32_t RandomSeed)
    : m_Self(std::move(Self)), m_Options(Options), m_Random(RandomSeed) {
  for (const std::string &Address : Seeds)
    addSeed(Address);
}

void FleetView::addSeed(const std::string &GossipAddress) {
  if (GossipAddress != m_Self.m_GossipAddress && !GossipAddress.empty())
    m_Seeds.insert(GossipAddress);
}

void FleetView::setSelf(VmPhase Phase, std::uint64_t ConfigVersion) {
  m_Self.m_Phase = Phase;
  m_Self.m_ConfigVersion = ConfigVersion;
}

void FleetView::setLag(milliseconds Lag) {
  m_Self.m_LagMs =
      static_cast<std::uint32_t>(std::max<std::int64_t>(Lag.count(), 0));
}

void FleetView::setState(const StateVersion &Version, bool CanReachStore) {
  m_HasStoreReturned =
      m_HasStoreReturned || (m_State.m_Targets > 0 &&
                             Version.m_Targets.m_Era > m_State.m_Targets.m_Era);
  m_State = Version;
  m_Self.m_CanReachStore = CanReachStore;
  if (Version == StateVersion())
    return;
  // A configuration that this VM has seen but can't use isn't offered.
  StateVersion Offered = Version;
  Offered.m_ConfigNumber =
      std::min(Version.m_ConfigNumber, m_Self.m_ConfigVersion);
  mergeStateSource({.m_Address = m_Self.m_StateAddress, .m_Version = Offered});
  retainLatestStateSources();
}

void FleetView::mergeStateSource(const StateSource &Source) {
  const auto Known = std::find_if(
      m_StateSources.begin(), m_StateSources.end(),
      [&](const auto &Each) { return Each.m_Address == Source.m_Address; });
  if (Known == m_StateSources.end())
    m_StateSources.push_back(Source);
  else
    Known->m_Version.raiseTo(Source.m_Version);
}

void FleetView::retainLatestStateSources() {
  constexpr std::array<StateRevision (*)(const StateVersion &), 4> Fields{
      [](const StateVersion &Each) { return Each.m_Config; },
      [](const StateVersion &Each) { return Each.m_Targets; },
      [](const StateVersion &Each) { return Each.m_Evacuations; },
      [](const StateVersion &Each) {
        return StateRevision(Each.m_ConfigNumber);
      }};
  // Each VM retains other sources of the same version, so that requests for
  // copies are spread over all of them.
  std::shuffle(m_StateSources.begin(), m_StateSources.end(), m_Random);
  std::vector<bool> IsRetained(m_StateSources.size(), false);
  std::vector<std::size_t> Order(m_StateSources.size());
  for (const auto Field : Fields) {
    std::iota(Order.begin(), Order.end(), std::size_t{0});
    std::stable_sort(Order.begin(), Order.end(), [&](auto Left, auto Right) {
      return Field(m_StateSources[Left].m_Version) >
             Field(m_StateSources[Right].m_Version);
    });
    for (std::size_t I = 0;
         I < std::min(Order.size(), m_Options.m_MaxStateSources); ++I)
      IsRetained[Order[I]] = true;
  }
  std::size_t Index = 0;
  std::erase_if(m_StateSources,
                [&](const StateSource &) { return !IsRetained[Index++]; });
}

std::optional<StateSource> FleetView::selectNewerStateSource(StatePart Part) {
  std::vector<StateSource> Newer;
  for (const StateSource &Each : m_StateSources)
    if (Each.m_Version.isNewer(Part, m_State) &&
        Each.m_Address != m_Self.m_StateAddress)
      Newer.push_back(Each);
  if (Newer.empty())
    return std::nullopt;
  return Newer[m_Random() % Newer.size()];
}

bool FleetView::isNewerConfigKnown() const {
  return std::any_of(m_StateSources.begin(), m_StateSources.end(),
                     [this](const StateSource &Each) {
                       return Each.m_Address != m_Self.m_StateAddress &&
                              Each.m_Version.m_ConfigNumber >
                                  m_State.m_ConfigNumber;
                     });
}

void FleetView::removeStateSource(const std::string &Address) {
  std::erase_if(m_StateSources, [&](const StateSource &Each) {
    return Each.m_Address == Address;
  });
}

std::vector<std::string> FleetView::selectAlivePeers(TimePoint Now) {
  std::vector<std::string> Local;
  std::vector<std::string> Remote;
  const bool IsUniform = m_Peers.size() < m_Options.m_MaxUniformFleetSize;
  for (const auto &[Name, Each] : m_Peers) {
    if (!isAlive(Each, Now))
      continue;
    const bool IsLocal = Each.m_Record.m_DataCentre == m_Self.m_DataCentre;
    (IsUniform || IsLocal ? Local : Remote)
        .push_back(Each.m_Record.m_GossipAddress);
  }
  std::shuffle(Local.begin(), Local.end(), m_Random);
  std::shuffle(Remote.begin(), Remote.end(), m_Random);
  Local.resize(std::min(Local.size(), m_Options.m_Fanout));
  const bool IsRemoteRound = m_Random() % m_Options.m_RemoteRoundInterval == 0;
  const std::size_t Unfilled = m_Options.m_Fanout - Local.size();
  Remote.resize(std::min<std::size_t>(
      Remote.size(), std::max<std::size_t>(Unfilled, IsRemoteRound)));
  Local.insert(Local.end(), Remote.begin(), Remote.end());
  return Local;
}

std::vector<std::string> FleetView::selectReceivers(TimePoint Now) {
  std::vector<std::string> Receivers = selectAlivePeers(Now);
  std::set<std::string> Silent = m_Seeds;
  for (const auto &[Name, Each] : m_Peers) {
    Silent.erase(Each.m_Record.m_GossipAddress);
    if (!isAlive(Each, Now) &&
        Now - Each.m_LastReceivedAt < m_Options.m_PeerRetention)
      Silent.insert(Each.m_Record.m_GossipAddress);
  }
  // Each round includes at least one address from which nothing is received, so
  // that partitioned parts of the fleet find each other again. If few peers are
  // alive, such addresses also fill their places.
  const std::size_t SilentCount =
      m_Options.m_Fanout - std::min(Receivers.size(), m_Options.m_Fanout - 1);
  std::sample(Silent.begin(), Silent.end(), std::back_inserter(Receivers),
              SilentCount, m_Random);
  return Receivers;
}

GossipMessage FleetView::beginRound(CrashQuarantine &Crashes, TimePoint Now) {
  ++m_Self.m_HeartbeatCount;
  GossipMessage Message{.m_Receivers = selectReceivers(Now)};
  Message.m_Payload.m_Records.push_back(m_Self);
  addRecords(Message.m_Payload, Now);
  Message.m_Payload.m_Crashes =
      Crashes.selectRecordsToSend(m_Options.m_MaxCrashesPerMessage, Now);
  Message.m_Payload.m_StateSources = m_StateSources;
  addHeartbeats(Message.m_Payload, Now);
  return Message;
}

Duration FleetView::roundInterval(TimePoint Now) const {
  const bool HasUpdates =
      std::any_of(m_Peers.begin(), m_Peers.end(), [&](const auto &Each) {
        return isAlive(Each.second, Now) &&
               Each.second.m_SendCount < m_Options.m_RecordTransmissions;
      });
  return HasUpdates ? m_Options.m_UpdateInterval : m_Options.m_RoundInterval;
}

void FleetView::addRecords(GossipPayload &Payload, TimePoint Now) {
  std::vector<Peer *> Candidates;
  for (auto &[Name, Each] : m_Peers)
    if (isAlive(Each, Now))
      Candidates.push_back(&Each);
  std::shuffle(Candidates.begin(), Candidates.end(), m_Random);
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const Peer *Left, const Peer *Right) {
                     return Left->m_SendCount < Right->m_SendCount;
                   });
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    Peer &Each = *Candidates[I];
    // A few records that most VMs know are sent as well, for VMs that missed
    // them.
    const bool IsWidelyKnown =
        Each.m_SendCount >= m_Options.m_RecordTransmissions;
    if (I >= m_Options.m_MaxRecordsPerMessage ||
        (IsWidelyKnown && I >= m_Options.m_MaxKnownRecordsPerMessage))
      break;
    ++Each.m_SendCount;
    Payload.m_Records.push_back(Each.m_Record);
  }
}

void FleetView::addHeartbeats(GossipPayload &Payload, TimePoint Now) {
  std::vector<VmHeartbeat> Heartbeats;
  for (const auto &[Name, Each] : m_Peers)
    if (isAlive(Each, Now))
      Heartbeats.push_back({.m_Key = vmInstanceKey(Each.m_Record),
                            .m_HeartbeatCount = Each.m_Record.m_HeartbeatCount,
                            .m_LagMs = Each.m_Record.m_LagMs});
  std::shuffle(Heartbeats.begin(), Heartbeats.end(), m_Random);
  const std::size_t ExtraSources =
      std::max(Payload.m_StateSources.size(), m_Options.m_MaxStateSources) -
      m_Options.m_MaxStateSources;
  const std::size_t UsedSpace =
      std::min(Payload.m_Records.size() * m_Options.m_HeartbeatsPerRecord +
                   Payload.m_Crashes.size() * m_Options.m_HeartbeatsPerCrash +
                   ExtraSources * m_Options.m_HeartbeatsPerSource,
               m_Options.m_MaxHeartbeatsPerMessage);
  Heartbeats.resize(std::min(Heartbeats.size(),
                             m_Options.m_MaxHeartbeatsPerMessage - UsedSpace));
  Payload.m_Heartbeats = std::move(Heartbeats);
}

GossipMessage FleetView::announce(TimePoint Now) {
  ++m_Self.m_HeartbeatCount;
  GossipMessage Message;
  Message.m_Payload.m_Records.push_back(m_Self);
  for (const VmRecord &Each : alivePeers(Now))
    Message.m_Receivers.push_back(Each.m_GossipAddress);
  return Message;
}

std::vector<VmName> FleetView::receive(const GossipPayload &Payload,
                                       TimePoint Now) {
  std::vector<VmName> NewVms;
  for (const VmRecord &Record : Payload.m_Records)
    if (mergeRecord(Record, Now))
      NewVms.push_back(Record.m_Vm);
  for (const VmHeartbeat &Heartbeat : Payload.m_Heartbeats)
    mergeHeartbeat(Heartbeat, Now);
  for (StateSource Source : Payload.m_StateSources) {
    if (!m_HasStoreReturned)
      Source.m_Version.assumeEras(m_State);
    mergeStateSource(Source);
  }
  retainLatestStateSources();
  return NewVms;
}

bool FleetView::mergeRecord(const VmRecord &Record, TimePoint Now) {
  if (Record.m_Vm == m_Self.m_Vm)
    return false;
  const auto Known = m_Peers.find(Record.m_Vm);
  const bool IsNew = Known == m_Peers.end();
  // Any other process of a VM replaces one that is considered failed, even if
  // its start time is earlier: the wall clock may have been set back.
  const bool IsRestart =
      !IsNew && (Record.m_StartedMs > Known->second.m_Record.m_StartedMs ||
                 (Record.m_StartedMs != Known->second.m_Record.m_StartedMs &&
                  !isAlive(Known->second, Now)));
  const bool IsLater =
      !IsNew && Record.m_StartedMs == Known->second.m_Record.m_StartedMs &&
      Record.m_HeartbeatCount > Known->second.m_Record.m_HeartbeatCount;
  if (!IsNew && !IsRestart && !IsLater)
    return false;
  Peer &Entry = m_Peers[Record.m_Vm];
  if (Entry.m_Record.m_Phase != Record.m_Phase ||
      Entry.m_Record.m_CanReachStore != Record.m_CanReachStore || IsNew ||
      IsRestart)
    Entry.m_SendCount = 0;
  Entry.m_Record = Record;
  Entry.m_LastReceivedAt = Now;
  m_LastAnyReceivedAt = Now;
  m_ByKey[vmInstanceKey(Record)] = Record.m_Vm;
  return IsNew || IsRestart;
}

void FleetView::mergeHeartbeat(const VmHeartbeat &Heartbeat, TimePoint Now) {
  const auto Found = m_ByKey.find(Heartbeat.m_Key);
  if (Found == m_ByKey.end())
    return; // Its record has not been received yet.
  Peer &Entry = m_Peers.at(Found->second);
  if (vmInstanceKey(Entry.m_Record) != Heartbeat.m_Key ||
      Heartbeat.m_HeartbeatCount <= Entry.m_Record.m_HeartbeatCount)
    return;
  Entry.m_Record.m_HeartbeatCount = Heartbeat.m_HeartbeatCount;
  Entry.m_Record.m_LagMs = Heartbeat.m_LagMs;
  Entry.m_LastReceivedAt = Now;
  m_LastAnyReceivedAt = Now;
}

Duration FleetView::failureTimeout() const {
  const auto Doublings = std::bit_width(m_Peers.size());
  return m_Options.m_BaseFailureTimeout +
         m_Options.m_FailureTimeoutPerDoubling * Doublings;
}

bool FleetView::isAlive(const Peer &Entry, TimePoint Now) const {
  return Now - Entry.m_LastReceivedAt < failureTimeout();
}

bool FleetView::hasAlivePeer(TimePoint Now) const {
  return std::any_of(m_Peers.begin(), m_Peers.end(), [&](const auto &Each) {
    return isAlive(Each.second, Now);
  });
}

bool FleetView::isAdvertised(const Peer &Entry, TimePoint Now) const {
  if (Entry.m_Record.m_Phase != VmPhase::Serving)
    return false;
  const bool IsIsolated =
      !hasAlivePeer(Now) &&
      Now - m_LastAnyReceivedAt < m_Options.m_IsolationTimeout;
  return isAlive(Entry, Now) ||
         (IsIsolated &&
          m_LastAnyReceivedAt - Entry.m_LastReceivedAt < failureTimeout());
}

std::vector<VmRecord> FleetView::serving(TimePoint Now) const {
  std::vector<VmRecord> Records;
  if (m_Self.m_Phase == VmPhase::Serving)
    Records.push_back(m_Self);
  for (const auto &[Name, Each] : m_Peers)
    if (isAdvertised(Each, Now))
      Records.push_back(Each.m_Record);
  return Records;
}

std::vector<VmName> FleetView::quotaMembers(TimePoint Now) const {
  std::vector<VmName> Names{m_Self.m_Vm};
  for (const auto &[Name, Each] : m_Peers)
    if (Now - Each.m_LastReceivedAt < m_Options.m_PeerRetention)
      Names.push_back(Name);
  return Names;
}

std::vector<VmRecord> FleetView::quotaRecords(TimePoint Now) const {
  std::vector<VmRecord> Records{m_Self};
  for (const auto &[Name, Each] : m_Peers)
    if (Now - Each.m_LastReceivedAt < m_Options.m_PeerRetention)
      Records.push_back(Each.m_Record);
  return Records;
}

double FleetView::capacityShare(TimePoint Now) const {
  double Sum = m_Self.m_CapacityPermille;
  double Count = 1;
  bool IsKnown = m_Self.m_CapacityPermille > 0;
  for (const auto &[Name, Each] : m_Peers) {
    if (Now - Each.m_LastReceivedAt >= m_Options.m_PeerRetention)
      continue;
    Sum += Each.m_Record.m_CapacityPermille;
    ++Count;
    IsKnown = IsKnown && Each.m_Record.m_CapacityPermille > 0;
  }
  return IsKnown ? m_Self.m_CapacityPermille / Sum : 1 / Count;
}

std::vector<VmName> FleetView::storeReaders(TimePoint Now) const {
  std::vector<VmName> Reaching;
  std::vector<VmName> All{m_Self.m_Vm};
  if (m_Self.m_CanReachStore)
    Reaching.push_back(m_Self.m_Vm);
  for (const auto &[Name, Each] : m_Peers) {
    if (!isAlive(Each, Now))
      continue;
    All.push_back(Name);
    if (Each.m_Record.m_CanReachStore)
      Reaching.push_back(Name);
  }
  return Reaching.empty() ? All : Reaching;
}

bool FleetView::isStoreReachedByPeer(TimePoint Now) const {
  return std::any_of(m_Peers.begin(), m_Peers.end(), [&](const auto &Entry) {
    return isAlive(Entry.second, Now) && Entry.second.m_Record.m_CanReachStore;
  });
}

std::vector<VmRecord> FleetView::alivePeers(TimePoint Now) const {
  std::vector<VmRecord> Records;
  for (const auto &[Name, Each] : m_Peers)
    if (isAlive(Each, Now))
      Records.push_back(Each.m_Record);
  return Records;
}

std::size_t FleetView::countAlivePeers(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(m_Peers.begin(), m_Peers.end(), [&](const auto &Each) {
        return isAlive(Each.second, Now);
      }));
}

std::vector<VmServingChange> FleetView::takeServingChanges(TimePoint Now) {
  std::vector<VmServingChange> Changed;
  for (auto &[Name, Each] : m_Peers) {
    const bool IsServing = isAdvertised(Each, Now);
    if (std::exchange(Each.m_WasServing, IsServing) != IsServing)
      Changed.push_back({.m_Vm = Name, .m_IsServing = IsServing});
  }
  return Changed;
}

} // namespace figturn
