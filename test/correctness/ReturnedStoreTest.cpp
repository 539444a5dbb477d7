/** A store that is away for a moment and returns from an older copy of its
 * data: what was written last is gone, and its revisions are assigned again. */

#include "support/StateSynchronizerFixture.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace figturn;
using namespace figturn::platform;
using namespace figturn::test;

namespace {

/** With it, the first watch is sent at once. */
constexpr milliseconds ShortDrainTime{1000};

CopyTimes copiedNow() {
  const TimePoint Now = Clock::now();
  return {.m_RequestedAt = Now, .m_SentAt = Now};
}

struct ReturnedStoreFixture : StateSynchronizerFixture {
  /** Writes heartbeats of other programs, which raise the store's revision. */
  void writeOthers(int Count) {
    for (int I = 0; I < Count; ++I)
      m_Store->put("others", "o-1", {{"value", I}});
  }
  /** Publishes \p Version, which is lost, and returns the store from the copy
   *  before it. */
  void loseConfig(int Version) {
    m_Store->saveCopy();
    writeOthers(20);
    m_Store->put("config", "main", routedConfig(Version));
    processEventsUntil([&] {
      return m_Recorder.m_Versions.back() ==
             static_cast<std::uint64_t>(Version);
    });
    m_Store->returnFromCopy();
  }
  /** Removes the target i-2, and returns the store from the copy before, which
   *  brings it back. */
  void loseRemoval() {
    startAndSettle(ShortDrainTime);
    m_Store->put("servers", "i-2", m_Searcher->entry());
    processEventsUntil([&] { return m_Recorder.m_Changed.size() == 1; });
    m_Store->saveCopy();
    m_Store->remove("servers", "i-2");
    processEventsUntil([&] { return m_Recorder.m_Removed.size() == 1; });
    m_Store->returnFromCopy();
    processEventsUntil([&] { return m_Recorder.m_Listings.size() == 2; });
  }
  bool isRead(const std::string &Kind, int Listings) const {
    const auto Found = m_Store->m_RequestCounts.find("list " + Kind);
    return Found != m_Store->m_RequestCounts.end() && Found->second >= Listings;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReturnedStoreTest, ReturnedStoreFixture)

// Changes under the latest known revision were ignored until the store's
// counter had passed it.
BOOST_AUTO_TEST_CASE(Config_writtenUnderAKnownRevision_isApplied) {
  startAndSettle(ShortDrainTime);
  loseConfig(5);
  m_Store->put("config", "main", routedConfig(6));
  processEventsUntil([&] { return m_Recorder.m_Versions.back() == 6U; });
  BOOST_TEST(m_Recorder.m_Versions == (std::vector<std::uint64_t>{3, 5, 6}));
}

BOOST_AUTO_TEST_CASE(Config_thatTheCopyLacks_staysInForce) {
  startAndSettle(ShortDrainTime);
  loseConfig(5);
  processEventsUntil([&] { return isRead("config", 2); });
  m_Store->put("config", "main", routedConfig(4));
  m_Store->put("config", "main", routedConfig(7));
  processEventsUntil([&] { return m_Recorder.m_Versions.back() == 7U; });
  BOOST_TEST(m_Recorder.m_Versions == (std::vector<std::uint64_t>{3, 5, 7}));
}

// A watch from a revision that had been assigned again went on without the
// changes before it.
BOOST_AUTO_TEST_CASE(Watch_fromARevisionAssignedAgain_missesNoChange) {
  startAndSettle(ShortDrainTime);
  m_Store->saveCopy();
  m_Store->put("servers", "i-2", m_Searcher->entry());
  processEventsUntil([&] { return !m_Recorder.m_Changed.empty(); });
  m_Store->returnFromCopy();
  // Before the VM calls again, the counter passes what it knows.
  m_Store->put("servers", "i-3", m_Searcher->entry());
  writeOthers(20);
  processEventsUntil([&] { return isRead("servers", 2); });
  m_Store->put("servers", "i-4", m_Searcher->entry());
  processEventsUntil([&] {
    return std::count(m_Recorder.m_Changed.begin(), m_Recorder.m_Changed.end(),
                      "i-4") == 1;
  });
  BOOST_TEST(m_Recorder.m_Listings.back() == 2U); // i-1 and i-3.
}

BOOST_AUTO_TEST_CASE(Target_removedLastAndBroughtBack_staysRemoved) {
  loseRemoval();
  BOOST_TEST(m_Recorder.m_Listings.back() == 1U);
  BOOST_TEST(m_Recorder.m_Changed.size() == 1U);
  m_Store->remove("servers", "i-2");
  m_Store->put("servers", "i-3", m_Searcher->entry());
  processEventsUntil([&] { return m_Recorder.m_Changed.size() == 2; });
  m_Synchronizer->onTick({}, Clock::now() + seconds(20));
  BOOST_TEST(m_Recorder.m_Changed.back() == "i-3");
}

BOOST_AUTO_TEST_CASE(Target_removedLastAndWrittenSince_isUsed) {
  loseRemoval();
  QJsonObject Entry = m_Searcher->entry();
  Entry["sequence"] = 9;
  Entry["slots"] = 5; // A change of the sequence alone is no event.
  m_Store->put("servers", "i-2", Entry);
  processEventsUntil([&] { return m_Recorder.m_Changed.size() == 2; });
  BOOST_TEST(m_Recorder.m_Changed.back() == "i-2");
}

BOOST_AUTO_TEST_CASE(Target_removedLastAndStillListed_isUsedAfterAWhile) {
  loseRemoval();
  m_Synchronizer->onTick({}, Clock::now() + seconds(7));
  BOOST_TEST(m_Recorder.m_Changed.size() == 1U);
  m_Synchronizer->onTick({}, Clock::now() + seconds(9));
  BOOST_TEST(m_Recorder.m_Changed.size() == 2U);
}

BOOST_AUTO_TEST_CASE(Target_heldBackAndMissingInAFullCopy_isNotUsedLater) {
  loseRemoval();
  QJsonObject Copy = parseJsonObject(m_Synchronizer->exportState("targets=0"));
  QJsonObject Targets = Copy["targets"].toObject();
  Targets.remove("i-2");
  Copy["targets"] = Targets;
  Copy["isWhole"] = true;
  Copy["targetsRevision"] = Copy["targetsRevision"].toInteger() + 5;
  m_Synchronizer->importState(toCompactJson(Copy), copiedNow());
  m_Synchronizer->onTick({}, Clock::now() + seconds(9));
  BOOST_TEST(m_Recorder.m_Changed.size() == 1U);
}

// A data centre stayed evacuated on VMs that had learnt it from another VM.
BOOST_AUTO_TEST_CASE(Evacuation_learntByCopyAndMissingInAListing_ends) {
  startAndSettle(ShortDrainTime);
  QJsonObject Copy =
      parseJsonObject(m_Synchronizer->exportState("evacuated=0"));
  Copy["evacuated"] = QJsonArray{"nz-south-a"};
  Copy["evacuatedRevision"] = Copy["evacuatedRevision"].toInteger() + 1;
  m_Synchronizer->importState(toCompactJson(Copy), copiedNow());
  BOOST_TEST(m_Recorder.m_Evacuated.size() == 1U);
  writeOthers(5);
  m_Synchronizer->readState(StatePart::Registry);
  processEventsUntil([&] { return m_Recorder.m_Evacuated.empty(); });
}

BOOST_AUTO_TEST_CASE(Target_drainingLastAndBroughtBack_staysDraining) {
  startAndSettle(ShortDrainTime);
  m_Store->saveCopy();
  m_Store->put("servers", "i-1", m_Searcher->entry("draining"));
  processEventsUntil([&] { return m_Recorder.m_Changed.size() == 1; });
  m_Store->returnFromCopy();
  processEventsUntil([&] { return m_Recorder.m_Listings.size() == 2; });
  BOOST_TEST(m_Recorder.m_IsDraining["i-1"]);
}

BOOST_AUTO_TEST_CASE(Evacuation_thatTheCopyLacks_staysInForceForAWhile) {
  startAndSettle(ShortDrainTime);
  m_Store->saveCopy();
  m_Store->put("evacuations", "nz-south-a", {});
  processEventsUntil([&] { return m_Recorder.m_Evacuated.size() == 1; });
  m_Store->returnFromCopy();
  processEventsUntil([&] { return isRead("evacuations", 2); });
  m_Store->put("evacuations", "nz-south-b", {});
  processEventsUntil([&] { return m_Recorder.m_Evacuated.size() == 2; });
  m_Synchronizer->onTick({}, Clock::now() + seconds(7));
  BOOST_TEST(m_Recorder.m_Evacuated ==
             std::set<DataCentreName>{DataCentreName("nz-south-b")});
}

BOOST_AUTO_TEST_CASE(Return_duringTheNextListing_isReadAgain) {
  startAndSettle(ShortDrainTime);
  loseConfig(5);
  processEventsUntil([&] { return isRead("evacuations", 2); });
  m_Store->returnFromCopy();
  m_Store->put("config", "main", routedConfig(6));
  processEventsUntil([&] { return m_Recorder.m_Versions.back() == 6U; });
  BOOST_TEST(m_Recorder.m_Versions == (std::vector<std::uint64_t>{3, 5, 6}));
}

BOOST_AUTO_TEST_CASE(Follower_ofAVmThatHasReadTheNewEra_followsIt) {
  startAndSettle(ShortDrainTime);
  PlatformRecorder FollowerRecorder;
  StateSynchronizer Follower(otherSettings(), 2);
  Follower.start(FollowerRecorder);
  processEventsUntil([&] { return Follower.isCurrent(); });
  Follower.setRole(StoreRole::Follower);
  loseConfig(5);
  const auto Copy = [&] {
    for (const StatePart Each : {StatePart::Registry, StatePart::Config})
      Follower.importState(
          m_Synchronizer->exportState(Follower.stateQuery(Each)), copiedNow());
  };
  Copy();
  m_Store->put("config", "main", routedConfig(6));
  m_Store->put("servers", "i-2", m_Searcher->entry());
  processEventsUntil([&] {
    return m_Recorder.m_Versions.back() == 6U &&
           m_Recorder.m_Listings.back() == 2U;
  });
  BOOST_TEST(m_Synchronizer->stateVersion().isNewer(StatePart::Registry,
                                                    Follower.stateVersion()));
  Copy();
  BOOST_TEST(FollowerRecorder.m_Versions.back() == 6U);
  BOOST_TEST(!m_Synchronizer->stateVersion().isNewer(StatePart::Registry,
                                                     Follower.stateVersion()));
  Follower.stop();
}

// A VM that starts after the return reads a configuration that others know to
// be an earlier one.
BOOST_AUTO_TEST_CASE(VmStartedAfterTheReturn_getsTheLostConfigFromItsPeer) {
  startAndSettle(ShortDrainTime);
  loseConfig(5);
  processEventsUntil([&] { return isRead("config", 2); });
  PlatformRecorder StartedRecorder;
  StateSynchronizer Started(otherSettings(), 2);
  Started.start(StartedRecorder);
  processEventsUntil([&] { return Started.isCurrent(); });
  BOOST_TEST(StartedRecorder.m_Versions.back() == 3U);
  BOOST_TEST(m_Synchronizer->stateVersion().isNewer(StatePart::Config,
                                                    Started.stateVersion()));
  Started.importState(
      m_Synchronizer->exportState(Started.stateQuery(StatePart::Config)),
      copiedNow());
  BOOST_TEST(StartedRecorder.m_Versions.back() == 5U);
  Started.stop();
}

BOOST_AUTO_TEST_CASE(Registration_lostWithTheReturn_isWrittenAgain) {
  m_Store->saveCopy();
  startAndSettle(ShortDrainTime);
  processEventsUntil(
      [&] { return m_Store->m_RequestCounts["write figturn-vms"] == 1; });
  m_Store->returnFromCopy();
  processEventsUntil(
      [&] { return m_Store->m_RequestCounts["write figturn-vms"] == 2; });
}

BOOST_AUTO_TEST_CASE(Reply_thatNamesNoEraOrAnEarlierOne_countsAsCurrent) {
  startAndSettle(ShortDrainTime);
  for (const std::uint64_t Era : {0U, 1U}) {
    m_Store->m_Era = 2;
    m_Store->put("config", "main", routedConfig(4 + 2 * static_cast<int>(Era)));
    processEventsUntil([&] { return m_Synchronizer->storeEra().m_Era == 2U; });
    m_Store->m_Era = Era;
    const int Version = 5 + 2 * static_cast<int>(Era);
    m_Store->put("config", "main", routedConfig(Version));
    processEventsUntil([&] {
      return m_Recorder.m_Versions.back() ==
             static_cast<std::uint64_t>(Version);
    });
  }
  BOOST_TEST(m_Synchronizer->storeEra().m_Rises == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
