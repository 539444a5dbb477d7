#include "node/RoutedNode.h"

#include "coordination/WatcherElection.h"
#include "protocol/JsonConvert.h"
#include "protocol/SettingsCodec.h"
#include "state/Event.h"

#include <QJsonArray>

#include <algorithm>
#include <ctime>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <utility>

namespace figturn {

namespace {

/** Housekeeping: held targets, drains, shares, pauses of the process. */
constexpr milliseconds TickInterval{200};

/** Ticks over which the loop's lag is averaged: two seconds, as long as
 *  callers keep the directory's answer. */
constexpr int LagSamples = 10;

/** A tick this late shows that the process was paused or starved. */
constexpr milliseconds PauseNotice{1000};

/** A VM that watches the platform itself asks another one for a copy once it
 *  is behind for so long: its own watch may have gone silent. */
constexpr milliseconds CopyPatience{700};

/** Between copies, so that a storm of changes costs few of them. */
constexpr milliseconds CopyInterval{300};
constexpr milliseconds CopyTimeout{800};

/** A VM that hears nobody asks the platform for the others this often. */
constexpr milliseconds VmRefreshInterval{3000};

/** Gossip by the seeds has so long to find others. */
constexpr milliseconds FirstVmRefresh{1000};

/** During a planned stop callers hold an address for the directory's lifetime
 *  at least; the VM serves on as before for half of the time until it is
 *  killed, and finishes what it has in the other half. */
constexpr double LingerPart = 0.5;

constexpr unsigned StatusNotFound = 404;
constexpr const char *StatePath = "/v1/state";
constexpr const char *StatusPath = "/v1/status";
constexpr const char *MetricsPath = "/metrics";

std::int64_t unixMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

VmRecord makeSelf(const RoutedSettings &Settings) {
  return {.m_Vm = Settings.m_Vm,
          .m_StartedMs = unixMillis(),
          .m_DataCentre = Settings.m_DataCentre,
          .m_CallerAddress = Settings.m_CallerAddress,
          .m_GossipAddress = Settings.m_GossipAddress,
          .m_StateAddress = Settings.m_ControlAddress,
          .m_CapacityPermille = static_cast<std::uint32_t>(
              1000 * Settings.m_CpuShare * Settings.m_Cores)};
}

DrainOptions drainOptions(const RoutedSettings &Settings) {
  return {
      .m_LingerTime = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Settings.m_GraceSeconds * LingerPart)),
      .m_MaxLeaveTime = Duration(0)};
}

template <typename Range> std::string namesOf(const Range &Targets) {
  std::vector<std::string_view> Names;
  Names.reserve(Targets.size());
  for (const TargetPtr &Each : Targets)
    Names.push_back(Each->m_Entry.m_Instance.m_Name.value());
  return fmt::format("{}", fmt::join(Names, ","));
}

} // namespace

RoutedNode::RoutedNode(const RoutedSettings &Settings, PlatformBinding Platform,
                       WorkerPool &Worker, std::uint32_t Seed)
    : m_Settings(Settings), m_Platform(std::move(Platform)), m_Worker(Worker),
      m_Fleet(makeSelf(Settings), seedGossipAddresses(Settings), {}, Seed),
      m_World(Settings, m_Platform.m_Headers, m_Fleet, Seed),
      m_Door(m_World, [this] { return m_Platform.m_Link->isCurrent(); }),
      m_Gossip(m_Fleet, m_World.crashes()), m_DirectoryPolicy({}, Seed),
      m_Drain(drainOptions(Settings)) {
  QObject::connect(&m_Tick, &QTimer::timeout, &m_Tick, [this] { onTick(); });
}

RoutedNode::~RoutedNode() { m_Platform.m_Link->stop(); }

auto RoutedNode::makeServer(const std::string &Address, HttpHandler Handler)
    -> ServerPtr {
  const auto Where = parseSocketAddress(Address);
  return std::make_unique<HttpServer>(
      HttpServerOptions{.m_Address = Where->m_Host, .m_Port = Where->m_Port},
      m_Worker, std::move(Handler));
}

