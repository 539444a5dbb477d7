// Stand-ins for the platform and the targets:
//   figturn-standin platform --port=7000 [--vms=FILE]
//   figturn-standin target --name=wd-01 --service=workshop-desk ...
//   figturn-standin targets --file=FILE
//   figturn-standin index --service=workshop-desk --holders=wd-01,wd-02 ...
// `index` prints the index object. The other commands print a line "ready ..."
// with their ports once they listen, `targets` one for each target.

#include "protocol/JsonConvert.h"
#include "standin/IndexLayout.h"
#include "standin/PlatformStandin.h"
#include "standin/TargetStandin.h"

#include <QCoreApplication>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <memory>
#include <sys/prctl.h>
#include <vector>

ABSL_FLAG(std::uint16_t, port, 0, "Port for calls; 0 picks a free port.");
ABSL_FLAG(std::uint16_t, control_port, 0, "Control port; 0 picks a free port.");
ABSL_FLAG(std::string, vms, "", "platform: JSON file with the VM list.");
ABSL_FLAG(std::string, file, "", "targets: JSON file with target options.");
ABSL_FLAG(std::string, name, "", "Name of the target.");
ABSL_FLAG(std::string, service, "", "Service that the target serves.");
ABSL_FLAG(std::string, platform_data, "", "Record set file.");
ABSL_FLAG(std::string, shards, "0", "Shards of the target, as 0,3,5.");
ABSL_FLAG(std::uint32_t, shard_count, 1, "Number of shards of the index.");
ABSL_FLAG(std::string, versions, "1", "Index versions, as 7,8.");
ABSL_FLAG(std::uint32_t, slots, 12, "Calls that run concurrently.");
ABSL_FLAG(std::uint32_t, queue_limit, 200, "Calls that may wait for a slot.");
ABSL_FLAG(std::uint32_t, connection_limit, 80, "Maximum open connections.");
ABSL_FLAG(std::uint32_t, cold_slots, 1, "Concurrent calls when cold.");
ABSL_FLAG(std::uint32_t, cold_calls, 20, "Calls before the limit doubles.");
ABSL_FLAG(std::int64_t, service_ms, 6, "Service time in milliseconds.");
ABSL_FLAG(std::vector<std::string>, holders, {}, "index: names of targets.");
ABSL_FLAG(std::uint32_t, replicas, 2, "index: replicas of each shard.");
ABSL_FLAG(bool, boot_cold, false, "Start cold.");
ABSL_FLAG(bool, crash_on_overload, false,
          "Crash on overload during a cold start.");
ABSL_FLAG(bool, die_with_parent, false, "Exit when the parent exits.");

using namespace figturn;
using namespace figturn::standin;

namespace {

QJsonDocument readJson(const std::string &File) {
  QFile Input(QString::fromStdString(File));
  if (!Input.open(QIODevice::ReadOnly))
    return {};
  return QJsonDocument::fromJson(Input.readAll());
}

int fail(const std::string &Message) {
  fmt::print(stderr, "figturn-standin: {}\n", Message);
  return 1;
}

void printReady(const std::string &Line) {
  fmt::print("ready {}\n", Line);
  std::fflush(stdout);
}

TargetOptions optionsFromFlags() {
  TargetOptions Options{
      .m_Target = TargetName(absl::GetFlag(FLAGS_name)),
      .m_Service = ServiceName(absl::GetFlag(FLAGS_service)),
      .m_Port = absl::GetFlag(FLAGS_port),
      .m_ControlPort = absl::GetFlag(FLAGS_control_port),
      .m_DataFile = absl::GetFlag(FLAGS_platform_data),
      .m_Versions = parseNumbers(absl::GetFlag(FLAGS_versions)),
      .m_Slots = absl::GetFlag(FLAGS_slots),
      .m_QueueLimit = absl::GetFlag(FLAGS_queue_limit),
      .m_ConnectionLimit = absl::GetFlag(FLAGS_connection_limit),
      .m_ColdSlots = absl::GetFlag(FLAGS_cold_slots),
      .m_ColdCalls = absl::GetFlag(FLAGS_cold_calls),
      .m_ServiceTime = milliseconds(absl::GetFlag(FLAGS_service_ms)),
      .m_BootCold = absl::GetFlag(FLAGS_boot_cold),
      .m_CrashOnOverload = absl::GetFlag(FLAGS_crash_on_overload)};
  Options.m_Slice.m_ShardCount = absl::GetFlag(FLAGS_shard_count);
  for (const std::uint64_t Shard : parseNumbers(absl::GetFlag(FLAGS_shards)))
    Options.m_Slice.m_Shards.insert(static_cast<std::uint32_t>(Shard));
  return Options;
}

int serveTargets(const std::vector<TargetOptions> &AllOptions) {
  std::vector<std::unique_ptr<TargetStandin>> Targets;
  for (const TargetOptions &Options : AllOptions) {
    auto Target = std::make_unique<TargetStandin>(Options);
    if (!Target->listen())
      return fail("failed to listen on the ports of target " +
                  Options.m_Target.value());
    printReady(fmt::format("target={} port={} control={}", Options.m_Target,
                           Target->port(), Target->controlPort()));
    Targets.push_back(std::move(Target));
  }
  return QCoreApplication::exec();
}

int serveTargetsFromFile() {
  const QJsonDocument File = readJson(absl::GetFlag(FLAGS_file));
  std::vector<TargetOptions> AllOptions;
  for (const QJsonValueConstRef &Entry : File.array())
    AllOptions.push_back(parseTargetOptions(Entry.toObject()));
  if (AllOptions.empty())
    return fail("--file must name a file with a JSON array of targets");
  return serveTargets(AllOptions);
}

int printIndex() {
  const IndexLayout Layout{.m_Service = absl::GetFlag(FLAGS_service),
                           .m_Shards = absl::GetFlag(FLAGS_shard_count),
                           .m_Replicas = absl::GetFlag(FLAGS_replicas),
                           .m_Targets = absl::GetFlag(FLAGS_holders)};
  const auto Records = RecordSet::load(absl::GetFlag(FLAGS_platform_data));
  const auto Versions = parseNumbers(absl::GetFlag(FLAGS_versions));
  if (Layout.m_Targets.empty() || Versions.empty())
    return fail("--holders and --versions must each have at least one value");
  fmt::print("{}\n", toCompactJson(Layout.encode(*Versions.rbegin(), Records)));
  return 0;
}

int runPlatform() {
  PlatformStandin Platform;
  const std::string VmsFile = absl::GetFlag(FLAGS_vms);
  if (!VmsFile.empty())
    Platform.setVms(readJson(VmsFile).object()["vms"].toArray());
  if (!Platform.listen(absl::GetFlag(FLAGS_port)))
    return fail("failed to listen on the platform port");
  printReady(fmt::format("platform port={}", Platform.port()));
  return QCoreApplication::exec();
}

} // namespace

int main(int Count, char **Arguments) {
  const std::vector<char *> Positional =
      absl::ParseCommandLine(Count, Arguments);
  if (absl::GetFlag(FLAGS_die_with_parent))
    prctl(PR_SET_PDEATHSIG, SIGKILL);
  QCoreApplication Application(Count, Arguments);
  const std::string Command = Positional.size() == 2 ? Positional[1] : "";
  if (Command == "platform")
    return runPlatform();
  if (Command == "target")
    return serveTargets({optionsFromFlags()});
  if (Command == "targets")
    return serveTargetsFromFile();
  if (Command == "index")
    return printIndex();
  return fail("expected one command: platform, target, targets or index");
}
