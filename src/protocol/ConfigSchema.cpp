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
      .m_Description =
          "Whether targets in this data centre get new work; what is "
          "in flight finishes."},
     &DataCentreConfig::m_Placement},
};

constexpr FieldBinding<ServiceConfig> ServiceRules[] = {
    {{.m_Key = "defaultDeadlineMs",
      .m_Kind = FieldKind::Milliseconds,
      .m_Min = 1,
      .m_Max = MaxDeadlineMs,
      .m_Description = "Deadline of requests that state none."},
     &ServiceConfig::m_DefaultDeadline},
    {{.m_Key = "maxDeadlineMs",
      .m_Kind = FieldKind::Milliseconds,
      .m_Min = 1,
      .m_Max = MaxDeadlineMs,
      .m_Description = "Longest deadline that a caller may ask for; at least "
                       "defaultDeadlineMs."},
     &ServiceConfig::m_MaxDeadline},
    {{.m_Key = "extraLoadShare",
      .m_Kind = FieldKind::Share,
      .m_Min = 0,
      .m_Max = 1,
      .m_Description =
          "Hedges and retries allowed, as a share of first calls."},
     &ServiceConfig::m_ExtraLoadShare},
    {{.m_Key = "hedgeQuantile",
      .m_Kind = FieldKind::Share,
      .m_Min = 0.5,
      .m_Max = 1,
      .m_Description = "Quantile of call latency after which a hedge is sent."},
     &ServiceConfig::m_HedgeQuantile},
    {{.m_Key = "maxPendingRequests",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxPendingRequestCount,
      .m_Description =
          "Requests that may wait or run at one entry VM at a time."},
     &ServiceConfig::m_MaxPendingRequests},
};

constexpr FieldBinding<TargetConfig> TargetRules[] = {
    {{.m_Key = "service",
      .m_Kind = FieldKind::Name,
      .m_Required = true,
      .m_Description = "Service that it serves; one of `services`."},
     &TargetConfig::m_Service},
    {{.m_Key = "dataCentre",
      .m_Kind = FieldKind::Name,
      .m_Required = true,
      .m_Description = "Data centre in which it runs; one of `dataCentres`."},
     &TargetConfig::m_DataCentre},
    {{.m_Key = "host",
      .m_Kind = FieldKind::IpAddress,
      .m_Required = true,
      .m_Description = "IP number on which it listens."},
     &TargetConfig::m_Host},
    {{.m_Key = "port",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxPort,
      .m_Required = true,
      .m_Description = "TCP port; no two targets share host and port."},
     &TargetConfig::m_Port},
    {{.m_Key = "placement",
      .m_Kind = FieldKind::Placement,
      .m_Description = "Whether it gets new work; what is in flight finishes."},
     &TargetConfig::m_Placement},
    {{.m_Key = "searchers",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxSearchers,
      .m_Description = "Searchers of the target."},
     &TargetConfig::m_Searchers},
    {{.m_Key = "slotsPerSearcher",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxSlots,
      .m_Description = "Calls that one searcher runs at a time when warm."},
     &TargetConfig::m_SlotsPerSearcher},
    {{.m_Key = "connectionLimit",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxConnections,
      .m_Description =
          "Connections that it accepts from the whole fleet; at least "
          "its slots and 20 more."},
     &TargetConfig::m_ConnectionLimit},
    {{.m_Key = "coldSlots",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxSlots,
      .m_Description = "Calls in flight that it bears in cold start, over the "
                       "whole fleet; at most its slots."},
     &TargetConfig::m_ColdSlots},
    {{.m_Key = "rampSuccesses",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxRampSuccesses,
      .m_Description = "Successful calls at one ramp level before the next is "
                       "granted."},
     &TargetConfig::m_RampSuccesses},
};

std::string_view kindName(FieldKind Kind) {
  switch (Kind) {
  case FieldKind::Milliseconds:
    return "milliseconds";
  case FieldKind::Count:
    return "whole number";
  case FieldKind::Share:
    return "number";
  case FieldKind::Name:
    return "name";
  case FieldKind::IpAddress:
    return "IP number";
  case FieldKind::Address:
    return "IP:port";
  case FieldKind::AddressList:
    return "IP:port, with commas";
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
      "### Settings of `figturn serve` with the routed door\n"
      "\n{}",
      markdownTable(dataCentreRules()), markdownTable(serviceRules()),
      markdownTable(targetRules()), markdownTable(settingsRules()),
      markdownTable(routedSettingsRules()));
}

} // namespace figturn
