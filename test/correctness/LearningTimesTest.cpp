/** Tests of the bounds on how late a VM learned a version. */

#include "coordination/LearningTimes.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

struct LearningTimesFixture {
  /** A part that was shown to be complete at Start. */
  AppliedVersion applied(LearnedPart Part) const {
    return {.m_Part = Part,
            .m_Revision = 7,
            .m_ConfigVersion = 3,
            .m_ProvenAt = Start,
            .m_FreshAt = Start};
  }
  /** Ticks until \p End; the peers agree until \p AgreedUntil. */
  void runUntil(TimePoint End, TimePoint AgreedUntil) {
    for (TimePoint Now = Start; Now <= End; Now += milliseconds(200))
      m_Times.onTick(Now <= AgreedUntil, Now);
  }
  bool hasLine(const std::string &Line) const { return hasText(Line + "\n"); }
  bool hasText(const std::string &Text) const {
    return m_Times.metricsText().find(Text) != std::string::npos;
  }
  /** Whether one time is recorded with these labels, between two bounds. */
  bool isRecorded(const std::string &Labels, const std::string &Above,
                  const std::string &UpTo) const {
    const std::string Bucket =
        "figturn_state_learning_seconds_bucket{" + Labels + ",le=\"";
    return hasLine(Bucket + Above + "\"} 0") &&
           hasLine(Bucket + UpTo + "\"} 1");
  }

  LearningTimes m_Times{Start};
  std::chrono::system_clock::time_point m_WallTime{seconds(1)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LearningTimesTest, LearningTimesFixture)

BOOST_AUTO_TEST_CASE(WatchReply_withAChange_isRecordedFromTheLastProof) {
  m_Times.onChange(LearnedPart::Config);
  m_Times.onWatched(applied(LearnedPart::Config), Start + milliseconds(2600),
                    m_WallTime);
  BOOST_TEST(isRecorded("part=\"config\",way=\"watch\"", "2", "3"));
}

BOOST_AUTO_TEST_CASE(WatchReply_withoutAChange_isNotRecorded) {
  m_Times.onWatched(applied(LearnedPart::Config), Start + milliseconds(2600),
                    m_WallTime);
  BOOST_TEST(!hasText("learning"));
}

BOOST_AUTO_TEST_CASE(Change_ofOnePart_isRecordedForThatPartOnce) {
  m_Times.onChange(LearnedPart::Targets);
  m_Times.onWatched(applied(LearnedPart::Config), Start + seconds(1),
                    m_WallTime);
  m_Times.onWatched(applied(LearnedPart::Targets), Start + seconds(1),
                    m_WallTime);
  m_Times.onWatched(applied(LearnedPart::Targets), Start + seconds(2),
                    m_WallTime);
  BOOST_TEST(hasLine("figturn_state_learning_seconds_count{part=\"targets\","
                     "way=\"watch\"} 1"));
  BOOST_TEST(!hasText("part=\"config\",way"));
}

BOOST_AUTO_TEST_CASE(Listing_withAnyCause_isRecordedWithIt) {
  for (const LearningWay Way :
       {LearningWay::StartListing, LearningWay::RetryListing,
        LearningWay::BehindListing, LearningWay::RoleListing}) {
    m_Times.onListingDue(LearnedPart::Evacuations, Way);
    m_Times.onChange(LearnedPart::Evacuations);
    m_Times.onListed(applied(LearnedPart::Evacuations),
                     Start + milliseconds(300), m_WallTime);
    BOOST_TEST(isRecorded("part=\"evacuations\",way=\"" +
                              std::string(learningWayName(Way)) + "\"",
                          "0.25", "0.5"));
  }
}

BOOST_AUTO_TEST_CASE(FirstVersion_withoutAProofBefore_isNotRecorded) {
  m_Times.onChange(LearnedPart::Targets);
  runUntil(Start + seconds(4), Start + seconds(4));
  m_Times.onListed({.m_Part = LearnedPart::Targets}, Start + seconds(4),
                   m_WallTime);
  BOOST_TEST(!hasText("learning"));
}

BOOST_AUTO_TEST_CASE(Copy_afterThePeersAgreed_isRecordedFromThen) {
  runUntil(Start + milliseconds(6000), Start + milliseconds(5000));
  m_Times.onChange(LearnedPart::Targets);
  m_Times.onCopied(applied(LearnedPart::Targets), Start + milliseconds(6100),
                   m_WallTime);
  BOOST_TEST(isRecorded("part=\"targets\",way=\"copy\"", "1", "2"));
}

// Any listing raises a VM's version, so that its peers copy what they have.
BOOST_AUTO_TEST_CASE(Copy_withoutAChange_isNotRecorded) {
  m_Times.onCopied(applied(LearnedPart::Targets), Start + milliseconds(6100),
                   m_WallTime);
  BOOST_TEST(!hasText("learning"));
}

// A configuration's own proof includes the agreement of the peers.
BOOST_AUTO_TEST_CASE(Config_peersAgreeOnTheRegistry_isRecordedFromItsOwnProof) {
  runUntil(Start + milliseconds(6000), Start + milliseconds(6000));
  m_Times.onChange(LearnedPart::Config);
  m_Times.onCopied(applied(LearnedPart::Config), Start + milliseconds(6100),
                   m_WallTime);
  BOOST_TEST(isRecorded("part=\"config\",way=\"copy\"", "4", "+Inf"));
}

BOOST_AUTO_TEST_CASE(OutdatedObjects_ofOnePart_areCounted) {
  m_Times.onOutdatedObject(LearnedPart::Targets, "i-1", 4, 9);
  m_Times.onOutdatedObject(LearnedPart::Targets, "i-2", 5, 9);
  BOOST_TEST(m_Times.outdatedObjects(LearnedPart::Targets) == 2U);
  BOOST_TEST(hasLine("figturn_state_objects_outdated_total{part=\"targets\"} "
                     "2"));
  BOOST_TEST(hasLine("figturn_state_objects_outdated_total{part=\"config\"} "
                     "0"));
}

BOOST_AUTO_TEST_SUITE_END()
