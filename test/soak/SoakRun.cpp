#include "soak/SoakRun.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>

namespace figturn::soak {

using test::RawClient;
using test::RoutedAnswer;
using test::RoutedFleet;

namespace {

constexpr int DeadlineMs = 1500;
constexpr int RequestsPerConnection = 40;
constexpr std::chrono::milliseconds RequestInterval{10};

/** After this time, a fleet that doesn't serve yet counts as not recovered. It
 *  only ends the run and is no requirement on the recovery time. */
constexpr std::chrono::seconds RecoveryTimeout{60};
constexpr std::chrono::milliseconds RecoveryInterval{100};

/** Two records that no other searcher has. */
std::string recordsOf(const std::string &Id) {
  return fmt::format("{:<16.16}{:<16.16}", Id + "/1", Id + "/2");
}

/** First loopback address of this process; each process has its own range, so
 *  that concurrent soaks share no ports. */
std::uint32_t loopbackAddressOfProcess() {
  constexpr std::uint32_t LoopbackNet = 127U << 24U;
  constexpr std::uint32_t Subnets = 0xffff;
  const auto Subnet = static_cast<std::uint32_t>(::getpid()) % Subnets + 1;
  return LoopbackNet + (Subnet << 8U) + 1;
}

} // namespace

const std::vector<SoakRun::Fault> &SoakRun::faults() {
  static const std::vector<Fault> All{
      {"freeze VM", &SoakRun::freezeVm},
      {"kill VM", &SoakRun::killVm},
      {"kill all VMs", &SoakRun::killAllVms},
      {"stop VM", &SoakRun::stopVm},
      {"stop VM", &SoakRun::stopVm},
      {"reload VM", &SoakRun::reloadVm},
      {"degrade target's connections", &SoakRun::degradeTargetConnections},
      {"reset target's connections", &SoakRun::resetTargetConnections},
      {"silence target's connections", &SoakRun::silenceTargetConnections},
      {"crash target", &SoakRun::crashTarget},
      {"replace target", &SoakRun::replaceTarget},
      {"drain target", &SoakRun::drainTarget},
      {"evacuate data centre", &SoakRun::evacuateDataCentre},
      {"take store down", &SoakRun::takeStoreDown},
      {"suppress watch events", &SoakRun::suppressWatchEvents},
      {"degrade store's connections", &SoakRun::degradeStoreConnections},
      {"silence store's connections", &SoakRun::silenceStoreConnections},
      {"compact store's history", &SoakRun::compactHistory},
      {"change configuration", &SoakRun::changeConfig},
      {"change configuration", &SoakRun::changeConfig}};
  return All;
}

SoakRun::SoakRun(SoakOptions Options)
    : m_Options(Options), m_Random(Options.m_Seed),
      m_Fleet(loopbackAddressOfProcess()), m_KillCounts(Options.m_VmCount) {
  m_Fleet.runOnStandinThread([this] {
    m_StoreProxy = std::make_unique<FaultProxy>(m_Fleet.m_Store->port());
  });
  m_Fleet.m_StoreAddress = m_StoreProxy->address();
  publishConfig();
  for (const char *Service : {"s-0", "s-1", "desk"})
    for (std::size_t I = 0; I < m_Options.m_ReplicasPerService; ++I)
      addReplica(Service);
  for (std::size_t I = 0; I < m_Options.m_VmCount; ++I)
    m_Fleet.startVm();
}

SoakRun::~SoakRun() {
  m_Stopping = true;
  for (std::thread &Each : m_Callers)
    if (Each.joinable())
      Each.join();
  m_Fleet.runOnStandinThread([this] {
    m_StoreProxy.reset();
    for (const auto *Group : {&m_Replicas, &m_RemovedReplicas})
      for (const auto &Each : *Group)
        Each->m_Proxy.reset();
  });
}

SoakRun::Replica &SoakRun::addReplica(const std::string &Service) {
  static const std::vector<std::string> DataCentres{"dc-a", "dc-b", "dc-c"};
  auto Created = std::make_unique<Replica>();
  const std::size_t Number = m_ReplicasCreated++;
  Created->m_Id = fmt::format("i-{}", Number);
  Created->m_Service = Service;
  Created->m_DataCentre = DataCentres[Number % DataCentres.size()];
  m_Checks.addSearcher(Created->m_Id, Service, recordsOf(Created->m_Id));
  m_Fleet.runOnStandinThread([&] {
    m_Fleet.m_Searchers.push_back(std::make_unique<standin::SearcherStandin>(
        Created->m_Id, Service, Created->m_DataCentre));
    standin::SearcherStandin &Searcher = *m_Fleet.m_Searchers.back();
    Searcher.m_Body = recordsOf(Created->m_Id);
    const auto Answer = Searcher.m_RunHandler;
    Searcher.m_RunHandler = [this, Id = Created->m_Id,
                             Answer](const auto &Request, auto Reply) {
      m_Checks.onRun(Id, Request);
      Answer(Request, Reply);
    };
    Created->m_Searcher = &Searcher;
    Created->m_Proxy = std::make_unique<FaultProxy>(Searcher.server().port());
  });
  publishReplica(*Created, "ready");
  m_Replicas.push_back(std::move(Created));
  return *m_Replicas.back();
}

void SoakRun::publishReplica(const Replica &Published,
                             const std::string &State) {
  m_Fleet.runOnStandinThread([&] {
    QJsonObject Entry = Published.m_Searcher->entry(State);
    Entry["address"] = toQt(Published.m_Proxy->address());
    Entry["born"] = qint64{Published.m_StartedMs};
    m_Fleet.m_Store->put("servers", Published.m_Id, Entry);
  });
}

void SoakRun::publishConfig() {
  QJsonObject Config = test::routedConfig(m_ConfigVersion);
  QJsonArray Routes = Config["routes"].toArray();
  QJsonObject Added = Routes[1].toObject(); // A lookup route.
  Added["name"] = toQt(fmt::format("added-{}", m_AddedRoute));
  Added["path_prefix"] = toQt(fmt::format("/added/{}/", m_AddedRoute));
  Routes.append(Added);
  Config["routes"] = Routes;
  m_Fleet.publish(Config);
}

// Callers.

void SoakRun::runCaller(std::size_t VmIndex, std::size_t Caller) {
  const RoutedFleet::Vm &Vm = *m_Fleet.m_Vms[VmIndex];
  std::mt19937 Random(
      static_cast<std::uint32_t>(std::size_t{m_Options.m_Seed} * 1000 +
                                 VmIndex * m_Options.m_CallersPerVm + Caller));
  std::size_t Count = 0;
  while (!m_Stopping) {
    RawClient Client(Vm.m_CallerPort, Vm.m_Ipv4Address);
    bool IsUsable = Client.hasConnected();
    for (int Use = 0; IsUsable && Use < RequestsPerConnection && !m_Stopping;
         ++Use) {
      SentRequest Request{
          .m_Id = fmt::format("q-{}-{}-{}", VmIndex, Caller, Count++),
          .m_Method = "GET",
          .m_DeadlineMs = DeadlineMs};
      switch (Random() % 3) {
      case 0:
        Request.m_Path = "/search/x";
        break;
      case 1:
        Request.m_Path = fmt::format("/look/{}", Random() % 50);
        break;
      default:
        Request.m_Method = "POST";
        Request.m_Path = "/book/x";
        Request.m_Body = "order " + Request.m_Id;
        break;
      }
      m_Checks.onSent(Request);
      const int Kills = m_KillCounts[VmIndex];
      const RoutedAnswer Answer = RoutedFleet::exchange(
          Client, Request.m_Method, Request.m_Path,
          RoutedFleet::requestHeaders(Request.m_Id, DeadlineMs),
          Request.m_Body);
      m_Checks.onAnswer(Request, Answer, m_KillCounts[VmIndex] != Kills);
      IsUsable = Answer.m_Status != 0 && Answer.header("Connection") != "close";
      std::this_thread::sleep_for(RequestInterval);
    }
    std::this_thread::sleep_for(RequestInterval);
  }
}

// Run.

std::vector<std::string> SoakRun::run() {
  for (std::size_t Vm = 0; Vm < m_Options.m_VmCount; ++Vm)
    for (std::size_t I = 0; I < m_Options.m_CallersPerVm; ++I)
      m_Callers.emplace_back([this, Vm, I] { runCaller(Vm, I); });
  for (std::size_t I = 0; I < m_Options.m_FaultCount; ++I) {
    const Fault &Next = faults()[m_Random() % faults().size()];
    if (m_Options.m_IsVerbose)
      fmt::print(stderr, "seed {}: {}\n", m_Options.m_Seed, Next.m_Name);
    (this->*Next.m_Inject)();
    std::this_thread::sleep_for(randomDuration(50, 500));
    revertDueFaults(false);
  }
  revertDueFaults(true);
  expectRecovery();
  m_Stopping = true;
  for (std::thread &Each : m_Callers)
    Each.join();
  expectCleanShutdowns();
  m_Checks.finish();
  return m_Checks.failures();
}

std::string SoakRun::summary() const {
  std::string Summary;
  for (const auto &[Status, Count] : m_Checks.statuses())
    Summary += fmt::format(" {}x{}", Count, Status);
  return Summary;
}

void SoakRun::revertAfter(std::chrono::milliseconds Delay,
                          std::function<void()> Revert) {
  m_Reverts.emplace(std::chrono::steady_clock::now() + Delay,
                    std::move(Revert));
}

void SoakRun::revertDueFaults(bool WaitForAll) {
  while (!m_Reverts.empty()) {
    const auto First = m_Reverts.begin();
    if (First->first > std::chrono::steady_clock::now()) {
      if (!WaitForAll)
        return;
      std::this_thread::sleep_until(First->first);
    }
    const auto Task = std::move(First->second);
    m_Reverts.erase(First);
    Task();
  }
}

void SoakRun::expectRecovery() {
  ++m_ConfigVersion;
  ++m_AddedRoute;
  publishConfig();
  const std::vector<std::string> Paths{
      "/search/x", "/look/x", fmt::format("/added/{}/x", m_AddedRoute)};
  const auto Deadline = std::chrono::steady_clock::now() + RecoveryTimeout;
  for (const auto &Vm : m_Fleet.m_Vms)
    for (const std::string &Path : Paths) {
      std::size_t Attempt = 0;
      RoutedAnswer Answer;
      do {
        // The new route may still be unknown here: a 404 isn't a violation,
        // so these answers aren't checked.
        RawClient Client(Vm->m_CallerPort, Vm->m_Ipv4Address);
        const SentRequest Request{
            .m_Id = fmt::format("end-{}-{}-{}", Vm->m_Name, Path, Attempt++),
            .m_Method = "GET",
            .m_Path = Path,
            .m_DeadlineMs = DeadlineMs};
        m_Checks.onSent(Request);
        Answer = RoutedFleet::exchange(
            Client, Request.m_Method, Request.m_Path,
            RoutedFleet::requestHeaders(Request.m_Id, DeadlineMs), "");
        std::this_thread::sleep_for(RecoveryInterval);
      } while (
          (Answer.m_Status != 200 || Answer.header("X-Missing-Parts") == "1") &&
          std::chrono::steady_clock::now() < Deadline);
      if (Answer.m_Status != 200)
        m_Checks.fail(fmt::format(
            "{} doesn't serve {} after the faults: {};{}{}", Vm->m_Name, Path,
            Answer.m_Status, lastLines(*Vm, " F06"), lastLines(*Vm, " F08")));
    }
}

void SoakRun::expectCleanShutdowns() {
  for (const auto &Vm : m_Fleet.m_Vms)
    Vm->m_Process->signal(SIGTERM);
  for (const auto &Vm : m_Fleet.m_Vms)
    expectCleanShutdown(*Vm);
}

void SoakRun::expectCleanShutdown(const RoutedFleet::Vm &Vm) {
  const auto Status = Vm.m_Process->waitForExit();
  if (Status != 0)
    m_Checks.fail(fmt::format("{} exited with status {} after SIGTERM:{}",
                              Vm.m_Name, Status.value_or(-1000),
                              lastLines(Vm)));
}

std::string SoakRun::lastLines(const RoutedFleet::Vm &Vm,
                               const std::string &Filter) {
  constexpr std::size_t MaxLines = 6;
  std::vector<std::string> Found;
  for (const std::string &Line : Vm.m_Process->lines())
    if (Line.find(Filter) != std::string::npos)
      Found.push_back(Line);
  std::string Text;
  for (std::size_t I = Found.size() - std::min(Found.size(), MaxLines);
       I < Found.size(); ++I)
    Text += "\n    " + Found[I];
  return Text;
}

std::chrono::milliseconds SoakRun::randomDuration(int MinMs, int MaxMs) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(MinMs, MaxMs)(m_Random));
}