std::error_code RoutedNode::start() {
  m_StartedAt = Clock::now();
  m_LastTickAt = m_StartedAt;
  m_NextVmRefreshAt = m_StartedAt + FirstVmRefresh;
  m_Callers =
      makeServer(m_Settings.m_CallerAddress,
                 [this](const HttpExchangePtr &Each) { m_Door.handle(Each); });
  m_Readiness = makeServer(
      m_Settings.m_ReadinessAddress, [this](const HttpExchangePtr &Each) {
        Each->respond(m_Platform.m_Readiness(Each->request(), isReady()));
      });
  m_Directory = makeServer(m_Settings.m_DirectoryAddress,
                           [this](const HttpExchangePtr &Each) {
                             Each->respond(serveDirectory(Each->request()));
                           });
  m_Control = makeServer(m_Settings.m_ControlAddress,
                         [this](const HttpExchangePtr &Each) {
                           Each->respond(serveControl(Each->request()));
                         });
  std::vector<HttpServer *> Servers{m_Callers.get(), m_Readiness.get(),
                                    m_Directory.get(), m_Control.get()};
  if (!m_Settings.m_MetricsAddress.empty()) {
    m_Metrics = makeServer(m_Settings.m_MetricsAddress,
                           [this](const HttpExchangePtr &Each) {
                             Each->respond(serveControl(Each->request()));
                           });
    Servers.push_back(m_Metrics.get());
  }
  for (HttpServer *Each : Servers)
    if (const auto Error = Each->listen())
      return Error;
  if (const auto Error = m_Gossip.open(m_Settings.m_GossipAddress))
    return Error;
  m_Platform.m_Link->start(*this);
  m_Tick.start(TickInterval);
  logEvent(Event::NodeStarted, "vm={} boot={} callers={} peers={}",
           m_Settings.m_Vm, m_Fleet.self().m_StartedMs,
           m_Settings.m_CallerAddress, m_Settings.m_GossipAddress);
  return {};
}

void RoutedNode::reload(const RoutedSettings &Settings) {
  const bool KeepsAddresses =
      Settings.m_CallerAddress == m_Settings.m_CallerAddress &&
      Settings.m_StoreAddress == m_Settings.m_StoreAddress &&
      Settings.m_GossipAddress == m_Settings.m_GossipAddress;
  m_Settings = Settings;
  m_World.setSettings(Settings, Clock::now());
  for (const std::string &Seed : seedGossipAddresses(Settings))
    m_Fleet.addSeed(Seed);
  logEvent(Event::SettingsReloaded, "vm={} addresses_kept={}", m_Settings.m_Vm,
           KeepsAddresses);
}

bool RoutedNode::isReady() const {
  return m_World.config() && m_HasTargets && m_Drain.step() == DrainStep::None;
}

// What the platform says.

void RoutedNode::onConfig(RoutingConfigPtr Config) {
  const auto Before = m_World.config();
  const CallerLimits &Limits = Config->limits();
  m_Callers->setLimits({.m_HeaderLimit = Limits.m_HeaderBytes,
                        .m_BodyLimit = Limits.m_BodyBytes,
                        .m_RequestTimeout = Limits.m_HeaderTimeout,
                        .m_IdleTimeout = Limits.m_IdleTimeout});
  logEvent(Event::ConfigInForce, "version={} before={} routes={}",
           Config->version(), Before ? Before->version().value() : 0,
           Config->routes().size());
  m_World.setConfig(std::move(Config), Clock::now());
  onFleetChange();
}

void RoutedNode::onTargets(std::vector<TargetEntry> Entries) {
  m_HasTargets = true;
  applyChange(m_World.registry().replaceAll(std::move(Entries), Clock::now()),
              "listing");
  onFleetChange();
}

void RoutedNode::onTarget(TargetEntry Entry) {
  const std::string Name = Entry.m_Instance.m_Name.value();
  const bool IsDraining = Entry.m_Draining;
  const RegistryChange Change =
      m_World.registry().upsert(std::move(Entry), Clock::now());
  if (Change.m_Updated + Change.m_Added > 0)
    logEvent(Event::TargetEntryChanged, "target={} draining={}", Name,
             IsDraining);
  applyChange(Change, "changed");
}

void RoutedNode::onTargetRemoved(const TargetName &Name) {
  applyChange(m_World.registry().remove(Name, Clock::now()), "removed");
}

void RoutedNode::applyChange(const RegistryChange &Change,
                             std::string_view Cause) {
  for (const auto *Dropped : {&Change.m_Gone, &Change.m_Restarted})
    for (const TargetPtr &Each : *Dropped) {
      m_World.noteTargetDown(Each->m_Entry.m_Instance, "registry",
                             Clock::now());
      m_World.links().drop(Each);
    }
  if (Change.m_Gone.empty() && Change.m_Restarted.empty() &&
      Change.m_Missing.empty() && Change.m_Added == 0)
    return;
  logEvent(Event::RegistryChanged,
           "cause={} targets={} added={} gone={} missing={} restarted={}",
           Cause, m_World.registry().size(), Change.m_Added,
           namesOf(Change.m_Gone), namesOf(Change.m_Missing),
           namesOf(Change.m_Restarted));
}

