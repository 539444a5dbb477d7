#include "coordination/FleetView.h"

#include <algorithm>
#include <utility>

namespace figturn {

FleetView::FleetView(VmRecord Self, std::vector<std::string> Seeds,
                     FleetViewOptions Options, std::uint32_t Seed)
    : m_Self(std::move(Self)), m_Options(Options), m_Random(Seed) {
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

std::vector<std::string> FleetView::pickReceivers(TimePoint Now) {
  std::vector<std::string> Known;
  std::set<std::string> Unheard = m_Seeds;
  for (const auto &[Name, Each] : m_Peers) {
    Unheard.erase(Each.m_Record.m_GossipAddress);
    if (isAlive(Each, Now))
      Known.push_back(Each.m_Record.m_GossipAddress);
    else if (Now - Each.m_HeardAt < m_Options.m_ForgetAfter)
      Unheard.insert(Each.m_Record.m_GossipAddress);
  }
  std::shuffle(Known.begin(), Known.end(), m_Random);
  Known.resize(std::min(Known.size(), m_Options.m_Fanout));
  // One address from which nothing is heard each round, so that parts of the
  // fleet that lost one another find together again.
  if (!Unheard.empty()) {
    auto Pick = Unheard.begin();
    std::advance(Pick, static_cast<std::ptrdiff_t>(m_Random() % Unheard.size()));
    Known.push_back(*Pick);
  }
  return Known;
}

GossipMessage FleetView::beginRound(TimePoint Now) {
  ++m_Self.m_Beat;
  GossipMessage Message{.m_To = pickReceivers(Now), .m_Records = {m_Self}};
  std::vector<const VmRecord *> Others;
  for (const auto &[Name, Each] : m_Peers)
    if (isAlive(Each, Now))
      Others.push_back(&Each.m_Record);
  std::shuffle(Others.begin(), Others.end(), m_Random);
  const std::size_t Room = m_Options.m_RecordsPerMessage - 1;
  for (std::size_t I = 0; I < std::min(Room, Others.size()); ++I)
    Message.m_Records.push_back(*Others[I]);
  return Message;
}

GossipMessage FleetView::announce(TimePoint Now) {
  ++m_Self.m_Beat;
  GossipMessage Message{.m_Records = {m_Self}};
  for (const VmRecord &Each : alivePeers(Now))
    Message.m_To.push_back(Each.m_GossipAddress);
  return Message;
}

std::vector<VmName> FleetView::receive(const std::vector<VmRecord> &Records,
                                       TimePoint Now) {
  std::vector<VmName> Found;
  for (const VmRecord &Record : Records) {
    if (Record.m_Vm == m_Self.m_Vm)
      continue;
    const auto Known = m_Peers.find(Record.m_Vm);
    const bool IsNew = Known == m_Peers.end();
    const bool IsRestart =
        !IsNew && Record.m_StartedMs > Known->second.m_Record.m_StartedMs;
    const bool IsLater =
        !IsNew && Record.m_StartedMs == Known->second.m_Record.m_StartedMs &&
        Record.m_Beat > Known->second.m_Record.m_Beat;
    if (!IsNew && !IsRestart && !IsLater)
      continue;
    Peer &Entry = m_Peers[Record.m_Vm];
    Entry.m_Record = Record;
    Entry.m_HeardAt = Now;
    m_HeardAnyAt = Now;
    if (IsNew || IsRestart)
      Found.push_back(Record.m_Vm);
  }
  return Found;
}

bool FleetView::isAlive(const Peer &Of, TimePoint Now) const {
  return Now - Of.m_HeardAt < m_Options.m_LostAfter;
}

bool FleetView::hearsAnybody(TimePoint Now) const {
  return std::any_of(m_Peers.begin(), m_Peers.end(), [&](const auto &Each) {
    return isAlive(Each.second, Now);
  });
}

std::vector<VmRecord> FleetView::serving(TimePoint Now) const {
  std::vector<VmRecord> Out;
  if (m_Self.m_Phase == VmPhase::Serving)
    Out.push_back(m_Self);
  const bool IsCutOff =
      !hearsAnybody(Now) && Now - m_HeardAnyAt < m_Options.m_AloneAfter;
  for (const auto &[Name, Each] : m_Peers) {
    const bool IsUsable = isAlive(Each, Now) ||
                          (IsCutOff && m_HeardAnyAt - Each.m_HeardAt <
                                           m_Options.m_LostAfter);
    if (IsUsable && Each.m_Record.m_Phase == VmPhase::Serving)
      Out.push_back(Each.m_Record);
  }
  return Out;
}

std::vector<VmName> FleetView::sharers(TimePoint Now) const {
  std::vector<VmName> Out{m_Self.m_Vm};
  for (const auto &[Name, Each] : m_Peers)
    if (Now - Each.m_HeardAt < m_Options.m_ForgetAfter)
      Out.push_back(Name);
  return Out;
}

std::vector<VmRecord> FleetView::alivePeers(TimePoint Now) const {
  std::vector<VmRecord> Out;
  for (const auto &[Name, Each] : m_Peers)
    if (isAlive(Each, Now))
      Out.push_back(Each.m_Record);
  return Out;
}

std::vector<VmName> FleetView::takeChanges(TimePoint Now) {
  std::vector<VmName> Changed;
  for (auto &[Name, Each] : m_Peers) {
    const bool Alive = isAlive(Each, Now);
    if (std::exchange(Each.m_WasAlive, Alive) != Alive)
      Changed.push_back(Name);
  }
  return Changed;
}

} // namespace figturn
