#include "cli/ExitCode.h"

#include <fmt/format.h>

namespace figturn {

namespace {

constexpr ExitCodeInfo ExitCodes[] = {
    {ExitCode::Ok, "The command did what it was asked to."},
    {ExitCode::Failed, "It failed for a reason that is printed."},
    {ExitCode::Usage, "The command line is wrong; nothing was done."},
    {ExitCode::InvalidConfiguration,
     "The configuration folder or settings file has problems; all are "
     "printed, nothing was done."},
    {ExitCode::Conflict,
     "Another change was accepted first; nothing of this one was written. "
     "Look at the change that is named, then apply again."},
    {ExitCode::NotAccepted,
     "The platform was not available or declined; nothing was written and "
     "nothing will be. Apply again later."},
    {ExitCode::OutcomeUnknown,
     "A write's answer was lost and the platform could not be asked again; "
     "the change may have been accepted. Run the printed command: it resolves "
     "the same change without doing it twice."},
    {ExitCode::NotYetInForce,
     "The change is accepted and will not be lost, but the entry VMs that are "
     "printed don't report it in force yet."},
    {ExitCode::NoAnswer, "An entry VM that was asked did not answer."},
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