SoakRun::Replica &SoakRun::randomReplica() {
  return *m_Replicas[m_Random() % m_Replicas.size()];
}

RoutedFleet::Vm *SoakRun::acquireVm() {
  RoutedFleet::Vm &Picked = *m_Fleet.m_Vms[m_Random() % m_Fleet.m_Vms.size()];
  return std::exchange(m_BusyVms[Picked.m_Name], true) ? nullptr : &Picked;
}

void SoakRun::kill(RoutedFleet::Vm &Vm) {
  const auto Index =
      std::find_if(m_Fleet.m_Vms.begin(), m_Fleet.m_Vms.end(),
                   [&](const auto &Each) { return Each.get() == &Vm; });
  ++m_KillCounts[static_cast<std::size_t>(Index - m_Fleet.m_Vms.begin())];
  Vm.m_Process->signal(SIGKILL);
  Vm.m_Process->waitForExit();
}

void SoakRun::restart(RoutedFleet::Vm &Vm) {
  m_Fleet.launch(Vm, false);
  Vm.m_Process->waitUntilSigtermBlocked();
  m_BusyVms[Vm.m_Name] = false;
}

// VM faults.

void SoakRun::freezeVm() {
  RoutedFleet::Vm *Vm = acquireVm();
  if (!Vm)
    return;
  Vm->m_Process->signal(SIGSTOP);
  revertAfter(randomDuration(100, 2500), [this, Vm] {
    Vm->m_Process->signal(SIGCONT);
    m_BusyVms[Vm->m_Name] = false;
  });
}

