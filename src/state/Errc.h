#ifndef FIGTURN_STATE_ERRC_H
#define FIGTURN_STATE_ERRC_H

/**
 * Error conditions of the project as std::error_code. The name of each, as
 * errcName() gives it, is the machine-readable reason in refusals and logs,
 * so a name never changes its meaning.
 */

#include <string_view>
#include <system_error>

namespace figturn {

/** Why something was refused or failed. */
enum class Errc {
  Ok = 0,
  // What a caller did wrong.
  BadRequest,
  UnknownService,
  BodyTooLarge,
  HeaderTimeout,
  MissingKey,
  KeyReused, ///< The idempotency key came with a different request before.
  // What the system could not do.
  Overloaded,
  DeadlineExceeded,
  NoTarget,
  NotReady, ///< No configuration or member list is in force yet.
  Draining,
  Quarantined,
  PlatformUnavailable,
  AttemptInProgress, ///< Another attempt with this key holds the request.
  AttemptLost,       ///< The VM that held the request was lost.
  Cancelled,
  // What a target or a connection did.
  ConnectFailed,
  ConnectionClosed,
  ConnectionSilent,
  TruncatedReply,
  BadReply,
  VersionNotHeld,
  TargetShed,
  TargetFailed,
  RecordNotFound,
  // What the platform or a peer said.
  ObjectNotFound,
  VersionConflict,
  OutcomeUnknown, ///< The answer to a write was lost.
  PeerUnavailable,
  // What an operator gave.
  InvalidConfiguration,
  InvalidSettings,
  SlotNotOwned, ///< The VM asked to run a call owns no slot of the target.
  UnknownRoute  ///< No route of the configuration matches host and path.
};

/** The category that holds Errc. */
const std::error_category &errcCategory();

/** Machine-readable name, for example "deadline-exceeded". */
std::string_view errcName(Errc Code);

/** Reads a name written by errcName(); Errc::BadReply if it is unknown. */
Errc parseErrc(std::string_view Name);

std::error_code make_error_code(Errc Code); // NOLINT: name is std's

} // namespace figturn

template <> struct std::is_error_code_enum<figturn::Errc> : std::true_type {};

#endif // FIGTURN_STATE_ERRC_H
