#ifndef FIGTURN_COORDINATION_RECORDMERGE_H
#define FIGTURN_COORDINATION_RECORDMERGE_H

/** Merges the parts of a search: records of fixed size, greatest first. */

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace figturn {

/** Bytes of one record; they compare as unsigned bytes. */
inline constexpr std::size_t RecordSizeBytes = 16;

/** The greatest \p Top records of all \p Parts, greatest first. Records are
 *  in no order within a part, equal ones all count, and a rest of a part that
 *  is shorter than a record is none. */
std::string mergeTopRecords(std::span<const std::string_view> Parts,
                            std::size_t Top);

} // namespace figturn

#endif // FIGTURN_COORDINATION_RECORDMERGE_H
