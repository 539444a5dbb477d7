#ifndef FIGTURN_CLI_VERSION_H
#define FIGTURN_CLI_VERSION_H

/** Version of the program, printed by `figturn version`. */

#include <string_view>

namespace figturn {

/** Returns the version of this build, for example "0.1.0". */
std::string_view programVersion();

} // namespace figturn

#endif // FIGTURN_CLI_VERSION_H
