/** How a VM knows that its configuration is the newest one, and how soon it
 *  notices that it doesn't. */

#include "support/StateSynchronizerFixture.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

/** With it, the first watch is sent at once. */
constexpr milliseconds ShortDrainTime{1000};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigProofTest, StateSynchronizerFixture)

// VMs answered 404 by a configuration that they had not verified for seconds.
BOOST_AUTO_TEST_CASE(Config_notVerifiedLately_isNotProven) {
  startAndSettle(ShortDrainTime);
  const TimePoint Now = Clock::now();
  BOOST_TEST(m_Synchronizer->isConfigProven(Now));
  BOOST_TEST(!m_Synchronizer->isConfigProven(Now + seconds(3)));
  BOOST_TEST(m_Synchronizer->isCurrent());
}

BOOST_AUTO_TEST_CASE(Config_onWhichTheFleetAgrees_isProven) {
  startAndSettle(ShortDrainTime);
  const TimePoint Now = Clock::now();
  for (int I = 0; I <= 50; ++I)
    m_Synchronizer->onTick({.m_OnRegistry = true, .m_OnConfig = I >= 40},
                           Now + I * milliseconds(200));
  BOOST_TEST(m_Synchronizer->isConfigProven(Now + seconds(11)));
  BOOST_TEST(!m_Synchronizer->isConfigProven(Now + seconds(13)));
}

BOOST_AUTO_TEST_CASE(Config_whoseNewestVersionIsUnusable_isNotProven) {
  startAndSettle(ShortDrainTime);
  QJsonObject Unusable = routedConfig(5);
  Unusable["routes"] = "none";
  m_Store->put("config", "main", Unusable);
  processEventsUntil(
      [&] { return !m_Synchronizer->isConfigProven(Clock::now()); });
  m_Store->put("config", "main", routedConfig(6));
  processEventsUntil([&] { return m_Recorder.m_Versions.size() == 2; });
  BOOST_TEST(m_Synchronizer->isConfigProven(Clock::now()));
}

// After a sentinel had ended, the one that took over kept its long watch.
BOOST_AUTO_TEST_CASE(Watch_ofVmThatBecomesSentinel_isRenewed) {
  startAndSettle(ShortDrainTime);
  becomeSentinel();
  processEventsUntil([&] {
    return m_Store->m_RequestCounts["watch servers"] == 2 &&
           m_Store->m_RequestCounts["watch config"] == 2;
  });
  BOOST_TEST(m_Store->m_RequestCounts["list servers"] == 1);
}

BOOST_AUTO_TEST_CASE(Watch_ofSentinelLostByStore_isDetectedWithinTwoSeconds) {
  startAndSettle(ShortDrainTime);
  m_Store->m_SuppressesWatchEvents = true;
  becomeSentinel();
  processEventsUntil(
      [&] { return m_Store->m_RequestCounts["watch config"] == 2; });
  const TimePoint LostAt = Clock::now();
  m_Store->put("config", "main", routedConfig(5));
  processEventsUntil([&] { return m_Recorder.m_Versions.size() == 2; });
  BOOST_TEST((Clock::now() - LostAt < seconds(2)));
}

// In an outage, all VMs became sentinels in turn and called the store at once.
BOOST_AUTO_TEST_CASE(Watch_ofVmThatIsSentinelBriefly_isNotRenewed) {
  startAndSettle(ShortDrainTime);
  m_Synchronizer->setRole(StoreRole::Sentinel);
  m_Synchronizer->onTick({}, Clock::now() + seconds(1));
  m_Synchronizer->setRole(StoreRole::Watcher);
  m_Synchronizer->onTick({}, Clock::now() + seconds(3));
  m_Store->put("config", "main", routedConfig(5));
  processEventsUntil([&] { return m_Recorder.m_Versions.size() == 2; });
  BOOST_TEST(m_Store->m_RequestCounts["watch config"] == 1);
  BOOST_TEST(m_Store->m_RequestCounts["watch servers"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()
