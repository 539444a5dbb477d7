#ifndef FIGTURN_CLI_SERVECOMMAND_H
#define FIGTURN_CLI_SERVECOMMAND_H

/** `figturn serve`: runs one entry VM until it is told to stop. */

#include "protocol/NodeSettings.h"
#include "protocol/RoutedSettings.h"

#include <string>

namespace figturn {

/** What the process was told at its start. */
struct ServeOptions {
  NodeSettings m_Settings;
};

/** Serves until a planned stop is complete; gives the exit code. */
int runServe(const ServeOptions &Options);

/** Serves with the routed door until a planned stop is complete; \p File is
 *  read again when it changes. */
int runRoutedServe(const RoutedSettings &Settings, const std::string &File);

} // namespace figturn

#endif // FIGTURN_CLI_SERVECOMMAND_H
