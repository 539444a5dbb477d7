#ifndef FIGTURN_STATE_ERRC_H
#define FIGTURN_STATE_ERRC_H

/**
 * Error conditions of figturn as std::error_code. The name returned by
 * errcName() is the machine-readable reason in refusals and logs, so a name
 * never changes its meaning.
 */

#include <string_view>
#include <system_error>

namespace figturn {

/** Reason of a refusal or failure. */
enum class Errc {
  Ok = 0,
  // Caller errors.
  BadRequest,
  UnknownService,
  BodyTooLarge,
  HeaderTimeout,
  MissingKey,
  KeyReused, ///< The idempotency key was already used with a different request.
  // Conditions of the system.
  Overloaded,
  DeadlineExceeded,
  NoTarget,
  NotReady, ///< A configuration, member list, index or usable slot is missing.
  Draining,
  Quarantined,
  PlatformUnavailable,
  AttemptInProgress, ///< Another attempt with this key is still running.
  AttemptLost,       ///< The outcome of an attempt with this key is lost.
  Cancelled,
  // Failures of a target or a connection.
  ConnectFailed,
  ConnectionClosed,
  ConnectionSilent,
  TruncatedReply,
  BadReply,
  VersionNotHeld,
  TargetShed,
  TargetFailed,
  TargetLeft, ///< The time in which a leaving target takes requests is over.
  RecordNotFound,
  // Responses of the platform or a peer.
  ObjectNotFound,
  VersionConflict,
  OutcomeUnknown, ///< The reply to a write was lost.
  PeerUnavailable,
  // Operator errors.
  InvalidConfiguration,
  InvalidSettings,
  // No slot or no route.
  SlotNotOwned, ///< The VM to which a call is forwarded has no usable slot.
  UnknownRoute  ///< No route of the configuration matches the host and path.
};

/** Error category of Errc. */
const std::error_category &errcCategory();

/** Machine-readable name, for example "deadline-exceeded". */
std::string_view errcName(Errc Code);

/** Parses a name returned by errcName(); Errc::BadReply if it is unknown. */
Errc parseErrc(std::string_view Name);

std::error_code make_error_code(Errc Code); // NOLINT: name required by std

} // namespace figturn

template <> struct std::is_error_code_enum<figturn::Errc> : std::true_type {};

#endif // FIGTURN_STATE_ERRC_H
