#include "node/ConfigUpdater.h"

#include "protocol/ConfigObject.h"
#include "protocol/IndexCodec.h"
#include "state/Event.h"
#include "state/RendezvousHash.h"

#include <algorithm>
#include <utility>

namespace figturn {

namespace {

constexpr milliseconds TickInterval{500};
constexpr milliseconds WatchWait{10000};
constexpr milliseconds PullTimeout{2000};
/** Ticks between reads of the platform by a watcher, in case its watch has gone
 *  silent. */
constexpr std::uint64_t TicksPerWatcherRead = 4;
/** Ticks between reads by a VM that isn't a watcher; it normally receives
 *  changes from its peers sooner. */
constexpr std::uint64_t TicksPerOtherRead = 20;
/** Number of members of a data centre that watch the platform. */
constexpr std::size_t WatchersPerDataCentre = 2;

} // namespace

ConfigUpdater::ConfigUpdater(ConfigUpdaterContext Context)
    : m_Context(std::move(Context)) {
  connect(&m_Timer, &QTimer::timeout, this, [this] { tick(); });
}

void ConfigUpdater::start() {
  m_Timer.start(TickInterval);
  readConfig();
}

bool ConfigUpdater::isWatcher() const {
  const MemberListPtr List = m_Context.m_Membership.members();
  std::vector<VmName> LocalVms;
  for (const Member &Each : List->m_Members)
    if (Each.m_DataCentre == m_Context.m_Self.m_DataCentre)
      LocalVms.push_back(Each.m_Vm);
  if (LocalVms.size() <= WatchersPerDataCentre)
    return true;
  const auto Order = rendezvousOrder(
      LocalVms, stableHash(m_Context.m_Self.m_DataCentre.value()));
  const auto End =
      Order.begin() + static_cast<std::ptrdiff_t>(WatchersPerDataCentre);
  return std::find(Order.begin(), End, m_Context.m_Self.m_Vm) != End;
}

void ConfigUpdater::tick() {
  ++m_TickCount;
  const bool HasConfig = m_Context.m_Routing.configuration() != nullptr;
  const bool IsWatching = isWatcher();
  const std::uint64_t Period =
      IsWatching ? TicksPerWatcherRead : TicksPerOtherRead;
  if (!HasConfig || m_TickCount % Period == 0) {
    readConfig();
    if (const ConfigurationPtr Config = m_Context.m_Routing.configuration())
      for (const auto &[Service, Settings] : Config->m_Services)
        readIndex(Service);
  }
  if (IsWatching && HasConfig && !m_Watching)
    watchConfig();
}

void ConfigUpdater::readConfig() {
  const std::string Path(ConfigObjectPath);
  if (!m_Reading.insert(Path).second)
    return;
  m_Context.m_Store.get(Path, [this, Path](ObjectResult Result) {
    m_Reading.erase(Path);
    if (!Result.m_Error)
      installConfig({Path, Result.m_Version, std::move(Result.m_Body)});
  });
}

void ConfigUpdater::watchConfig() {
  m_Watching = true;
  const std::string Path(ConfigObjectPath);
  const ConfigurationPtr Config = m_Context.m_Routing.configuration();
  m_Context.m_Store.watch(
      Path, Config->m_Version.value(), WatchWait,
      [this, Path](ObjectResult Result) {
        m_Watching = false;
        if (!Result.m_Error && !Result.m_Body.empty())
          installConfig({Path, Result.m_Version, std::move(Result.m_Body)});
      });
}

void ConfigUpdater::refreshIndex(const ServiceName &Service) {
  readIndex(Service);
}

void ConfigUpdater::readIndex(const ServiceName &Service) {
  const std::string Path = indexPath(Service);
  if (!m_Reading.insert(Path).second)
    return;
  m_Context.m_Store.get(Path, [this, Path, Service](ObjectResult Result) {
    m_Reading.erase(Path);
    const bool IsFirst = m_IndexesAsked.insert(Service).second;
    if (!Result.m_Error)
      installIndex(Service, {Path, Result.m_Version, std::move(Result.m_Body)});
    if (IsFirst)
      m_Context.m_OnChanged();
  });
}

bool ConfigUpdater::hasReadIndexes() const {
  const ConfigurationPtr Config = m_Context.m_Routing.configuration();
  return Config &&
         std::all_of(Config->m_Services.begin(), Config->m_Services.end(),
                     [this](const auto &Each) {
                       return m_IndexesAsked.contains(Each.first) ||
                              m_Context.m_Routing.snapshot(Each.first);
                     });
}

bool ConfigUpdater::install(const PeerDocument &Document) {
  constexpr std::string_view IndexPrefix = "index/";
  if (Document.m_Path == ConfigObjectPath)
    return installConfig(Document);
  if (Document.m_Path.starts_with(IndexPrefix))
    return installIndex(ServiceName(Document.m_Path.substr(IndexPrefix.size())),
                        Document);
  return false;
}

bool ConfigUpdater::installConfig(const PeerDocument &Document) {
  const ConfigurationPtr Held = m_Context.m_Routing.configuration();
  if (Held && ConfigVersion(Document.m_Version) <= Held->m_Version)
    return true;
  ConfigResult Decoded =
      decodeAcceptedConfig(Document.m_Body, ConfigVersion(Document.m_Version));
  if (!Decoded.m_Problems.empty()) {
    logEvent(Event::ConfigRejected, "version={} problems={}",
             Document.m_Version, Decoded.m_Problems.size());
    return false;
  }
  const auto Config =
      std::make_shared<const Configuration>(std::move(Decoded.m_Configuration));
  if (!m_Context.m_Routing.install(Config))
    return true;
  m_Documents[Document.m_Path] = Document;
  logEvent(Event::ConfigInForce, "version={} change={}", Config->m_Version,
           Config->m_ChangeId);
  for (const auto &[Service, Settings] : Config->m_Services)
    if (!m_Context.m_Routing.snapshot(Service))
      readIndex(Service);
  m_Context.m_OnChanged();
  return true;
}

bool ConfigUpdater::installIndex(const ServiceName &Service,
                                 const PeerDocument &Document) {
  IndexResult Decoded = decodeIndex(Service, Document.m_Body);
  if (Decoded.m_Error) {
    logEvent(Event::IndexRejected, "service={} reason=\"{}\"", Service,
             Decoded.m_Message);
    return false;
  }
  const auto Snapshot =
      std::make_shared<const IndexSnapshot>(std::move(Decoded.m_Snapshot));
  if (!m_Context.m_Routing.install(Snapshot))
    return true;
  m_Documents[Document.m_Path] = Document;
  logEvent(Event::IndexInForce, "service={} index={} shards={}", Service,
           Snapshot->m_Version, Snapshot->m_Shards.size());
  m_Context.m_OnChanged();
  return true;
}

void ConfigUpdater::onPeerHeartbeat(const PeerHeartbeat &Message) {
  const ConfigurationPtr Config = m_Context.m_Routing.configuration();
  const bool ConfigBehind =
      !Config || Message.m_ConfigVersion > Config->m_Version;
  const bool IndexDiffers =
      Message.m_IndexDigest != m_Context.m_Routing.indexDigest();
  if ((ConfigBehind && Message.m_ConfigVersion.value() > 0) || IndexDiffers)
    pullFromPeer(Message.m_Sender.m_PeerAddress);
}

std::vector<std::string> ConfigUpdater::documentPaths() const {
  std::vector<std::string> Paths{std::string(ConfigObjectPath)};
  if (const ConfigurationPtr Config = m_Context.m_Routing.configuration())
    for (const auto &[Service, Settings] : Config->m_Services)
      Paths.push_back(indexPath(Service));
  return Paths;
}

void ConfigUpdater::pullFromPeer(const std::string &Address) {
  if (std::exchange(m_Pulling, true))
    return;
  m_Context.m_Peers.pullDocuments(
      Address, documentPaths(), PullTimeout,
      [this](std::error_code, std::vector<PeerDocument> Documents) {
        m_Context.m_Post([this, Documents = std::move(Documents)] {
          m_Pulling = false;
          for (const PeerDocument &Document : Documents)
            install(Document);
        });
      });
}

std::vector<PeerDocument>
ConfigUpdater::heldDocuments(const std::vector<std::string> &Paths) const {
  std::vector<PeerDocument> Held;
  for (const std::string &Path : Paths) {
    const auto Found = m_Documents.find(Path);
    if (Found != m_Documents.end())
      Held.push_back(Found->second);
  }
  return Held;
}

} // namespace figturn
