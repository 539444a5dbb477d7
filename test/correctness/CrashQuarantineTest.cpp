/** Requests that crash targets: which are suspected, cleared or quarantined. */

#include "coordination/CrashQuarantine.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace figturn;

namespace {

struct Fixture {
  const Fingerprint m_CrashingRequest{17};
  const Fingerprint m_HarmlessRequest{18};
  TimePoint m_Now{seconds(100)};
  CrashQuarantine m_Quarantine{CrashQuarantineOptions{}};
  CrashQuarantine m_OtherVm{
      CrashQuarantineOptions{}}; ///< Quarantine at another VM.

  static TargetInstance target(int Number, std::int64_t Started = 1) {
    return {.m_Name = TargetName("t-" + std::to_string(Number)),
            .m_StartedMs = Started};
  }
  void crash(CrashQuarantine &Quarantine, Fingerprint Request, int Target) {
    Quarantine.onCallLost(Request, target(Target), m_Now);
    Quarantine.onTargetDown(target(Target), m_Now);
  }
  void gossip() {
    for (const CrashRecord &Each : m_Quarantine.selectRecordsToSend(4, m_Now))
      m_OtherVm.mergeRecord(Each, m_Now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashQuarantineTest, Fixture)

BOOST_AUTO_TEST_CASE(Request_withThreeCrashedTargets_isQuarantined) {
  crash(m_Quarantine, m_CrashingRequest, 1);
  crash(m_Quarantine, m_CrashingRequest, 2);
  BOOST_TEST(!m_Quarantine.isQuarantined(m_CrashingRequest, m_Now));
  crash(m_Quarantine, m_CrashingRequest, 3);
  BOOST_TEST(m_Quarantine.isQuarantined(m_CrashingRequest, m_Now));
  BOOST_TEST(!m_Quarantine.isQuarantined(m_HarmlessRequest, m_Now));
  BOOST_TEST(m_Quarantine.isQuarantined(m_CrashingRequest,
                                        m_Now + std::chrono::minutes(9)));
  BOOST_TEST(!m_Quarantine.isQuarantined(m_CrashingRequest,
                                         m_Now + std::chrono::minutes(11)));
}

BOOST_AUTO_TEST_CASE(Target_crashedTwice_countsOncePerInstance) {
  crash(m_Quarantine, m_CrashingRequest, 1);
  crash(m_Quarantine, m_CrashingRequest, 1);
  BOOST_TEST(m_Quarantine.crashes(m_CrashingRequest, m_Now) == 1U);
  m_Quarantine.onCallLost(m_CrashingRequest, target(1, 2), m_Now);
  m_Quarantine.onTargetDown(target(1, 2), m_Now);
  BOOST_TEST(m_Quarantine.crashes(m_CrashingRequest, m_Now) == 2U);
}

BOOST_AUTO_TEST_CASE(Connections_resetByTheNetwork_areNotCrashes) {
  for (int Target = 1; Target < 10; ++Target) {
    m_Quarantine.onCallLost(m_HarmlessRequest, target(Target), m_Now);
    m_Quarantine.onTargetUp(target(Target));
    m_Quarantine.onTargetDown(target(Target), m_Now);
  }
  BOOST_TEST(m_Quarantine.crashes(m_HarmlessRequest, m_Now) == 0U);
  BOOST_TEST(m_Quarantine.isEmpty());
}

BOOST_AUTO_TEST_CASE(Target_downAfterTheTimeout_wasNotCrashedByTheCall) {
  m_Quarantine.onCallLost(m_HarmlessRequest, target(1), m_Now);
  m_Now += seconds(3);
  BOOST_TEST(!m_Quarantine.hasUnexplainedLoss(target(1), m_Now));
  BOOST_TEST(m_Quarantine.onTargetDown(target(1), m_Now).empty());
}

BOOST_AUTO_TEST_CASE(Request_succeedingAtAnotherTarget_isCleared) {
  crash(m_Quarantine, m_HarmlessRequest, 1);
  crash(m_Quarantine, m_HarmlessRequest, 2);
  m_Quarantine.onAnswered(m_HarmlessRequest, m_Now);
  crash(m_Quarantine, m_HarmlessRequest, 3);
  BOOST_TEST(m_Quarantine.crashes(m_HarmlessRequest, m_Now) == 1U);
}

BOOST_AUTO_TEST_CASE(Crashes_atSeveralVms_areSummedOverTheFleet) {
  crash(m_Quarantine, m_CrashingRequest, 1);
  crash(m_Quarantine, m_CrashingRequest, 2);
  crash(m_OtherVm, m_CrashingRequest, 3);
  m_Now += seconds(1);
  gossip();
  BOOST_TEST(m_OtherVm.isQuarantined(m_CrashingRequest, m_Now));
  gossip();
  BOOST_TEST(m_OtherVm.crashes(m_CrashingRequest, m_Now) == 3U);
}

BOOST_AUTO_TEST_CASE(Crash_beforeARetryCanSucceed_isNotSent) {
  crash(m_Quarantine, m_HarmlessRequest, 1);
  BOOST_TEST(m_Quarantine.selectRecordsToSend(4, m_Now).empty());
  m_Now += seconds(1);
  BOOST_TEST(m_Quarantine.selectRecordsToSend(4, m_Now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(Records_beyondOneMessage_areSentInTurn) {
  for (int Target = 1; Target <= 6; ++Target)
    crash(m_Quarantine, m_CrashingRequest, Target);
  m_Now += seconds(1);
  gossip();
  gossip();
  BOOST_TEST(m_OtherVm.crashes(m_CrashingRequest, m_Now) == 6U);
}

BOOST_AUTO_TEST_CASE(Tables_withManyRequests_areBounded) {
  CrashQuarantine Small({.m_MaxSuspects = 10, .m_MaxPending = 10});
  for (int I = 0; I < 100; ++I) {
    Small.onCallLost(Fingerprint(static_cast<std::uint64_t>(I)), target(1),
                     m_Now);
    Small.mergeRecord({.m_Request = Fingerprint(static_cast<std::uint64_t>(I)),
                       .m_Target = 1,
                       .m_Remaining = seconds(60)},
                      m_Now);
  }
  m_Now += seconds(1);
  BOOST_TEST(Small.onTargetDown(target(1), m_Now).size() == 10U);
  BOOST_TEST(Small.selectRecordsToSend(1000, m_Now).size() <= 10U);
}

BOOST_AUTO_TEST_SUITE_END()
