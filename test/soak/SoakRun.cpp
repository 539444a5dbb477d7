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

/** How long the fleet is asked whether it serves again; a watchdog, not a
 *  bound. */
constexpr std::chrono::seconds RecoveryWatchdog{60};
constexpr std::chrono::milliseconds RecoveryInterval{100};

/** Two records that only this searcher has. */
std::string recordsOf(const std::string &Id) {
  return fmt::format("{:<16.16}{:<16.16}", Id + "/1", Id + "/2");
}

/** An address of loopback for each process, so that soaks that run beside one
 *  another share no ports. */
std::uint32_t loopbackAddressOfProcess() {
  constexpr std::uint32_t LoopbackNet = 127U << 24U;
  constexpr std::uint32_t Places = 0xffff;
  const auto Place = static_cast<std::uint32_t>(::getpid()) % Places + 1;
  return LoopbackNet + (Place << 8U) + 1;
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
      {"spoil target's connections", &SoakRun::degradeTargetConnections},
      {"reset target's connections", &SoakRun::resetTargetConnections},
      {"silence target's connections", &SoakRun::silenceTargetConnections},
      {"crash target", &SoakRun::crashTarget},
      {"replace target", &SoakRun::replaceTarget},
      {"drain target", &SoakRun::drainTarget},
      {"take data centre out", &SoakRun::evacuateDataCentre},
      {"stop store", &SoakRun::takeStoreDown},
      {"deafen store", &SoakRun::suppressWatchEvents},
      {"spoil store's connections", &SoakRun::degradeStoreConnections},
      {"silence store's connections", &SoakRun::silenceStoreConnections},
      {"forget store's history", &SoakRun::compactHistory},
      {"change configuration", &SoakRun::changeConfig},
      {"change configuration", &SoakRun::changeConfig}};
  return All;
}

SoakRun::SoakRun(SoakOptions Options)
    : m_Options(Options), m_Random(Options.m_Seed),
      m_Fleet(loopbackAddressOfProcess()), m_KillCounts(Options.m_Vms) {
  m_Fleet.onThread([this] {
    m_StoreProxy = std::make_unique<FaultProxy>(m_Fleet.m_Store->port());
  });
  m_Fleet.m_StoreAddress = m_StoreProxy->address();
  publishConfig();
  for (const char *Service : {"s-0", "s-1", "desk"})
    for (std::size_t I = 0; I < m_Options.m_ReplicasPerService; ++I)
      addReplica(Service);
  for (std::size_t I = 0; I < m_Options.m_Vms; ++I)
    m_Fleet.startVm();
}

SoakRun::~SoakRun() {
  m_Stopping = true;
  for (std::thread &Each : m_Callers)
    if (Each.joinable())
      Each.join();
  m_Fleet.onThread([this] {
    m_StoreProxy.reset();
    for (const auto *Group : {&m_Replicas, &m_RemovedReplicas})
      for (const auto &Each : *Group)
        Each->m_Proxy.reset();
  });
}

SoakRun::Replica &SoakRun::addReplica(const std::string &Service) {
  static const std::vector<std::string> DataCentres{"dc-a", "dc-b", "dc-c"};
  auto Made = std::make_unique<Replica>();
  const std::size_t Number = m_ReplicasCreated++;
  Made->m_Id = fmt::format("i-{}", Number);
  Made->m_Service = Service;
  Made->m_DataCentre = DataCentres[Number % DataCentres.size()];
  m_Checks.addSearcher(Made->m_Id, Service, recordsOf(Made->m_Id));
  m_Fleet.onThread([&] {
    m_Fleet.m_Searchers.push_back(std::make_unique<standin::SearcherStandin>(
        Made->m_Id, Service, Made->m_DataCentre));
    standin::SearcherStandin &Of = *m_Fleet.m_Searchers.back();
    Of.m_Body = recordsOf(Made->m_Id);
    const auto Answer = Of.m_RunHandler;
    Of.m_RunHandler = [this, Id = Made->m_Id, Answer](const auto &Request,
                                                      auto Reply) {
      m_Checks.onRun(Id, Request);
      Answer(Request, Reply);
    };
    Made->m_Searcher = &Of;
    Made->m_Proxy = std::make_unique<FaultProxy>(Of.server().port());
  });
  publishReplica(*Made, "ready");
  m_Replicas.push_back(std::move(Made));
  return *m_Replicas.back();
}

void SoakRun::publishReplica(const Replica &Of, const std::string &State) {
  m_Fleet.onThread([&] {
    QJsonObject Entry = Of.m_Searcher->entry(State);
    Entry["address"] = toQt(Of.m_Proxy->address());
    Entry["born"] = qint64{Of.m_Started};
    m_Fleet.m_Store->put("servers", Of.m_Id, Entry);
  });
}

