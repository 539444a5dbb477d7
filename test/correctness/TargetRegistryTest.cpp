/** Tests of how registry updates affect the targets in use. */

#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Fixture {
  TargetRegistry m_Registry{
      TargetRegistryOptions{.m_MissingRetention = milliseconds(2400)}};
  ServiceName m_Service{"shard-0"};

  void add(const TargetEntry &Entry) { m_Registry.upsert(Entry, Start, Start); }
  /** When t-1 must no longer be used, if a VM learns of its removal \p Later
   *  than its entry was last known to be present. */
  TimePoint unusableAt(Duration Later) {
    add(makeEntry("t-1"));
    const TimePoint Learned = Start + Later;
    if (m_Registry.remove(TargetName("t-1"), Start, Learned)
            .m_RemovedTargets.size() == 1)
      return Learned;
    return m_Registry.nextExpiry().value_or(TimePoint::max());
  }
  std::size_t knownTargets() const {
    return m_Registry.targets(m_Service).size();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetRegistryTest, Fixture)

BOOST_AUTO_TEST_CASE(Entry_missingWithoutDraining_isRetainedThenDropped) {
  add(makeEntry("t-1"));
  BOOST_TEST(
      m_Registry.remove(TargetName("t-1"), Start, Start).m_Missing.size() ==
      1U);
  BOOST_TEST(knownTargets() == 1U);
  BOOST_TEST(
      m_Registry.expire(Start + milliseconds(2399)).m_RemovedTargets.empty());
  BOOST_TEST((m_Registry.nextExpiry() == Start + milliseconds(2400)));
  BOOST_TEST(
      m_Registry.expire(Start + milliseconds(2400)).m_RemovedTargets.size() ==
      1U);
  BOOST_TEST(knownTargets() == 0U);
}

BOOST_AUTO_TEST_CASE(Entry_reappearingAfterAnOutage_keepsItsLoadState) {
  add(makeEntry("t-1"));
  const TargetPtr Original = m_Registry.targets(m_Service)[0];
  Original->m_Load.begin(1, Start);
  m_Registry.replaceAll({}, Start, Start);
  m_Registry.replaceAll({makeEntry("t-1")}, Start + seconds(2),
                        Start + seconds(2));
  BOOST_TEST(m_Registry.expire(Start + seconds(5)).m_RemovedTargets.empty());
  BOOST_TEST((m_Registry.targets(m_Service)[0] == Original));
  BOOST_TEST(Original->m_Load.outstanding() == 1U);
}

// The delay until a VM learned of a removal and the retention added up to more
// than the time for which the target serves.
BOOST_AUTO_TEST_CASE(Removal_learnedLate_actsWithinTheDrainTime) {
  for (const milliseconds DrainTime :
       {milliseconds(1000), milliseconds(3000), milliseconds(6000)}) {
    m_Registry.setDrainTime(DrainTime);
    for (milliseconds Later{0}; Later <= DrainTime; Later += milliseconds(50)) {
      BOOST_TEST((unusableAt(Later) <= Start + DrainTime));
      m_Registry.expire(Start + seconds(60));
    }
  }
}

BOOST_AUTO_TEST_CASE(Removal_learnedAfterTheDrainTime_actsAtOnce) {
  BOOST_TEST((unusableAt(seconds(4)) == Start + seconds(4)));
  BOOST_TEST(knownTargets() == 0U);
  BOOST_TEST(!m_Registry.nextExpiry().has_value());
}

BOOST_AUTO_TEST_CASE(Removal_learnedAgain_isNotDelayed) {
  BOOST_TEST((unusableAt(milliseconds(0)) == Start + milliseconds(2400)));
  m_Registry.replaceAll({}, Start + seconds(2), Start + seconds(2));
  BOOST_TEST((m_Registry.nextExpiry() == Start + milliseconds(2400)));
}

BOOST_AUTO_TEST_CASE(Entry_missingForTwoSeconds_isKept) {
  add(makeEntry("t-1"));
  const TargetPtr Original = m_Registry.targets(m_Service)[0];
  m_Registry.remove(TargetName("t-1"), Start, Start + milliseconds(400));
  m_Registry.expire(Start + seconds(2));
  BOOST_TEST(!Original->isGone(Start + seconds(2)));
  add(makeEntry("t-1"));
  BOOST_TEST((m_Registry.targets(m_Service)[0] == Original));
  BOOST_TEST(!Original->isGone(Start + seconds(60)));
}

BOOST_AUTO_TEST_CASE(DrainedTarget_isDroppedAtOnceWithItsEntry) {
  TargetEntry Leaving = makeEntry("t-1");
  add(Leaving);
  Leaving.m_Draining = true;
  add(Leaving);
  BOOST_TEST(m_Registry.remove(TargetName("t-1"), Start, Start)
                 .m_RemovedTargets.size() == 1U);
  BOOST_TEST(knownTargets() == 0U);
}

BOOST_AUTO_TEST_CASE(Name_withALaterStart_isANewTarget) {
  add(makeEntry("t-1", "shard-0", "nz-south-a", 1000));
  const TargetPtr Original = m_Registry.targets(m_Service)[0];
  const auto Change = m_Registry.upsert(
      makeEntry("t-1", "shard-0", "nz-south-a", 2000), Start, Start);
  BOOST_TEST(Change.m_Restarted.size() == 1U);
  BOOST_TEST((m_Registry.targets(m_Service)[0] != Original));
  BOOST_TEST(knownTargets() == 1U);
}

BOOST_AUTO_TEST_CASE(Entry_ofAnEarlierStart_isIgnored) {
  add(makeEntry("t-1", "shard-0", "nz-south-a", 2000));
  TargetEntry Late = makeEntry("t-1", "shard-0", "nz-south-a", 1000);
  Late.m_Draining = true;
  add(Late);
  BOOST_TEST(!m_Registry.targets(m_Service)[0]->m_Entry.m_Draining);
}

