/** Copies of the state that VMs send one another, and VMs that follow others.
 */

#include "support/RoutedTargets.h"
#include "support/StateSynchronizerFixture.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace figturn;
using namespace figturn::platform;
using namespace figturn::test;

namespace {

/** Times of a copy that is sent and received now. */
CopyTimes copiedNow() {
  const TimePoint Now = Clock::now();
  return {.m_RequestedAt = Now, .m_SentAt = Now};
}

bool isNewerAnywhere(const StateVersion &Left, const StateVersion &Right) {
  return Left.isNewer(StatePart::Registry, Right) ||
         Left.isNewer(StatePart::Config, Right);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(StateCopyImportTest, StateSynchronizerFixture)

BOOST_AUTO_TEST_CASE(Copy_whileStoreIsDown_isImported) {
  startAndSettle();
  const std::string Copy = m_Synchronizer->exportState("config=0&targets=0");
  m_Synchronizer.reset();
  m_Store->m_IsDown = true;
  m_Recorder = {};
  start();
  m_Synchronizer->importState(Copy, {.m_RequestedAt = Clock::now()});
  BOOST_TEST(m_Recorder.m_Versions == std::vector<std::uint64_t>{3});
  BOOST_TEST(m_Recorder.m_Listings == std::vector<std::size_t>{1});
  // An empty, malformed or already imported copy changes nothing.
  for (const char *NextCopy : {"{}", "not json", Copy.c_str()})
    m_Synchronizer->importState(NextCopy, {.m_RequestedAt = Clock::now()});
  BOOST_TEST(m_Recorder.m_Listings.size() == 1U);
  BOOST_TEST(m_Recorder.m_Versions.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Copy_forNearlyCurrentVm_containsOnlyChanges) {
  for (int I = 2; I <= 40; ++I)
    m_Store->put("servers", "i-" + std::to_string(I), m_Searcher->entry());
  startAndSettle();
  const std::string Before = m_Synchronizer->stateQuery(StatePart::Registry);
  BOOST_TEST(m_Synchronizer->exportState(Before).find("10.0") ==
             std::string::npos);
  m_Store->put("servers", "i-5", m_Searcher->entry("draining"));
  m_Store->remove("servers", "i-6");
  processEventsUntil([&] { return m_Recorder.m_Removed.size() == 1; });
  const std::string Changes = m_Synchronizer->exportState(Before);
  BOOST_TEST(Changes.find("\"i-5\"") != std::string::npos);
  BOOST_TEST(Changes.find("\"i-6\"") != std::string::npos);
  BOOST_TEST(Changes.find("\"i-7\"") == std::string::npos);
  BOOST_TEST(Changes.find("routes") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(Copy_importedByFollower_bringsItUpToDate) {
  startAndSettle();
  PlatformRecorder FollowerRecorder;
  StateSynchronizer Follower(otherSettings(), 2);
  Follower.start(FollowerRecorder);
  processEventsUntil([&] { return Follower.isCurrent(); });
  Follower.setRole(StoreRole::Follower);
  const int Watches = m_Store->m_RequestCounts["watch servers"];
  m_Store->dropConnections();
  m_Store->put("servers", "i-1", m_Searcher->entry("draining"));
  m_Store->put("config", "main", routedConfig(5));
  processEventsUntil([&] { return m_Recorder.m_Versions.size() == 2; });
  processEventsUntil([&] {
    return isNewerAnywhere(m_Synchronizer->stateVersion(),
                           Follower.stateVersion());
  });
  for (const StatePart Each : {StatePart::Registry, StatePart::Config})
    Follower.importState(m_Synchronizer->exportState(Follower.stateQuery(Each)),
                         copiedNow());
  BOOST_TEST(FollowerRecorder.m_Versions.back() == 5U);
  BOOST_TEST(!isNewerAnywhere(m_Synchronizer->stateVersion(),
                              Follower.stateVersion()));
  BOOST_TEST(m_Store->m_RequestCounts["watch servers"] >= Watches);
  Follower.stop();
}

BOOST_AUTO_TEST_CASE(ConfigCopy_afterOneChange_holdsOnlyThatRoute) {
  startAndSettle();
  const std::string Before = m_Synchronizer->stateQuery(StatePart::Config);
  QJsonObject Changed = routedConfig(5);
  QJsonArray Routes = Changed["routes"].toArray();
  QJsonObject Route = Routes[1].toObject();
  Route["service"] = "s-0";
  Routes[1] = Route;
  Changed["routes"] = Routes;
  m_Store->put("config", "main", Changed);
  processEventsUntil([&] { return m_Recorder.m_Versions.size() == 2; });
  const std::string Copy = m_Synchronizer->exportState(Before);
  BOOST_TEST(Copy.find("/look/") != std::string::npos);
  BOOST_TEST(Copy.find("/search/") == std::string::npos);
  BOOST_TEST(Copy.find("\"targets\"") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ConfigCopy_ofUnknownVersion_isRequestedAgainInFull) {
  startAndSettle();
  const std::string Other =
      toCompactJson({{"configRevision", 1000},
                     {"configChanges", QJsonObject{{"base", 2},
                                                   {"fields", QJsonObject{}},
                                                   {"changed", QJsonArray{}},
                                                   {"removed", QJsonArray{}},
                                                   {"count", 3}}}});
  m_Synchronizer->importState(Other, {.m_RequestedAt = Clock::now()});
  BOOST_TEST(m_Recorder.m_Versions.size() == 1U);
  BOOST_TEST(m_Synchronizer->stateVersion().m_Config.m_Number < 1000U);
  const std::string Query = m_Synchronizer->stateQuery(StatePart::Config);
  BOOST_TEST(Query.find("configVersion=0") != std::string::npos);
  m_Synchronizer->importState(
      toCompactJson({{"configRevision", 1000}, {"config", routedConfig(8)}}),
      {.m_RequestedAt = Clock::now()});
  BOOST_TEST(m_Recorder.m_Versions.back() == 8U);
  BOOST_TEST(
      m_Synchronizer->stateQuery(StatePart::Config).find("configVersion=8") !=
      std::string::npos);
}

BOOST_AUTO_TEST_CASE(State_readByFollower_isListedOnceAndNotWatched) {
  startAndSettle();
  m_Synchronizer->setRole(StoreRole::Follower);
  m_Store->put("config", "main", routedConfig(5)); // Ends the last watch.
  processEventsUntil([&] { return m_Recorder.m_Versions.size() == 2; });
  const int Watches = m_Store->m_RequestCounts["watch config"];
  m_Store->put("config", "main", routedConfig(6));
  m_Synchronizer->readState(StatePart::Config);
  processEventsUntil([&] { return m_Recorder.m_Versions.size() == 3; });
  BOOST_TEST(m_Recorder.m_Versions.back() == 6U);
  BOOST_TEST(m_Store->m_RequestCounts["list config"] == 2);
  BOOST_TEST(m_Store->m_RequestCounts["watch config"] == Watches);
}

BOOST_AUTO_TEST_CASE(Copy_withChangesWhileStoreIsDown_isImported) {
  startAndSettle();
  m_Store->m_IsDown = true;
  m_Store->dropConnections();
  processEventsUntil([&] { return !m_Synchronizer->isCurrent(); });
  const QJsonObject Entry{{"storeRevision", 1000},
                          {"spec", m_Searcher->entry("draining")}};
  m_Synchronizer->importState(
      toCompactJson({{"targetsRevision", 1000},
                     {"targets", QJsonObject{{"i-1", Entry}}},
                     {"removed", QJsonObject{}},
                     {"isWhole", false}}),
      {.m_RequestedAt = Clock::now()});
  BOOST_TEST(m_Recorder.m_Changed == std::vector<std::string>{"i-1"});
}

BOOST_AUTO_TEST_CASE(Follower_doesNotWatch_untilItIsWatcherAgain) {
  startAndSettle();
  m_Synchronizer->setRole(StoreRole::Follower);
  m_Store->put("config", "main", routedConfig(5)); // Ends the last watch.
  processEventsUntil([&] { return m_Recorder.m_Versions.size() == 2; });
  const int Watches = m_Store->m_RequestCounts["watch config"];
  m_Store->put("config", "main", routedConfig(6));
  m_Synchronizer->setRole(StoreRole::Watcher);
  processEventsUntil([&] { return m_Recorder.m_Versions.size() == 3; });
  BOOST_TEST(m_Store->m_RequestCounts["list config"] == 2);
  processEventsUntil(
      [&] { return m_Store->m_RequestCounts["watch config"] == Watches + 1; });
}

BOOST_AUTO_TEST_CASE(Removal_inCopies_isDatedByTheSender) {
  startAndSettle();
  PlatformRecorder FollowerRecorder;
  StateSynchronizer Follower(otherSettings(), 2);
  Follower.start(FollowerRecorder);
  processEventsUntil([&] { return Follower.isCurrent(); });
  Follower.setRole(StoreRole::Follower);
  const std::string Query = Follower.stateQuery(StatePart::Registry);
  m_Store->remove("servers", "i-1");
  processEventsUntil([&] { return !m_Recorder.m_Removed.empty(); });
  const std::string Changes = m_Synchronizer->exportState(Query);
  // The copy arrives a minute later, by a clock that differs by an hour.
  const TimePoint Now = Clock::now();
  const CopyTimes Times{.m_RequestedAt = Now + seconds(60),
                        .m_SentAt = Now + seconds(60) + std::chrono::hours(1)};
  const auto Shifted = [](const std::string &State) {
    QJsonObject Copy = parseJsonObject(State);
    QJsonObject LastPresent = Copy["lastPresentMs"].toObject();
    for (const QString &Name : LastPresent.keys())
      LastPresent[Name] = LastPresent[Name].toInteger() + 3600000;
    Copy["lastPresentMs"] = LastPresent;
    Copy["freshAtMs"] = Copy["freshAtMs"].toInteger() + 3600000;
    return toCompactJson(Copy);
  };
  Follower.importState(Shifted(Changes), Times);
  BOOST_TEST(FollowerRecorder.m_Removed == std::vector<std::string>{"i-1"});
  BOOST_TEST((FollowerRecorder.m_PresentAt <= Now));
  Follower.stop();
}

// A removal was dated by a watch that had lost its connection, and the target
// retained for too long.
BOOST_AUTO_TEST_CASE(
    Removal_inACopy_whileTheOwnWatchIsSilent_isDatedByTheSender) {
  startAndSettle();
  m_Store->m_UnansweredWatchKind = "servers";
  PlatformRecorder OtherRecorder;
  StateSynchronizer Other(otherSettings(), 2);
  Other.start(OtherRecorder);
  processEventsUntil([&] {
    return Other.isCurrent() && m_Store->m_RequestCounts["watch servers"] == 2;
  });
  const std::string Query = Other.stateQuery(StatePart::Registry);
  m_Store->remove("servers", "i-1");
  processEventsUntil([&] { return !m_Recorder.m_Removed.empty(); });
  const TimePoint Removed = Clock::now();
  for (int I = 1; I <= 20; ++I)
    Other.onTick({}, Removed + I * milliseconds(200));
  Other.importState(m_Synchronizer->exportState(Query), copiedNow());
  BOOST_TEST(OtherRecorder.m_Removed == std::vector<std::string>{"i-1"});
  BOOST_TEST((OtherRecorder.m_PresentAt <= Removed));
  Other.stop();
}

BOOST_AUTO_TEST_CASE(Removal_inAFullCopy_isDatedByTheSender) {
  startAndSettle();
  const std::string Older = m_Synchronizer->exportState("targets=0");
  const TimePoint Removed = Clock::now();
  m_Store->remove("servers", "i-1");
  processEventsUntil([&] { return !m_Recorder.m_Removed.empty(); });
  m_Synchronizer->readState(StatePart::Registry);
  processEventsUntil([&] { return m_Recorder.m_Listings.size() == 2; });
  const std::string Newer = m_Synchronizer->exportState(fmt::format(
      "targets={}", parseJsonObject(Older)["targetsRevision"].toInteger()));
  BOOST_TEST(parseJsonObject(Newer)["isWhole"].toBool());
  m_Synchronizer.reset();
  m_Store->m_IsDown = true;
  m_Recorder = {};
  start();
  m_Synchronizer->importState(Older, copiedNow());
  const TimePoint Now = Clock::now() + seconds(60);
  m_Synchronizer->importState(Newer, {.m_RequestedAt = Now, .m_SentAt = Now});
  BOOST_TEST(m_Recorder.m_Removed == std::vector<std::string>{"i-1"});
  BOOST_TEST((m_Recorder.m_PresentAt < Removed + seconds(50)));
  BOOST_TEST(m_Recorder.m_Listings.back() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
