#include "cli/ExitCode.h"

#include <fmt/format.h>

namespace figturn {

namespace {

constexpr ExitCodeInfo ExitCodes[] = {
    {ExitCode::Ok, "The command succeeded."},
    {ExitCode::Failed, "The command failed; the reason is printed."},
    {ExitCode::Usage, "The command line is invalid; nothing was done."},
    {ExitCode::InvalidConfiguration,
     "The configuration directory or settings file has problems, which are "
     "all printed; nothing was done."},
    {ExitCode::Conflict,
     "Another change was accepted first; nothing of this one was written. "
     "Review the change that is printed, then apply again."},
    {ExitCode::NotAccepted,
     "The platform was unavailable or rejected the change; nothing was or "
     "will be written. Apply again later."},
    {ExitCode::OutcomeUnknown,
     "The reply to the write was lost and the platform could not be queried or "
     "did not show whether the change was accepted; it may have been. Run the "
     "printed command, which resolves the outcome without applying the change "
     "twice."},
    {ExitCode::NotYetInForce,
     "The change was accepted and will not be lost, but the printed entry VMs "
     "do not report it in force yet."},
    {ExitCode::NoAnswer,
     "An entry VM that was queried did not answer, or `explain` found no log "
     "line with the request's ID."},
};

} // namespace

std::span<const ExitCodeInfo> allExitCodes() { return ExitCodes; }

std::string exitCodesMarkdown() {
  std::string Section = "### Exit codes\n\n| code | meaning |\n|---|---|\n";
  for (const ExitCodeInfo &Info : ExitCodes)
    Section += fmt::format("| {} | {} |\n", static_cast<int>(Info.m_Code),
                           Info.m_Meaning);
  return Section;
}

} // namespace figturn