void SoakRun::killVm() {
  RoutedFleet::Vm *Vm = acquireVm();
  if (!Vm)
    return;
  kill(*Vm);
  revertAfter(randomDuration(50, 1500), [this, Vm] { restart(*Vm); });
}

void SoakRun::killAllVms() {
  for (const auto &Vm : m_Fleet.m_Vms)
    if (!std::exchange(m_BusyVms[Vm->m_Name], true)) {
      kill(*Vm);
      revertAfter(randomDuration(50, 1500),
                  [this, Vm = Vm.get()] { restart(*Vm); });
    }
}

void SoakRun::stopVm() {
  RoutedFleet::Vm *Vm = acquireVm();
  if (!Vm)
    return;
  Vm->m_Process->signal(SIGTERM);
  revertAfter(randomDuration(50, 3000), [this, Vm] {
    expectCleanShutdown(*Vm);
    restart(*Vm);
  });
}

void SoakRun::reloadVm() {
  if (RoutedFleet::Vm *Vm = acquireVm()) {
    Vm->m_Process->signal(SIGHUP);
    m_BusyVms[Vm->m_Name] = false;
  }
}

// Target faults.

void SoakRun::degradeTargetConnections() {
  constexpr std::array Modes{ProxyMode::Delay, ProxyMode::DropRequests,
                             ProxyMode::DropReplies, ProxyMode::Silent};
  FaultProxy *Proxy = randomReplica().m_Proxy.get();
  const ProxyMode Mode = Modes[m_Random() % Modes.size()];
  m_Fleet.runOnStandinThread([&] { Proxy->setMode(Mode); });
  revertAfter(randomDuration(200, 2500), [this, Proxy] {
    m_Fleet.runOnStandinThread([&] {
      Proxy->setMode(ProxyMode::Forward);
      Proxy->resetOpenConnections();
    });
  });
}

