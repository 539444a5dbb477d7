#include "soak/DeploymentRun.h"

#include <QDateTime>
#include <QTimer>

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>

namespace figturn::soak {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;
using test::RawClient;
using test::RoutedFleet;

namespace {

constexpr milliseconds DrainTime{3000};
constexpr milliseconds ConfigTime{3000};
/** How long a target goes on serving after its drain time. */
constexpr milliseconds LeastServesOn{1500};
constexpr milliseconds MostServesOn{20000};
constexpr milliseconds HeartbeatInterval{1200};
constexpr milliseconds EntryLifetime = 3 * HeartbeatInterval;
constexpr milliseconds HeartbeatTick{50};
constexpr milliseconds ColdTime{3000}; ///< As the services' configuration says.
/** Within which all writers write again what a returned store has lost. */
constexpr milliseconds RewriteTime{2000};
/** In which a VM with a share of the processor runs once. */
constexpr milliseconds Slice{100};
/** Time within which an answer that names a target as leaving is passed on. */
constexpr milliseconds PassOnTime{500};
constexpr seconds StoreQuietTime{9};

constexpr milliseconds PauseTime{200};
constexpr milliseconds PauseInterval{4500};
constexpr std::size_t TargetQueue = 24;
constexpr std::size_t ReplicasPerShard = 3;
constexpr std::size_t LookupTargets = 13;
constexpr std::size_t FewLookupTargets = 3;
constexpr int RequestsPerConnection = 40;
constexpr milliseconds CallerInterval{260};
constexpr milliseconds ProbeInterval{400};
/** Just below the time-out of RawClient::receive(). */
constexpr seconds ReceiveTimeout{19};
constexpr milliseconds StepInterval{300};
constexpr milliseconds TaskInterval{20};
constexpr milliseconds LagInterval{5};
constexpr std::size_t MaxFailuresPerRule = 20; ///< That are printed.
/** Dropped routes are probed for so long. */
constexpr seconds DroppedProbeTime{15};
constexpr int ProbesPerConnection = 2;

constexpr const char *LookupService = "invoicing";

struct RequestForm {
  const char *m_Path;
  const char *m_Kind;
  int m_DeadlineMs;
  int m_ObjectiveMs;
  int m_Priority;
  double m_WorkMs;
  bool m_IsSearch;
};

constexpr std::array Forms{
    RequestForm{"/archive/", "safe", 800, 150, 1, 20, true},
    RequestForm{"/flood/", "safe", 400, 60, 2, 6.7, true},
    RequestForm{"/fetch/", "safe", 4000, 600, 2, 160, false},
    RequestForm{"/order/", "unsafe", 4000, 600, 2, 160, false}};

constexpr std::string_view AddedPrefix = "/added/";
constexpr std::string_view FloodPath = "/flood/";

std::int64_t unixMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

SteadyTime fromUnixMillis(std::int64_t Millis) {
  return steady_clock::now() - milliseconds(unixMillis() - Millis);
}

std::string shardName(std::size_t Number) {
  return fmt::format("crew-portal-{}", Number);
}

/** First loopback address of this process, so that runs beside one another
 *  share no ports. */
std::uint32_t firstLoopbackAddress() {
  return (127U << 24U) +
         ((static_cast<std::uint32_t>(::getpid()) % 0xffff + 1) << 8U) + 1;
}

bool isDenial(unsigned Status) {
  return Status >= 300 && Status < 500 && Status != 408 && Status != 421 &&
         Status != 429;
}

} // namespace

const std::vector<DeploymentRun::Step> &DeploymentRun::steps() {
  static const std::vector<Step> All{
      {"stop VM", 6, &DeploymentRun::stopVm},
      {"kill VM", 2, &DeploymentRun::killVm},
      {"freeze VM", 2, &DeploymentRun::freezeVm},
      {"reload VM", 1, &DeploymentRun::reloadVm},
      {"add VM", 2, &DeploymentRun::addVm},
      {"cut VM from the store", 2, &DeploymentRun::cutVmFromStore},
      {"kill all VMs", 1, &DeploymentRun::killAllVms},
      {"add route", 6, &DeploymentRun::addRoute},
      {"drop route", 3, &DeploymentRun::dropRoute},
      {"add route again", 3, &DeploymentRun::addRouteAgain},
      {"change in burst", 2, &DeploymentRun::changeInBurst},
      {"write foreign configuration", 2, &DeploymentRun::writeForeignConfig},
      {"reshard", 2, &DeploymentRun::reshard},
      {"change limits", 3, &DeploymentRun::changeLimits},
      {"drain target", 6, &DeploymentRun::drainTarget},
      {"remove target", 5, &DeploymentRun::removeTarget},
      {"slow target", 4, &DeploymentRun::slowTarget},
      {"crash target", 2, &DeploymentRun::crashTarget},
      {"return store", 1, &DeploymentRun::returnStore,
       &DeploymentOptions::m_ReturnsWeight},
      {"silence one VM", 0, &DeploymentRun::silenceOneVm,
       &DeploymentOptions::m_SilentVmWeight},
      {"silence store's connections", 2,
       &DeploymentRun::silenceStoreConnections},
      {"take store down", 1, &DeploymentRun::takeStoreDown},
      {"slow store", 1, &DeploymentRun::slowStore},
      {"lose store's replies", 1, &DeploymentRun::loseStoreReplies},
      {"compact store's history", 1, &DeploymentRun::compactHistory}};
  return All;
}

DeploymentRun::DeploymentRun(DeploymentOptions Options)
    : m_Options(std::move(Options)), m_Random(m_Options.m_Seed),
      m_Fleet(firstLoopbackAddress()),
      m_ConfigChecks({.m_IsInTouch =
                          [this](const std::string &Vm, SteadyTime Since,
                                 SteadyTime Until) {
                            return m_Touch.isInTouch(Vm, Since, Until);
                          },
                      .m_IsSlowed =
                          [this](const std::string &, SteadyTime, SteadyTime) {
                            return m_Options.m_CpuShare < 1;
                          }}),
      m_Learning([this](const std::string &VmName, std::int64_t SinceMs,
                        std::int64_t UntilMs) {
        return UntilMs <= unixMillis() &&
               m_Touch.isInTouch(VmName, fromUnixMillis(SinceMs),
                                 fromUnixMillis(UntilMs));
      }) {
  m_Fleet.m_GraceSeconds = 6;
  if (!m_Options.m_Binary.empty())
    m_Fleet.m_Binary = m_Options.m_Binary;
  m_Fleet.m_DataCentres = {"dc-a", "dc-b", "dc-c"};
  m_Fleet.m_HasSeeds = m_Options.m_HasGossip;
  m_FloodShardCount = m_Options.m_ShardCount;
  m_Fleet.runOnStandinThread([this] {
    m_Context = std::make_unique<QObject>();
    if (!m_Options.m_HasGossip)
      m_Fleet.m_Store->m_HiddenKind = "figturn-vms";
  });
  publishConfig();
  for (std::size_t I = 0; I < m_Options.m_ShardCount; ++I)
    for (std::size_t J = 0; J < ReplicasPerShard; ++J)
      addTarget(shardName(I));
  // In half of the runs the targets of look-ups are at their limit.
  m_IsCrowded = m_Random() % 2 == 0;
  for (std::size_t I = 0; I < (m_IsCrowded ? FewLookupTargets : LookupTargets);
       ++I)
    addTarget(LookupService);
  for (std::size_t I = 0; I < m_Options.m_VmCount; ++I)
    startVm();
  m_StoreQuietFrom = steady_clock::now() + seconds(4);
}

DeploymentRun::~DeploymentRun() {
  m_Stopping = true;
  for (std::thread &Each : m_Callers)
    if (Each.joinable())
      Each.join();
  if (m_Sharer.joinable())
    m_Sharer.join();
  m_Fleet.m_Vms.clear();
  m_Fleet.runOnStandinThread([this] {
    for (const auto &Each : m_Vms)
      Each->m_Store.reset();
    m_Fleet.m_Searchers.clear();
    m_Context.reset();
  });
}

void DeploymentRun::startVm() {
  auto Started = std::make_unique<Vm>();
  m_Fleet.runOnStandinThread([&] {
    Started->m_Store = std::make_unique<FaultProxy>(m_Fleet.m_Store->port());
  });
  m_Fleet.m_StoreAddress = Started->m_Store->address();
  Started->m_Process = &m_Fleet.startVm();
  Started->m_Name = Started->m_Process->m_Name;
  Started->m_Process->m_StoreAddress = m_Fleet.m_StoreAddress;
  m_Touch.begin(Started->m_Name, steady_clock::now());
  m_Touch.end(Started->m_Name, steady_clock::now());
  Vm &Shared = *Started;
  {
    const std::lock_guard Lock(m_Mutex);
    m_Vms.push_back(std::move(Started));
    m_UsableVmCount = m_Vms.size();
  }
  setShared(Shared, true);
}

auto DeploymentRun::addTarget(const std::string &Service) -> Target & {
  auto Added = std::make_unique<Target>();
  Target *Created = Added.get();
  const std::size_t Number = m_TargetsCreated++;
  Created->m_Id = fmt::format("i-{}", Number);
  Created->m_Service = Service;
  Created->m_Slots = Service == LookupService ? 6 : 4;
  Created->m_NamesLeaving = Number % 2 == 0;
  Created->m_PausePhase = steady_clock::now() + randomTime(0, 4500);
  m_Fleet.runOnStandinThread([&] {
    auto Searcher = std::make_unique<standin::SearcherStandin>(
        Created->m_Id, Service,
        std::string("dc-") + static_cast<char>('a' + Number % 3));
    Searcher->m_Body = fmt::format("{:<16.16}", Created->m_Id);
    Searcher->m_RunHandler = [this, Created](const auto &Request, auto Reply) {
      onArrival(*Created, Request, Reply);
    };
    Created->m_Searcher = Searcher.get();
    m_Fleet.m_Searchers.push_back(std::move(Searcher));
    writeEntry(*Created, steady_clock::now());
    m_Targets.push_back(std::move(Added));
  });
  return *Created;
}

void DeploymentRun::writeEntry(Target &Writer, SteadyTime Now) {
  ++Writer.m_Searcher->m_Sequence;
  Writer.m_Searcher->m_ColdRemaining =
      std::max(std::chrono::floor<milliseconds>(Writer.m_ColdUntil - Now),
               milliseconds(0));
  Writer.m_NextHeartbeat = Now + HeartbeatInterval;
  Writer.m_LapsesAt = Now + EntryLifetime;
  m_Fleet.m_Store->put(
      "servers", Writer.m_Id,
      Writer.m_Searcher->entry(Writer.m_IsLeaving ? "draining" : "ready"));
}

void DeploymentRun::writeHeartbeats(SteadyTime Now) {
  for (const auto &Each : m_Targets) {
    if (!Each->m_WritesEntry)
      continue;
    const bool IsStoreDown = m_Fleet.m_Store->m_IsDown;
    if (Now >= std::max(Each->m_DownUntil, Each->m_NextHeartbeat) &&
        !IsStoreDown)
      writeEntry(*Each, Now);
    // Removing an entry that has lapsed before changes nothing.
    if (Now >= Each->m_LapsesAt && (!IsStoreDown || m_LapsesWhileDown))
      m_Fleet.m_Store->remove("servers", Each->m_Id);
  }
}

void DeploymentRun::publishConfig() {
  QJsonObject Config = test::routedConfig(1);
  QJsonArray Routes;
  const auto AddRoute = [&](const RequestForm &Form, const std::string &Path) {
    QJsonObject Route{{"name", toQt("r" + Path)},
                      {"host", "h.example"},
                      {"path_prefix", toQt(Path)},
                      {"kind", Form.m_Kind},
                      {"timeout_ms", Form.m_DeadlineMs},
                      {"target_latency_ms", Form.m_ObjectiveMs},
                      {"priority", Form.m_Priority},
                      {"attempts", 2}};
    if (Form.m_IsSearch) {
      QJsonArray Shards;
      for (std::size_t I = 0;
           I < (Form.m_Path == FloodPath ? m_FloodShardCount
                                         : m_Options.m_ShardCount);
           ++I)
        Shards.append(toQt(shardName(I)));
      Route["gather"] = Shards;
      Route["top"] = 50;
      Route["min_version"] = 0.75;
    } else {
      Route["service"] = LookupService;
    }
    Routes.append(Route);
  };
  for (const RequestForm &Each : Forms)
    AddRoute(Each, Each.m_Path);
  QJsonArray Services;
  const auto AddService = [&](const std::string &Name, int Connections) {
    Services.append(QJsonObject{{"name", toQt(Name)},
                                {"health_path", "/health"},
                                {"connection_limit", Connections},
                                {"protocol", "h1"},
                                {"tls", false},
                                {"cold_start_s", 3.0},
                                {"cold_per_s", 0.0}});
  };
  for (std::size_t I = 0; I < m_Options.m_ShardCount; ++I)
    AddService(shardName(I), 70);
  AddService(LookupService, 96);
  std::size_t BodyLimit = 0;
  {
    const std::lock_guard Lock(m_Mutex);
    for (const auto &[Number, Each] : m_Routes)
      if (Each.m_RemovedFrom == SteadyTime::max())
        AddRoute(Forms[2], fmt::format("{}{}/", AddedPrefix, Number));
    BodyLimit = m_BodyLimit;
    ++m_ConfigVersion;
  }
  Config["version"] = m_ConfigVersion;
  Config["routes"] = Routes;
  Config["services"] = Services;
  QJsonObject Limits = Config["limits"].toObject();
  Limits["body_bytes"] = static_cast<qint64>(BodyLimit);
  Config["limits"] = Limits;
  m_ConfigChecks.onPublished(m_ConfigVersion, test::checkedRoutes(Config),
                             steady_clock::now());
  m_Fleet.runOnStandinThread([&] {
    m_Config = Config;
    const std::int64_t AckMs = unixMillis();
    m_Fleet.m_Store->put("config", "main", Config);
    m_Learning.onAck(
        {.m_Part = "config",
         .m_ConfigVersion = static_cast<std::uint64_t>(m_ConfigVersion),
         .m_AckMs = AckMs});
    note(fmt::format("  version {} with {} routes has revision {}",
                     m_ConfigVersion, Routes.size(),
                     m_Fleet.m_Store->revision()));
  });
  m_ConfigAckedAt = steady_clock::now();
  m_ConfigChecks.onAcknowledged(m_ConfigVersion, m_ConfigAckedAt);
  m_IsConfigForeign = false;
}

// Targets.

void DeploymentRun::onArrival(Target &Receiver,
                              const standin::SimpleHttpRequest &Request,
                              const standin::SimpleHttpResponder &Reply) {
  m_ConfigChecks.onArrival(Request.header("x-request-id"), Receiver.m_Service,
                           steady_clock::now());
  checkDrain(Receiver, Request.header("x-request-id"), steady_clock::now());
  if (Receiver.m_Working < Receiver.m_Slots) {
    startWork(Receiver, Request, Reply);
  } else if (Receiver.m_Queue.size() < TargetQueue) {
    Receiver.m_Queue.push_back([this, &Receiver, Request, Reply] {
      startWork(Receiver, Request, Reply);
    });
  } else {
    Reply.send(503, "", "X-Not-Executed: 1\r\n");
  }
}

void DeploymentRun::startWork(Target &Worker,
                              const standin::SimpleHttpRequest &Request,
                              const standin::SimpleHttpResponder &Reply) {
  ++Worker.m_Working;
  double WorkMs = Forms[2].m_WorkMs;
  for (const RequestForm &Each : Forms)
    if (Request.m_Path.starts_with(Each.m_Path))
      WorkMs = Each.m_WorkMs;
  const SteadyTime Now = steady_clock::now();
  milliseconds Work(static_cast<int>(WorkMs * Worker.m_Slowness) + 1);
  const auto InPause =
      std::chrono::floor<milliseconds>(Now - Worker.m_PausePhase) %
      PauseInterval;
  if (Worker.m_Service != LookupService && InPause.count() >= 0 &&
      InPause < PauseTime)
    Work += PauseTime - InPause;
  QTimer::singleShot(Work, m_Context.get(), [&Worker, Request, Reply] {
    const std::string Id = Request.header("x-request-id");
    std::string Headers = fmt::format(
        "X-Request-Id: {}\r\nX-Server-Stamp: {}-{}\r\n", Id, Worker.m_Id, Id);
    if (Worker.m_IsLeaving && Worker.m_NamesLeaving) {
      Headers += "Server-Leaving: 1\r\n";
      const std::string Vm = Id.substr(0, Id.find('/'));
      Worker.m_ToldAt.try_emplace(Vm, steady_clock::now());
    }
    Reply.send(200, Worker.m_Searcher->m_Body, Headers);
    --Worker.m_Working;
    if (Worker.m_Queue.empty())
      return;
    const auto Next = std::move(Worker.m_Queue.front());
    Worker.m_Queue.pop_front();
    Next();
  });
}

void DeploymentRun::checkDrain(const Target &Receiver, const std::string &Id,
                               SteadyTime Now) {
  // A request may have arrived before the event loop read it.
  const SteadyTime ArrivedAt = Now - milliseconds(m_LagMs) - LagInterval;
  Sent Request;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Sent.find(Id);
    if (Found == m_Sent.end())
      return;
    Request = Found->second;
  }
  if (Receiver.m_LeftWhileStable && ArrivedAt - Receiver.m_LeftAt > DrainTime &&
      m_Touch.isInTouch(Request.m_Vm, Request.m_At, Now))
    fail("DRAIN",
         fmt::format(
             "{} reached {} {} ms after the store's ack", Id, Receiver.m_Id,
             std::chrono::floor<milliseconds>(ArrivedAt - Receiver.m_LeftAt)
                 .count()));
  const auto Told = Receiver.m_ToldAt.find(Request.m_Vm);
  if (Told != Receiver.m_ToldAt.end() &&
      ArrivedAt - Told->second > DrainTime + PassOnTime &&
      m_Touch.isUndisturbed(Request.m_Vm, Told->second, Now))
    fail("DRAIN",
         fmt::format("{} reached {} {} ms after its own word", Id,
                     Receiver.m_Id,
                     std::chrono::floor<milliseconds>(ArrivedAt - Told->second)
                         .count()));
}

