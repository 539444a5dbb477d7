#ifndef FIGTURN_CLI_COMMANDLINE_H
#define FIGTURN_CLI_COMMANDLINE_H

/**
 * Subcommands and their flags. Values are parsed by Abseil flags; the walk
 * over the arguments is the project's own, because Abseil's knows no
 * subcommands and ends the process itself on a wrong flag.
 */

#include "cli/ExitCode.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figturn {

/** One subcommand. */
struct Subcommand {
  using RunFunction = ExitCode (*)(const std::vector<std::string> &Arguments);

  std::string_view m_Name;
  std::string_view m_Arguments;          ///< For example "DIR".
  std::string_view m_Summary;            ///< One sentence or more.
  std::vector<std::string_view> m_Flags; ///< Names as Abseil knows them.
  std::size_t m_MinArguments = 0;
  std::size_t m_MaxArguments = 0;
  RunFunction m_Run = nullptr;
};

/** Runs the subcommand that \p Arguments (without the program) ask for. */
ExitCode runCommandLine(std::span<const Subcommand> Commands,
                        const std::vector<std::string> &Arguments);

/** Prints \p Sentence as a usage error. */
ExitCode usageError(std::string_view Sentence);

/** The parts of a comma-separated flag, empty ones left out. */
std::vector<std::string> splitList(std::string_view List);

} // namespace figturn

#endif // FIGTURN_CLI_COMMANDLINE_H