void SoakRun::resetTargetConnections() {
  FaultProxy &Proxy = *randomReplica().m_Proxy;
  m_Fleet.runOnStandinThread([&] { Proxy.resetOpenConnections(); });
}

void SoakRun::silenceTargetConnections() {
  FaultProxy &Proxy = *randomReplica().m_Proxy;
  m_Fleet.runOnStandinThread([&] { Proxy.silenceOpenConnections(); });
}

void SoakRun::crashTarget() {
  Replica &Target = randomReplica();
  const auto Downtime = randomDuration(200, 1500);
  m_Fleet.runOnStandinThread(
      [&] { Target.m_Searcher->server().crash(Downtime); });
}

void SoakRun::replaceTarget() {
  Replica &Target = randomReplica();
  m_Fleet.runOnStandinThread([&] {
    Target.m_Searcher->server().crash(std::chrono::milliseconds(300));
  });
  Target.m_StartedMs += 1000;
  publishReplica(Target, "ready");
}

void SoakRun::drainTarget() {
  Replica &Drained = randomReplica();
  if (std::exchange(Drained.m_IsDraining, true))
    return;
  addReplica(Drained.m_Service);
  publishReplica(Drained, "draining");
  revertAfter(randomDuration(500, 2000), [this, Id = Drained.m_Id] {
    m_Fleet.runOnStandinThread([&] { m_Fleet.m_Store->remove("servers", Id); });
    // The stand-in keeps running after its removal, as some targets do.
    std::swap(*std::find_if(m_Replicas.begin(), m_Replicas.end(),
                            [&](const auto &Each) { return Each->m_Id == Id; }),
              m_Replicas.back());
    m_RemovedReplicas.push_back(std::move(m_Replicas.back()));
    m_Replicas.pop_back();
  });
}

