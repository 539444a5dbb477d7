#ifndef FIGTURN_COORDINATION_CONFIGPUBLISHER_H
#define FIGTURN_COORDINATION_CONFIGPUBLISHER_H

/**
 * Decides how one change of the configuration is published: a conditional
 * write on the version that the operator's change is based on, and after a
 * lost answer reads and repeated writes until it is known whether the change
 * took effect. Repeating is safe, since all writes carry the same condition
 * and so at most one of them can take effect.
 *
 * "Not accepted" is only ever said when no write can still take effect.
 */

#include "state/Ids.h"
#include "state/Time.h"

#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace figturn {

/** What a read of the object `config` gave. */
struct PublishedConfig {
  ConfigVersion m_Version; ///< 0 if there is no such object.
  std::string m_ChangeId;
  std::vector<std::string> m_PreviousChanges; ///< Latest first.
  /** Whether the writer kept m_PreviousChanges at all. */
  bool m_HasPreviousChanges = false;
};

/** How a change ended. */
enum class PublishOutcome {
  Accepted,    ///< In the store; its version is known.
  Superseded,  ///< It was accepted, and a later change since.
  LostRace,    ///< Another change came first; nothing of this was written.
  NotAccepted, ///< Nothing was written, and nothing can be any more.
  Unknown      ///< A write may have taken effect or may still do so.
};

/** What the publisher asks for next. */
struct PublishStep {
  enum class Kind {
    Read,  ///< Read the object; report by onRead() or onReadFailed().
    Write, ///< Write it on condition of m_Base, the version just read (absent
           ///< if 0); report by onWritten().
    Wait,  ///< Call onTick() at m_Until.
    Done   ///< m_Outcome holds.
  };
  Kind m_Kind = Kind::Read;
  ConfigVersion m_Base; ///< Set for Write, and for Done if it is known.
  TimePoint m_Until;
  PublishOutcome m_Outcome = PublishOutcome::Unknown;
  /** The change's own version if Accepted; else the latest one seen. */
  ConfigVersion m_Version;
  /** The change that holds now, for LostRace and Superseded. */
  std::string m_HoldingChange;
};

/** What to publish and how long to try. */
struct ConfigPublisherOptions {
  std::string m_ChangeId;
  /** Version that the change must follow; none takes the one first read. */
  std::optional<ConfigVersion> m_Base;
  /** An earlier run with this change id ended as Unknown. */
  bool m_Resolves = false;
  TimePoint m_GiveUpAt;
  milliseconds m_RetryInterval{500};
};

/** One change on its way. Each call gives the next step. */
class ConfigPublisher {
public:
  explicit ConfigPublisher(ConfigPublisherOptions Options);

  PublishStep start();
  PublishStep onRead(const PublishedConfig &Read, TimePoint Now);
  PublishStep onReadFailed(TimePoint Now);
  /** \p Error is none, VersionConflict, PlatformUnavailable, OutcomeUnknown
   *  or another by which the store declined for good. */
  PublishStep onWritten(std::error_code Error, ConfigVersion Version,
                        TimePoint Now);
  PublishStep onTick(TimePoint Now);

private:
  bool followsBase(const PublishedConfig &Read) const;
  PublishStep onOvertaken(const PublishedConfig &Read) const;
  PublishStep retryLater(TimePoint Now) const;
  PublishStep done(PublishOutcome Outcome, ConfigVersion Version,
                   std::string HoldingChange = {}) const;

  ConfigPublisherOptions m_Options;
  /** A write was sent whose effect is not known. */
  bool m_InDoubt = false;
  /** The version that a conflict named; no write can take effect after it. */
  std::optional<ConfigVersion> m_Conflict;
  std::optional<std::string> m_BaseChangeId;
  ConfigVersion m_LatestSeen;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_CONFIGPUBLISHER_H
