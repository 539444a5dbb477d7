#include "coordination/ConfigPublisher.h"

#include "state/Errc.h"

#include <algorithm>
#include <utility>

namespace figturn {

namespace {

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace

ConfigPublisher::ConfigPublisher(ConfigPublisherOptions Options)
    : m_Options(std::move(Options)), m_InDoubt(m_Options.m_IsResolvingUnknown) {
}

PublishStep ConfigPublisher::start() {
  return {.m_Kind = PublishStep::Kind::Read};
}

PublishStep ConfigPublisher::onRead(const PublishedConfig &Read,
                                    TimePoint Now) {
  if (Read.m_ChangeId == m_Options.m_ChangeId)
    return done(PublishOutcome::Accepted, Read.m_Version);
  if (contains(Read.m_PreviousChanges, m_Options.m_ChangeId))
    return done(PublishOutcome::Superseded, Read.m_Version, Read.m_ChangeId);
  if (!m_Options.m_Base)
    m_Options.m_Base = Read.m_Version;
  if (Read.m_Version > *m_Options.m_Base)
    return onLaterVersion(Read);
  m_LatestSeen = std::max(m_LatestSeen, Read.m_Version);
  if (Read.m_Version < *m_Options.m_Base)
    return retryLater(Now);
  m_BaseChangeId = Read.m_ChangeId;
  // After a conflict, a read that returns the base version is stale.
  if (m_Conflict || Now >= m_Options.m_Deadline)
    return retryLater(Now);
  return {.m_Kind = PublishStep::Kind::Write, .m_Base = *m_Options.m_Base};
}

bool ConfigPublisher::followsBase(const PublishedConfig &Read) const {
  if (!Read.m_HasPreviousChanges)
    return false;
  if (*m_Options.m_Base == ConfigVersion())
    return true;
  return m_BaseChangeId && contains(Read.m_PreviousChanges, *m_BaseChangeId);
}

// A history that reaches back to the base shows that this change never took
// effect. Without such a history, this change may have been in effect before
// the current one.
PublishStep ConfigPublisher::onLaterVersion(const PublishedConfig &Read) const {
  const PublishOutcome Outcome = m_InDoubt && !followsBase(Read)
                                     ? PublishOutcome::Unknown
                                     : PublishOutcome::Conflict;
  return done(Outcome, Read.m_Version, Read.m_ChangeId);
}

PublishStep ConfigPublisher::onReadFailed(TimePoint Now) {
  return retryLater(Now);
}

PublishStep ConfigPublisher::onWritten(std::error_code Error,
                                       ConfigVersion Version, TimePoint Now) {
  if (!Error)
    return done(PublishOutcome::Accepted, Version);
  // The object shows whose change is current: after a lost reply it may be this
  // one.
  if (Error == Errc::VersionConflict) {
    m_Conflict = Version;
    return {.m_Kind = PublishStep::Kind::Read};
  }
  if (Error == Errc::OutcomeUnknown) {
    m_InDoubt = true;
    return retryLater(Now);
  }
  if (Error == Errc::PlatformUnavailable)
    return retryLater(Now);
  return done(m_InDoubt ? PublishOutcome::Unknown : PublishOutcome::NotAccepted,
              Version);
}

PublishStep ConfigPublisher::onTick(TimePoint Now) {
  if (Now >= m_Options.m_Deadline)
    return retryLater(Now);
  return {.m_Kind = PublishStep::Kind::Read};
}

PublishStep ConfigPublisher::retryLater(TimePoint Now) const {
  if (Now < m_Options.m_Deadline)
    return {.m_Kind = PublishStep::Kind::Wait,
            .m_Until = std::min(Now + m_Options.m_RetryInterval,
                                m_Options.m_Deadline)};
  if (m_InDoubt)
    return done(PublishOutcome::Unknown, m_LatestSeen);
  if (m_Conflict)
    return done(PublishOutcome::Conflict, *m_Conflict);
  return done(PublishOutcome::NotAccepted, m_LatestSeen);
}

PublishStep ConfigPublisher::done(PublishOutcome Outcome, ConfigVersion Version,
                                  std::string CurrentChange) const {
  return {.m_Kind = PublishStep::Kind::Done,
          .m_Base = m_Options.m_Base.value_or(ConfigVersion()),
          .m_Outcome = Outcome,
          .m_Version = Version,
          .m_CurrentChange = std::move(CurrentChange)};
}

} // namespace figturn