void SoakRun::evacuateDataCentre() {
  m_Fleet.runOnStandinThread(
      [&] { m_Fleet.m_Store->put("evacuations", "dc-b", QJsonObject{}); });
  revertAfter(randomDuration(300, 2500), [this] {
    m_Fleet.runOnStandinThread(
        [&] { m_Fleet.m_Store->remove("evacuations", "dc-b"); });
  });
}

// Store faults.

void SoakRun::takeStoreDown() {
  m_Fleet.runOnStandinThread([&] { m_Fleet.m_Store->m_IsDown = true; });
  revertAfter(randomDuration(300, 3000), [this] {
    m_Fleet.runOnStandinThread([&] { m_Fleet.m_Store->m_IsDown = false; });
  });
}

void SoakRun::suppressWatchEvents() {
  m_Fleet.runOnStandinThread(
      [&] { m_Fleet.m_Store->m_SuppressesWatchEvents = true; });
  revertAfter(randomDuration(300, 1500), [this] {
    m_Fleet.runOnStandinThread([&] {
      m_Fleet.m_Store->m_SuppressesWatchEvents = false;
      m_Fleet.m_Store->compactHistory();
      m_Fleet.m_Store->dropConnections();
    });
  });
}

void SoakRun::degradeStoreConnections() {
  constexpr std::array Modes{ProxyMode::Delay, ProxyMode::DropRequests,
                             ProxyMode::DropReplies};
  const ProxyMode Mode = Modes[m_Random() % Modes.size()];
  m_Fleet.runOnStandinThread([&] { m_StoreProxy->setMode(Mode); });
  revertAfter(randomDuration(300, 2500), [this] {
    m_Fleet.runOnStandinThread([&] {
      m_StoreProxy->setMode(ProxyMode::Forward);
      m_StoreProxy->resetOpenConnections();
    });
  });
}

void SoakRun::silenceStoreConnections() {
  m_Fleet.runOnStandinThread([&] { m_StoreProxy->silenceOpenConnections(); });
}

void SoakRun::compactHistory() {
  m_Fleet.runOnStandinThread([&] { m_Fleet.m_Store->compactHistory(); });
}

void SoakRun::changeConfig() {
  ++m_ConfigVersion;
  ++m_AddedRoute;
  publishConfig();
}

} // namespace figturn::soak