void RoutedNode::onEvacuations(std::set<DataCentreName> Evacuated) {
  std::vector<std::string_view> Names;
  Names.reserve(Evacuated.size());
  for (const DataCentreName &Each : Evacuated)
    Names.push_back(Each.value());
  logEvent(Event::EvacuationsChanged, "data_centres={}", fmt::join(Names, ","));
  m_World.registry().setEvacuated(std::move(Evacuated));
}

void RoutedNode::onVmAddresses(const std::vector<std::string> &Addresses) {
  for (const std::string &Each : Addresses)
    m_Fleet.addSeed(Each);
}

// The fleet.

void RoutedNode::onFleetChange() {
  const TimePoint Now = Clock::now();
  const bool Ready = isReady();
  const VmPhase Phase = m_Drain.step() != DrainStep::None ? VmPhase::Stopping
                        : Ready                           ? VmPhase::Serving
                                                          : VmPhase::Starting;
  const std::uint64_t Version =
      m_World.config() ? m_World.config()->version().value() : 0;
  m_Fleet.setSelf(Phase, Version);
  if (Ready && !std::exchange(m_WasReady, true)) {
    logEvent(Event::NodeReady, "vm={} config={} epoch={}", m_Settings.m_Vm,
             Version, 0);
    m_Gossip.announce();
  }
  for (const VmChange &Each : m_Fleet.takeChanges(Now))
    logEvent(Event::VmLivenessChanged, "vm={} serves={} others_alive={}",
             Each.m_Vm, Each.m_Serves, m_Fleet.countAlive(Now));
  if (const std::size_t Sharers = m_Fleet.sharers(Now).size();
      std::exchange(m_SharerCount, Sharers) != Sharers)
    m_World.updateShares(Now);
  PlatformLink &Link = *m_Platform.m_Link;
  Link.setRole(storeRole(m_Settings.m_Vm, m_Fleet.storeReaders(Now)));
  m_Fleet.setState(Link.stateVersion(), Link.isReachable());
  copyStateFromPeer(Now);
  if (m_Fleet.countAlive(Now) == 0 && Now >= m_NextVmRefreshAt) {
    m_NextVmRefreshAt = Now + VmRefreshInterval;
    m_Platform.m_Link->refreshVms();
  }
}

void RoutedNode::copyStateFromPeer(TimePoint Now) {
  const auto Holder = m_Fleet.newsHolder();
  if (!Holder) {
    m_NewsSince.reset();
    return;
  }
  if (!m_NewsSince)
    m_NewsSince = Now;
  // A watcher hears of most changes by itself a moment later.
  PlatformLink &Link = *m_Platform.m_Link;
  const bool HearsByItself = Link.isWatching() && Link.isCurrent();
  if (m_Copies.isBusy() || Now < m_NextCopyAt ||
      (HearsByItself && Now - *m_NewsSince < CopyPatience))
    return;
  m_NextCopyAt = Now + CopyInterval;
  logEvent(Event::StateCopyAsked, "from={} config={} targets={} watching={}",
           Holder->m_Address, Holder->m_Version.m_Config,
           Holder->m_Version.m_Targets, Link.isWatching());
  m_Copies.fetch(Holder->m_Address,
                 fmt::format("{}?{}", StatePath, Link.stateQuery()),
                 CopyTimeout,
                 [this, Address = Holder->m_Address](const std::string *Body) {
                   if (!Body) {
                     m_Fleet.forgetHolder(Address);
                     return;
                   }
                   m_Platform.m_Link->importState(*Body);
                   onFleetChange();
                 });
}

// Time.

void RoutedNode::onTick() {
  const TimePoint Now = Clock::now();
  const Duration Late = Now - m_LastTickAt - TickInterval;
  m_LastTickAt = Now;
  m_LargestLag = std::max(m_LargestLag, Late);
  m_MeanLag += (std::max(Late, Duration(0)) - m_MeanLag) / LagSamples;
  m_Fleet.setLag(std::chrono::duration_cast<milliseconds>(m_MeanLag));
  if (Late > PauseNotice)
    logEvent(Event::NodePaused, "vm={} for_ms={}", m_Settings.m_Vm,
             std::chrono::duration_cast<milliseconds>(Late).count());
  logSink().flush();
  onFleetChange();
  applyChange(m_World.registry().expire(Now), "hold-ended");
  m_World.updateAdmission(Now);
  if (m_Drain.step() != DrainStep::None)
    advanceDrain();
}

void RoutedNode::stop(std::function<void()> OnStopped) {
  if (m_OnStopped)
    return;
  m_OnStopped = std::move(OnStopped);
  logEvent(Event::NodeDraining, "vm={}", m_Settings.m_Vm);
  m_Drain.begin(Clock::now());
  onFleetChange();
  m_Gossip.announce();
  m_Callers->closeAfterAnswers();
}