void SoakRun::publishConfig() {
  QJsonObject Config = test::routedConfig(m_ConfigVersion);
  QJsonArray Routes = Config["routes"].toArray();
  QJsonObject Added = Routes[1].toObject(); // A look-up.
  Added["name"] = toQt(fmt::format("added-{}", m_AddedRoute));
  Added["path_prefix"] = toQt(fmt::format("/added/{}/", m_AddedRoute));
  Routes.append(Added);
  Config["routes"] = Routes;
  m_Fleet.publish(Config);
}

// Callers.

void SoakRun::call(std::size_t Vm, std::size_t Caller) {
  const RoutedFleet::Vm &At = *m_Fleet.m_Vms[Vm];
  std::mt19937 Random(
      static_cast<std::uint32_t>(std::size_t{m_Options.m_Seed} * 1000 +
                                 Vm * m_Options.m_CallersPerVm + Caller));
  std::size_t Count = 0;
  while (!m_Stopping) {
    RawClient Client(At.m_Caller, At.m_Host);
    bool Goes = Client.isOpen();
    for (int Use = 0; Goes && Use < RequestsPerConnection && !m_Stopping;
         ++Use) {
      SentRequest Request{.m_Id =
                              fmt::format("q-{}-{}-{}", Vm, Caller, Count++),
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
      const int Kills = m_KillCounts[Vm];
      const RoutedAnswer Answer = RoutedFleet::exchange(
          Client, Request.m_Method, Request.m_Path,
          RoutedFleet::requestHeaders(Request.m_Id, DeadlineMs),
          Request.m_Body);
      m_Checks.onAnswer(Request, Answer, m_KillCounts[Vm] != Kills);
      Goes = Answer.m_Status != 0 && Answer.header("Connection") != "close";
      std::this_thread::sleep_for(RequestInterval);
    }
    std::this_thread::sleep_for(RequestInterval);
  }
}

// The course of a run.

std::vector<std::string> SoakRun::run() {
  for (std::size_t Vm = 0; Vm < m_Options.m_Vms; ++Vm)
    for (std::size_t I = 0; I < m_Options.m_CallersPerVm; ++I)
      m_Callers.emplace_back([this, Vm, I] { call(Vm, I); });
  for (std::size_t I = 0; I < m_Options.m_Faults; ++I) {
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
  std::string Out;
  for (const auto &[Status, Count] : m_Checks.statuses())
    Out += fmt::format(" {}x{}", Count, Status);
  return Out;
}

void SoakRun::revertAfter(std::chrono::milliseconds After,
                          std::function<void()> Undo) {
  m_Reverts.emplace(std::chrono::steady_clock::now() + After, std::move(Undo));
}

void SoakRun::revertDueFaults(bool All) {
  while (!m_Reverts.empty()) {
    const auto First = m_Reverts.begin();
    if (First->first > std::chrono::steady_clock::now()) {
      if (!All)
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
  const auto Until = std::chrono::steady_clock::now() + RecoveryWatchdog;
  for (const auto &Vm : m_Fleet.m_Vms)
    for (const std::string &Path : Paths) {
      std::size_t Try = 0;
      RoutedAnswer Answer;
      do {
        // Answers to these are no denials: the change is on its way.
        RawClient Client(Vm->m_Caller, Vm->m_Host);
        const SentRequest Request{
            .m_Id = fmt::format("end-{}-{}-{}", Vm->m_Name, Path, Try++),
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
          std::chrono::steady_clock::now() < Until);
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

void SoakRun::expectCleanShutdown(const RoutedFleet::Vm &Of) {
  const auto Status = Of.m_Process->waitForExit();
  if (Status != 0)
    m_Checks.fail(fmt::format("{} ended with {} when told to stop:{}",
                              Of.m_Name, Status.value_or(-1000),
                              lastLines(Of)));
}

std::string SoakRun::lastLines(const RoutedFleet::Vm &Of,
                               const std::string &With) {
  constexpr std::size_t Most = 6;
  std::vector<std::string> Found;
  for (const std::string &Line : Of.m_Process->lines())
    if (Line.find(With) != std::string::npos)
      Found.push_back(Line);
  std::string Text;
  for (std::size_t I = Found.size() - std::min(Found.size(), Most);
       I < Found.size(); ++I)
    Text += "\n    " + Found[I];
  return Text;
}

std::chrono::milliseconds SoakRun::randomDuration(int LeastMs, int MostMs) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(LeastMs, MostMs)(m_Random));
}

SoakRun::Replica &SoakRun::randomReplica() {
  return *m_Replicas[m_Random() % m_Replicas.size()];
}

RoutedFleet::Vm *SoakRun::acquireVm() {
  RoutedFleet::Vm &Picked = *m_Fleet.m_Vms[m_Random() % m_Fleet.m_Vms.size()];
  return std::exchange(m_BusyVms[Picked.m_Name], true) ? nullptr : &Picked;
}

void SoakRun::kill(RoutedFleet::Vm &Of) {
  const auto Index =
      std::find_if(m_Fleet.m_Vms.begin(), m_Fleet.m_Vms.end(),
                   [&](const auto &Each) { return Each.get() == &Of; });
  ++m_KillCounts[static_cast<std::size_t>(Index - m_Fleet.m_Vms.begin())];
  Of.m_Process->signal(SIGKILL);
  Of.m_Process->waitForExit();
}

void SoakRun::restart(RoutedFleet::Vm &Of) {
  m_Fleet.launch(Of, false);
  Of.m_Process->waitUntilSignalsAreHeld();
  m_BusyVms[Of.m_Name] = false;
}

// Faults of VMs.

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

// Faults of targets.

void SoakRun::degradeTargetConnections() {
  constexpr std::array Modes{ProxyMode::Delay, ProxyMode::DropRequests,
                             ProxyMode::DropReplies, ProxyMode::Silent};
  FaultProxy *Proxy = randomReplica().m_Proxy.get();
  const ProxyMode Mode = Modes[m_Random() % Modes.size()];
  m_Fleet.onThread([&] { Proxy->setMode(Mode); });
  revertAfter(randomDuration(200, 2500), [this, Proxy] {
    m_Fleet.onThread([&] {
      Proxy->setMode(ProxyMode::Forward);
      Proxy->resetOpenConnections();
    });
  });
}

void SoakRun::resetTargetConnections() {
  FaultProxy &Proxy = *randomReplica().m_Proxy;
  m_Fleet.onThread([&] { Proxy.resetOpenConnections(); });
}

void SoakRun::silenceTargetConnections() {
  FaultProxy &Proxy = *randomReplica().m_Proxy;
  m_Fleet.onThread([&] { Proxy.silenceOpenConnections(); });
}

void SoakRun::crashTarget() {
  Replica &Of = randomReplica();
  const auto Length = randomDuration(200, 1500);
  m_Fleet.onThread([&] { Of.m_Searcher->server().crash(Length); });
}

void SoakRun::replaceTarget() {
  Replica &Of = randomReplica();
  m_Fleet.onThread(
      [&] { Of.m_Searcher->server().crash(std::chrono::milliseconds(300)); });
  Of.m_Started += 1000;
  publishReplica(Of, "ready");
}

void SoakRun::drainTarget() {
  const std::size_t Index = m_Random() % m_Replicas.size();
  addReplica(m_Replicas[Index]->m_Service);
  publishReplica(*m_Replicas[Index], "draining");
  revertAfter(randomDuration(500, 2000), [this, Id = m_Replicas[Index]->m_Id] {
    m_Fleet.onThread([&] { m_Fleet.m_Store->remove("servers", Id); });
    // The stand-in runs on to the end, as some targets do.
    std::swap(*std::find_if(m_Replicas.begin(), m_Replicas.end(),
                            [&](const auto &Each) { return Each->m_Id == Id; }),
              m_Replicas.back());
    m_RemovedReplicas.push_back(std::move(m_Replicas.back()));
    m_Replicas.pop_back();
  });
}

void SoakRun::evacuateDataCentre() {
  m_Fleet.onThread(
      [&] { m_Fleet.m_Store->put("evacuations", "dc-b", QJsonObject{}); });
  revertAfter(randomDuration(300, 2500), [this] {
    m_Fleet.onThread([&] { m_Fleet.m_Store->remove("evacuations", "dc-b"); });
  });
}

// Faults of the store.

void SoakRun::takeStoreDown() {
  m_Fleet.onThread([&] { m_Fleet.m_Store->m_IsDown = true; });
  revertAfter(randomDuration(300, 3000), [this] {
    m_Fleet.onThread([&] { m_Fleet.m_Store->m_IsDown = false; });
  });
}

void SoakRun::suppressWatchEvents() {
  m_Fleet.onThread([&] { m_Fleet.m_Store->m_SuppressesWatchEvents = true; });
  revertAfter(randomDuration(300, 1500), [this] {
    m_Fleet.onThread([&] {
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
  m_Fleet.onThread([&] { m_StoreProxy->setMode(Mode); });
  revertAfter(randomDuration(300, 2500), [this] {
    m_Fleet.onThread([&] {
      m_StoreProxy->setMode(ProxyMode::Forward);
      m_StoreProxy->resetOpenConnections();
    });
  });
}

void SoakRun::silenceStoreConnections() {
  m_Fleet.onThread([&] { m_StoreProxy->silenceOpenConnections(); });
}

void SoakRun::compactHistory() {
  m_Fleet.onThread([&] { m_Fleet.m_Store->compactHistory(); });
}

void SoakRun::changeConfig() {
  ++m_ConfigVersion;
  ++m_AddedRoute;
  publishConfig();
}

} // namespace figturn::soak
