#ifndef FIGTURN_COORDINATION_RECORDMERGE_H
#define FIGTURN_COORDINATION_RECORDMERGE_H

/** Merges the partial results of a search, which consist of fixed-size records.
 */

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace figturn {

/** Size of one record; records are compared as unsigned bytes. */
inline constexpr std::size_t RecordSizeBytes = 16;

/** Returns the greatest \p MaxRecords records of all \p Parts in descending
 *  order. A part need not be sorted, duplicates are kept, and a trailing
 *  fragment shorter than a record is ignored. */
std::string mergeTopRecords(std::span<const std::string_view> Parts,
                            std::size_t MaxRecords);

} // namespace figturn

#endif // FIGTURN_COORDINATION_RECORDMERGE_H