void RoutedNode::advanceDrain() {
  const DrainStep Before = m_Drain.step();
  const DrainStep Step = m_Drain.advance(
      {.m_CallerRequests = m_Callers->pendingRequests(), .m_Removed = true},
      Clock::now());
  if (Step == Before)
    return;
  if (Step == DrainStep::Finishing) {
    m_Callers->stopListening();
    m_Callers->closeIdle();
  }
  if (Step == DrainStep::Done) {
    m_Tick.stop();
    logEvent(Event::NodeStopped, "vm={}", m_Settings.m_Vm);
    logSink().flush();
    m_OnStopped();
  }
}

// The VM's own addresses.

HttpResponse RoutedNode::serveDirectory(const HttpRequest &Request) {
  return m_Platform.m_Directory(
      Request, m_DirectoryPolicy.choose(m_Fleet.serving(Clock::now())));
}

HttpResponse RoutedNode::serveControl(const HttpRequest &Request) {
  if (Request.m_Path == StatePath)
    return {.m_Body = m_Platform.m_Link->exportState(Request.m_Query)};
  if (Request.m_Path == StatusPath)
    return {.m_Body = statusText()};
  if (Request.m_Path == MetricsPath)
    return {.m_Body = metricsText(), .m_ContentType = "text/plain"};
  return {.m_Status = StatusNotFound,
          .m_Body = R"({"reason":"bad-request","message":"There are )"
                    R"(/v1/status, /v1/state and /metrics."})"};
}

std::string RoutedNode::statusText() const {
  const TimePoint Now = Clock::now();
  QJsonArray Vms;
  for (const VmRecord &Vm : m_Fleet.alivePeers(Now))
    Vms.append(QJsonObject{{"vm", toQt(Vm.m_Vm.value())},
                           {"phase", static_cast<int>(Vm.m_Phase)},
                           {"configVersion", toJson(Vm.m_ConfigVersion)}});
  QJsonArray Targets;
  for (const auto &[Name, Each] : m_World.registry().all())
    Targets.append(QJsonObject{
        {"target", toQt(Name.value())},
        {"service", toQt(Each->m_Entry.m_Service.value())},
        {"dataCentre", toQt(Each->m_Entry.m_DataCentre.value())},
        {"draining", Each->m_Entry.m_Draining},
        {"missing", Each->m_MissingSince.has_value()},
        {"cold", Each->isCold(Now)},
        {"outstanding", static_cast<int>(Each->m_Load.outstanding())},
        {"slowness", Each->m_Load.slowness(Now)},
        {"failureShare", Each->m_Load.failureShare(Now)}});
  return toCompactJson(
      {{"vm", toQt(m_Settings.m_Vm.value())},
       {"ready", isReady()},
       {"configVersion", toJson(m_Fleet.self().m_ConfigVersion)},
       {"followsPlatform", m_Platform.m_Link->isCurrent()},
       {"vms", Vms},
       {"targets", Targets}});
}

std::string RoutedNode::metricsText() const {
  const TimePoint Now = Clock::now();
  const PlatformCounters &Calls = m_Platform.m_Link->counters();
  std::string Out = m_World.metrics().text();
  const auto Add = [&Out](std::string_view Name, auto Value) {
    Out += fmt::format("figturn_{} {}\n", Name, Value);
  };
  Add("config_version", m_Fleet.self().m_ConfigVersion);
  Add("follows_platform", m_Platform.m_Link->isCurrent() ? 1 : 0);
  Add("platform_calls_total{kind=\"read\"}", Calls.m_Reads);
  Add("platform_calls_total{kind=\"watch\"}", Calls.m_Watches);
  Add("platform_calls_total{kind=\"write\"}", Calls.m_Writes);
  Add("platform_failures_total", Calls.m_Failures);
  Add("vms_alive", m_Fleet.countAlive(Now) + 1);
  Add("targets", m_World.registry().size());
  Add("target_connections", m_World.links().connections());
  Add("target_connections_opened_total", m_World.links().opened());
  Add("calls_in_flight", m_World.links().callsInFlight());
  Add("caller_connections", m_Callers->connections());
  Add("caller_requests_pending", m_Callers->pendingRequests());
  m_World.admission().visit(
      [&Add](const ServiceName &Name, const AdmissionControl &Control) {
        const auto Labels = fmt::format("{{services=\"{}\"}}", Name);
        Add("admission_limit" + Labels, Control.limit());
        Add("admission_running" + Labels, Control.running());
        Add("admission_waiting" + Labels, Control.waiting());
      });
  Add("loop_lag_max_seconds",
      std::chrono::duration<double>(m_LargestLag).count());
  return Out;
}

} // namespace figturn
