#include "coordination/LearningTimes.h"

#include "state/Event.h"

#include <algorithm>
#include <fmt/format.h>

namespace figturn {

namespace {

constexpr std::array<std::string_view, 3> PartNames = {"config", "targets",
                                                       "evacuations"};
constexpr std::array<std::string_view, 6> WayNames = {
    "watch",          "start-listing", "retry-listing",
    "behind-listing", "role-listing",  "copy"};

/** \p Time in ms before \p Now, or "none" if there is no such time yet. */
std::string millisSince(TimePoint Time, TimePoint Now) {
  if (Time == TimePoint())
    return "none";
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(Now - Time).count());
}

} // namespace

std::string_view learnedPartName(LearnedPart Part) {
  return PartNames.at(static_cast<std::size_t>(Part));
}

std::string_view learningWayName(LearningWay Way) {
  return WayNames.at(static_cast<std::size_t>(Way));
}

LearningTimes::Part &LearningTimes::part(LearnedPart Key) {
  return m_Parts.at(static_cast<std::size_t>(Key));
}

void LearningTimes::onRole(StoreRole Role, TimePoint Now) {
  if (std::exchange(m_Role, Role) != Role)
    m_RoleSince = Now;
}

void LearningTimes::onTick(bool AgreesOnRegistry, TimePoint Now) {
  m_Registry.onTick(Now);
  if (AgreesOnRegistry)
    m_Registry.onFleetAgrees(Now);
}

void LearningTimes::onListingDue(LearnedPart Part, LearningWay Way) {
  part(Part).m_ListingWay = Way;
}

void LearningTimes::onChange(LearnedPart Part) {
  part(Part).m_HasChange = true;
}

void LearningTimes::onOutdatedObject(LearnedPart Part, std::string_view Name,
                                     StateRevision Revision,
                                     StateRevision KnownRevision) {
  ++part(Part).m_OutdatedObjects;
  logEvent(Event::StateObjectOutdated, "part={} name={} revision={} known={}",
           learnedPartName(Part), Name, Revision, KnownRevision);
}

void LearningTimes::onWatched(const AppliedVersion &Applied, TimePoint Now,
                              std::chrono::system_clock::time_point WallTime) {
  onApplied(Applied, LearningWay::Watch, Now, WallTime);
}

void LearningTimes::onListed(const AppliedVersion &Applied, TimePoint Now,
                             std::chrono::system_clock::time_point WallTime) {
  onApplied(Applied, part(Applied.m_Part).m_ListingWay, Now, WallTime);
}

void LearningTimes::onCopied(const AppliedVersion &Applied, TimePoint Now,
                             std::chrono::system_clock::time_point WallTime) {
  onApplied(Applied, LearningWay::Copy, Now, WallTime);
}

TimePoint LearningTimes::provenAt(const AppliedVersion &Applied) const {
  // Until the first version, agreement with the peers shows nothing.
  if (Applied.m_Part == LearnedPart::Config || Applied.m_FreshAt == TimePoint())
    return Applied.m_ProvenAt;
  return std::max(Applied.m_ProvenAt, m_Registry.provenAt());
}

void LearningTimes::onApplied(const AppliedVersion &Applied, LearningWay Way,
                              TimePoint Now,
                              std::chrono::system_clock::time_point WallTime) {
  if (!std::exchange(part(Applied.m_Part).m_HasChange, false))
    return;
  const TimePoint ProvenAt = provenAt(Applied);
  if (ProvenAt != TimePoint())
    m_Times[{Applied.m_Part, Way}].record(Now - ProvenAt);
  logEvent(
      Event::StateVersionApplied,
      "part={} way={} era={} revision={} config={} unix_ms={} unproven_ms={} "
      "since_fresh_ms={} role={} role_ms={}",
      learnedPartName(Applied.m_Part), learningWayName(Way),
      Applied.m_Revision.m_Era, Applied.m_Revision.m_Number,
      Applied.m_ConfigVersion,
      std::chrono::floor<milliseconds>(WallTime).time_since_epoch().count(),
      millisSince(ProvenAt, Now), millisSince(Applied.m_FreshAt, Now),
      storeRoleName(m_Role), millisSince(m_RoleSince, Now));
}

std::uint64_t LearningTimes::outdatedObjects(LearnedPart Part) const {
  return m_Parts.at(static_cast<std::size_t>(Part)).m_OutdatedObjects;
}

std::string LearningTimes::metricsText() const {
  std::string Text;
  for (const auto &[Key, Times] : m_Times)
    Text += Times.text("figturn_state_learning_seconds",
                       fmt::format("part=\"{}\",way=\"{}\"",
                                   learnedPartName(Key.first),
                                   learningWayName(Key.second)));
  for (std::size_t I = 0; I < m_Parts.size(); ++I)
    Text += fmt::format("figturn_state_objects_outdated_total{{part=\"{}\"}} "
                        "{}\n",
                        PartNames.at(I), m_Parts.at(I).m_OutdatedObjects);
  return Text;
}

} // namespace figturn
