#include "cli/CommandLine.h"

#include "cli/Flags.h"
#include "protocol/NearestName.h"
#include "state/Event.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <algorithm>
#include <array>
#include <cstdio>
#include <fmt/format.h>
#include <optional>

namespace figturn {

namespace {

// Flags accepted by every subcommand.
constexpr std::array<std::string_view, 1> CommonFlags = {"log_level"};

std::string displayName(std::string_view Flag) {
  std::string Display(Flag);
  std::replace(Display.begin(), Display.end(), '_', '-');
  return Display;
}

// absl::string_view isn't std::string_view in every build of Abseil.
absl::CommandLineFlag *findFlag(std::string_view Name) {
  return absl::FindCommandLineFlag(absl::string_view(Name.data(), Name.size()));
}

std::string flagName(std::string_view Display) {
  std::string Flag(Display);
  std::replace(Flag.begin(), Flag.end(), '-', '_');
  return Flag;
}

std::vector<std::string_view> flagsFor(const Subcommand &Command) {
  std::vector<std::string_view> Flags = Command.m_Flags;
  Flags.insert(Flags.end(), CommonFlags.begin(), CommonFlags.end());
  return Flags;
}

void printExitCodes() {
  fmt::print("\nExit codes:\n");
  for (const ExitCodeInfo &Info : allExitCodes())
    fmt::print("  {}  {}\n", static_cast<int>(Info.m_Code), Info.m_Meaning);
}

std::string_view firstSentence(std::string_view Text) {
  const auto End = Text.find(". ");
  return End == std::string_view::npos ? Text : Text.substr(0, End + 1);
}

void printOverview(std::span<const Subcommand> Commands) {
  fmt::print("Usage: figturn COMMAND [FLAGS] [ARGUMENTS]\n\nCommands:\n");
  for (const Subcommand &Command : Commands) {
    fmt::print("  {:<8} {}\n", Command.m_Name,
               firstSentence(Command.m_Summary));
  }
  fmt::print("\nRun `figturn COMMAND --help` for details.\n");
  printExitCodes();
}

void printHelp(const Subcommand &Command) {
  fmt::print("Usage: figturn {} [FLAGS] {}\n\n{}\n\nFlags:\n", Command.m_Name,
             Command.m_Arguments, Command.m_Summary);
  for (const std::string_view Name : flagsFor(Command)) {
    const absl::CommandLineFlag *Flag = findFlag(Name);
    fmt::print("  --{} (default: \"{}\")\n      {}\n", displayName(Name),
               Flag->DefaultValue(), Flag->Help());
  }
  printExitCodes();
}

// Parses one "--name=value", or "--name" of a boolean flag; returns an error
// message on failure, else "".
std::string parseFlag(const Subcommand &Command, std::string_view Argument) {
  const std::string_view Text = Argument.substr(2);
  const auto Equals = Text.find('=');
  const std::string Name = flagName(Text.substr(0, Equals));
  const std::vector<std::string_view> Allowed = flagsFor(Command);
  if (std::find(Allowed.begin(), Allowed.end(), Name) == Allowed.end()) {
    const std::vector<std::string> Known(Allowed.begin(), Allowed.end());
    return fmt::format("`figturn {}` has no flag --{}; did you mean --{}?",
                       Command.m_Name, displayName(Name),
                       displayName(nearestName(Name, Known)));
  }
  absl::CommandLineFlag *Flag = findFlag(Name);
  if (Equals == std::string_view::npos && !Flag->IsOfType<bool>())
    return fmt::format("--{0} requires a value: --{0}=VALUE",
                       displayName(Name));
  const std::string_view Value =
      Equals == std::string_view::npos ? "true" : Text.substr(Equals + 1);
  std::string Error;
  if (Flag->ParseFrom(absl::string_view(Value.data(), Value.size()), &Error))
    return {};
  return fmt::format("--{} has the invalid value \"{}\": {}", displayName(Name),
                     Value, Error);
}

std::string setLogLevelFromFlag() {
  constexpr std::array<std::string_view, 4> Names = {"debug", "info", "warning",
                                                     "error"};
  const std::string Level = absl::GetFlag(FLAGS_log_level);
  const auto Found = std::find(Names.begin(), Names.end(), Level);
  if (Found == Names.end())
    return fmt::format("--log-level is \"{}\"; it must be one of {}", Level,
                       fmt::join(Names, ", "));
  setLogThreshold(static_cast<Severity>(Found - Names.begin()));
  return {};
}

const Subcommand *findCommand(std::span<const Subcommand> Commands,
                              std::string_view Name) {
  const auto Found =
      std::find_if(Commands.begin(), Commands.end(),
                   [&](const Subcommand &C) { return C.m_Name == Name; });
  return Found == Commands.end() ? nullptr : &*Found;
}

ExitCode reportUnknownCommand(std::span<const Subcommand> Commands,
                              const std::string &Name) {
  std::vector<std::string> Known;
  Known.reserve(Commands.size());
  for (const Subcommand &Command : Commands)
    Known.emplace_back(Command.m_Name);
  return usageError(fmt::format("unknown command \"{}\"; did you mean \"{}\"?",
                                Name, nearestName(Name, Known)));
}

bool isHelpArgument(const std::string &Argument) {
  return Argument == "--help" || Argument == "-h" || Argument == "help";
}

ExitCode runCommand(const Subcommand &Command,
                    std::span<const std::string> Arguments) {
  std::vector<std::string> Positional;
  for (const std::string &Argument : Arguments) {
    if (!Argument.starts_with("--")) {
      Positional.push_back(Argument);
      continue;
    }
    const std::string Error = parseFlag(Command, Argument);
    if (!Error.empty())
      return usageError(Error);
  }
  const std::string Error = setLogLevelFromFlag();
  if (!Error.empty())
    return usageError(Error);
  if (Positional.size() < Command.m_MinArguments ||
      Positional.size() > Command.m_MaxArguments)
    return usageError(fmt::format("usage: figturn {} [FLAGS] {}",
                                  Command.m_Name, Command.m_Arguments));
  return Command.m_Run(Positional);
}

} // namespace

ExitCode usageError(std::string_view Message) {
  fmt::print(stderr, "figturn: {}\nTry `figturn --help`.\n", Message);
  return ExitCode::Usage;
}

std::vector<std::string> splitList(std::string_view List) {
  std::vector<std::string> Parts;
  while (!List.empty()) {
    const auto Comma = std::min(List.find(','), List.size());
    if (Comma > 0)
      Parts.emplace_back(List.substr(0, Comma));
    List.remove_prefix(std::min(Comma + 1, List.size()));
  }
  return Parts;
}

ExitCode runCommandLine(std::span<const Subcommand> Commands,
                        const std::vector<std::string> &Arguments) {
  if (Arguments.empty())
    return usageError("no command given");
  if (isHelpArgument(Arguments[0])) {
    printOverview(Commands);
    return ExitCode::Ok;
  }
  const Subcommand *Command = findCommand(Commands, Arguments[0]);
  if (Command == nullptr)
    return reportUnknownCommand(Commands, Arguments[0]);
  const std::span<const std::string> Rest = std::span(Arguments).subspan(1);
  if (std::any_of(Rest.begin(), Rest.end(), isHelpArgument)) {
    printHelp(*Command);
    return ExitCode::Ok;
  }
  return runCommand(*Command, Rest);
}

} // namespace figturn
