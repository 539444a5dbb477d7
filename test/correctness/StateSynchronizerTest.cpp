/** Synchronization with the platform's store, including store failures. */

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

} // namespace

BOOST_FIXTURE_TEST_SUITE(StateSynchronizerTest, StateSynchronizerFixture)

BOOST_AUTO_TEST_CASE(State_afterStart_isListedOnceAndThenWatched) {
  startAndSettle();
  BOOST_TEST(m_Recorder.m_Versions == std::vector<std::uint64_t>{3});
  BOOST_TEST(m_Recorder.m_Listings == std::vector<std::size_t>{1});
  m_Store->put("config", "main", routedConfig(5));
  m_Store->put("servers", "i-1", m_Searcher->entry("draining"));
  m_Store->put("evacuations", "nz-south-b", {});
  processEventsUntil([&] {
    return m_Recorder.m_Versions.size() == 2 && !m_Recorder.m_Changed.empty() &&
           !m_Recorder.m_Evacuated.empty();
  });
  m_Store->remove("evacuations", "nz-south-b");
  m_Store->remove("servers", "i-1");
  processEventsUntil([&] {
    return m_Recorder.m_Evacuated.empty() && !m_Recorder.m_Removed.empty();
  });
  BOOST_TEST(m_Store->m_RequestCounts["list config"] == 1);
  BOOST_TEST(m_Store->m_RequestCounts["list servers"] == 1);
}

BOOST_AUTO_TEST_CASE(Listing_withManyPages_isReadCompletely) {
  m_Store->m_PageSize = 2;
  for (int I = 2; I <= 7; ++I)
    m_Store->put("servers", "i-" + std::to_string(I), m_Searcher->entry());
  startAndSettle();
  BOOST_TEST(m_Recorder.m_Listings == std::vector<std::size_t>{7});
  BOOST_TEST(m_Store->m_RequestCounts["list servers"] == 4);
}

BOOST_AUTO_TEST_CASE(History_compacted_isReplacedByListing) {
  startAndSettle();
  m_Store->m_SuppressesWatchEvents = true;
  m_Store->put("config", "main", routedConfig(9));
  m_Store->remove("servers", "i-1");
  m_Store->compactHistory();
  m_Store->m_SuppressesWatchEvents = false;
  m_Store->dropConnections();
  processEventsUntil([&] {
    return m_Recorder.m_Versions.size() == 2 &&
           m_Recorder.m_Listings.size() == 2;
  });
  BOOST_TEST(m_Recorder.m_Versions.back() == 9U);
  BOOST_TEST(m_Recorder.m_Listings.back() == 0U);
}

BOOST_AUTO_TEST_CASE(Store_unavailable_keepsStateAndIsWatchedAgain) {
  startAndSettle();
  m_Store->m_IsDown = true;
  m_Store->dropConnections();
  processEventsUntil([&] { return !m_Synchronizer->isCurrent(); });
  BOOST_TEST(m_Recorder.m_Removed.empty());
  m_Store->m_IsDown = false;
  m_Store->put("config", "main", routedConfig(4));
  processEventsUntil([&] { return m_Recorder.m_Versions.size() == 2; });
  processEventsUntil([&] { return m_Synchronizer->isCurrent(); });
  BOOST_TEST(m_Recorder.m_Removed.empty());
}

BOOST_AUTO_TEST_CASE(Version_older_isIgnored) {
  startAndSettle();
  m_Store->put("config", "main", routedConfig(2));
  m_Store->put("config", "main", routedConfig(6));
  processEventsUntil([&] { return m_Recorder.m_Versions.size() == 2; });
  BOOST_TEST(m_Recorder.m_Versions.back() == 6U);
}

// Guards against the use of targets that have left: a silent store accepted the
// watch of the registry and never answered it, and the targets stayed in use
// for 5 s.
BOOST_AUTO_TEST_CASE(Watch_lostByStore_isReplacedWhenAnotherWatchFails) {
  startAndSettle();
  m_Store->m_UnansweredWatchKind = "servers";
  m_Store->put("servers", "i-2",
               m_Searcher->entry()); // Makes the watch return.
  processEventsUntil(
      [&] { return m_Store->m_RequestCounts["watch servers"] == 2; });
  m_Store->m_UnansweredWatchKind.clear();
  m_Store->put("servers", "i-1", m_Searcher->entry("draining"));
  m_Store->compactHistoryAndExpireWatches("config");
  processEventsUntil([&] { return m_Recorder.m_Listings.size() == 2; });
  BOOST_TEST(m_Store->m_RequestCounts["list servers"] == 2);
}

