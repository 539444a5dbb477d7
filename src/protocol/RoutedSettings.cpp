#include "protocol/RoutedSettings.h"

#include "protocol/JsonText.h"
#include "protocol/SettingsCodec.h"

#include <fmt/format.h>

namespace figturn {

namespace {

constexpr double MaxSeconds = 3600;
constexpr double MaxMilliseconds = 1000 * MaxSeconds;
constexpr double MaxRequests = 1e6;
constexpr double MaxCores = 1024;
constexpr const char *RoutedModeName = "routed";

using Rule = FieldBinding<RoutedSettings>;

constexpr FieldRule addressRule(std::string_view Key,
                                std::string_view Description,
                                bool Required = true) {
  return {.m_Key = Key,
          .m_Kind = FieldKind::Address,
          .m_Required = Required,
          .m_Description = Description};
}

constexpr FieldRule numberRule(std::string_view Key, double Max,
                               std::string_view Description) {
  return {.m_Key = Key,
          .m_Kind = FieldKind::Number,
          .m_Min = 0,
          .m_Max = Max,
          .m_Description = Description};
}

constexpr Rule Rules[] = {
    {{.m_Key = "door",
      .m_Kind = FieldKind::Name,
      .m_Required = true,
      .m_Description =
          "\"routed\": forward requests according to the platform's "
          "configuration."},
     &RoutedSettings::m_Mode},
    {{.m_Key = "vm",
      .m_Kind = FieldKind::Name,
      .m_Required = true,
      .m_Description = "Name of this VM; unique in the fleet."},
     &RoutedSettings::m_Vm},
    {{.m_Key = "dataCentre",
      .m_Kind = FieldKind::Name,
      .m_Required = true,
      .m_Description = "Data centre of this VM."},
     &RoutedSettings::m_DataCentre},
    {addressRule("callerAddress", "Address that serves callers over HTTP."),
     &RoutedSettings::m_CallerAddress},
    {addressRule("readinessAddress", "Address that serves readiness probes."),
     &RoutedSettings::m_ReadinessAddress},
    {addressRule("directoryAddress",
                 "Address at which callers look up the VMs to use."),
     &RoutedSettings::m_DirectoryAddress},
    {addressRule("controlAddress",
                 "Address that serves status and copies of the state."),
     &RoutedSettings::m_ControlAddress},
    {addressRule("gossipAddress",
                 "UDP address for gossip between VMs; the port is the same on "
                 "all VMs."),
     &RoutedSettings::m_GossipAddress},
    {addressRule("metricsAddress", "Address that serves metrics, at /metrics.",
                 false),
     &RoutedSettings::m_MetricsAddress},
    {addressRule("storeAddress", "Address of the platform's store."),
     &RoutedSettings::m_StoreAddress},
    {{.m_Key = "seeds",
      .m_Kind = FieldKind::AddressList,
      .m_Description = "Comma-separated control addresses of some VMs."},
     &RoutedSettings::m_SeedAddresses},
    {numberRule("graceSeconds", MaxSeconds, "Time from SIGTERM to SIGKILL."),
     &RoutedSettings::m_GraceSeconds},
    {numberRule("targetDrainMs", MaxMilliseconds,
                "Time in ms for which a target serves after the store has "
                "accepted that it is leaving."),
     &RoutedSettings::m_TargetDrainMs},
    {numberRule(
         "retryRatio", 1,
         "Maximum hedges and retries of all VMs as a share of a service's "
         "requests."),
     &RoutedSettings::m_RetryRatio},
    {numberRule(
         "retrySlack", MaxRequests,
         "Additional hedges and retries of all VMs per 10 s, beyond that "
         "share."),
     &RoutedSettings::m_RetrySlack},
    {numberRule(
         "coldMultiplier", MaxRequests,
         "Multiplier of a service's cold rate; the product limits the requests "
         "of all VMs to a cold target."),
     &RoutedSettings::m_ColdMultiplier},
    {numberRule("coldSlack", MaxRequests,
                "Additional requests per second of all VMs to a cold target, "
                "beyond that limit."),
     &RoutedSettings::m_ColdSlack},
    {numberRule("directoryTtlSeconds", MaxSeconds,
                "Time for which callers may cache the list of VMs."),
     &RoutedSettings::m_DirectoryTtlSeconds},
    {numberRule("firstListDelaySeconds", MaxSeconds,
                "Maximum random delay of the first listings of the store; "
                "until then a copy of another VM makes them unnecessary. For "
                "the first start of a whole fleet, which no caller waits for."),
     &RoutedSettings::m_FirstListDelaySeconds},
    {numberRule("cpuShare", 1, "Fraction of each core that the VM may use."),
     &RoutedSettings::m_CpuShare},
    {{.m_Key = "cores",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxCores,
      .m_Description = "Number of cores of the VM."},
     &RoutedSettings::m_Cores},
    {DescriptorsRule, &RoutedSettings::m_Descriptors},
    {MemoryRule, &RoutedSettings::m_MemoryMiB},
};

RoutedSettingsResult decodeRoutedSettings(const JsonText &Text) {
  if (!Text.m_Problems.empty())
    return {.m_Problems = Text.m_Problems};
  JsonChecker Checker(Text.m_Origins);
  RoutedSettingsResult Result;
  Result.m_Settings = readStruct<RoutedSettings>(
      Text.m_Object, "", routedSettingsRules(), Checker);
  if (Text.m_Object.value("door").toString() != RoutedModeName)
    Checker.report("door", Text.m_Object.value("door"), "\"routed\"");
  Result.m_Problems = Checker.takeProblems();
  return Result;
}

} // namespace

std::span<const FieldBinding<RoutedSettings>> routedSettingsRules() {
  return Rules;
}

bool selectsRoutedMode(const std::string &File) {
  return readJsonFile(File).m_Object.contains("door");
}

RoutedSettingsResult parseRoutedSettings(std::string_view Text,
                                         const std::string &File) {
  return decodeRoutedSettings(parseJsonText(Text, File));
}

RoutedSettingsResult readRoutedSettings(const std::string &File) {
  return decodeRoutedSettings(readJsonFile(File));
}

Duration targetDrainTime(const RoutedSettings &Settings) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Settings.m_TargetDrainMs));
}

std::vector<std::string> seedGossipAddresses(const RoutedSettings &Settings) {
  std::vector<std::string> Addresses;
  const auto OwnAddress = parseSocketAddress(Settings.m_GossipAddress);
  std::string_view RemainingSeeds = Settings.m_SeedAddresses;
  while (OwnAddress && !RemainingSeeds.empty()) {
    const std::size_t Comma =
        std::min(RemainingSeeds.find(','), RemainingSeeds.size());
    if (const auto Seed = parseSocketAddress(RemainingSeeds.substr(0, Comma)))
      Addresses.push_back(
          fmt::format("{}:{}", Seed->m_Host, OwnAddress->m_Port));
    RemainingSeeds.remove_prefix(std::min(Comma + 1, RemainingSeeds.size()));
  }
  return Addresses;
}

} // namespace figturn
