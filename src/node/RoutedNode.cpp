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

/** Interval of periodic work: expiry of missing targets, drain progress,
 *  shares of common limits, detection of process pauses. */
constexpr milliseconds TickInterval{200};

/** Ticks over which the event loop's lag is averaged: two seconds, the default
 *  time for which callers cache the directory's reply. */
constexpr int LagSampleCount = 10;

/** A tick delayed by more than this means that the process was paused or
 *  starved of CPU. */
constexpr milliseconds PauseThreshold{1000};

/** Interval at which a VM without live peers reads the list of VMs from the
 *  platform. */
constexpr milliseconds VmRefreshInterval{3000};

/** Time for gossip to find peers through the seeds before the first read of
 *  the list of VMs. */
constexpr milliseconds InitialVmRefreshDelay{1000};

/** Fraction of the grace period of a planned stop in which the VM still accepts
 *  requests, because callers cache its address at least for the lifetime of a
 *  directory answer. The rest is for finishing requests before the process is
 *  killed. */
constexpr double DrainServingFraction = 0.5;

/** Time from the start for which a VM that knows that a peer holds a newer
 *  configuration waits for it before it counts as ready. */
constexpr seconds MaxConfigWait{3};

constexpr unsigned StatusNotFound = 404;
constexpr const char *StatusPath = "/v1/status";
constexpr const char *MetricsPath = "/metrics";

std::int64_t unixMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::uint64_t ageMillis(TimePoint Then, TimePoint Now) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Now - Then).count());
}

VmRecord makeSelfRecord(const RoutedSettings &Settings) {
  return {.m_Vm = Settings.m_Vm,
          .m_StartedMs = unixMillis(),
          .m_DataCentre = Settings.m_DataCentre,
          .m_CallerAddress = Settings.m_CallerAddress,
          .m_GossipAddress = Settings.m_GossipAddress,
          .m_StateAddress = Settings.m_ControlAddress,
          .m_CapacityPermille = static_cast<std::uint32_t>(
              1000 * Settings.m_CpuShare * Settings.m_Cores)};
}

DrainSequenceOptions drainOptions(const RoutedSettings &Settings) {
  return {.m_AddressLifetime = std::chrono::duration_cast<Duration>(
              std::chrono::duration<double>(Settings.m_GraceSeconds *
                                            DrainServingFraction)),
          .m_LeaveTimeout = Duration(0)};
}

template <typename Range> std::string joinTargetNames(const Range &Targets) {
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
      m_Fleet(makeSelfRecord(Settings), seedGossipAddresses(Settings), {},
              Seed),
      m_Context(Settings, m_Platform.m_Headers, m_Fleet, Seed),
      m_Frontend(m_Context,
                 [this](TimePoint Now) { return isConfigProven(Now); }),
      m_Gossip(m_Fleet, m_Context.crashQuarantine()),
      m_DirectoryPolicy({}, Seed),
      m_CallerConnections(std::make_shared<CallerConnections>(
          connectionBudgetOf(Settings.m_MemoryMiB, Settings.m_Descriptors))),
      m_StateCopier(*m_Platform.m_Adapter, m_Fleet,
                    [this] { onFleetChange(); }),
      m_Drain(drainOptions(Settings)) {
  QObject::connect(&m_TickTimer, &QTimer::timeout, &m_TickTimer,
                   [this] { onTick(); });
  m_ExpiryTimer.setSingleShot(true);
  m_ExpiryTimer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&m_ExpiryTimer, &QTimer::timeout, &m_ExpiryTimer,
                   [this] { expireTargets(); });
}

RoutedNode::~RoutedNode() { m_Platform.m_Adapter->stop(); }

auto RoutedNode::makeServer(const std::string &Address, HttpHandler Handler)
    -> ServerPtr {
  return makeServer(Address, std::move(Handler),
                    [](TimePoint) { return true; });
}

auto RoutedNode::makeServer(const std::string &Address, HttpHandler Handler,
                            std::function<bool(TimePoint Now)> AreLimitsKnown)
    -> ServerPtr {
  const auto Parsed = parseSocketAddress(Address);
  return std::make_unique<HttpServer>(
      HttpServerOptions{.m_Address = Parsed->m_Host,
                        .m_Port = Parsed->m_Port,
                        .m_Connections = m_CallerConnections,
                        .m_AreLimitsKnown = std::move(AreLimitsKnown)},
      m_Worker, std::move(Handler));
}

