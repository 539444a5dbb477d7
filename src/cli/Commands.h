#ifndef FIGTURN_CLI_COMMANDS_H
#define FIGTURN_CLI_COMMANDS_H

/** The subcommands of the program. */

#include "cli/CommandLine.h"

#include <span>

namespace figturn {

/** All subcommands of the program. */
std::span<const Subcommand> allSubcommands();

/** \name Subcommands; each is passed its positional arguments.
 *  @{ */
ExitCode serveCommand(const std::vector<std::string> &Arguments);
ExitCode checkCommand(const std::vector<std::string> &Arguments);
ExitCode applyCommand(const std::vector<std::string> &Arguments);
ExitCode statusCommand(const std::vector<std::string> &Arguments);
ExitCode explainCommand(const std::vector<std::string> &Arguments);
ExitCode versionCommand(const std::vector<std::string> &Arguments);
/** @} */

} // namespace figturn

#endif // FIGTURN_CLI_COMMANDS_H
