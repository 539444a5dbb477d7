#include "cli/Commands.h"

#include "cli/Flags.h"
#include "cli/ServeCommand.h"
#include "cli/Version.h"
#include "protocol/SettingsCodec.h"

#include <absl/flags/flag.h>
#include <cstdio>
#include <fmt/format.h>

namespace figturn {

namespace {

const std::vector<Subcommand> &subcommandTable() {
  static const std::vector<Subcommand> Table = {
      {.m_Name = "serve",
       .m_Summary = "Runs one entry VM. SIGTERM starts a planned stop.",
       .m_Flags = {"settings"},
       .m_Run = serveCommand},
      {.m_Name = "check",
       .m_Arguments = "DIR",
       .m_Summary =
           "Merges the *.json files of DIR in the order of their names and "
           "checks the result. Prints each effective value with the file and "
           "line that sets it, or all problems. With --settings=FILE, checks "
           "a VM's settings file instead.",
       .m_Flags = {"json", "schema_markdown", "settings"},
       .m_MaxArguments = 1,
       .m_Run = checkCommand},
      {.m_Name = "apply",
       .m_Arguments = "DIR",
       .m_Summary =
           "Checks DIR and publishes it as the configuration. Succeeds only "
           "if it is accepted and, unless a later change has replaced it, in "
           "force on all known entry VMs; prints the version.",
       .m_Flags = {"platform", "entries", "change_id", "expected_version",
                   "resolve", "timeout_ms", "wait_ms"},
       .m_MinArguments = 1,
       .m_MaxArguments = 1,
       .m_Run = applyCommand},
      {.m_Name = "status",
       .m_Summary = "Prints the status of entry VMs: version in force, epoch, "
                    "members, services and targets.",
       .m_Flags = {"entry", "json"},
       .m_Run = statusCommand},
      {.m_Name = "explain",
       .m_Arguments = "NUMBER | ID FILE...",
       .m_Summary =
           "Explains a log event such as F0102 or, in routed mode, prints the "
           "timeline of the request ID from the log files of several VMs.",
       .m_MinArguments = 1,
       .m_MaxArguments = 1000,
       .m_Run = explainCommand},
      {.m_Name = "version",
       .m_Summary = "Prints the version of the program.",
       .m_Run = versionCommand},
  };
  return Table;
}

} // namespace

std::span<const Subcommand> allSubcommands() { return subcommandTable(); }

ExitCode serveCommand(const std::vector<std::string> &) {
  const std::string File = absl::GetFlag(FLAGS_settings);
  if (File.empty())
    return usageError("`figturn serve` requires --settings=FILE");
  if (selectsRoutedMode(File)) {
    const RoutedSettingsResult Routed = readRoutedSettings(File);
    if (Routed.m_Problems.empty())
      return static_cast<ExitCode>(runRoutedServe(Routed.m_Settings, File));
    fmt::print(stderr, "{}", describeProblems(Routed.m_Problems));
    return ExitCode::InvalidConfiguration;
  }
  const SettingsResult Loaded = readSettings(File);
  if (!Loaded.m_Problems.empty()) {
    fmt::print(stderr, "{}", describeProblems(Loaded.m_Problems));
    return ExitCode::InvalidConfiguration;
  }
  return static_cast<ExitCode>(runServe({.m_Settings = Loaded.m_Settings}));
}

ExitCode versionCommand(const std::vector<std::string> &) {
  fmt::print("figturn {}\n", programVersion());
  return ExitCode::Ok;
}

} // namespace figturn
