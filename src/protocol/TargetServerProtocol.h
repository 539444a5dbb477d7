#ifndef FIGTURN_PROTOCOL_TARGETSERVERPROTOCOL_H
#define FIGTURN_PROTOCOL_TARGETSERVERPROTOCOL_H

/**
 * The target's side of the target protocol: decodes calls and encodes
 * replies. Targets and test stand-ins share it, so that they use the same keys
 * and status codes.
 */

#include "protocol/TargetMessages.h"
#include "state/Errc.h"

#include <optional>
#include <string>
#include <string_view>

namespace figturn {

/** Decodes the body of a call; std::nullopt if a key is missing or has the
 *  wrong type. */
std::optional<SearchCall> decodeSearchCall(std::string_view Body);
/** \copydoc decodeSearchCall */
std::optional<LookupCall> decodeLookupCall(std::string_view Body);
/** \copydoc decodeSearchCall */
std::optional<RunCall> decodeRunCall(std::string_view Body);
/** \copydoc decodeSearchCall */
std::optional<CancelRequest> decodeCancelCall(std::string_view Body);

/** Encodes the body of a reply with status 200. */
std::string encodeReply(CallId Call, const SearchReply &Reply);
/** \copydoc encodeReply */
std::string encodeReply(CallId Call, const LookupReply &Reply);
/** \copydoc encodeReply */
std::string encodeReply(CallId Call, const RunReply &Reply);
/** \copydoc encodeReply */
std::string encodeReply(const HelloReply &Reply);
/** \copydoc encodeReply */
std::string encodeReply(const HealthReply &Reply);

/** A reply with a status other than 200. */
struct FailureReply {
  unsigned m_Status = 500;
  std::string m_Body;
};

/** Encodes a failure; with VersionNotHeld, \p Held is the target's version. */
FailureReply encodeFailure(CallId Call, Errc Reason, IndexVersion Held = {});

} // namespace figturn

#endif // FIGTURN_PROTOCOL_TARGETSERVERPROTOCOL_H