// Callers.

bool DeploymentRun::exchange(RawClient &Client, const std::string &VmName,
                             const std::string &Id, const std::string &Path,
                             const std::string &Body, bool InChunks,
                             std::mt19937 &Random) {
  int DeadlineMs = Forms[2].m_DeadlineMs;
  for (const RequestForm &Each : Forms)
    if (Path.starts_with(Each.m_Path))
      DeadlineMs = Each.m_DeadlineMs;
  std::string Bytes = fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\n{}",
                                  Body.empty() ? "GET" : "POST", Path,
                                  RoutedFleet::requestHeaders(Id, DeadlineMs));
  if (Body.empty()) {
    Bytes += "\r\n";
  } else if (!InChunks) {
    Bytes += fmt::format("Content-Length: {}\r\n\r\n{}", Body.size(), Body);
  } else {
    Bytes += "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t Offset = 0; Offset < Body.size();) {
      const std::size_t Size =
          std::min<std::size_t>(Body.size() - Offset, 1 + Random() % 20000);
      Bytes += fmt::format("{:x}\r\n{}\r\n", Size, Body.substr(Offset, Size));
      Offset += Size;
    }
    Bytes += "0\r\n\r\n";
  }
  const SteadyTime SentAt = steady_clock::now();
  std::size_t Limit = 0;
  {
    const std::lock_guard Lock(m_Mutex);
    m_Sent[Id] = {.m_Vm = VmName, .m_At = SentAt};
    Limit = m_LeastBodyLimit;
  }
  m_ConfigChecks.onSent(VmName, Id, Path, SentAt);
  for (std::size_t Offset = 0; Offset < Bytes.size();) {
    const std::size_t Size =
        InChunks ? 1 + Random() % std::min<std::size_t>(Bytes.size(), 9000)
                 : Bytes.size();
    if (!Client.send(std::string_view(Bytes).substr(Offset, Size)))
      break;
    Offset += Size;
  }
  const auto Reply = Client.receive();
  const unsigned Status = Reply ? Reply->m_Status : 0;
  const SteadyTime Now = steady_clock::now();
  if (Reply)
    m_ConfigChecks.onAnswered(Id, Status, Now);
  else if (Now - SentAt < ReceiveTimeout)
    m_ConfigChecks.onClosed(Id, Now);
  else
    m_ConfigChecks.onAbandoned(Id, Now);
  bool IsAllowed = Body.size() <= Limit;
  {
    const std::lock_guard Lock(m_Mutex);
    ++m_Statuses[Status];
    IsAllowed = IsAllowed && Body.size() <= m_LeastBodyLimit;
  }
  if (Path.starts_with(AddedPrefix) &&
      !checkAddedRoute(VmName, Id, Path, SentAt, Now, Status,
                       Reply ? Reply->m_Body : ""))
    IsAllowed = false;
  if (isDenial(Status) && IsAllowed && m_Touch.isInTouch(VmName, SentAt, Now))
    fail("DENIED", fmt::format("{} {} of {} bytes got {}: {}", Id, Path,
                               Body.size(), Status, Reply->m_Body));
  return Reply && Reply->header("Connection") != "close";
}