std::error_code RoutedNode::start() {
  m_StartedAt = Clock::now();
  m_LastTickAt = m_StartedAt;
  m_NextVmRefreshAt = m_StartedAt + InitialVmRefreshDelay;
  m_CallerServer = makeServer(
      m_Settings.m_CallerAddress,
      [this](const HttpExchangePtr &Each) { m_Frontend.handle(Each); },
      [this](TimePoint Now) { return isConfigProven(Now); });
  m_ReadinessServer = makeServer(
      m_Settings.m_ReadinessAddress, [this](const HttpExchangePtr &Each) {
        Each->respond(m_Platform.m_Readiness(Each->request(), isReady()));
      });
  m_DirectoryServer = makeServer(
      m_Settings.m_DirectoryAddress, [this](const HttpExchangePtr &Each) {
        Each->respond(serveDirectory(Each->request()));
      });
  m_ControlServer = makeServer(m_Settings.m_ControlAddress,
                               [this](const HttpExchangePtr &Each) {
                                 Each->respond(serveControl(Each->request()));
                               });
  std::vector<HttpServer *> Servers{
      m_CallerServer.get(), m_ReadinessServer.get(), m_DirectoryServer.get(),
      m_ControlServer.get()};
  if (!m_Settings.m_MetricsAddress.empty()) {
    m_MetricsServer = makeServer(m_Settings.m_MetricsAddress,
                                 [this](const HttpExchangePtr &Each) {
                                   Each->respond(serveControl(Each->request()));
                                 });
    Servers.push_back(m_MetricsServer.get());
  }
  for (HttpServer *Each : Servers)
    if (const auto Error = Each->listen())
      return Error;
  if (const auto Error = m_Gossip.open(m_Settings.m_GossipAddress))
    return Error;
  m_Platform.m_Adapter->start(*this);
  m_TickTimer.start(TickInterval);
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
  m_Context.setSettings(Settings, Clock::now());
  for (const std::string &Seed : seedGossipAddresses(Settings))
    m_Fleet.addSeed(Seed);
  logEvent(Event::SettingsReloaded, "vm={} addresses_kept={}", m_Settings.m_Vm,
           KeepsAddresses);
}

bool RoutedNode::isReady() const {
  return m_Context.config() && m_HasTargets && !m_AwaitsConfig &&
         m_Drain.step() == DrainStep::None;
}

bool RoutedNode::isConfigProven(TimePoint Now) const {
  return m_Platform.m_Adapter->isConfigProven(Now) &&
         !m_Fleet.isNewerConfigKnown();
}

// Updates from the platform.

void RoutedNode::onConfig(RoutingConfigPtr Config) {
  const auto Previous = m_Context.config();
  const CallerLimits &Limits = Config->limits();
  m_CallerServer->setLimits({.m_HeaderLimit = Limits.m_HeaderBytes,
                             .m_BodyLimit = Limits.m_BodyBytes,
                             .m_RequestTimeout = Limits.m_HeaderTimeout,
                             .m_IdleTimeout = Limits.m_IdleTimeout});
  logEvent(Event::ConfigInForce, "version={} before={} routes={}",
           Config->version(), Previous ? Previous->version().value() : 0,
           Config->routes().size());
  m_Context.setConfig(std::move(Config), Clock::now());
  onFleetChange();
}

void RoutedNode::onTargets(std::vector<TargetEntry> Entries,
                           TimePoint PresentAt) {
  m_HasTargets = true;
  handleRegistryChange(m_Context.registry().replaceAll(std::move(Entries),
                                                       PresentAt, Clock::now()),
                       "listing");
  expireTargets();
  onFleetChange();
}

void RoutedNode::onTarget(TargetEntry Entry, TimePoint ChangedAfter) {
  const std::string Name = Entry.m_Instance.m_Name.value();
  const bool IsDraining = Entry.m_Draining;
  const RegistryChange Change =
      m_Context.registry().upsert(std::move(Entry), ChangedAfter, Clock::now());
  if (Change.m_Updated + Change.m_Added > 0)
    logEvent(Event::TargetEntryChanged, "target={} draining={}", Name,
             IsDraining);
  handleRegistryChange(Change, "changed");
}

void RoutedNode::onTargetRemoved(const TargetName &Name, TimePoint PresentAt) {
  handleRegistryChange(
      m_Context.registry().remove(Name, PresentAt, Clock::now()), "removed");
  expireTargets();
}

