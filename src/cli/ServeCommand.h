#ifndef FIGTURN_CLI_SERVECOMMAND_H
#define FIGTURN_CLI_SERVECOMMAND_H

/** Implements `figturn serve`, which runs one entry VM until it is stopped. */

#include "protocol/NodeSettings.h"
#include "protocol/RoutedSettings.h"

#include <string>

namespace figturn {

/** Options of the process. */
struct ServeOptions {
  NodeSettings m_Settings;
};

/** Serves until a planned stop is complete; returns the exit code. */
int runServe(const ServeOptions &Options);

/** Serves with the routed frontend until a planned stop is complete and returns
 *  the exit code; \p File is read again when it changes. */
int runRoutedServe(const RoutedSettings &Settings, const std::string &File);

} // namespace figturn

#endif // FIGTURN_CLI_SERVECOMMAND_H
