#ifndef FIGTURN_CLI_EXITCODE_H
#define FIGTURN_CLI_EXITCODE_H

/** Exit codes of the program; scripts of operators rely on them. */

#include <span>
#include <string>
#include <string_view>

namespace figturn {

/** How a command ended. */
enum class ExitCode : int {
  Ok = 0,
  Failed = 1,               ///< A reason that has no code of its own.
  Usage = 2,                ///< The command line is wrong.
  InvalidConfiguration = 3, ///< Folder or settings have problems.
  Conflict = 4,             ///< Another change was accepted first.
  NotAccepted = 5,          ///< Nothing was written, nothing will be.
  OutcomeUnknown = 6,       ///< The change may have been accepted.
  NotYetInForce = 7,        ///< Accepted, but not seen in force everywhere.
  NoAnswer = 8              ///< An entry VM did not answer.
};

/** An exit code as --help and the documentation print it. */
struct ExitCodeInfo {
  ExitCode m_Code;
  std::string_view m_Meaning;
};

/** All exit codes in order. */
std::span<const ExitCodeInfo> allExitCodes();

/** The exit codes as a Markdown section. */
std::string exitCodesMarkdown();

} // namespace figturn

#endif // FIGTURN_CLI_EXITCODE_H
