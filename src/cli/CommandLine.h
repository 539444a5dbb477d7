#ifndef FIGTURN_CLI_COMMANDLINE_H
#define FIGTURN_CLI_COMMANDLINE_H

/**
 * Parsing of subcommands and their flags. Abseil parses the values of flags;
 * the arguments are parsed here, because Abseil's parser doesn't support
 * subcommands and exits the process on an invalid flag.
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
  std::vector<std::string_view> m_Flags; ///< Abseil's names, such as "wait_ms".
  std::size_t m_MinArguments = 0;
  std::size_t m_MaxArguments = 0;
  RunFunction m_Run = nullptr;
};

/** Runs the subcommand named first in \p Arguments, which exclude the program
 *  name. */
ExitCode runCommandLine(std::span<const Subcommand> Commands,
                        const std::vector<std::string> &Arguments);

/** Prints \p Message as a usage error and returns ExitCode::Usage. */
ExitCode usageError(std::string_view Message);

/** Splits the value of a comma-separated flag; empty parts are omitted. */
std::vector<std::string> splitList(std::string_view List);

} // namespace figturn

#endif // FIGTURN_CLI_COMMANDLINE_H
