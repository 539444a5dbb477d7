#ifndef FIGTURN_COORDINATION_CONFIGPUBLISHER_H
#define FIGTURN_COORDINATION_CONFIGPUBLISHER_H

/**
 * Publishes one change of the configuration: a conditional write on the version
 * that the operator's change is based on and, if the reply is lost, reads and
 * repeated writes until it is known whether the change took effect. Repeating
 * is safe, since all writes carry the same condition and at most one of them
 * can take effect.
 *
 * PublishOutcome::NotAccepted is only reported when no write can take effect
 * any more.
 */

#include "state/Ids.h"
#include "state/Time.h"

#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace figturn {

/** Result of reading the object `config`. */
struct PublishedConfig {
  ConfigVersion m_Version; ///< 0 if the object does not exist.
  std::string m_ChangeId;
  std::vector<std::string> m_PreviousChanges; ///< Most recent first.
  /** Whether the writer recorded m_PreviousChanges at all. */
  bool m_HasPreviousChanges = false;
};

/** Outcome of a change. */
enum class PublishOutcome {
  Accepted,    ///< Stored; its version is known.
  Superseded,  ///< Accepted, and followed by a later change.
  Conflict,    ///< Another change came first; no part of this one was written.
  NotAccepted, ///< Not written, and no write can take effect any more.
  Unknown      ///< A write may have taken effect or may still do so.
};

/** The next operation to perform. */
struct PublishStep {
  enum class Kind {
    Read, ///< Read the object; report the result to onRead() or onReadFailed().
    Write, ///< Write it conditionally on m_Base, the version just read (0: it
           ///< must not exist); report the result to onWritten().
    Wait,  ///< Call onTick() at m_Until.
    Done   ///< m_Outcome is final.
  };
  Kind m_Kind = Kind::Read;
  ConfigVersion m_Base; ///< Set for Write, and for Done if it is known.
  TimePoint m_Until;
  PublishOutcome m_Outcome = PublishOutcome::Unknown;
  /** The change's own version if Accepted; otherwise the latest version
   *  seen. */
  ConfigVersion m_Version;
  /** Id of the current change, for Conflict and Superseded; empty if unknown.
   */
  std::string m_CurrentChange;
};

/** Parameters of a ConfigPublisher. */
struct ConfigPublisherOptions {
  std::string m_ChangeId;
  /** Version on which the change is based; if none, the version read first. */
  std::optional<ConfigVersion> m_Base;
  /** An earlier run with this change id ended as Unknown. */
  bool m_IsResolvingUnknown = false;
  TimePoint m_Deadline;
  milliseconds m_RetryInterval{500};
};

/** State machine for publishing one change. Each call returns the next step.
 *  Not thread-safe. */
class ConfigPublisher {
public:
  explicit ConfigPublisher(ConfigPublisherOptions Options);

  PublishStep start();
  PublishStep onRead(const PublishedConfig &Read, TimePoint Now);
  PublishStep onReadFailed(TimePoint Now);
  /** \p Error is none, VersionConflict, PlatformUnavailable, OutcomeUnknown or
   *  an error with which the store rejected the write permanently. */
  PublishStep onWritten(std::error_code Error, ConfigVersion Version,
                        TimePoint Now);
  PublishStep onTick(TimePoint Now);

private:
  bool followsBase(const PublishedConfig &Read) const;
  PublishStep onLaterVersion(const PublishedConfig &Read) const;
  PublishStep retryLater(TimePoint Now) const;
  PublishStep done(PublishOutcome Outcome, ConfigVersion Version,
                   std::string CurrentChange = {}) const;

  ConfigPublisherOptions m_Options;
  /** The effect of a write that was sent is unknown. */
  bool m_InDoubt = false;
  /** Version reported by a conflict; no write can take effect after it. */
  std::optional<ConfigVersion> m_Conflict;
  std::optional<std::string> m_BaseChangeId;
  ConfigVersion m_LatestSeen;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_CONFIGPUBLISHER_H
