#include "node/Node.h"

#include "node/StatusReport.h"
#include "protocol/ConfigObject.h"
#include "protocol/SettingsCodec.h"
#include "state/Event.h"

#include <QMetaObject>
#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <utility>

namespace figturn {

namespace {

constexpr milliseconds DrainPollInterval{100};

std::uint64_t randomBits() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

Member makeSelfMember(const NodeSettings &Settings) {
  return {.m_Vm = Settings.m_Vm,
          .m_Boot = BootId(fmt::format("{:016x}", randomBits())),
          .m_DataCentre = Settings.m_DataCentre,
          .m_PeerAddress = Settings.m_PeerAddress,
          .m_CallerAddress = Settings.m_CallerAddress};
}

/** An earlier attempt at a single-run request may have run; the path of a
 *  request with an incomplete header isn't known. */
bool mayHaveRunBefore(std::string_view Target) {
  const auto Path = parseCallerPath(Target.substr(0, Target.find('?')));
  return Target.empty() || (Path && Path->m_Kind == RequestKind::Run);
}

HttpServerOptions serverOptions(const NodeSettings &Settings) {
  const auto Address = parseSocketAddress(Settings.m_CallerAddress);
  return {.m_Address = Address->m_Host,
          .m_Port = Address->m_Port,
          .m_Connections = std::make_shared<CallerConnections>(
              connectionBudgetOf(Settings.m_MemoryMiB, Settings.m_Descriptors)),
          .m_MayHaveRunBefore = mayHaveRunBefore};
}

std::vector<WorkerState> makeWorkerStates(TargetStatusTable &Targets,
                                          std::size_t Workers) {
  std::vector<WorkerState> States;
  for (std::size_t I = 0; I < Workers; ++I)
    States.emplace_back(Targets, static_cast<std::uint32_t>(randomBits()));
  return States;
}

} // namespace

Node::Node(NodeSettings Settings)
    : m_Settings(std::move(Settings)), m_Self(makeSelfMember(m_Settings)),
      m_Workers(m_Settings.m_Workers),
      m_Store({.m_BaseUrl = m_Settings.m_PlatformUrl}),
      m_VmList({.m_BaseUrl = m_Settings.m_VmListUrl}),
      m_Peers({.m_Address = m_Settings.m_PeerAddress}, m_PeerEndpoint),
      m_Dispatcher(m_Self.m_Vm, m_Workers, m_Routing, m_Membership, m_Targets,
                   m_Peers),
      m_Canaries(m_Self.m_Vm, m_Workers, m_Membership, m_Peers),
      m_CallIds(CallId(randomBits() >> 16)),
      m_WorkerStates(makeWorkerStates(m_Targets, m_Workers.size())),
      m_Services{.m_Self = m_Self.m_Vm,
                 .m_Boot = m_Self.m_Boot,
                 .m_Origin = fmt::format("{}#{}", m_Self.m_Vm, m_Self.m_Boot),
                 .m_Workers = m_Workers,
                 .m_Routing = m_Routing,
                 .m_Membership = m_Membership,
                 .m_Targets = m_Targets,
                 .m_Dispatcher = m_Dispatcher,
                 .m_Canaries = m_Canaries,
                 .m_CallIds = m_CallIds,
                 .m_Metrics = m_Metrics,
                 .m_WorkerStates = m_WorkerStates,
                 .m_RefreshIndex =
                     [this](const ServiceName &Service) {
                       post([this, Service] {
                         m_ConfigUpdater.refreshIndex(Service);
                       });
                     }},
      m_SingleRuns(
          m_Services, m_Store,
          [this](std::function<void()> Task) { post(std::move(Task)); }),
      m_Callers(m_Services, m_SingleRuns,
                {.m_Status = [this] { return status(); },
                 .m_PushConfig =
                     [this](const HttpRequest &Request) {
                       return pushConfig(Request);
                     }}),
      m_MembershipDriver(
          {.m_Self = m_Self,
           .m_Store = m_Store,
           .m_VmList = m_VmList,
           .m_Peers = m_Peers,
           .m_Table = m_Membership,
           .m_Routing = m_Routing,
           .m_Dispatcher = m_Dispatcher,
           .m_Canaries = m_Canaries,
           .m_Post =
               [this](std::function<void()> Task) { post(std::move(Task)); },
           .m_OnPeerHeartbeat =
               [this](const PeerHeartbeat &Message) {
                 m_ConfigUpdater.onPeerHeartbeat(Message);
                 updateReadiness();
               },
           .m_OnAdopted = [this] { updateReadiness(); },
           .m_OnLeaving =
               [this](const std::vector<VmEntry> &Leaving) {
                 applyLeavingTargets(Leaving);
               }}),
      m_ConfigUpdater(
          {.m_Self = m_Self,
           .m_Store = m_Store,
           .m_Peers = m_Peers,
           .m_Routing = m_Routing,
           .m_Membership = m_Membership,
           .m_Post =
               [this](std::function<void()> Task) { post(std::move(Task)); },
           .m_OnChanged =
               [this] {
                 m_Dispatcher.configure();
                 updateReadiness();
               }}),
      m_Server(serverOptions(m_Settings), m_Workers,
               [this](const HttpExchangePtr &Exchange) {
                 m_Callers.handle(Exchange);
               }),
      m_Drain({}) {
  m_Dispatcher.setRegressNoticeHandler(
      [this](const VmName &Vm, RegressNotice Notice) {
        post([this, Vm, Notice = std::move(Notice)] {
          m_MembershipDriver.sendRegressNotice(Vm, Notice);
        });
      });
  m_PeerEndpoint.connect(
      {.m_Membership = m_MembershipDriver,
       .m_Dispatcher = m_Dispatcher,
       .m_Canaries = m_Canaries,
       .m_SingleRuns = m_SingleRuns,
       .m_Documents =
           [this](const std::vector<std::string> &Paths) {
             return m_ConfigUpdater.heldDocuments(Paths);
           },
       .m_Post =
           [this](std::function<void()> Task) { post(std::move(Task)); }});
  connect(&m_DrainTimer, &QTimer::timeout, this, [this] { advanceDrain(); });
}

Node::~Node() {
  m_Server.stopListening();
  m_Peers.stop();
  m_Dispatcher.shutDown();
  m_Workers.stop();
}

void Node::post(std::function<void()> Task) {
  QMetaObject::invokeMethod(this, std::move(Task), Qt::QueuedConnection);
}

std::error_code Node::start() {
  if (const auto Error = m_Peers.start())
    return Error;
  if (const auto Error = m_Server.listen())
    return Error;
  m_MembershipDriver.start();
  m_ConfigUpdater.start();
  logEvent(Event::NodeStarted, "vm={} boot={} callers={} peers={}", m_Self.m_Vm,
           m_Self.m_Boot, m_Self.m_CallerAddress, m_Self.m_PeerAddress);
  return {};
}

void Node::applyLeavingTargets(const std::vector<VmEntry> &Leaving) {
  const ConfigurationPtr Config = m_Routing.configuration();
  if (!Config)
    return;
  std::set<std::string> Addresses;
  for (const VmEntry &Entry : Leaving)
    Addresses.insert(Entry.m_Address);
  m_Targets.setLeaving(*Config, Addresses);
}

void Node::updateReadiness() {
  // Callers would be refused for a service whose index is still being read.
  if (m_Ready || !m_ConfigUpdater.hasReadIndexes() ||
      m_Membership.members()->m_Members.empty())
    return;
  m_Ready = true;
  logEvent(Event::NodeReady, "vm={} config={} epoch={}", m_Self.m_Vm,
           m_Routing.configuration()->m_Version,
           m_Membership.members()->m_Epoch);
}

std::string Node::status() const {
  return encodeStatus({.m_Self = m_Self,
                       .m_Ready = m_Ready,
                       .m_Drain = m_DrainStep,
                       .m_Routing = m_Routing,
                       .m_Membership = m_Membership,
                       .m_Targets = m_Targets,
                       .m_Metrics = m_Metrics});
}

HttpResponse Node::pushConfig(const HttpRequest &Request) {
  constexpr unsigned Accepted = 202;
  constexpr unsigned BadRequest = 400;
  const std::string Version = Request.header("X-Config-Version");
  char *End = nullptr;
  const std::uint64_t Number = std::strtoull(Version.c_str(), &End, 10);
  if (Version.empty() || *End != '\0' || Number == 0)
    return {.m_Status = BadRequest,
            .m_Body = "{\"message\":\"the header X-Config-Version must contain "
                      "the platform's version of the configuration\"}"};
  const PeerDocument Document{std::string(ConfigObjectPath), Number,
                              Request.m_Body};
  post([this, Document] { m_ConfigUpdater.install(Document); });
  return {.m_Status = Accepted, .m_Body = "{}"};
}

void Node::stop(std::function<void()> OnStopped) {
  if (m_OnStopped)
    return;
  m_OnStopped = std::move(OnStopped);
  logEvent(Event::NodeDraining, "vm={}", m_Self.m_Vm);
  m_Membership.setDraining(m_Self.m_Vm, true);
  m_MembershipDriver.setDraining();
  m_Drain.begin(Clock::now());
  m_DrainStep = m_Drain.step();
  m_DrainTimer.start(DrainPollInterval);
}

DrainProgress Node::drainProgress() const {
  return {.m_CallerRequests =
              m_Server.unfinishedRequests() + m_Callers.pending(),
          .m_PeerCalls = m_PeerEndpoint.calls(),
          .m_SingleRuns = m_SingleRuns.running(),
          .m_Removed = m_MembershipDriver.isRemoved()};
}

void Node::advanceDrain() {
  const DrainStep Previous = m_Drain.step();
  const DrainStep Step = m_Drain.advance(drainProgress(), Clock::now());
  if (Step == Previous)
    return;
  m_DrainStep = Step;
  switch (Step) {
  case DrainStep::Finishing:
    m_Server.stopListening();
    m_Server.closeAfterAnswers();
    m_Server.closeIdle();
    break;
  case DrainStep::LeavingMembership:
    m_MembershipDriver.setDrained();
    break;
  case DrainStep::Done:
    m_DrainTimer.stop();
    logEvent(Event::NodeStopped, "vm={}", m_Self.m_Vm);
    m_OnStopped();
    break;
  case DrainStep::None:
  case DrainStep::ServingUnadvertised:
    break;
  }
}

} // namespace figturn
