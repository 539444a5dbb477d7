#ifndef FIGTURN_PROTOCOL_MEMBERLISTCODEC_H
#define FIGTURN_PROTOCOL_MEMBERLISTCODEC_H

/** Encodes and decodes the platform object that holds the agreed list of entry
 *  VMs, as JSON. */

#include "coordination/MemberList.h"

#include <optional>
#include <string>
#include <string_view>

namespace figturn {

/** Path of the object in the platform's store. */
inline constexpr std::string_view MemberListPath = "members";

std::string encodeMemberList(const MemberList &List);

/** Decodes the object; std::nullopt if it is malformed. */
std::optional<MemberList> decodeMemberList(std::string_view Body);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_MEMBERLISTCODEC_H
