#include "coordination/ConfigSync.h"

#include "state/Event.h"
#include "state/RendezvousHash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace figturn {

namespace {

// Key of the watcher election, to keep it independent of other uses of
// rendezvous hashing.
constexpr std::uint64_t WatcherKey = 0x636f6e666967;

std::vector<VmName> electWatchers(const std::vector<VmName> &Members,
                                  std::size_t Count) {
  std::vector<VmName> Order = rendezvousOrder(Members, WatcherKey);
  Order.resize(std::min(Order.size(), Count));
  return Order;
}

} // namespace

ConfigSync::ConfigSync(ConfigSyncOptions Options)
    : m_Options(std::move(Options)) {}

ConfigActions ConfigSync::start(TimePoint Now) {
  m_StartedAt = Now;
  return decide(Now);
}

ConfigActions ConfigSync::onTick(TimePoint Now) { return decide(Now); }

ConfigActions ConfigSync::onMembers(const std::vector<ConfigMember> &Members,
                                    TimePoint Now) {
  m_HasMembers = true;
  std::set<VmName> Current;
  for (const ConfigMember &Member : Members) {
    if (Member.m_Name == m_Options.m_Self)
      continue;
    Current.insert(Member.m_Name);
    m_Peers[Member.m_Name].m_DataCentre = Member.m_DataCentre;
  }
  std::erase_if(m_Peers, [&](const auto &Entry) {
    return !Current.contains(Entry.first);
  });
  updateWatchers(Members);
  return decide(Now);
}

ConfigActions ConfigSync::onPeerVersion(const VmName &Name,
                                        ConfigVersion Version, TimePoint Now) {
  if (Name == m_Options.m_Self)
    return decide(Now);
  Peer &Source = m_Peers[Name];
  Source.m_Version = Version;
  Source.m_LastReceivedAt = Now;
  return decide(Now);
}

ConfigActions ConfigSync::onPlatformRead(std::optional<ConfigValue> Value,
                                         TimePoint Now) {
  m_Read.m_IsPending = false;
  m_HasPlatformAnswer = true;
  setPlatformReachable(true);
  considerValue(std::move(Value), "platform-read");
  return decide(Now);
}

ConfigActions ConfigSync::onPlatformReadFailed(TimePoint Now) {
  m_Read.m_IsPending = false;
  m_HasPlatformAnswer = true;
  setPlatformReachable(false);
  return decide(Now);
}

ConfigActions ConfigSync::onWatchAnswered(std::optional<ConfigValue> Value,
                                          TimePoint Now) {
  m_Watch.m_IsPending = false;
  considerValue(std::move(Value), "platform-watch");
  return decide(Now);
}

ConfigActions ConfigSync::onWatchFailed(TimePoint Now) {
  m_Watch.m_IsPending = false;
  m_Watch.m_NotBefore = Now + m_Options.m_RetryInterval;
  return decide(Now);
}

ConfigActions ConfigSync::onPeerAnswered(const VmName &Name,
                                         std::optional<ConfigValue> Value,
                                         TimePoint Now) {
  if (const auto Found = m_Peers.find(Name); Found != m_Peers.end()) {
    Peer &Source = Found->second;
    Source.m_Pull.m_IsPending = false;
    Source.m_HasAnswered = true;
    // The peer advertised a version that it did not return; other peers are
    // asked first.
    if (!Value && Source.m_Version > latestKnown())
      Source.m_Pull.m_NotBefore = Now + m_Options.m_RetryInterval;
  }
  considerValue(std::move(Value), "peer");
  return decide(Now);
}

ConfigActions ConfigSync::onPeerFailed(const VmName &Name, TimePoint Now) {
  if (const auto Found = m_Peers.find(Name); Found != m_Peers.end()) {
    Peer &Source = Found->second;
    Source.m_Pull.m_IsPending = false;
    Source.m_HasAnswered = true;
    Source.m_Pull.m_NotBefore = Now + m_Options.m_RetryInterval;
  }
  return decide(Now);
}

ConfigActions ConfigSync::onPushed(ConfigValue Value, TimePoint Now) {
  considerValue(std::move(Value), "push");
  return decide(Now);
}