void RoutedNode::expireTargets() {
  const TimePoint Now = Clock::now();
  handleRegistryChange(m_Context.registry().expire(Now), "hold-ended");
  if (const auto Next = m_Context.registry().nextExpiry())
    m_ExpiryTimer.start(std::chrono::ceil<milliseconds>(*Next - Now));
  else
    m_ExpiryTimer.stop();
}

void RoutedNode::handleRegistryChange(const RegistryChange &Change,
                                      std::string_view Cause) {
  for (const TargetPtr &Each : Change.m_Leaving)
    m_Context.endWrites(*Each, "registry");
  // Its pool takes no calls any longer; the next call gets a new one.
  for (const TargetPtr &Each : Change.m_TakenBack)
    m_Context.connectionPools().removePool(Each);
  for (const auto *Dropped : {&Change.m_RemovedTargets, &Change.m_Restarted})
    for (const TargetPtr &Each : *Dropped) {
      m_Context.recordTargetDown(Each->m_Entry.m_Instance, "registry",
                                 Clock::now());
      m_Context.connectionPools().removePool(Each);
    }
  if (Change.m_RemovedTargets.empty() && Change.m_Restarted.empty() &&
      Change.m_Missing.empty() && Change.m_Leaving.empty() &&
      Change.m_TakenBack.empty() && Change.m_Added == 0)
    return;
  logEvent(
      Event::RegistryChanged,
      "cause={} targets={} added={} gone={} missing={} restarted={} "
      "leaving={} taken_back={}",
      Cause, m_Context.registry().size(), Change.m_Added,
      joinTargetNames(Change.m_RemovedTargets),
      joinTargetNames(Change.m_Missing), joinTargetNames(Change.m_Restarted),
      joinTargetNames(Change.m_Leaving), joinTargetNames(Change.m_TakenBack));
}

void RoutedNode::onEvacuations(std::set<DataCentreName> Evacuated) {
  std::vector<std::string_view> Names;
  Names.reserve(Evacuated.size());
  for (const DataCentreName &Each : Evacuated)
    Names.push_back(Each.value());
  logEvent(Event::EvacuationsChanged, "data_centres={}", fmt::join(Names, ","));
  m_Context.registry().setEvacuated(std::move(Evacuated));
  for (const auto &[Name, Each] : m_Context.registry().all())
    if (m_Context.registry().isEvacuated(Each->m_Entry.m_DataCentre))
      m_Context.connectionPools().failUnsentCalls(*Each);
}

void RoutedNode::onVmAddresses(const std::vector<std::string> &Addresses) {
  for (const std::string &Each : Addresses)
    m_Fleet.addSeed(Each);
}

// Membership of the fleet.

void RoutedNode::onFleetChange() {
  const TimePoint Now = Clock::now();
  m_AwaitsConfig = !m_WasReady && m_Fleet.isNewerConfigKnown() &&
                   Now - m_StartedAt < MaxConfigWait;
  const bool Ready = isReady();
  const VmPhase Phase = m_Drain.step() != DrainStep::None ? VmPhase::Stopping
                        : Ready                           ? VmPhase::Serving
                                                          : VmPhase::Starting;
  const std::uint64_t Version =
      m_Context.config() ? m_Context.config()->version().value() : 0;
  m_Fleet.setSelf(Phase, Version);
  if (Ready && !std::exchange(m_WasReady, true)) {
    logEvent(Event::NodeReady, "vm={} config={} epoch={}", m_Settings.m_Vm,
             Version, 0);
    m_Gossip.announce();
  }
  for (const VmServingChange &Each : m_Fleet.takeServingChanges(Now))
    logEvent(Event::VmLivenessChanged, "vm={} serves={} others_alive={}",
             Each.m_Vm, Each.m_IsServing, m_Fleet.countAlivePeers(Now));
  if (const std::size_t VmCount = m_Fleet.quotaMembers(Now).size();
      std::exchange(m_QuotaMemberCount, VmCount) != VmCount)
    m_Context.updateShares(Now);
  PlatformAdapter &Adapter = *m_Platform.m_Adapter;
  Adapter.setRole(storeRole(m_Settings.m_Vm, m_Fleet.storeReaders(Now)));
  m_Fleet.setState(Adapter.stateVersion(), Adapter.isReachable());
  m_StateCopier.requestCopies(Now);
  if (m_Fleet.countAlivePeers(Now) == 0 && Now >= m_NextVmRefreshAt) {
    m_NextVmRefreshAt = Now + VmRefreshInterval;
    m_Platform.m_Adapter->refreshVms();
  }
}

// Periodic work.

