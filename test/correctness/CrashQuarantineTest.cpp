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
  CrashQuarantine m_Quarantine{{.m_Self = VmName("vm-1")}};
  CrashQuarantine m_OtherVm{{.m_Self = VmName("vm-2")}};
  CrashQuarantine m_ThirdVm{{.m_Self = VmName("vm-3")}};

  static TargetInstance target(int Number, std::int64_t Started = 1) {
    return {.m_Name = TargetName("t-" + std::to_string(Number)),
            .m_StartedMs = Started};
  }
  /** An attempt that starts and ends now. */
  LostCall lostCall(Fingerprint Request, const TargetInstance &Target) const {
    return {
        .m_Request = Request, .m_Target = Target, .m_AttemptStartedAt = m_Now};
  }
  void crash(CrashQuarantine &Quarantine, Fingerprint Request, int Target) {
    Quarantine.onCallLost(lostCall(Request, target(Target)), m_Now);
    Quarantine.onTargetDown(target(Target), m_Now);
  }
  /** An attempt, in progress for 50 ms, whose calls to all \p Targets end now.
   */
  void loseTogether(CrashQuarantine &Quarantine, Fingerprint Request,
                    const std::vector<int> &Targets) {
    for (const int Each : Targets) {
      Quarantine.onCallLost({.m_Request = Request,
                             .m_Target = target(Each),
                             .m_AttemptStartedAt = m_Now - milliseconds(50)},
                            m_Now);
      m_Now += milliseconds(1); // The VM notices one loss after the other.
    }
    for (const int Each : Targets)
      Quarantine.onTargetDown(target(Each), m_Now);
  }
  void gossip(CrashQuarantine &From, CrashQuarantine &To) {
    for (const CrashRecord &Each : From.selectRecordsToSend(4, m_Now))
      To.mergeRecord(Each, m_Now);
  }
  void gossip() { gossip(m_Quarantine, m_OtherVm); }
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
  m_Quarantine.onCallLost(lostCall(m_CrashingRequest, target(1, 2)), m_Now);
  m_Quarantine.onTargetDown(target(1, 2), m_Now);
  BOOST_TEST(m_Quarantine.crashes(m_CrashingRequest, m_Now) == 2U);
}

BOOST_AUTO_TEST_CASE(Connections_resetByTheNetwork_areNotCrashes) {
  for (int Target = 1; Target < 10; ++Target) {
    m_Quarantine.onCallLost(lostCall(m_HarmlessRequest, target(Target)), m_Now);
    m_Quarantine.onTargetUp(target(Target));
    m_Quarantine.onTargetDown(target(Target), m_Now);
  }
  BOOST_TEST(m_Quarantine.crashes(m_HarmlessRequest, m_Now) == 0U);
  BOOST_TEST(m_Quarantine.isEmpty());
}

BOOST_AUTO_TEST_CASE(Target_downAfterTheTimeout_wasNotCrashedByTheCall) {
  m_Quarantine.onCallLost(lostCall(m_HarmlessRequest, target(1)), m_Now);
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
  m_Now += seconds(1);
  crash(m_OtherVm, m_CrashingRequest, 3);
  gossip();
  BOOST_TEST(m_OtherVm.isQuarantined(m_CrashingRequest, m_Now));
  gossip();
  BOOST_TEST(m_OtherVm.crashes(m_CrashingRequest, m_Now) == 3U);
}

// A data centre's targets went down together; all VMs refused a popular search
// that was running there for ten minutes.
BOOST_AUTO_TEST_CASE(Search_runningWhenItsTargetsGoDown_isNotQuarantined) {
  const std::vector<int> Targets{1, 2, 3, 4, 5, 6, 7, 8, 9, 10};
  loseTogether(m_Quarantine, m_HarmlessRequest, Targets);
  BOOST_TEST(m_Quarantine.crashes(m_HarmlessRequest, m_Now) == 1U);
}

BOOST_AUTO_TEST_CASE(Attempts_inProgressAtACrash_countOnce) {
  for (int Target = 1; Target < 10; ++Target)
    loseTogether(m_Quarantine, m_HarmlessRequest, {Target});
  BOOST_TEST(m_Quarantine.crashes(m_HarmlessRequest, m_Now) == 1U);
}

BOOST_AUTO_TEST_CASE(Attempts_afterEachCrash_countEach) {
  for (int Target = 1; Target <= 5; Target += 2) {
    m_Now += milliseconds(60);
    loseTogether(m_Quarantine, m_CrashingRequest, {Target, Target + 1});
  }
  BOOST_TEST(m_Quarantine.isQuarantined(m_CrashingRequest, m_Now));
}

BOOST_AUTO_TEST_CASE(Crash_recordedByEachVm_countsOnce) {
  loseTogether(m_Quarantine, m_HarmlessRequest, {1, 2, 3});
  loseTogether(m_OtherVm, m_HarmlessRequest, {4, 5, 6});
  loseTogether(m_ThirdVm, m_HarmlessRequest, {7, 8, 9});
  m_Now += milliseconds(500);
  gossip(m_Quarantine, m_ThirdVm);
  gossip(m_OtherVm, m_ThirdVm);
  BOOST_TEST(m_ThirdVm.crashes(m_HarmlessRequest, m_Now) == 1U);
}

BOOST_AUTO_TEST_CASE(Quarantine_returnedByPeersLate_endsInTime) {
  const TimePoint CrashedAt = m_Now;
  for (int Target = 1; Target <= 3; ++Target)
    crash(m_Quarantine, m_CrashingRequest, Target);
  for (int Round = 0; Round < 10; ++Round) {
    m_Now += seconds(1);
    const auto Sent = m_Quarantine.selectRecordsToSend(4, m_Now);
    m_Now += milliseconds(300); // Transit.
    for (const CrashRecord &Each : Sent)
      m_OtherVm.mergeRecord(Each, m_Now);
    gossip(m_OtherVm, m_Quarantine);
  }
  BOOST_TEST(m_Quarantine.isQuarantined(m_CrashingRequest, m_Now));
  BOOST_TEST(!m_Quarantine.isQuarantined(m_CrashingRequest,
                                         CrashedAt + std::chrono::minutes(10)));
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
    Small.onCallLost(
        lostCall(Fingerprint(static_cast<std::uint64_t>(I)), target(1)), m_Now);
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