bool DeploymentRun::checkAddedRoute(const std::string &VmName,
                                    const std::string &Id,
                                    const std::string &Path, SteadyTime SentAt,
                                    SteadyTime Now, unsigned Status,
                                    const std::string &Body) {
  const SteadyTime Due = SentAt - ConfigTime;
  AddedRoute Route;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found =
        m_Routes.find(std::atoi(Path.c_str() + AddedPrefix.size()));
    if (Found == m_Routes.end())
      return false;
    Route = Found->second;
  }
  const bool IsInForce = Route.m_AddedAt < Due && Route.m_RemovedFrom > Now;
  const bool IsDropped = Route.m_RemovedAt < Due;
  if ((!IsInForce && !IsDropped) || !m_Touch.isInTouch(VmName, SentAt, Now))
    return IsInForce;
  {
    const std::lock_guard Lock(m_Mutex);
    ++m_AnswersByVersion[Route.m_Version][Status];
  }
  const bool IsUnknown =
      Status == 404 ||
      (Status == 503 && Body.find("\"not-ready\"") != std::string::npos);
  const auto SinceAck = std::chrono::floor<milliseconds>(
      SentAt - (IsDropped ? Route.m_RemovedAt : Route.m_AddedAt));
  if (IsInForce && IsUnknown)
    fail("CONFIG",
         fmt::format("{} {} got {} {} ms after version {} added it", Id, Path,
                     Status, SinceAck.count(), Route.m_Version));
  if (IsDropped && Status == 200)
    fail("CONFIG",
         fmt::format("{} {} was served {} ms after version {} dropped it", Id,
                     Path, SinceAck.count(), Route.m_Version));
  return IsInForce;
}