void RoutedNode::onTick() {
  const TimePoint Now = Clock::now();
  const Duration Lag = Now - m_LastTickAt - TickInterval;
  m_LastTickAt = Now;
  m_MaxLag = std::max(m_MaxLag, Lag);
  m_MeanLag += (std::max(Lag, Duration(0)) - m_MeanLag) / LagSampleCount;
  m_Fleet.setLag(std::chrono::duration_cast<milliseconds>(m_MeanLag));
  if (Lag > PauseThreshold)
    logEvent(Event::NodePaused, "vm={} for_ms={}", m_Settings.m_Vm,
             std::chrono::duration_cast<milliseconds>(Lag).count());
  logSink().flush();
  onFleetChange();
  m_Platform.m_Adapter->onTick(fleetAgreement(Now), Now);
  expireTargets();
  m_Context.updateAdmission(Now);
  if (m_Drain.step() != DrainStep::None)
    advanceDrain();
}

FleetAgreement RoutedNode::fleetAgreement(TimePoint Now) {
  return {.m_OnRegistry = m_Fleet.countAlivePeers(Now) > 0 &&
                          !m_Fleet.selectNewerStateSource(StatePart::Registry),
          .m_OnConfig = m_Fleet.isStoreReachedByPeer(Now) &&
                        !m_Fleet.selectNewerStateSource(StatePart::Config)};
}

void RoutedNode::stop(std::function<void()> OnStopped) {
  if (m_OnStopped)
    return;
  m_OnStopped = std::move(OnStopped);
  logEvent(Event::NodeDraining, "vm={}", m_Settings.m_Vm);
  m_Drain.begin(Clock::now());
  m_Context.beginStop(Clock::now());
  onFleetChange();
  m_Gossip.announce();
  m_CallerServer->closeAfterAnswers();
}

void RoutedNode::advanceDrain() {
  const DrainStep Previous = m_Drain.step();
  const DrainStep Step =
      m_Drain.advance({.m_CallerRequests = m_CallerServer->unfinishedRequests(),
                       .m_Removed = true},
                      Clock::now());
  if (Step == Previous)
    return;
  if (Step == DrainStep::Finishing) {
    m_CallerServer->stopListening();
    m_CallerServer->closeIdle();
  }
  if (Step == DrainStep::Done) {
    m_TickTimer.stop();
    logEvent(Event::NodeStopped, "vm={}", m_Settings.m_Vm);
    logSink().flush();
    m_OnStopped();
  }
}

// Requests to the VM's own addresses.

HttpResponse RoutedNode::serveDirectory(const HttpRequest &Request) {
  return m_Platform.m_Directory(Request, m_DirectoryPolicy.selectAddresses(
                                             m_Fleet.serving(Clock::now())));
}

HttpResponse RoutedNode::serveControl(const HttpRequest &Request) {
  if (Request.m_Path == StateCopier::StatePath)
    return m_StateCopier.serve(Request, m_ControlServer->pendingRequests());
  if (Request.m_Path == StatusPath)
    return {.m_Body = statusText()};
  if (Request.m_Path == MetricsPath)
    return {.m_Body = metricsText(), .m_ContentType = "text/plain"};
  return {.m_Status = StatusNotFound,
          .m_Body = R"({"reason":"bad-request","message":"Use )"
                    R"(/v1/status, /v1/state or /metrics."})"};
}

