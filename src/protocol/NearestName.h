#ifndef FIGTURN_PROTOCOL_NEARESTNAME_H
#define FIGTURN_PROTOCOL_NEARESTNAME_H

/**
 * Suggests the known name closest to an unknown one, for error messages about
 * misspelled keys, names and flags.
 */

#include <string>
#include <string_view>
#include <vector>

namespace figturn {

/** The name in \p Known with the smallest case-insensitive edit distance to
 *  \p Name; "" if \p Known is empty. */
std::string nearestName(std::string_view Name,
                        const std::vector<std::string> &Known);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_NEARESTNAME_H
