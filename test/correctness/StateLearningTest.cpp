/** Tests that a VM records how it learned each version. */

#include "support/StateSynchronizerFixture.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace figturn;
using namespace figturn::platform;
using namespace figturn::test;

namespace {

struct StateLearningFixture : StateSynchronizerFixture {
  StateLearningFixture() { startAndSettle(); }
  /** Changes a target in a way that the watches don't tell. */
  void changeUnnoticed() {
    m_Store->m_SuppressesWatchEvents = true;
    m_Store->put("servers", "i-1", m_Searcher->entry("draining"));
  }
  bool hasLine(const std::string &Line) const {
    return m_Synchronizer->metricsText().find(Line + "\n") != std::string::npos;
  }
  bool isLearned(const std::string &Part, const std::string &Way) const {
    return hasLine(fmt::format("figturn_state_learning_seconds_count{{part=\"{}"
                               "\",way=\"{}\"}} 1",
                               Part, Way));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StateLearningTest, StateLearningFixture)

BOOST_AUTO_TEST_CASE(Start_firstVersions_areNotRecorded) {
  BOOST_TEST(m_Synchronizer->metricsText().find("learning") ==
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(Change_toldByTheWatch_isRecorded) {
  m_Store->put("config", "main", routedConfig(4));
  processEventsUntil([&] { return isLearned("config", "watch"); });
  BOOST_TEST(isLearned("config", "watch"));
}

BOOST_AUTO_TEST_CASE(Change_afterTheWatchFailed_isRecordedAsARetry) {
  changeUnnoticed();
  m_Store->dropConnections();
  processEventsUntil([&] { return isLearned("targets", "retry-listing"); });
  BOOST_TEST(isLearned("targets", "retry-listing"));
}

BOOST_AUTO_TEST_CASE(Change_readWhileBehind_isRecordedAsSuch) {
  changeUnnoticed();
  m_Synchronizer->readState(StatePart::Registry);
  processEventsUntil([&] { return isLearned("targets", "behind-listing"); });
  BOOST_TEST(isLearned("targets", "behind-listing"));
}

BOOST_AUTO_TEST_CASE(Change_listedByANewWatcher_isRecordedAsSuch) {
  changeUnnoticed();
  m_Synchronizer->setRole(StoreRole::Follower);
  m_Synchronizer->setRole(StoreRole::Watcher);
  processEventsUntil([&] { return isLearned("targets", "role-listing"); });
  BOOST_TEST(isLearned("targets", "role-listing"));
}

BOOST_AUTO_TEST_CASE(Change_copiedFromAnotherVm_isRecorded) {
  changeUnnoticed();
  StateSynchronizer Other(otherSettings(), 2);
  PlatformRecorder Recorder;
  Other.start(Recorder);
  processEventsUntil([&] { return Other.isCurrent(); });
  m_Synchronizer->importState(
      Other.exportState(m_Synchronizer->stateQuery(StatePart::Registry)),
      {.m_RequestedAt = Clock::now(), .m_SentAt = Clock::now()});
  BOOST_TEST(isLearned("targets", "copy"));
}

BOOST_AUTO_TEST_CASE(Object_withALowerRevision_isCounted) {
  m_Store->m_Era = 0; // With an era, it may be newer.
  m_Store->saveCopy();
  m_Store->put("servers", "i-1", m_Searcher->entry("draining"));
  processEventsUntil([&] { return isLearned("targets", "watch"); });
  m_Store->returnFromCopy();
  m_Store->m_Era = 0;
  m_Store->dropConnections();
  const std::string Line =
      "figturn_state_objects_outdated_total{part=\"targets\"} 1";
  processEventsUntil([&] { return hasLine(Line); });
  BOOST_TEST(hasLine(Line));
}

BOOST_AUTO_TEST_SUITE_END()