BOOST_AUTO_TEST_CASE(Target_listedUnderAnotherService_movesToIt) {
  add(makeEntry("t-1"));
  add(makeEntry("t-1", "shard-1"));
  BOOST_TEST(knownTargets() == 0U);
  BOOST_TEST(m_Registry.targets(ServiceName("shard-1")).size() == 1U);
}

BOOST_AUTO_TEST_CASE(Listing_withoutATarget_retainsIt) {
  add(makeEntry("t-1"));
  add(makeEntry("t-2"));
  const auto Change = m_Registry.replaceAll({makeEntry("t-2")}, Start, Start);
  BOOST_TEST(Change.m_Missing.size() == 1U);
  BOOST_TEST(knownTargets() == 2U);
}

BOOST_AUTO_TEST_CASE(RateLimit_ofTarget_endsWithItsProcess) {
  add(makeEntry("t-1"));
  m_Registry.targets(m_Service)[0]->m_RateLimit.onReply(
      {.m_RequestsPerSecond = 1, .m_SentAt = Start}, 0, 1, Start);
  add(makeEntry("t-1"));
  BOOST_TEST(m_Registry.targets(m_Service)[0]
                 ->m_RateLimit.requestsPerSecond()
                 .has_value());
  add(makeEntry("t-1", "shard-0", "nz-south-a", 2000));
  BOOST_TEST(
      !m_Registry.targets(m_Service)[0]->m_RateLimit.requestsPerSecond());
}

// A heartbeat that was sent before the target drained, and stored after, put
// the target in use again.
BOOST_AUTO_TEST_CASE(Target_thatDrains_isNotTakenBackByALateHeartbeat) {
  TargetEntry Draining = makeEntry("t-1");
  Draining.m_Draining = true;
  add(makeEntry("t-1"));
  BOOST_TEST(m_Registry.upsert(Draining, Start, Start).m_Leaving.size() == 1U);
  const TargetPtr Leaving = m_Registry.targets(m_Service)[0];
  BOOST_TEST((Leaving->m_WritesUntil == Start + milliseconds(2800)));
  m_Registry.upsert(makeEntry("t-1"), Start, Start + seconds(1));
  BOOST_TEST(Leaving->isLeaving());
  BOOST_TEST(m_Registry.expire(Start + seconds(7)).m_TakenBack.empty());
  // The next heartbeat says so again.
  m_Registry.upsert(Draining, Start, Start + seconds(8));
  BOOST_TEST(m_Registry.expire(Start + seconds(30)).m_TakenBack.empty());
  BOOST_TEST(Leaving->isLeaving());
}

BOOST_AUTO_TEST_CASE(Target_thatIsReadyForLongAgain_isTakenBack) {
  TargetEntry Draining = makeEntry("t-1");
  Draining.m_Draining = true;
  add(Draining);
  m_Registry.upsert(makeEntry("t-1"), Start, Start + seconds(1));
  BOOST_TEST(m_Registry.expire(Start + seconds(9)).m_TakenBack.size() == 1U);
  BOOST_TEST(!m_Registry.targets(m_Service)[0]->isLeaving());
}

BOOST_AUTO_TEST_CASE(Target_thatLeft_isStillLeavingWhenListedOnceMore) {
  TargetEntry Draining = makeEntry("t-1");
  Draining.m_Draining = true;
  add(Draining);
  m_Registry.remove(TargetName("t-1"), Start, Start + seconds(3));
  BOOST_TEST(knownTargets() == 0U);
  m_Registry.upsert(makeEntry("t-1"), Start, Start + seconds(4));
  BOOST_TEST(m_Registry.targets(m_Service)[0]->isLeaving());
  // Another process under its name is not.
  add(makeEntry("t-1", "shard-0", "nz-south-a", 2000));
  BOOST_TEST(!m_Registry.targets(m_Service)[0]->isLeaving());
}

BOOST_AUTO_TEST_CASE(Target_thatSaidItLeaves_isStillLeavingAfterALapse) {
  add(makeEntry("t-1"));
  m_Registry.targets(m_Service)[0]->m_Signals.onReply({.m_IsLeaving = true},
                                                      Start);
  m_Registry.remove(TargetName("t-1"), Start, Start);
  m_Registry.expire(Start + seconds(3));
  BOOST_TEST(knownTargets() == 0U);
  m_Registry.upsert(makeEntry("t-1"), Start, Start + seconds(4));
  BOOST_TEST(m_Registry.targets(m_Service)[0]->isLeaving());
}

// A target that started again while its clock was set back names an earlier
// start; that it drains was ignored.
BOOST_AUTO_TEST_CASE(Target_whoseEarlierStartDrains_isLeavingUntilItIsReady) {
  add(makeEntry("t-1", "shard-0", "nz-south-a", 2000));
  TargetEntry Earlier = makeEntry("t-1", "shard-0", "nz-south-a", 1000);
  m_Registry.upsert(Earlier, Start, Start);
  const TargetPtr Known = m_Registry.targets(m_Service)[0];
  BOOST_TEST(!Known->isLeaving());
  Earlier.m_Draining = true;
  BOOST_TEST(m_Registry.upsert(Earlier, Start, Start).m_Leaving.size() == 1U);
  BOOST_TEST(Known->isLeaving());
  BOOST_TEST(
      m_Registry
          .upsert(makeEntry("t-1", "shard-0", "nz-south-a", 2000), Start, Start)
          .m_TakenBack.size() == 1U);
  BOOST_TEST(!Known->isLeaving());
}

BOOST_AUTO_TEST_SUITE_END()