void DeploymentRun::runCaller(std::size_t Number) {
  std::mt19937 Random(m_Options.m_Seed * 1000 +
                      static_cast<std::uint32_t>(Number));
  std::size_t Count = 0;
  while (!m_Stopping) {
    const Vm *Server = nullptr;
    {
      const std::lock_guard Lock(m_Mutex);
      Server = m_Vms[Random() % m_UsableVmCount].get();
    }
    const std::string Name = Server->m_Name;
    RawClient Client(Server->m_Process->m_CallerPort,
                     Server->m_Process->m_Ipv4Address);
    bool IsUsable = Client.hasConnected();
    for (int I = 0; IsUsable && I < RequestsPerConnection && !m_Stopping; ++I) {
      const auto Mix = m_IsCrowded ? std::array{0, 0, 0, 1, 2, 2, 2, 2, 2, 3}
                                   : std::array{0, 0, 0, 0, 0, 0, 1, 1, 2, 3};
      const RequestForm &Form = Forms[Mix[Random() % Mix.size()]];
      std::string Body;
      if (std::string_view(Form.m_Kind) == "unsafe") {
        const std::lock_guard Lock(m_Mutex);
        Body.assign(Random() % 8 == 0 ? m_LeastBodyLimit : 300, 'b');
      }
      const std::string Id = fmt::format("{}/{}-{}", Name, Number, Count++);
      IsUsable = exchange(Client, Name, Id,
                          fmt::format("{}{}", Form.m_Path, Random() % 500),
                          Body, Random() % 2 == 0, Random);
      std::this_thread::sleep_for(CallerInterval);
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
}

void DeploymentRun::runProbe(std::size_t VmIndex) {
  std::mt19937 Random(m_Options.m_Seed * 2000 +
                      static_cast<std::uint32_t>(VmIndex));
  std::size_t Count = 0;
  while (!m_Stopping) {
    std::this_thread::sleep_for(ProbeInterval);
    const Vm *Probed = nullptr;
    std::vector<int> Numbers;
    {
      const std::lock_guard Lock(m_Mutex);
      if (VmIndex >= m_UsableVmCount)
        continue;
      Probed = m_Vms[VmIndex].get();
      const SteadyTime Now = steady_clock::now();
      const SteadyTime Due = Now - ConfigTime;
      for (const auto &[Number, Each] : m_Routes)
        if ((Each.m_AddedAt < Due && Each.m_RemovedFrom == SteadyTime::max()) ||
            (Each.m_RemovedAt < Due &&
             Each.m_RemovedAt > Now - DroppedProbeTime))
          Numbers.push_back(Number);
    }
    const SteadyTime Now = steady_clock::now();
    if (Numbers.empty() || !m_Touch.isUndisturbed(Probed->m_Name, Now, Now))
      continue;
    RawClient Client(Probed->m_Process->m_CallerPort,
                     Probed->m_Process->m_Ipv4Address);
    bool IsUsable = Client.hasConnected();
    for (int I = 0; IsUsable && I < ProbesPerConnection; ++I)
      IsUsable = exchange(Client, Probed->m_Name,
                          fmt::format("{}/probe-{}", Probed->m_Name, Count++),
                          fmt::format("{}{}/x", AddedPrefix,
                                      Numbers[Random() % Numbers.size()]),
                          "", false, Random);
  }
}

// Run.

std::vector<std::string> DeploymentRun::run() {
  m_Fleet.runOnStandinThread([this] {
    auto *Ticks = new QTimer(m_Context.get());
    auto Last = std::make_shared<SteadyTime>(steady_clock::now());
    QObject::connect(Ticks, &QTimer::timeout, Ticks, [this, Last] {
      const SteadyTime Now = steady_clock::now();
      m_LagMs = std::chrono::ceil<milliseconds>(Now - *Last).count();
      *Last = Now;
    });
    Ticks->start(LagInterval);
    const SteadyTime Start = steady_clock::now();
    for (const auto &Each : m_Targets) {
      Each->m_NextHeartbeat =
          Start + randomTime(0, static_cast<int>(HeartbeatInterval.count()));
      Each->m_LapsesAt = Start + EntryLifetime;
    }
    auto *Heartbeats = new QTimer(m_Context.get());
    QObject::connect(Heartbeats, &QTimer::timeout, Heartbeats,
                     [this] { writeHeartbeats(steady_clock::now()); });
    Heartbeats->start(HeartbeatTick);
  });
  for (std::size_t I = 0; I < m_Options.m_CallerCount; ++I)
    m_Callers.emplace_back([this, I] { runCaller(I); });
  for (std::size_t I = 0; I < m_Options.m_VmCount + m_Options.m_SpareVmCount;
       ++I)
    m_Callers.emplace_back([this, I] { runProbe(I); });
  if (m_Options.m_CpuShare < 1)
    m_Sharer = std::thread([this] { shareProcessor(); });
  std::vector<int> Weights;
  for (const Step &Each : steps())
    Weights.push_back(Each.m_WeightOption ? m_Options.*Each.m_WeightOption
                                          : Each.m_Weight);
  std::discrete_distribution<std::size_t> Choice(Weights.begin(),
                                                 Weights.end());
  const SteadyTime End = steady_clock::now() + m_Options.m_Length;
  while (steady_clock::now() < End) {
    const SteadyTime NextStep =
        steady_clock::now() +
        randomTime(static_cast<int>(StepInterval.count()),
                   3 * static_cast<int>(StepInterval.count()));
    while (steady_clock::now() < NextStep) {
      std::this_thread::sleep_for(TaskInterval);
      runDueTasks();
      if (m_IsReturnDue)
        returnStore();
    }
    const Step &Next = steps()[Choice(m_Random)];
    note(Next.m_Name);
    (this->*Next.m_Run)();
  }
  m_Stopping = true;
  for (std::thread &Each : m_Callers)
    Each.join();
  if (m_Sharer.joinable())
    m_Sharer.join();
  for (const auto &Each : m_Vms)
    collectLearning(*Each);
  for (const test::ConfigViolation &Each :
       m_ConfigChecks.violations(steady_clock::now()))
    fail(Each.m_Rule, Each.m_Message);
  if (!m_Options.m_LogFolder.empty())
    for (const auto &Each : m_Vms) {
      std::filesystem::create_directories(m_Options.m_LogFolder);
      std::ofstream Output(fmt::format("{}/{}-{}.log", m_Options.m_LogFolder,
                                       m_Options.m_Seed, Each->m_Name));
      for (const std::string &Line : Each->m_Process->m_Process->lines())
        Output << Line << '\n';
    }
  const std::lock_guard Lock(m_Mutex);
  return m_Failures;
}

std::string DeploymentRun::summary() const {
  const std::lock_guard Lock(m_Mutex);
  std::string Summary;
  for (const auto &[Status, Count] : m_Statuses)
    Summary += fmt::format(" {}x{}", Count, Status);
  for (const auto &[Rule, Count] : m_FailureCounts)
    Summary += fmt::format(" {}={}", Rule, Count);
  Summary += "\n  answers by version, on routes changed over 3 s before:";
  for (const auto &[Version, Statuses] : m_AnswersByVersion) {
    Summary += fmt::format(" {}:", Version);
    for (const auto &[Status, Count] : Statuses)
      Summary += fmt::format("{}x{},", Count, Status);
  }
  return Summary + "\n" + m_ConfigChecks.summary() + "\n" + m_Learning.report();
}

void DeploymentRun::fail(const std::string &Rule, const std::string &Message) {
  const std::lock_guard Lock(m_Mutex);
  if (++m_FailureCounts[Rule] <= MaxFailuresPerRule)
    m_Failures.push_back(Rule + ": " + Message);
}

void DeploymentRun::note(const std::string &Text) const {
  if (m_Options.m_IsVerbose)
    fmt::print(stderr, "seed {}: {} {}\n", m_Options.m_Seed,
               QDateTime::currentDateTimeUtc()
                   .toString(Qt::ISODateWithMs)
                   .toStdString(),
               Text);
}

void DeploymentRun::after(milliseconds Delay, std::function<void()> Task) {
  m_Tasks.emplace(steady_clock::now() + Delay, std::move(Task));
}

void DeploymentRun::runDueTasks() {
  while (!m_Tasks.empty() && m_Tasks.begin()->first <= steady_clock::now()) {
    const auto Task = std::move(m_Tasks.begin()->second);
    m_Tasks.erase(m_Tasks.begin());
    Task();
  }
}

milliseconds DeploymentRun::randomTime(int MinMs, int MaxMs) {
  return milliseconds(
      std::uniform_int_distribution<int>(MinMs, MaxMs)(m_Random));
}

// VMs.

auto DeploymentRun::acquireVm() -> Vm * {
  const auto Busy =
      std::count_if(m_Vms.begin(), m_Vms.end(),
                    [](const auto &Each) { return Each->m_IsBusy; });
  Vm *Chosen = m_Vms[m_Random() % m_Vms.size()].get();
  if (Chosen->m_IsBusy || Busy > 3)
    return nullptr;
  Chosen->m_IsBusy = true;
  m_Touch.begin(Chosen->m_Name, steady_clock::now());
  return Chosen;
}

void DeploymentRun::release(Vm &Released) {
  m_Touch.end(Released.m_Name, steady_clock::now());
  Released.m_IsBusy = false;
}

void DeploymentRun::setShared(Vm &Changed, bool IsShared) {
  const std::lock_guard Lock(m_Mutex);
  if (!Changed.m_Runs)
    Changed.m_Process->m_Process->signal(SIGCONT);
  Changed.m_Runs = true;
  Changed.m_IsShared = IsShared;
}

void DeploymentRun::shareProcessor() {
  // The VMs' slices are spread over the interval.
  constexpr std::size_t Shift = 37;
  const auto RunTime = static_cast<std::int64_t>(
      std::ceil(m_Options.m_CpuShare * static_cast<double>(Slice.count())));
  while (!m_Stopping) {
    std::this_thread::sleep_for(milliseconds(1));
    const auto Now = std::chrono::floor<milliseconds>(
        steady_clock::now().time_since_epoch());
    const std::lock_guard Lock(m_Mutex);
    for (std::size_t I = 0; I < m_Vms.size(); ++I) {
      Vm &Each = *m_Vms[I];
      const bool Runs =
          (Now + milliseconds(I * Shift)) % Slice < milliseconds(RunTime);
      if (!Each.m_IsShared || Runs == Each.m_Runs)
        continue;
      Each.m_Process->m_Process->signal(Runs ? SIGCONT : SIGSTOP);
      Each.m_Runs = Runs;
    }
  }
  for (const auto &Each : m_Vms)
    setShared(*Each, false);
}

void DeploymentRun::restart(Vm &Restarted) {
  setShared(Restarted, false);
  Restarted.m_Process->m_Process->waitForExit();
  if (m_Random() % 4 == 0)
    addRoute();
  collectLearning(Restarted);
  m_ConfigChecks.onVmStarted(Restarted.m_Name, steady_clock::now());
  m_Fleet.launch(*Restarted.m_Process, false);
  setShared(Restarted, true);
  release(Restarted);
}

void DeploymentRun::stopVm() {
  if (Vm *Stopped = acquireVm()) {
    Stopped->m_Process->m_Process->signal(SIGTERM);
    after(randomTime(4000, 6000), [this, Stopped] { restart(*Stopped); });
  }
}

void DeploymentRun::killVm() {
  if (Vm *Killed = acquireVm()) {
    Killed->m_Process->m_Process->signal(SIGKILL);
    after(randomTime(300, 3500), [this, Killed] { restart(*Killed); });
  }
}

void DeploymentRun::freezeVm() {
  if (Vm *Frozen = acquireVm()) {
    setShared(*Frozen, false);
    Frozen->m_Process->m_Process->signal(SIGSTOP);
    after(randomTime(500, 4000), [this, Frozen] {
      Frozen->m_Process->m_Process->signal(SIGCONT);
      setShared(*Frozen, true);
      release(*Frozen);
    });
  }
}

void DeploymentRun::reloadVm() {
  Vm &Reloaded = *m_Vms[m_Random() % m_Vms.size()];
  if (!Reloaded.m_IsBusy)
    Reloaded.m_Process->m_Process->signal(SIGHUP);
}

void DeploymentRun::addVm() {
  if (m_Vms.size() < m_Options.m_VmCount + m_Options.m_SpareVmCount)
    startVm();
}

void DeploymentRun::cutVmFromStore() {
  Vm *Cut = acquireVm();
  if (!Cut)
    return;
  const bool IsReset = m_Random() % 2 == 0;
  m_Fleet.runOnStandinThread([&] {
    Cut->m_Store->setMode(ProxyMode::Silent);
    Cut->m_Store->silenceOpenConnections();
  });
  after(randomTime(1500, 5500), [this, Cut, IsReset] {
    m_Fleet.runOnStandinThread([&] {
      Cut->m_Store->setMode(ProxyMode::Forward);
      if (IsReset)
        Cut->m_Store->resetOpenConnections();
    });
    release(*Cut);
  });
}

void DeploymentRun::killAllVms() {
  addRoute();
  std::vector<Vm *> Killed;
  for (const auto &Each : m_Vms) {
    if (Each->m_IsBusy)
      continue;
    Each->m_IsBusy = true;
    m_Touch.begin(Each->m_Name, steady_clock::now());
    Each->m_Process->m_Process->signal(SIGKILL);
    Killed.push_back(Each.get());
  }
  after(randomTime(300, 1500), [this, Killed] {
    for (Vm *Each : Killed)
      restart(*Each);
  });
}

// Configuration.

void DeploymentRun::changeRoutes(const std::vector<int> &Added,
                                 const std::vector<int> &Dropped) {
  {
    const std::lock_guard Lock(m_Mutex);
    for (const int Number : Added)
      m_Routes[Number] = {};
    for (const int Number : Dropped)
      m_Routes[Number].m_RemovedFrom = steady_clock::now();
  }
  publishConfig();
  const SteadyTime Now = steady_clock::now();
  const std::lock_guard Lock(m_Mutex);
  for (const int Number : Added) {
    m_Routes[Number].m_AddedAt = Now;
    m_Routes[Number].m_Version = m_ConfigVersion;
  }
  for (const int Number : Dropped) {
    m_Routes[Number].m_RemovedAt = Now;
    m_Routes[Number].m_Version = m_ConfigVersion;
  }
}

std::optional<int> DeploymentRun::randomRoute(bool IsLive) {
  constexpr std::size_t Recent = 8;
  std::vector<int> Numbers;
  {
    const std::lock_guard Lock(m_Mutex);
    for (auto Each = m_Routes.rbegin();
         Each != m_Routes.rend() && Numbers.size() < Recent; ++Each)
      if ((Each->second.m_RemovedFrom == SteadyTime::max()) == IsLive)
        Numbers.push_back(Each->first);
  }
  if (Numbers.empty())
    return std::nullopt;
  return Numbers[m_Random() % Numbers.size()];
}

void DeploymentRun::addRoute() {
  constexpr int MaxAdded = 4;
  int Number = 0;
  std::vector<int> Dropped;
  {
    const std::lock_guard Lock(m_Mutex);
    Number = static_cast<int>(m_Routes.size());
    const auto Oldest = m_Routes.find(Number - MaxAdded);
    if (Oldest != m_Routes.end() &&
        Oldest->second.m_RemovedFrom == SteadyTime::max())
      Dropped.push_back(Oldest->first);
  }
  changeRoutes({Number}, Dropped);
}

void DeploymentRun::dropRoute() {
  if (const auto Number = randomRoute(true))
    changeRoutes({}, {*Number});
}

void DeploymentRun::addRouteAgain() {
  if (const auto Number = randomRoute(false))
    changeRoutes({*Number}, {});
}

void DeploymentRun::changeInBurst() {
  constexpr std::array Changes{&DeploymentRun::addRoute,
                               &DeploymentRun::dropRoute,
                               &DeploymentRun::addRouteAgain};
  const std::size_t Count = 3 + m_Random() % 3;
  for (std::size_t I = 0; I < Count; ++I)
    after(randomTime(0, 900),
          [this, Change = Changes[m_Random() % 3]] { (this->*Change)(); });
}

void DeploymentRun::writeForeignConfig() {
  // A version must be known before another writer takes its number.
  if (steady_clock::now() - m_ConfigAckedAt < ConfigTime)
    return;
  const bool IsEqual = m_Random() % 2 == 0;
  m_IsConfigForeign = true;
  m_Fleet.runOnStandinThread([&] {
    QJsonObject Foreign = m_Config;
    QJsonArray Routes;
    for (std::size_t I = 0; I < Forms.size(); ++I)
      Routes.append(Foreign["routes"].toArray()[static_cast<qsizetype>(I)]);
    Foreign["routes"] = IsEqual ? QJsonValue(Routes) : QJsonValue(7);
    if (!IsEqual)
      Foreign["version"] = m_ConfigVersion + 1;
    m_ConfigChecks.onForeignPublished(Foreign["version"].toInt(),
                                      test::checkedRoutes(Foreign),
                                      steady_clock::now());
    m_Fleet.m_Store->put("config", "main", Foreign);
    note(fmt::format("  foreign {} version has revision {}",
                     IsEqual ? "equal" : "invalid",
                     m_Fleet.m_Store->revision()));
  });
  after(randomTime(300, 1500), [this] { addRoute(); });
}

void DeploymentRun::reshard() {
  {
    const std::lock_guard Lock(m_Mutex);
    m_FloodShardCount = m_FloodShardCount == m_Options.m_ShardCount
                            ? m_Options.m_ShardCount - 1
                            : m_Options.m_ShardCount;
  }
  publishConfig();
}

void DeploymentRun::changeLimits() {
  std::size_t Limit = 0;
  {
    const std::lock_guard Lock(m_Mutex);
    m_BodyLimit = m_BodyLimit == 262144 ? 400000 : 262144;
    m_LeastBodyLimit = std::min(m_LeastBodyLimit, m_BodyLimit);
    Limit = m_BodyLimit;
  }
  publishConfig();
  after(ConfigTime, [this, Limit] {
    const std::lock_guard Lock(m_Mutex);
    if (m_BodyLimit == Limit)
      m_LeastBodyLimit = Limit;
  });
}

// Targets' plans and faults.

auto DeploymentRun::randomReadyTarget() -> Target * {
  Target *Chosen = m_Targets[m_Random() % m_Targets.size()].get();
  // Half of the choices fall on the service with the long calls.
  if (m_Random() % 2 == 0)
    for (int Try = 0; Try < 50 && Chosen->m_Service != LookupService; ++Try)
      Chosen = m_Targets[m_Random() % m_Targets.size()].get();
  return Chosen->m_LeftAt == SteadyTime::max() &&
                 Chosen->m_DownUntil < steady_clock::now()
             ? Chosen
             : nullptr;
}

void DeploymentRun::leave(bool Announced) {
  Target *Leaving = randomReadyTarget();
  if (!Leaving)
    return;
  addTarget(Leaving->m_Service);
  m_Fleet.runOnStandinThread([&] {
    const SteadyTime Now = steady_clock::now();
    const std::int64_t AckMs = unixMillis();
    Leaving->m_IsLeaving = Announced;
    if (Announced)
      writeEntry(*Leaving, Now);
    else
      removeEntry(*Leaving);
    Leaving->m_LeftAt = steady_clock::now();
    Leaving->m_LeftWhileStable = m_Touch.isStoreStable(Leaving->m_LeftAt);
    // A change that a return may lose has no revision to wait for.
    if (Leaving->m_LeftWhileStable)
      m_Learning.onAck({.m_Part = "targets",
                        .m_Era = m_Fleet.m_Store->m_Era,
                        .m_Revision = m_Fleet.m_Store->revision(),
                        .m_AckMs = AckMs});
    note(fmt::format("  {} {}, {}, revision {}", Leaving->m_Id,
                     Announced ? "drains" : "is removed",
                     Leaving->m_LeftWhileStable ? "stable" : "unstable",
                     m_Fleet.m_Store->revision()));
  });
  const milliseconds ServesOn =
      randomTime(static_cast<int>(LeastServesOn.count()),
                 static_cast<int>(MostServesOn.count()));
  // In half of the cases the entry is gone before the target is.
  if (m_Random() % 2 == 0)
    after(DrainTime + LeastServesOn, [this, Leaving] {
      m_Fleet.runOnStandinThread([&] { removeEntry(*Leaving); });
    });
  after(DrainTime + ServesOn, [this, Leaving] {
    m_Fleet.runOnStandinThread([&] {
      removeEntry(*Leaving);
      Leaving->m_Searcher->server().crash(std::chrono::hours(1));
    });
  });
}

void DeploymentRun::removeEntry(Target &Removed) {
  Removed.m_WritesEntry = false;
  m_Fleet.m_Store->remove("servers", Removed.m_Id);
}

void DeploymentRun::drainTarget() { leave(true); }

void DeploymentRun::removeTarget() { leave(false); }

void DeploymentRun::slowTarget() {
  Target *Slowed = randomReadyTarget();
  if (!Slowed)
    return;
  m_Fleet.runOnStandinThread([&] { Slowed->m_Slowness = 8; });
  after(seconds(6), [this, Slowed] {
    m_Fleet.runOnStandinThread([&] { Slowed->m_Slowness = 1; });
  });
}

void DeploymentRun::crashTarget() {
  Target *Crashed = randomReadyTarget();
  if (!Crashed)
    return;
  const milliseconds Downtime = randomTime(500, 8000);
  m_Fleet.runOnStandinThread([&] {
    Crashed->m_Searcher->server().crash(Downtime);
    Crashed->m_DownUntil = steady_clock::now() + Downtime;
    Crashed->m_NextHeartbeat = Crashed->m_DownUntil;
    Crashed->m_ColdUntil = Crashed->m_DownUntil + ColdTime;
    Crashed->m_Searcher->m_Sequence = 0;
    Crashed->m_Searcher->m_Born += 1000 + Downtime.count();
  });
}

// The store.

void DeploymentRun::forEachProxy(
    bool IncludeBusyVms, const std::function<void(FaultProxy &)> &Apply) {
  m_Fleet.runOnStandinThread([&] {
    for (const auto &Each : m_Vms)
      if (IncludeBusyVms || !Each->m_IsBusy)
        Apply(*Each->m_Store);
  });
}

void DeploymentRun::collectLearning(const Vm &Source) {
  for (const std::string &Line : Source.m_Process->m_Process->lines())
    m_Learning.addLine(Source.m_Name, Line);
}

void DeploymentRun::disruptStore(
    milliseconds Time, const std::function<void(bool IsDisrupted)> &Apply) {
  const SteadyTime Now = steady_clock::now();
  if (Now < m_StoreQuietFrom || m_IsReturnDue)
    return;
  m_StoreQuietFrom = Now + Time + StoreQuietTime;
  m_Touch.begin("", Now);
  Apply(true);
  after(Time, [this, Apply] {
    Apply(false);
    m_Touch.end("", steady_clock::now());
  });
}

void DeploymentRun::silenceStoreConnections() {
  disruptStore(milliseconds(1), [this](bool IsDisrupted) {
    if (!IsDisrupted)
      return;
    forEachProxy(false,
                 [](FaultProxy &Each) { Each.silenceOpenConnections(); });
    // What the operator and the targets say now reaches no VM by these.
    after(randomTime(0, 1500), [this] { addRoute(); });
    after(randomTime(4000, 5000), [this] { drainTarget(); });
  });
}

void DeploymentRun::silenceOneVm() {
  Vm *Silenced = acquireVm();
  if (!Silenced)
    return;
  m_Fleet.runOnStandinThread(
      [&] { Silenced->m_Store->silenceOpenConnections(); });
  release(*Silenced);
  after(randomTime(0, 3500), [this] { addRoute(); });
  after(randomTime(3500, 5500), [this] { drainTarget(); });
  after(randomTime(3500, 5500), [this] { removeTarget(); });
  after(randomTime(3500, 5500), [this] { addRoute(); });
}

void DeploymentRun::returnStore() {
  // A copy of a foreign version would hold until the operator's next one.
  m_IsReturnDue = steady_clock::now() < m_StoreQuietFrom || m_IsConfigForeign;
  if (m_IsReturnDue)
    return;
  m_StoreQuietFrom = SteadyTime::max();
  m_Fleet.runOnStandinThread([&] { m_Fleet.m_Store->saveCopy(); });
  milliseconds Lost = randomTime(1000, 6000);
  if (m_Random() % 2 == 0) {
    // All entries lapse and are back before the return: many revisions are
    // lost, and few are assigned again.
    const milliseconds Outage = randomTime(3700, 4500);
    Lost = Outage + randomTime(1300, 2500);
    m_Touch.begin("", steady_clock::now());
    setStoreDown(true, true);
    after(Outage, [this] { setStoreDown(false, true); });
  } else {
    changeInBurst();
  }
  // What is written from here on is lost, even just before the return.
  for (const auto Change :
       {&DeploymentRun::addRoute, &DeploymentRun::dropRoute,
        &DeploymentRun::drainTarget, &DeploymentRun::removeTarget})
    after(Lost - randomTime(0, 900), [this, Change] { (this->*Change)(); });
  after(Lost, [this] {
    m_Touch.begin("", steady_clock::now());
    returnFromCopy(m_Random() % 3 == 0 ? 1 : 0);
  });
}

void DeploymentRun::returnFromCopy(int FurtherReturns) {
  setStoreDown(true, false);
  // The operator can't write meanwhile either.
  std::this_thread::sleep_for(randomTime(100, 1000));
  const bool SavesAgain = m_Random() % 2 == 0;
  m_Fleet.runOnStandinThread([&] {
    const std::uint64_t Last = m_Fleet.m_Store->revision();
    m_Fleet.m_Store->returnFromCopy();
    note(fmt::format("  the store returns from revision {} to {}", Last,
                     m_Fleet.m_Store->revision()));
    m_Fleet.m_Store->m_IsDown = false;
    if (SavesAgain)
      m_Fleet.m_Store->saveCopy();
    writeAgain();
  });
  for (const auto Change :
       {&DeploymentRun::addRoute, &DeploymentRun::drainTarget,
        &DeploymentRun::removeTarget})
    if (m_Random() % 2 == 0)
      after(randomTime(0, 1500), [this, Change] { (this->*Change)(); });
  if (FurtherReturns > 0) {
    after(randomTime(300, 2500),
          [this, FurtherReturns] { returnFromCopy(FurtherReturns - 1); });
    return;
  }
  m_StoreQuietFrom = steady_clock::now() + RewriteTime + StoreQuietTime;
  after(RewriteTime + HeartbeatTick, [this] {
    m_Touch.end("", steady_clock::now());
    for (const auto Change :
         {&DeploymentRun::addRoute, &DeploymentRun::dropRoute,
          &DeploymentRun::drainTarget, &DeploymentRun::removeTarget})
      after(randomTime(4200, 5000), [this, Change] { (this->*Change)(); });
  });
}

void DeploymentRun::writeAgain() {
  const auto Later = [this](const std::function<void()> &Write) {
    QTimer::singleShot(randomTime(0, static_cast<int>(RewriteTime.count())),
                       m_Context.get(), Write);
  };
  Later([this] {
    m_Fleet.m_Store->put("config", "main", m_Config);
    note(fmt::format("  version {} is written again, revision {}",
                     m_Config["version"].toInt(), m_Fleet.m_Store->revision()));
  });
  // Those that write heartbeats go on with them.
  for (const auto &Each : m_Targets)
    if (!Each->m_WritesEntry)
      Later(
          [this, Id = Each->m_Id] { m_Fleet.m_Store->remove("servers", Id); });
}

void DeploymentRun::takeStoreDown() {
  disruptStore(randomTime(1000, 4500), [this](bool IsDisrupted) {
    setStoreDown(IsDisrupted, m_Random() % 2 == 0);
  });
}

void DeploymentRun::setStoreDown(bool IsDown, bool Lapses) {
  m_Fleet.runOnStandinThread([&] {
    m_LapsesWhileDown = Lapses;
    m_Fleet.m_Store->m_IsDown = IsDown;
  });
}

void DeploymentRun::slowStore() {
  disruptStore(randomTime(1000, 4500), [this](bool IsDisrupted) {
    forEachProxy(!IsDisrupted, [&](FaultProxy &Each) {
      Each.setMode(IsDisrupted ? ProxyMode::Delay : ProxyMode::Forward);
    });
  });
}

void DeploymentRun::loseStoreReplies() {
  disruptStore(randomTime(1000, 4500), [this](bool IsDisrupted) {
    forEachProxy(!IsDisrupted, [&](FaultProxy &Each) {
      // A connection that has lost a reply stays silent.
      if (!IsDisrupted)
        Each.silenceOpenConnections();
      Each.setMode(IsDisrupted ? ProxyMode::DropReplies : ProxyMode::Forward);
    });
  });
}

void DeploymentRun::compactHistory() {
  disruptStore(seconds(1), [this](bool IsDisrupted) {
    m_Fleet.runOnStandinThread([&] {
      m_Fleet.m_Store->m_SuppressesWatchEvents = IsDisrupted;
      if (IsDisrupted)
        return;
      m_Fleet.m_Store->compactHistory();
      m_Fleet.m_Store->dropConnections();
    });
  });
}

} // namespace figturn::soak