BOOST_AUTO_TEST_CASE(Watch_ofSentinelLostByStore_isDetectedSoon) {
  startAndSettle();
  becomeSentinel();
  processEventsUntil(
      [&] { return m_Store->m_RequestCounts["watch servers"] == 2; });
  m_Store->m_UnansweredWatchKind = "servers";
  m_Store->put("servers", "i-2", m_Searcher->entry());
  processEventsUntil(
      [&] { return m_Store->m_RequestCounts["watch servers"] == 3; });
  m_Store->m_UnansweredWatchKind.clear();
  m_Store->put("servers", "i-1", m_Searcher->entry("draining"));
  processEventsUntil([&] { return m_Recorder.m_Listings.size() == 2; });
  BOOST_TEST(m_Recorder.m_Changed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Vm_afterStart_registersOnceAndFindsOthers) {
  m_Store->put("figturn-vms", "vm-2", {{"gossipAddress", "10.0.0.2:7740"}});
  startAndSettle();
  m_Synchronizer->refreshVms();
  processEventsUntil([&] { return !m_Recorder.m_Vms.empty(); });
  processEventsUntil(
      [&] { return m_Store->m_RequestCounts["write figturn-vms"] == 1; });
}

// One such entry among those of the targets made the whole listing unreadable,
// which counted as an empty one.
BOOST_AUTO_TEST_CASE(Entry_thatCannotBeRead_leavesTheOthersInUse) {
  const std::string Valid = toCompactJson(m_Searcher->entry());
  const auto WithSlots = [&Valid](const std::string &Slots) {
    std::string Spec = Valid;
    return Spec.replace(Spec.find("\"slots\":4"), 9, "\"slots\":" + Slots);
  };
  const auto WithField = [&Valid](const char *Key, const QJsonValue &Value) {
    QJsonObject Spec = parseJsonObject(Valid);
    Spec[Key] = Value;
    return toCompactJson(Spec);
  };
  const std::vector<std::string> Specs{
      WithSlots(std::string(20000, '[') + std::string(20000, ']')),
      std::string(200000, '[') + std::string(200000, ']'),
      WithSlots("1e999"),
      WithSlots("123456789012345678901234567890"),
      WithSlots("-1e400"),
      WithSlots("\"\xff\xfe\""),
      WithSlots("1e18"),
      WithField("address", "127.0.0.1:99999"),
      WithField("address", "127.0.0.1:-1"),
      WithField("born", 1e300),
      "null",
      "7",
      "\"text\"",
      "[]"};
  for (std::size_t I = 0; I < Specs.size(); ++I)
    m_Store->putRaw("servers", fmt::format("odd-{}", I), Specs[I]);
  startAndSettle();
  BOOST_TEST(m_Recorder.m_Listings == std::vector<std::size_t>{1});
  // The same entries as changes, and a change of a sound one after them.
  for (std::size_t I = 0; I < Specs.size(); ++I)
    m_Store->putRaw("servers", fmt::format("late-{}", I), Specs[I]);
  m_Store->put("servers", "i-1", m_Searcher->entry("draining"));
  processEventsUntil([&] { return !m_Recorder.m_Changed.empty(); });
  BOOST_TEST(m_Recorder.m_Changed == std::vector<std::string>{"i-1"});
  BOOST_TEST(m_Store->m_RequestCounts["list servers"] == 1);
}

BOOST_AUTO_TEST_CASE(Entry_thatBecameUnreadable_isRemovedInCopies) {
  startAndSettle();
  const std::string Before = m_Synchronizer->stateQuery(StatePart::Registry);
  m_Store->putRaw("servers", "i-1", "1e999");
  processEventsUntil([&] { return !m_Recorder.m_Removed.empty(); });
  const QJsonObject Copy = parseJsonObject(m_Synchronizer->exportState(Before));
  BOOST_TEST(Copy["removed"].toObject().contains("i-1"));
}

BOOST_AUTO_TEST_CASE(Listing_thatIsNoListing_doesNotRemoveTargets) {
  startAndSettle();
  m_Store->m_ListText = "{\"items\": [{]";
  m_Store->compactHistoryAndExpireWatches("servers");
  processEventsUntil(
      [&] { return m_Store->m_RequestCounts["list servers"] >= 2; });
  m_Store->m_ListText = "{}";
  processEventsUntil(
      [&] { return m_Store->m_RequestCounts["list servers"] >= 4; });
  BOOST_TEST(m_Recorder.m_Listings.size() == 1U);
  BOOST_TEST(m_Recorder.m_Removed.empty());
  m_Store->m_ListText.clear();
  processEventsUntil([&] { return m_Recorder.m_Listings.size() == 2; });
  BOOST_TEST(m_Recorder.m_Listings.back() == 1U);
}

BOOST_AUTO_TEST_CASE(FirstListing_whenACopyArrivesBefore_isNotNeeded) {
  startAndSettle();
  const int Listings = m_Store->m_RequestCounts["list servers"];
  PlatformRecorder CopyingRecorder;
  RoutedSettings Settings = otherSettings();
  Settings.m_FirstListDelaySeconds = 3600;
  StateSynchronizer Copying(Settings, 2);
  Copying.start(CopyingRecorder);
  for (const StatePart Each : {StatePart::Registry, StatePart::Config})
    Copying.importState(m_Synchronizer->exportState(Copying.stateQuery(Each)),
                        copiedNow());
  BOOST_TEST(Copying.isCurrent());
  BOOST_TEST(CopyingRecorder.m_Listings == std::vector<std::size_t>{1});
  // It watches from the copy's revision on.
  const int Watches = m_Store->m_RequestCounts["watch servers"];
  processEventsUntil(
      [&] { return m_Store->m_RequestCounts["watch servers"] > Watches; });
  m_Store->put("servers", "i-1", m_Searcher->entry("draining"));
  processEventsUntil([&] { return !CopyingRecorder.m_Changed.empty(); });
  BOOST_TEST(m_Store->m_RequestCounts["list servers"] == Listings);
  BOOST_TEST(m_Store->m_RequestCounts["list config"] == Listings);
  Copying.stop();
}

BOOST_AUTO_TEST_CASE(Follower_startedDuringAnOutage_findsTheStoreAgain) {
  startAndSettle();
  const std::string Copy =
      m_Synchronizer->exportState("config=0&targets=0&evacuated=0");
  m_Synchronizer.reset();
  m_Store->m_IsDown = true;
  start();
  processEventsUntil([&] { return !m_Synchronizer->isReachable(); });
  m_Synchronizer->importState(Copy, {.m_RequestedAt = Clock::now()});
  m_Synchronizer->setRole(StoreRole::Follower);
  m_Store->m_IsDown = false;
  processEventsUntil([&] { return m_Synchronizer->isReachable(); });
  BOOST_TEST(m_Synchronizer->isCurrent());
}

BOOST_AUTO_TEST_CASE(FirstListing_withoutACopy_isReadAfterItsDelay) {
  RoutedSettings Settings = otherSettings();
  Settings.m_FirstListDelaySeconds = 0.1;
  m_Synchronizer = std::make_unique<StateSynchronizer>(Settings, 1);
  m_Synchronizer->start(m_Recorder);
  processEventsUntil([&] { return m_Synchronizer->isCurrent(); });
  BOOST_TEST(m_Recorder.m_Listings == std::vector<std::size_t>{1});
}

// A restarted VM used to count a removal from the time at which it learned of
// it, two seconds after its listing.
BOOST_AUTO_TEST_CASE(Removal_beforeTheFirstWatch_isDatedByTheListing) {
  start();
  processEventsUntil([&] { return !m_Recorder.m_Listings.empty(); });
  const TimePoint Listed = Clock::now();
  m_Store->remove("servers", "i-1");
  processEventsUntil([&] { return !m_Recorder.m_Removed.empty(); });
  BOOST_TEST((m_Recorder.m_PresentAt <= Listed));
  BOOST_TEST((m_Recorder.m_PresentAt > Listed - seconds(20)));
}

BOOST_AUTO_TEST_SUITE_END()
