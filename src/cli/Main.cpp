#include "cli/Commands.h"
#include "cli/SignalSource.h"

int main(int Count, char **Arguments) {
  const std::vector<std::string> Rest(Arguments + 1, Arguments + Count);
  if (!Rest.empty() && Rest.front() == "serve")
    figturn::blockServiceSignals();
  return static_cast<int>(
      figturn::runCommandLine(figturn::allSubcommands(), Rest));
}
