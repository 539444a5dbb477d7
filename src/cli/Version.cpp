#include "cli/Version.h"

namespace figturn {

std::string_view programVersion() { return "0.1.0"; }

} // namespace figturn
