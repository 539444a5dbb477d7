#include "cli/Commands.h"

#include "cli/Flags.h"
#include "cli/ServeCommand.h"
#include "cli/Version.h"
#include "protocol/SettingsCodec.h"
#include "state/Event.h"

#include <absl/flags/flag.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <fmt/format.h>

namespace figturn {

namespace {

const std::vector<Subcommand> &table() {
  static const std::vector<Subcommand> Table = {
      {.m_Name = "serve",
       .m_Summary = "Runs one entry VM. SIGTERM starts a planned stop.",
       .m_Flags = {"settings"},
       .m_Run = serveCommand},
      {.m_Name = "check",
       .m_Arguments = "DIR",
       .m_Summary =
           "Merges the *.json files of DIR in the order of their names and "
           "checks the result. Prints each value that would be in force with "
           "the file and line it comes from, or all problems.",
       .m_Flags = {"json", "schema_markdown"},
       .m_MostArguments = 1,
       .m_Run = checkCommand},
      {.m_Name = "apply",
       .m_Arguments = "DIR",
       .m_Summary =
           "Checks DIR and publishes it as the configuration. Succeeds only "
           "if it was accepted and is in force at the entry VMs that are "
           "known; prints the version.",
       .m_Flags = {"platform", "entries", "change_id", "expected_version",
                   "resolve", "timeout_ms", "wait_ms"},
       .m_LeastArguments = 1,
       .m_MostArguments = 1,
       .m_Run = applyCommand},
      {.m_Name = "status",
       .m_Summary = "Prints what entry VMs report: version in force, epoch, "
                    "targets and budgets.",
       .m_Flags = {"entry", "json"},
       .m_Run = statusCommand},
      {.m_Name = "explain",
       .m_Arguments = "NUMBER",
       .m_Summary = "Explains a log event such as F0102.",
       .m_LeastArguments = 1,
       .m_MostArguments = 1,
       .m_Run = explainCommand},
      {.m_Name = "version",
       .m_Summary = "Prints the version of the program.",
       .m_Run = versionCommand},
  };
  return Table;
}

} // namespace

std::span<const Subcommand> allSubcommands() { return table(); }

ExitCode serveCommand(const std::vector<std::string> &) {
  const std::string File = absl::GetFlag(FLAGS_settings);
  if (File.empty())
    return usageError("`figturn serve` needs --settings=FILE");
  if (asksForRoutedDoor(File)) {
    const RoutedSettingsResult Routed = readRoutedSettings(File);
    if (Routed.m_Problems.empty())
      return static_cast<ExitCode>(runRoutedServe(Routed.m_Settings, File));
    fmt::print(stderr, "{}", describeProblems(Routed.m_Problems));
    return ExitCode::InvalidConfiguration;
  }
  const SettingsResult Read = readSettings(File);
  if (!Read.m_Problems.empty()) {
    fmt::print(stderr, "{}", describeProblems(Read.m_Problems));
    return ExitCode::InvalidConfiguration;
  }
  return static_cast<ExitCode>(runServe({.m_Settings = Read.m_Settings}));
}

ExitCode explainCommand(const std::vector<std::string> &Arguments) {
  std::string_view Text = Arguments[0];
  if (Text.starts_with('F') || Text.starts_with('f'))
    Text.remove_prefix(1);
  unsigned Number = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size())
    return usageError(fmt::format(
        "\"{}\" is no event number; one looks like F0102", Arguments[0]));
  const auto Events = allEvents();
  const auto Found =
      std::find_if(Events.begin(), Events.end(), [&](const EventInfo &Info) {
        return Info.m_Number == Number;
      });
  if (Found == Events.end())
    return usageError(fmt::format("there is no event F{:04}", Number));
  constexpr std::array<std::string_view, 4> Names = {"debug", "info", "warning",
                                                     "error"};
  fmt::print("F{:04} {} ({})\n{}\nWhat to do: {}\n", Found->m_Number,
             Found->m_Name,
             Names.at(static_cast<std::size_t>(Found->m_Severity)),
             Found->m_Meaning, Found->m_Action);
  return ExitCode::Ok;
}

ExitCode versionCommand(const std::vector<std::string> &) {
  fmt::print("figturn {}\n", programVersion());
  return ExitCode::Ok;
}

} // namespace figturn
