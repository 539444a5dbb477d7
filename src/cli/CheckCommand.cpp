#include "cli/Commands.h"
#include "cli/Flags.h"
#include "protocol/ConfigCodec.h"
#include "protocol/ConfigFolder.h"
#include "protocol/ConfigSchema.h"
#include "protocol/EffectiveConfig.h"
#include "protocol/RoutedSettings.h"
#include "protocol/SettingsCodec.h"

#include <QJsonDocument>
#include <absl/flags/flag.h>
#include <algorithm>
#include <cstdio>
#include <fmt/format.h>

namespace figturn {

namespace {

std::string describeOrigin(const EffectiveValue &Value) {
  if (!Value.m_Origin)
    return "default";
  return fmt::format("{}:{}", Value.m_Origin->m_File, Value.m_Origin->m_Line);
}

void printTable(const std::vector<EffectiveValue> &Values) {
  std::size_t PathWidth = 0;
  std::size_t ValueWidth = 0;
  for (const EffectiveValue &Value : Values) {
    PathWidth = std::max(PathWidth, Value.m_Path.size());
    ValueWidth = std::max(ValueWidth, printJson(Value.m_Value).size());
  }
  for (const EffectiveValue &Value : Values)
    fmt::print("{:<{}}  {:<{}}  {}\n", Value.m_Path, PathWidth,
               printJson(Value.m_Value), ValueWidth, describeOrigin(Value));
}

void printJsonReport(const QJsonObject &Merged,
                     const std::vector<EffectiveValue> &Values) {
  QJsonObject Origins;
  for (const EffectiveValue &Value : Values)
    Origins.insert(QString::fromStdString(Value.m_Path),
                   QString::fromStdString(describeOrigin(Value)));
  const QJsonObject Report{{"configuration", Merged}, {"origins", Origins}};
  fmt::print(
      "{}",
      QJsonDocument(Report).toJson(QJsonDocument::Indented).toStdString());
}

// Checks a VM's settings file, for the search or the routed frontend.
ExitCode checkSettings(const std::string &File) {
  const bool IsRouted = selectsRoutedMode(File);
  const JsonProblems Problems = IsRouted ? readRoutedSettings(File).m_Problems
                                         : readSettings(File).m_Problems;
  if (!Problems.empty()) {
    fmt::print(stderr, "{}{} problem(s) in {}\n", describeProblems(Problems),
               Problems.size(), File);
    return ExitCode::InvalidConfiguration;
  }
  fmt::print("{}: valid settings for the {} frontend\n", File,
             IsRouted ? "routed" : "search");
  return ExitCode::Ok;
}

} // namespace

ExitCode checkCommand(const std::vector<std::string> &Arguments) {
  if (absl::GetFlag(FLAGS_schema_markdown)) {
    fmt::print("{}\n{}", schemaMarkdown(), exitCodesMarkdown());
    return ExitCode::Ok;
  }
  if (const std::string File = absl::GetFlag(FLAGS_settings); !File.empty())
    return checkSettings(File);
  if (Arguments.empty())
    return usageError("usage: figturn check [FLAGS] DIR");
  const MergedConfig Merged = readConfigFolder(Arguments[0]);
  const ConfigResult Config =
      Merged.m_Problems.empty()
          ? decodeConfig(Merged.m_Object, Merged.m_Origins)
          : ConfigResult{.m_Problems = Merged.m_Problems};
  if (!Config.m_Problems.empty()) {
    fmt::print(stderr, "{}{} problem(s) in {}\n",
               describeProblems(Config.m_Problems), Config.m_Problems.size(),
               Arguments[0]);
    return ExitCode::InvalidConfiguration;
  }
  const std::vector<EffectiveValue> Values =
      effectiveValues(Config.m_Configuration, Merged.m_Origins);
  if (absl::GetFlag(FLAGS_json))
    printJsonReport(Merged.m_Object, Values);
  else
    printTable(Values);
  return ExitCode::Ok;
}

} // namespace figturn