void ConfigSync::considerValue(std::optional<ConfigValue> Value,
                               std::string_view Source) {
  if (!Value)
    return;
  if (!Value->m_IsUsable) {
    if (Value->m_Version <= m_LatestUnusable)
      return;
    m_LatestUnusable = Value->m_Version;
    logEvent(Event::ConfigUnusable, "version={} source={}", Value->m_Version,
             Source);
    return;
  }
  const ConfigVersion Best =
      std::max(m_ValueInEffect.m_Version, m_Candidate.m_Version);
  if (Value->m_Version < Best)
    logEvent(Event::ConfigStaleIgnored, "version={} best={} source={}",
             Value->m_Version, Best, Source);
  if (Value->m_Version <= Best)
    return;
  m_Candidate = std::move(*Value);
  m_CandidateSource = Source;
}

void ConfigSync::setPlatformReachable(bool IsReachable) {
  if (std::exchange(m_IsPlatformReachable, IsReachable) == IsReachable)
    return;
  if (IsReachable)
    logEvent(Event::PlatformBack, "object=config");
  else
    logEvent(Event::PlatformLost, "object=config version={}",
             m_ValueInEffect.m_Version);
}

void ConfigSync::expire(Request &Pending, Duration Timeout, TimePoint Now) {
  if (Pending.m_IsPending && Now - Pending.m_Since >= Timeout)
    Pending.m_IsPending = false;
}

void ConfigSync::updateWatchers(const std::vector<ConfigMember> &Members) {
  std::map<DataCentreName, std::vector<VmName>> ByDataCentre;
  for (const ConfigMember &Member : Members)
    if (Member.m_Name != m_Options.m_Self)
      ByDataCentre[Member.m_DataCentre].push_back(Member.m_Name);
  ByDataCentre[m_Options.m_DataCentre].push_back(m_Options.m_Self);
  for (auto &[Name, Known] : m_Peers)
    Known.m_IsWatcher = false;
  bool IsWatcher = false;
  for (const auto &[DataCentre, Names] : ByDataCentre) {
    for (const VmName &Name :
         electWatchers(Names, m_Options.m_WatchersPerDataCentre)) {
      if (Name == m_Options.m_Self)
        IsWatcher = true;
      else
        m_Peers[Name].m_IsWatcher = true;
    }
  }
  if (std::exchange(m_IsWatcher, IsWatcher) != IsWatcher)
    logEvent(Event::ConfigWatcher, "watcher={}", IsWatcher);
}

bool ConfigSync::isFresh(const Peer &Known, TimePoint Now) const {
  return Known.m_LastReceivedAt &&
         Now - *Known.m_LastReceivedAt < m_Options.m_PeerLifetime;
}

bool ConfigSync::hasFreshWatcher(TimePoint Now) const {
  return std::any_of(m_Peers.begin(), m_Peers.end(), [&](const auto &Entry) {
    const Peer &Known = Entry.second;
    return Known.m_IsWatcher && Known.m_DataCentre == m_Options.m_DataCentre &&
           isFresh(Known, Now);
  });
}

bool ConfigSync::isStartComplete(TimePoint Now) const {
  if (Now - m_StartedAt >= m_Options.m_StartTimeout)
    return true;
  const bool PeersAnswered =
      std::all_of(m_Peers.begin(), m_Peers.end(), [](const auto &Entry) {
        return !Entry.second.m_IsWatcher || Entry.second.m_HasAnswered;
      });
  return m_HasPlatformAnswer && m_HasMembers && PeersAnswered;
}

bool ConfigSync::isReadDue(TimePoint Now) const {
  if (m_Read.m_IsPending)
    return false;
  if (m_Read.m_Since == TimePoint())
    return true;
  const bool IsFrequent = m_IsWatcher || versionInEffect() == ConfigVersion();
  if (!IsFrequent && hasFreshWatcher(Now))
    return false;
  return Now - m_Read.m_Since >= (IsFrequent ? m_Options.m_RecheckInterval
                                             : m_Options.m_FallbackInterval);
}

bool ConfigSync::isPullPending() const {
  return std::any_of(m_Peers.begin(), m_Peers.end(), [](const auto &Entry) {
    return Entry.second.m_Pull.m_IsPending;
  });
}

ConfigVersion ConfigSync::latestKnown() const {
  return std::max(
      {m_ValueInEffect.m_Version, m_Candidate.m_Version, m_LatestUnusable});
}

