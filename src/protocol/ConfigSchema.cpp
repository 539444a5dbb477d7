#include "protocol/ConfigSchema.h"

#include "protocol/RoutedSettings.h"
#include "protocol/SettingsCodec.h"

#include <fmt/format.h>

namespace figturn {

namespace {

constexpr double MaxDeadlineMs = 600'000;
constexpr double MaxPendingRequestCount = 100'000;
constexpr double MaxSearchers = 1'000;
constexpr double MaxSlots = 1'000;
constexpr double MaxConnections = 100'000;
constexpr double MaxRampSuccesses = 100'000;
constexpr double MaxPort = 65'535;

constexpr FieldBinding<DataCentreConfig> DataCentreRules[] = {
    {{.m_Key = "placement",
      .m_Kind = FieldKind::Placement,
      .m_Description = "Whether targets in this data centre receive new work; "
                       "calls in flight finish."},
     &DataCentreConfig::m_Placement},
};

constexpr FieldBinding<ServiceConfig> ServiceRules[] = {
    {{.m_Key = "defaultDeadlineMs",
      .m_Kind = FieldKind::Milliseconds,
      .m_Min = 1,
      .m_Max = MaxDeadlineMs,
      .m_Description = "Deadline of requests that specify none."},
     &ServiceConfig::m_DefaultDeadline},
    {{.m_Key = "maxDeadlineMs",
      .m_Kind = FieldKind::Milliseconds,
      .m_Min = 1,
      .m_Max = MaxDeadlineMs,
      .m_Description = "Maximum deadline that a caller may request; at least "
                       "defaultDeadlineMs."},
     &ServiceConfig::m_MaxDeadline},
    {{.m_Key = "extraLoadShare",
      .m_Kind = FieldKind::Number,
      .m_Min = 0,
      .m_Max = 1,
      .m_Description =
          "Maximum hedges and retries, as a share of first calls."},
     &ServiceConfig::m_ExtraLoadShare},
    {{.m_Key = "hedgeQuantile",
      .m_Kind = FieldKind::Number,
      .m_Min = 0.5,
      .m_Max = 1,
      .m_Description = "Quantile of call latency after which a hedge is sent."},
     &ServiceConfig::m_HedgeQuantile},
    {{.m_Key = "maxPendingRequests",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxPendingRequestCount,
      .m_Description = "Maximum requests that wait or run on one entry VM."},
     &ServiceConfig::m_MaxPendingRequests},
};

constexpr FieldBinding<TargetConfig> TargetRules[] = {
    {{.m_Key = "service",
      .m_Kind = FieldKind::Name,
      .m_Required = true,
      .m_Description = "Service that the target serves; one of `services`."},
     &TargetConfig::m_Service},
    {{.m_Key = "dataCentre",
      .m_Kind = FieldKind::Name,
      .m_Required = true,
      .m_Description = "Data centre of the target; one of `dataCentres`."},
     &TargetConfig::m_DataCentre},
    {{.m_Key = "host",
      .m_Kind = FieldKind::IpAddress,
      .m_Required = true,
      .m_Description = "IP address on which the target listens."},
     &TargetConfig::m_Host},
    {{.m_Key = "port",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxPort,
      .m_Required = true,
      .m_Description = "TCP port; host and port are unique among targets."},
     &TargetConfig::m_Port},
    {{.m_Key = "placement",
      .m_Kind = FieldKind::Placement,
      .m_Description =
          "Whether the target receives new work; calls in flight finish."},
     &TargetConfig::m_Placement},
    {{.m_Key = "searchers",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxSearchers,
      .m_Description = "Number of searchers of the target."},
     &TargetConfig::m_Searchers},
    {{.m_Key = "slotsPerSearcher",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxSlots,
      .m_Description = "Concurrent calls that one warm searcher runs."},
     &TargetConfig::m_SlotsPerSearcher},
    {{.m_Key = "connectionLimit",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxConnections,
      .m_Description = "Connections that the target accepts from all entry VMs "
                       "together; at least its slots plus 20."},
     &TargetConfig::m_ConnectionLimit},
    {{.m_Key = "coldSlots",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxSlots,
      .m_Description =
          "Maximum calls in flight from all entry VMs together during a "
          "cold start; at most the target's slots."},
     &TargetConfig::m_ColdSlots},
    {{.m_Key = "rampSuccesses",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxRampSuccesses,
      .m_Description =
          "Successful calls at one ramp level before the next level "
          "is granted."},
     &TargetConfig::m_RampSuccesses},
};

std::string_view kindName(FieldKind Kind) {
  switch (Kind) {
  case FieldKind::Milliseconds:
    return "milliseconds";
  case FieldKind::Count:
    return "integer";
  case FieldKind::Number:
    return "number";
  case FieldKind::Name:
    return "name";
  case FieldKind::IpAddress:
    return "IP address";
  case FieldKind::Address:
    return "IP:port";
  case FieldKind::AddressList:
    return "comma-separated IP:port";
  case FieldKind::HttpUrl:
    return "http URL";
  case FieldKind::Placement:
    return "\"in\" or \"out\"";
  }
  return "";
}

std::string rangeText(const FieldRule &Rule) {
  if (Rule.m_Max <= 0)
    return "";
  return fmt::format("{} to {}", Rule.m_Min, Rule.m_Max);
}

template <typename Struct>
std::string markdownTable(std::span<const FieldBinding<Struct>> Bindings) {
  const Struct Defaults;
  std::string Table = "| key | type | range | default | meaning |\n"
                      "|---|---|---|---|---|\n";
  for (const FieldBinding<Struct> &Binding : Bindings) {
    const FieldRule &Rule = Binding.m_Rule;
    Table += fmt::format("| `{}` | {} | {} | {} | {} |\n", Rule.m_Key,
                         kindName(Rule.m_Kind), rangeText(Rule),
                         Rule.m_Required
                             ? "required"
                             : printJson(memberToJson(Defaults, Binding)),
                         Rule.m_Description);
  }
  return Table;
}

} // namespace

std::span<const FieldBinding<DataCentreConfig>> dataCentreRules() {
  return DataCentreRules;
}

std::span<const FieldBinding<ServiceConfig>> serviceRules() {
  return ServiceRules;
}

std::span<const FieldBinding<TargetConfig>> targetRules() {
  return TargetRules;
}

std::string schemaMarkdown() {
  return fmt::format(
      "### `dataCentres.NAME`\n\n{}\n"
      "### `services.NAME`\n\n{}\n"
      "### `targets.NAME`\n\n{}\n"
      "### Settings of `figturn serve`\n\n{}\n"
      "### Settings of `figturn serve` in routed mode\n"
      "\n{}",
      markdownTable(dataCentreRules()), markdownTable(serviceRules()),
      markdownTable(targetRules()), markdownTable(settingsRules()),
      markdownTable(routedSettingsRules()));
}

} // namespace figturn