std::string RoutedNode::statusText() const {
  const TimePoint Now = Clock::now();
  QJsonArray Vms;
  for (const VmRecord &Vm : m_Fleet.alivePeers(Now))
    Vms.append(QJsonObject{{"vm", toQt(Vm.m_Vm.value())},
                           {"phase", static_cast<int>(Vm.m_Phase)},
                           {"configVersion", toJson(Vm.m_ConfigVersion)}});
  QJsonArray Targets;
  for (const auto &[Name, Each] : m_Context.registry().all()) {
    const auto Limit = Each->m_RateLimit.requestsPerSecond();
    const auto LeavingSince = Each->m_Signals.leavingSince();
    Targets.append(QJsonObject{
        {"target", toQt(Name.value())},
        {"service", toQt(Each->m_Entry.m_Service.value())},
        {"dataCentre", toQt(Each->m_Entry.m_DataCentre.value())},
        {"draining", Each->m_Entry.m_Draining},
        {"missing", Each->m_RetainedUntil.has_value()},
        {"leavingMs", LeavingSince ? toJson(ageMillis(*LeavingSince, Now))
                                   : QJsonValue::Null},
        {"waitMs", Each->m_Signals.isWaiting(Now)
                       ? toJson(ageMillis(Now, Each->m_Signals.waitEnd()))
                       : QJsonValue::Null},
        {"cold", Each->isCold(Now)},
        {"outstanding", static_cast<int>(Each->m_Load.outstanding())},
        {"slowness", Each->m_Load.slowness(Now)},
        {"failureShare", Each->m_Load.failureShare(Now)},
        {"rateLimit", Limit ? QJsonValue(*Limit) : QJsonValue::Null},
        {"rateLimitAgeMs",
         Limit ? toJson(ageMillis(Each->m_RateLimit.confirmedAt(), Now))
               : QJsonValue::Null}});
  }
  return toCompactJson(
      {{"vm", toQt(m_Settings.m_Vm.value())},
       {"ready", isReady()},
       {"configVersion", toJson(m_Fleet.self().m_ConfigVersion)},
       {"followsPlatform", m_Platform.m_Adapter->isCurrent()},
       {"configProven", isConfigProven(Now)},
       {"storeEra", toJson(m_Platform.m_Adapter->storeEra().m_Era)},
       {"storeReturns", toJson(m_Platform.m_Adapter->storeEra().m_Rises)},
       {"vms", Vms},
       {"targets", Targets}});
}

std::string RoutedNode::metricsText() const {
  const TimePoint Now = Clock::now();
  const PlatformCounters &Calls = m_Platform.m_Adapter->counters();
  std::string Text =
      m_Context.metrics().text() + m_Platform.m_Adapter->metricsText();
  const auto Add = [&Text](std::string_view Name, auto Value) {
    Text += fmt::format("figturn_{} {}\n", Name, Value);
  };
  Add("config_version", m_Fleet.self().m_ConfigVersion);
  Add("follows_platform", m_Platform.m_Adapter->isCurrent() ? 1 : 0);
  Add("config_proven", isConfigProven(Now) ? 1 : 0);
  Add("store_era", m_Platform.m_Adapter->storeEra().m_Era);
  Add("store_returns_total", m_Platform.m_Adapter->storeEra().m_Rises);
  for (const auto &[Key, Count] : m_CallerServer->refusalCounts())
    Add(fmt::format("unread_requests_total{{status=\"{}\",cause=\"{}\"}}",
                    Key.first, Key.second),
        Count);
  Add("platform_calls_total{kind=\"read\"}", Calls.m_Reads);
  Add("platform_calls_total{kind=\"watch\"}", Calls.m_Watches);
  Add("platform_calls_total{kind=\"write\"}", Calls.m_Writes);
  Add("platform_failures_total", Calls.m_Failures);
  const StateCopyCounters &Copies = m_StateCopier.counters();
  Add("state_copies_total{outcome=\"complete\"}", Copies.m_Complete);
  Add("state_copies_total{outcome=\"failed\"}", Copies.m_Failed);
  Add("state_copies_total{outcome=\"deferred\"}", Copies.m_DeferredByPeers);
  Add("state_reads_instead_of_copies_total", Copies.m_StoreReads);
  Add("state_copies_served_total", Copies.m_Served);
  Add("state_copies_deferred_total", Copies.m_Deferred);
  Add("state_copies_served_bytes_total", Copies.m_ServedBytes);
  Add("state_copies_render_seconds_total",
      std::chrono::duration<double>(Copies.m_RenderTime).count());
  Add("vms_alive", m_Fleet.countAlivePeers(Now) + 1);
  Add("targets", m_Context.registry().size());
  Add("target_connections", m_Context.connectionPools().connections());
  Add("target_connections_opened_total",
      m_Context.connectionPools().connectionsOpened());
  Add("calls_in_flight", m_Context.connectionPools().callsInFlight());
  Add("caller_connections", m_CallerServer->connections());
  Add("caller_memory_bytes", m_CallerConnections->heldBytes());
  Add("caller_requests_pending", m_CallerServer->pendingRequests());
  m_Context.admission().visit(
      [&Add](const ServiceName &Name, const AdmissionControl &Control) {
        const auto Labels = fmt::format("{{services=\"{}\"}}", Name);
        Add("admission_limit" + Labels, Control.limit());
        Add("admission_running" + Labels, Control.running());
        Add("admission_waiting" + Labels, Control.waiting());
      });
  Add("loop_lag_max_seconds", std::chrono::duration<double>(m_MaxLag).count());
  return Text;
}

} // namespace figturn