ConfigActions ConfigSync::decide(TimePoint Now) {
  expire(m_Read, m_Options.m_AnswerTimeout, Now);
  expire(m_Watch, m_Options.m_WatchTimeout + m_Options.m_AnswerTimeout, Now);
  for (auto &[Name, Known] : m_Peers)
    expire(Known.m_Pull, m_Options.m_AnswerTimeout, Now);
  ConfigActions Actions;
  decideInstall(Now, Actions);
  decideRead(Now, Actions);
  decideWatch(Now, Actions);
  if (versionInEffect() == ConfigVersion())
    decideStartPulls(Now, Actions);
  else
    decidePull(Now, Actions);
  return Actions;
}

void ConfigSync::decideInstall(TimePoint Now, ConfigActions &Actions) {
  if (m_Candidate.m_Version <= m_ValueInEffect.m_Version)
    return;
  if (versionInEffect() == ConfigVersion() && !isStartComplete(Now))
    return;
  logEvent(Event::ConfigChosen, "version={} before={} source={}",
           m_Candidate.m_Version, m_ValueInEffect.m_Version, m_CandidateSource);
  m_ValueInEffect = m_Candidate;
  Actions.push_back(
      {.m_Kind = ConfigAction::Kind::Install, .m_Value = m_ValueInEffect});
}

void ConfigSync::decideRead(TimePoint Now, ConfigActions &Actions) {
  if (!isReadDue(Now))
    return;
  m_Read = {.m_IsPending = true, .m_Since = Now};
  Actions.push_back({.m_Kind = ConfigAction::Kind::ReadPlatform});
}

void ConfigSync::decideWatch(TimePoint Now, ConfigActions &Actions) {
  const bool ShouldWatch = m_IsWatcher && versionInEffect() != ConfigVersion();
  if (!ShouldWatch || m_Watch.m_IsPending || Now < m_Watch.m_NotBefore)
    return;
  m_Watch = {.m_IsPending = true, .m_Since = Now};
  Actions.push_back(
      {.m_Kind = ConfigAction::Kind::StartWatch, .m_After = latestKnown()});
}

// Watchers know the latest versions, so a starting VM asks all of them.
void ConfigSync::decideStartPulls(TimePoint Now, ConfigActions &Actions) {
  for (auto &[Name, Known] : m_Peers) {
    const bool MayKnowLater = (Known.m_IsWatcher && !Known.m_HasAnswered) ||
                              Known.m_Version > latestKnown();
    if (MayKnowLater && !Known.m_Pull.m_IsPending &&
        Now >= Known.m_Pull.m_NotBefore)
      pullFrom(Name, Known, Now, Actions);
  }
}

// Only one pull is pending at a time, from a peer that advertises the highest
// version. Ties are broken differently on each VM, so that they do not all ask
// the same peer.
void ConfigSync::decidePull(TimePoint Now, ConfigActions &Actions) {
  if (isPullPending())
    return;
  std::map<VmName, Peer>::iterator Best = m_Peers.end();
  std::pair<ConfigVersion, std::uint64_t> BestRank;
  const std::uint64_t SelfHash = stableHash(m_Options.m_Self.value());
  for (auto It = m_Peers.begin(); It != m_Peers.end(); ++It) {
    const Peer &Known = It->second;
    const bool IsUseful = isFresh(Known, Now) &&
                          Known.m_Version > latestKnown() &&
                          Now >= Known.m_Pull.m_NotBefore;
    if (!IsUseful)
      continue;
    const std::pair Rank(Known.m_Version,
                         stableHash(It->first.value(), SelfHash));
    if (Best != m_Peers.end() && Rank <= BestRank)
      continue;
    Best = It;
    BestRank = Rank;
  }
  if (Best != m_Peers.end())
    pullFrom(Best->first, Best->second, Now, Actions);
}

void ConfigSync::pullFrom(const VmName &Name, Peer &Source, TimePoint Now,
                          ConfigActions &Actions) {
  Source.m_Pull = {.m_IsPending = true, .m_Since = Now};
  Actions.push_back({.m_Kind = ConfigAction::Kind::PullFrom,
                     .m_After = latestKnown(),
                     .m_Peer = Name});
}

} // namespace figturn
