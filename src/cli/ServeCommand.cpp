#include "cli/ServeCommand.h"

#include "cli/ExitCode.h"
#include "cli/SignalSource.h"
#include "node/Node.h"
#include "state/Event.h"

#include <QCoreApplication>
#include <csignal>
#include <fmt/format.h>

namespace figturn {

int runServe(const ServeOptions &Options) {
  // Before the first thread starts, so that all of them inherit the mask.
  SignalSource Signals({SIGTERM, SIGINT});
  int Count = 1;
  char Name[] = "figturn";
  char *Arguments[] = {Name, nullptr};
  QCoreApplication Application(Count, Arguments);
  setLogOutput(LogOutput::StandardOutput);
  Node Entry(Options.m_Settings);
  if (const auto Error = Entry.start()) {
    fmt::print(stderr,
               "figturn: cannot listen on {} and {}: {}. Check the addresses "
               "in the settings file.\n",
               Options.m_Settings.m_CallerAddress,
               Options.m_Settings.m_PeerAddress, Error.message());
    return static_cast<int>(ExitCode::Failed);
  }
  Signals.onSignal([&](int) { Entry.stop([] { QCoreApplication::quit(); }); });
  return QCoreApplication::exec();
}

} // namespace figturn
