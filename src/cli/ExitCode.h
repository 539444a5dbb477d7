#ifndef FIGTURN_CLI_EXITCODE_H
#define FIGTURN_CLI_EXITCODE_H

/** Exit codes of the program. Operators' scripts rely on the values. */

#include <span>
#include <string>
#include <string_view>

namespace figturn {

/** Outcome of a command. */
enum class ExitCode : int {
  Ok = 0,
  Failed = 1,               ///< For a reason that has no other code.
  Usage = 2,                ///< The command line is invalid.
  InvalidConfiguration = 3, ///< Directory or settings have problems.
  Conflict = 4,             ///< Another change was accepted first.
  NotAccepted = 5,          ///< Nothing was or will be written.
  OutcomeUnknown = 6,       ///< The change may have been accepted.
  NotYetInForce = 7,        ///< Accepted, but not in force on all entry VMs.
  /** An entry VM did not answer, or no log line has the request's ID. */
  NoAnswer = 8
};

/** An exit code with its description in --help and the documentation. */
struct ExitCodeInfo {
  ExitCode m_Code;
  std::string_view m_Meaning;
};

/** All exit codes in ascending order. */
std::span<const ExitCodeInfo> allExitCodes();

/** Returns a Markdown section that lists the exit codes. */
std::string exitCodesMarkdown();

} // namespace figturn

#endif // FIGTURN_CLI_EXITCODE_H
