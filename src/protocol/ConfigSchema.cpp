#include "protocol/ConfigSchema.h"

#include "protocol/RoutedSettings.h"
#include "protocol/SettingsCodec.h"

#include <fmt/format.h>

namespace figturn {

namespace {

constexpr double LongestDeadlineMs = 600'000;
constexpr double MostPendingRequests = 100'000;
constexpr double MostSearchers = 1'000;
constexpr double MostSlots = 1'000;
constexpr double MostConnections = 100'000;
constexpr double MostRampSuccesses = 100'000;
constexpr double HighestPort = 65'535;

constexpr MemberRule<DataCentreConfig> DataCentreRules[] = {
    {{.m_Key = "placement",
      .m_Kind = FieldKind::Placement,
      .m_Meaning = "Whether targets in this data centre get new work; what is "
                   "in flight finishes."},
     &DataCentreConfig::m_Placement},
};

constexpr MemberRule<ServiceConfig> ServiceRules[] = {
    {{.m_Key = "defaultDeadlineMs",
      .m_Kind = FieldKind::Milliseconds,
      .m_Least = 1,
      .m_Most = LongestDeadlineMs,
      .m_Meaning = "Deadline of requests that state none."},
     &ServiceConfig::m_DefaultDeadline},
    {{.m_Key = "maxDeadlineMs",
      .m_Kind = FieldKind::Milliseconds,
      .m_Least = 1,
      .m_Most = LongestDeadlineMs,
      .m_Meaning = "Longest deadline that a caller may ask for; at least "
                   "defaultDeadlineMs."},
     &ServiceConfig::m_MaxDeadline},
    {{.m_Key = "extraLoadShare",
      .m_Kind = FieldKind::Share,
      .m_Least = 0,
      .m_Most = 1,
      .m_Meaning = "Hedges and retries allowed, as a share of first calls."},
     &ServiceConfig::m_ExtraLoadShare},
    {{.m_Key = "hedgeQuantile",
      .m_Kind = FieldKind::Share,
      .m_Least = 0.5,
      .m_Most = 1,
      .m_Meaning = "Quantile of call latency after which a hedge is sent."},
     &ServiceConfig::m_HedgeQuantile},
    {{.m_Key = "maxPendingRequests",
      .m_Kind = FieldKind::Count,
      .m_Least = 1,
      .m_Most = MostPendingRequests,
      .m_Meaning = "Requests that may wait or run at one entry VM at a time."},
     &ServiceConfig::m_MaxPendingRequests},
};

constexpr MemberRule<TargetConfig> TargetRules[] = {
    {{.m_Key = "service",
      .m_Kind = FieldKind::Name,
      .m_Required = true,
      .m_Meaning = "Service that it serves; one of `services`."},
     &TargetConfig::m_Service},
    {{.m_Key = "dataCentre",
      .m_Kind = FieldKind::Name,
      .m_Required = true,
      .m_Meaning = "Data centre in which it runs; one of `dataCentres`."},
     &TargetConfig::m_DataCentre},
    {{.m_Key = "host",
      .m_Kind = FieldKind::IpNumber,
      .m_Required = true,
      .m_Meaning = "IP number on which it listens."},
     &TargetConfig::m_Host},
    {{.m_Key = "port",
      .m_Kind = FieldKind::Count,
      .m_Least = 1,
      .m_Most = HighestPort,
      .m_Required = true,
      .m_Meaning = "TCP port; no two targets share host and port."},
     &TargetConfig::m_Port},
    {{.m_Key = "placement",
      .m_Kind = FieldKind::Placement,
      .m_Meaning = "Whether it gets new work; what is in flight finishes."},
     &TargetConfig::m_Placement},
    {{.m_Key = "searchers",
      .m_Kind = FieldKind::Count,
      .m_Least = 1,
      .m_Most = MostSearchers,
      .m_Meaning = "Searchers of the target."},
     &TargetConfig::m_Searchers},
    {{.m_Key = "slotsPerSearcher",
      .m_Kind = FieldKind::Count,
      .m_Least = 1,
      .m_Most = MostSlots,
      .m_Meaning = "Calls that one searcher runs at a time when warm."},
     &TargetConfig::m_SlotsPerSearcher},
    {{.m_Key = "connectionLimit",
      .m_Kind = FieldKind::Count,
      .m_Least = 1,
      .m_Most = MostConnections,
      .m_Meaning = "Connections that it accepts from the whole fleet; at least "
                   "its slots and 20 more."},
     &TargetConfig::m_ConnectionLimit},
    {{.m_Key = "coldSlots",
      .m_Kind = FieldKind::Count,
      .m_Least = 1,
      .m_Most = MostSlots,
      .m_Meaning = "Calls in flight that it bears in cold start, over the "
                   "whole fleet; at most its slots."},
     &TargetConfig::m_ColdSlots},
    {{.m_Key = "rampSuccesses",
      .m_Kind = FieldKind::Count,
      .m_Least = 1,
      .m_Most = MostRampSuccesses,
      .m_Meaning = "Successful calls at one ramp level before the next is "
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
  case FieldKind::IpNumber:
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
  if (Rule.m_Most <= 0)
    return "";
  return fmt::format("{} to {}", Rule.m_Least, Rule.m_Most);
}

template <typename Record>
std::string tableOf(std::span<const MemberRule<Record>> Members) {
  const Record Defaults;
  std::string Table = "| key | type | range | default | meaning |\n"
                      "|---|---|---|---|---|\n";
  for (const MemberRule<Record> &Member : Members) {
    const FieldRule &Rule = Member.m_Rule;
    Table +=
        fmt::format("| `{}` | {} | {} | {} | {} |\n", Rule.m_Key,
                    kindName(Rule.m_Kind), rangeText(Rule),
                    Rule.m_Required ? "required"
                                    : printJson(memberToJson(Defaults, Member)),
                    Rule.m_Meaning);
  }
  return Table;
}

} // namespace

std::span<const MemberRule<DataCentreConfig>> dataCentreRules() {
  return DataCentreRules;
}

std::span<const MemberRule<ServiceConfig>> serviceRules() {
  return ServiceRules;
}

std::span<const MemberRule<TargetConfig>> targetRules() { return TargetRules; }

std::string schemaMarkdown() {
  return fmt::format("### `dataCentres.NAME`\n\n{}\n"
                     "### `services.NAME`\n\n{}\n"
                     "### `targets.NAME`\n\n{}\n"
                     "### Settings of `figturn serve`\n\n{}\n"
                     "### Settings of `figturn serve` with the routed door\n"
                     "\n{}",
                     tableOf(dataCentreRules()), tableOf(serviceRules()),
                     tableOf(targetRules()), tableOf(settingsRules()),
                     tableOf(routedSettingsRules()));
}

} // namespace figturn
