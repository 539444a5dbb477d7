#include "support/Cluster.h"

#include "protocol/JsonConvert.h"
#include "standin/IndexLayout.h"
#include "support/FreePorts.h"

#include <QFile>
#include <QJsonArray>
#include <algorithm>
#include <fmt/format.h>
#include <stdexcept>

namespace figturn::test {

namespace {

constexpr unsigned StatusOk = 200;
constexpr std::uint32_t SearchersPerTarget = 3;

void require(bool Condition, const std::string &Message) {
  if (!Condition)
    throw std::runtime_error(Message);
}

/** Returns the value of field \p Name in a line of key=value fields. */
std::string fieldValue(const std::string &Line, const std::string &Name) {
  const std::size_t Key = Line.find(" " + Name + "=");
  require(Key != std::string::npos, "no field " + Name + " in line: " + Line);
  const std::size_t Start = Key + Name.size() + 2;
  return Line.substr(Start, Line.find(' ', Start) - Start);
}

std::uint16_t parsePort(const std::string &Line, const std::string &Name) {
  return static_cast<std::uint16_t>(std::stoul(fieldValue(Line, Name)));
}

std::string dataFile(const ServiceSpec &Service) {
  return fmt::format("{}/test/standin/data/{}.json", FIGTURN_SOURCE_DIR,
                     Service.m_RecordSet);
}

/** Builds the index layout of a service, with targets named SERVICE-NN. */
standin::IndexLayout makeLayout(const ServiceSpec &Service) {
  standin::IndexLayout Layout{.m_Service = Service.m_Name,
                              .m_Shards = Service.m_Shards,
                              .m_Replicas = Service.m_Replicas};
  for (std::uint32_t I = 1; I <= Service.m_Targets; ++I)
    Layout.m_Targets.push_back(fmt::format("{}-{:02}", Service.m_Name, I));
  return Layout;
}

} // namespace

Cluster::Cluster(ClusterOptions Options) : m_Options(std::move(Options)) {
  startPlatform();
  for (const ServiceSpec &Service : m_Options.m_Services) {
    startTargets(Service);
    configure(Service);
  }
  QJsonObject DataCentres;
  for (const std::string &Name : m_Options.m_DataCentres)
    DataCentres[toQt(Name)] = QJsonObject{{"placement", "in"}};
  m_Configuration["dataCentres"] = DataCentres;
  publishConfiguration();
  for (const ServiceSpec &Service : m_Options.m_Services)
    publishIndex(Service.m_Name, 1);
  for (std::uint32_t I = 0; I < m_Options.m_EntryVms; ++I)
    startVm(false);
  for (std::size_t I = 0; I < m_Vms.size(); ++I)
    waitUntilReady(I);
  waitUntilMembersComplete();
}

void Cluster::startPlatform() {
  m_Platform = std::make_unique<Process>(
      std::vector<std::string>{FIGTURN_STANDIN, "platform"});
  const auto Ready = m_Platform->waitForLine("ready platform");
  require(Ready.has_value(), "the platform stand-in did not start");
  m_PlatformPort = parsePort(*Ready, "port");
  if (!m_Options.m_PlatformFaults.isEmpty())
    platformClient().postJson("/control", m_Options.m_PlatformFaults);
}

void Cluster::startTargets(const ServiceSpec &Service) {
  const standin::IndexLayout Layout = makeLayout(Service);
  for (std::size_t I = 0; I < Layout.m_Targets.size(); ++I) {
    Target Started{.m_Name = Layout.m_Targets[I],
                   .m_DataCentre = m_Options.m_DataCentres.at(
                       I % m_Options.m_DataCentres.size())};
    Started.m_Command = {
        FIGTURN_STANDIN,
        "target",
        "--name=" + Started.m_Name,
        "--service=" + Service.m_Name,
        "--platform_data=" + dataFile(Service),
        fmt::format("--shards={}", fmt::join(Layout.shardsOf(I), ",")),
        fmt::format("--shard_count={}", Service.m_Shards),
        fmt::format("--slots={}",
                    SearchersPerTarget * Service.m_SlotsPerSearcher),
        fmt::format("--connection_limit={}", Service.m_ConnectionLimit),
        fmt::format("--cold_slots={}", Service.m_ColdSlots),
        fmt::format("--cold_calls={}", Service.m_RampSuccesses),
        fmt::format("--service_ms={}", Service.m_ServiceMs)};
    launch(Started, Service.m_TargetFlags);
    m_Targets.push_back(std::move(Started));
  }
}

void Cluster::launch(Target &Started, const std::vector<std::string> &Flags) {
  std::vector<std::string> Command = Started.m_Command;
  Command.insert(Command.end(), Flags.begin(), Flags.end());
  Command.push_back(fmt::format("--port={}", Started.m_Port));
  Command.push_back(fmt::format("--control_port={}", Started.m_ControlPort));
  Started.m_Process = std::make_unique<Process>(Command);
  const auto Ready = Started.m_Process->waitForLine("ready target");
  require(Ready.has_value(), "target did not start: " + Started.m_Name);
  Started.m_Port = parsePort(*Ready, "port");
  Started.m_ControlPort = parsePort(*Ready, "control");
}

void Cluster::configure(const ServiceSpec &Service) {
  QJsonObject Services = m_Configuration["services"].toObject();
  Services[toQt(Service.m_Name)] = QJsonObject{};
  m_Configuration["services"] = Services;
  QJsonObject Targets = m_Configuration["targets"].toObject();
  for (const std::string &Name : makeLayout(Service).m_Targets) {
    const Target &EachTarget = target(Name);
    Targets[toQt(Name)] =
        QJsonObject{{"service", toQt(Service.m_Name)},
                    {"dataCentre", toQt(EachTarget.m_DataCentre)},
                    {"host", "127.0.0.1"},
                    {"port", toJson(EachTarget.m_Port)},
                    {"searchers", toJson(SearchersPerTarget)},
                    {"slotsPerSearcher", toJson(Service.m_SlotsPerSearcher)},
                    {"connectionLimit", toJson(Service.m_ConnectionLimit)},
                    {"coldSlots", toJson(Service.m_ColdSlots)},
                    {"rampSuccesses", toJson(Service.m_RampSuccesses)}};
  }
  m_Configuration["targets"] = Targets;
}

void Cluster::publishConfiguration() {
  QJsonObject Object = m_Configuration;
  Object["changeId"] = toQt(fmt::format("change-{}", ++m_ChangeCount));
  const auto Reply = platformClient().exchange("PUT", "/v1/objects/config",
                                               toCompactJson(Object));
  require(Reply && Reply->m_Status == StatusOk,
          "the platform rejected the configuration");
}

void Cluster::publishIndex(const std::string &Service, std::uint64_t Version) {
  const QJsonObject Index =
      makeLayout(service(Service)).encode(Version, records(Service));
  const auto Reply = platformClient().exchange(
      "PUT", "/v1/objects/index/" + Service, toCompactJson(Index));
  require(Reply && Reply->m_Status == StatusOk,
          "the platform rejected the index");
}

std::size_t Cluster::startVm(bool WaitUntilReady) {
  const std::vector<std::uint16_t> Ports = freePorts(2);
  const std::size_t Index = m_Vms.size();
  m_Vms.push_back({.m_Name = fmt::format("vm-{}", Index + 1),
                   .m_DataCentre = m_Options.m_DataCentres.at(
                       Index % m_Options.m_DataCentres.size()),
                   .m_CallerPort = Ports[0],
                   .m_PeerPort = Ports[1]});
  publishVmList();
  Vm &Started = m_Vms.back();
  Started.m_Process =
      startFigturn({"serve", "--settings=" + writeSettings(Started)});
  if (WaitUntilReady)
    waitUntilReady(Index);
  return Index;
}

void Cluster::publishVmList() {
  QJsonArray Vms;
  for (const Vm &Listed : m_Vms)
    Vms.append(QJsonObject{
        {"name", toQt(Listed.m_Name)},
        {"dataCentre", toQt(Listed.m_DataCentre)},
        {"address", toQt(fmt::format("127.0.0.1:{}", Listed.m_CallerPort))},
        {"role", "entry"},
        {"state", "live"}});
  platformClient().postJson("/control", {{"vms", Vms}});
}

std::string Cluster::writeSettings(const Vm &EntryVm) const {
  const std::string Url = fmt::format("http://127.0.0.1:{}", m_PlatformPort);
  const QJsonObject Settings{
      {"vm", toQt(EntryVm.m_Name)},
      {"dataCentre", toQt(EntryVm.m_DataCentre)},
      {"callerAddress",
       toQt(fmt::format("127.0.0.1:{}", EntryVm.m_CallerPort))},
      {"peerAddress", toQt(fmt::format("127.0.0.1:{}", EntryVm.m_PeerPort))},
      {"platformUrl", toQt(Url)},
      {"vmListUrl", toQt(Url)},
      {"workers", 2}};
  std::string Path =
      m_Folder.filePath(toQt(EntryVm.m_Name + ".json")).toStdString();
  QFile File(toQt(Path));
  require(File.open(QIODevice::WriteOnly),
          "can't open the settings file for writing");
  File.write(QByteArray::fromStdString(toCompactJson(Settings)));
  return Path;
}

void Cluster::waitUntilReady(std::size_t Index) {
  Process &Started = vmProcess(Index);
  if (Started.waitForLine("F0102"))
    return;
  throw std::runtime_error(
      fmt::format("entry VM {} did not become ready; its output:\n{}",
                  vmName(Index), fmt::join(Started.lines(), "\n")));
}

void Cluster::waitUntilMembersComplete() {
  const std::string Expected = fmt::format("members={}", m_Vms.size());
  for (const Vm &Waiting : m_Vms) {
    const auto Adopted =
        Waiting.m_Process->waitForLine("F0351 members-adopted", Expected);
    require(Adopted.has_value(),
            "no complete member list at " + Waiting.m_Name);
    const std::string Epoch = fieldValue(*Adopted, "epoch");
    require(Waiting.m_Process
                ->waitForLine("F0352", "epoch=" + Epoch + " usable=true")
                .has_value(),
            "the complete member list is not in use at " + Waiting.m_Name);
  }
}

std::unique_ptr<Process>
Cluster::startFigturn(const std::vector<std::string> &Arguments) const {
  std::vector<std::string> Command{FIGTURN_BINARY};
  Command.insert(Command.end(), Arguments.begin(), Arguments.end());
  return std::make_unique<Process>(Command);
}

TestHttpClient Cluster::vmClient(std::size_t Index) const {
  return TestHttpClient(m_Vms.at(Index).m_CallerPort);
}

std::vector<std::string> Cluster::targetNames() const {
  std::vector<std::string> Names;
  for (const Target &EachTarget : m_Targets)
    Names.push_back(EachTarget.m_Name);
  return Names;
}

std::size_t Cluster::targetIndex(const std::string &Name) const {
  const std::vector<std::string> Names = targetNames();
  const auto Found = std::find(Names.begin(), Names.end(), Name);
  require(Found != Names.end(), "unknown target " + Name);
  return static_cast<std::size_t>(Found - Names.begin());
}

const Cluster::Target &Cluster::target(const std::string &Name) const {
  return m_Targets[targetIndex(Name)];
}

Process &Cluster::targetProcess(const std::string &Name) {
  return *target(Name).m_Process;
}

QJsonObject Cluster::controlTarget(const std::string &Name,
                                   const QJsonObject &Control) const {
  return TestHttpClient(target(Name).m_ControlPort)
      .postJson("/control", Control);
}

QJsonObject Cluster::targetCounters(const std::string &Name) const {
  return TestHttpClient(target(Name).m_ControlPort)
      .getJson("/control/counters");
}

std::int64_t Cluster::sumTargetCounters(const std::string &Key) const {
  std::int64_t Sum = 0;
  for (const Target &EachTarget : m_Targets)
    Sum += targetCounters(EachTarget.m_Name)[toQt(Key)].toInteger();
  return Sum;
}

std::int64_t Cluster::countRuns(const std::string &Key) const {
  const std::string Expected = "key=" + Key;
  const auto CountIn = [&](const std::vector<std::string> &Lines) {
    return std::count_if(Lines.begin(), Lines.end(), [&](const auto &Line) {
      return Line.starts_with("run ") && Line.ends_with(Expected);
    });
  };
  std::int64_t Runs = CountIn(m_PreviousLines);
  for (const Target &EachTarget : m_Targets)
    Runs += CountIn(EachTarget.m_Process->lines());
  return Runs;
}

void Cluster::restartTarget(const std::string &Name,
                            const std::vector<std::string> &Flags) {
  Target &Restarted = m_Targets[targetIndex(Name)];
  Restarted.m_Process->waitForExit();
  const std::vector<std::string> Lines = Restarted.m_Process->lines();
  m_PreviousLines.insert(m_PreviousLines.end(), Lines.begin(), Lines.end());
  launch(Restarted, Flags);
}

const ServiceSpec &Cluster::service(const std::string &Name) const {
  const auto Found =
      std::find_if(m_Options.m_Services.begin(), m_Options.m_Services.end(),
                   [&](const ServiceSpec &S) { return S.m_Name == Name; });
  require(Found != m_Options.m_Services.end(), "unknown service " + Name);
  return *Found;
}

standin::RecordSet Cluster::records(const std::string &Service) const {
  return standin::RecordSet::load(dataFile(service(Service)));
}

} // namespace figturn::test
