#ifndef FIGTURN_PROTOCOL_TARGETPROTOCOL_H
#define FIGTURN_PROTOCOL_TARGETPROTOCOL_H

/**
 * The entry VM's side of the target protocol: encodes calls as JSON and decodes
 * replies. A reply is accepted only if it is complete and repeats the call's
 * ID and its index version and shard, or its key, so that a late, swapped or
 * truncated reply is never used for another call.
 */

#include "protocol/TargetMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace figturn {

/** Paths of the target protocol. */
namespace target_path {
inline constexpr std::string_view Hello = "/v1/hello";
inline constexpr std::string_view Search = "/v1/search";
inline constexpr std::string_view Lookup = "/v1/lookup";
inline constexpr std::string_view Run = "/v1/run";
inline constexpr std::string_view Cancel = "/v1/cancel";
inline constexpr std::string_view Health = "/v1/health";
} // namespace target_path

/** Header of every reply; identifies the target's process instance. */
inline constexpr std::string_view BootIdHeader = "X-Boot-Id";

/** Encodes the body of POST /v1/search. */
std::string encodeCall(const SearchCall &Call);
/** Encodes the body of POST /v1/lookup. */
std::string encodeCall(const LookupCall &Call);
/** Encodes the body of POST /v1/run. */
std::string encodeCall(const RunCall &Call);
/** Encodes the body of POST /v1/cancel. */
std::string encodeCall(const CancelRequest &Call);

/** Decodes the reply to \p Call with HTTP status \p Status. */
TargetReply<SearchReply> decodeReply(const SearchCall &Call, unsigned Status,
                                     std::string_view Body);
/** \copydoc decodeReply */
TargetReply<LookupReply> decodeReply(const LookupCall &Call, unsigned Status,
                                     std::string_view Body);
/** \copydoc decodeReply */
TargetReply<RunReply> decodeReply(const RunCall &Call, unsigned Status,
                                  std::string_view Body);

/** Decodes the body of GET /v1/hello; std::nullopt if it is malformed. */
std::optional<HelloReply> decodeHello(std::string_view Body);
/** Decodes the body of GET /v1/health; std::nullopt if it is malformed. */
std::optional<HealthReply> decodeHealth(std::string_view Body);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_TARGETPROTOCOL_H
