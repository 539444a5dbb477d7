#include "coordination/CanaryRegistry.h"
#include "support/Members.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

const Fingerprint Poison(77);

struct RegistryFixture {
  CanaryRegistry m_Owner{
      {.m_MaxKnownGood = 3, .m_MaxSuspects = 3, .m_MaxInFlight = 3}};

  CanaryVerdict ask(Fingerprint Request = Poison, Duration Now = seconds(0)) {
    return m_Owner.ask(Request, at(Now)).m_Verdict;
  }
  std::optional<CrashNotice> run(CanaryOutcome Outcome,
                                 Fingerprint Request = Poison,
                                 Duration Now = seconds(0)) {
    const CanaryAnswer Answer = m_Owner.ask(Request, at(Now));
    BOOST_REQUIRE((Answer.m_Verdict == CanaryVerdict::Proceed));
    return m_Owner.report(Request, Answer.m_Canary, Outcome, at(Now));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CanaryRegistryTest, RegistryFixture)

BOOST_AUTO_TEST_CASE(UnknownRequest_askedTwice_hasOneCanaryAtATime) {
  BOOST_TEST((ask() == CanaryVerdict::Proceed));
  BOOST_TEST((ask() == CanaryVerdict::Wait));
  BOOST_TEST((ask(Fingerprint(78)) == CanaryVerdict::Proceed));
}

BOOST_AUTO_TEST_CASE(Request_withAnsweredCanary_isKnownGood) {
  run(CanaryOutcome::Ok);
  BOOST_TEST((ask() == CanaryVerdict::KnownGood));
}

BOOST_AUTO_TEST_CASE(Canary_withInconclusiveOutcome_isFollowedByAnother) {
  BOOST_TEST(!run(CanaryOutcome::Inconclusive).has_value());
  BOOST_TEST((ask() == CanaryVerdict::Proceed));
}

BOOST_AUTO_TEST_CASE(Canary_withoutReport_isReplacedAfterTheTimeout) {
  ask();
  BOOST_TEST((ask(Poison, milliseconds(3999)) == CanaryVerdict::Wait));
  BOOST_TEST((ask(Poison, milliseconds(4000)) == CanaryVerdict::Proceed));
}

BOOST_AUTO_TEST_CASE(Request_withTwoCrashes_isQuarantinedUntilTheTimeout) {
  BOOST_TEST(run(CanaryOutcome::Crashed)->m_Crashes == 1U);
  BOOST_TEST(run(CanaryOutcome::Crashed)->m_Crashes == 2U);
  const std::chrono::minutes End(10);
  BOOST_TEST((ask() == CanaryVerdict::Quarantined));
  BOOST_TEST((ask(Poison, End - seconds(1)) == CanaryVerdict::Quarantined));
  run(CanaryOutcome::Crashed, Poison, End);
  BOOST_TEST((ask(Poison, End) == CanaryVerdict::Quarantined));
}

BOOST_AUTO_TEST_CASE(Crash_reportedRepeatedly_countsOnce) {
  const CanaryAnswer Answer = m_Owner.ask(Poison, at(seconds(0)));
  for (int Copy = 0; Copy < 3; ++Copy)
    m_Owner.report(Poison, Answer.m_Canary, CanaryOutcome::Crashed,
                   at(seconds(0)));
  BOOST_TEST((ask() == CanaryVerdict::Proceed));
}

BOOST_AUTO_TEST_CASE(Crash_reportedLate_counts) {
  const CanaryAnswer Late = m_Owner.ask(Poison, at(seconds(0)));
  run(CanaryOutcome::Crashed, Poison, seconds(5));
  m_Owner.report(Poison, Late.m_Canary, CanaryOutcome::Crashed, at(seconds(6)));
  BOOST_TEST((ask(Poison, seconds(6)) == CanaryVerdict::Quarantined));
}

BOOST_AUTO_TEST_CASE(KnownGoodRequest_afterACrash_needsACanary) {
  run(CanaryOutcome::Ok);
  m_Owner.report(Poison, 0, CanaryOutcome::Crashed, at(seconds(0)));
  BOOST_TEST((ask() == CanaryVerdict::Proceed));
}

// Calls of a known good search are sent to all shards at once; the loss of a
// data centre's targets quarantined each search that was running there.
BOOST_AUTO_TEST_CASE(KnownGoodRequest_losingSeveralTargetsAtOnce_countsOnce) {
  run(CanaryOutcome::Ok);
  for (int Target = 0; Target < 10; ++Target)
    m_Owner.report(Poison, 0, CanaryOutcome::Crashed, at(milliseconds(Target)));
  BOOST_TEST(!run(CanaryOutcome::Ok, Poison, milliseconds(20)).has_value());
  BOOST_TEST((ask() == CanaryVerdict::KnownGood));
}

BOOST_AUTO_TEST_CASE(KnownGoodRequest_crashingAgainAsACanary_isQuarantined) {
  run(CanaryOutcome::Ok);
  m_Owner.report(Poison, 0, CanaryOutcome::Crashed, at(seconds(0)));
  run(CanaryOutcome::Crashed, Poison, milliseconds(20));
  BOOST_TEST((ask(Poison, milliseconds(20)) == CanaryVerdict::Quarantined));
}

BOOST_AUTO_TEST_CASE(Quarantine_receivedFromAPeer_appliesUntilItsEnd) {
  run(CanaryOutcome::Ok);
  m_Owner.onCrashNotice({Poison, 2, seconds(60)}, at(seconds(0)));
  BOOST_TEST(
      (m_Owner.quarantineRemaining(Poison, at(seconds(59))) == seconds(1)));
  BOOST_TEST((ask() == CanaryVerdict::Quarantined));
  BOOST_TEST(!m_Owner.quarantineRemaining(Poison, at(seconds(60))).has_value());
}

BOOST_AUTO_TEST_CASE(Crash_receivedFromAPeer_countsAtANewOwner) {
  m_Owner.onCrashNotice({Poison, 1, seconds(60)}, at(seconds(0)));
  BOOST_TEST(run(CanaryOutcome::Crashed)->m_Crashes == 2U);
}

BOOST_AUTO_TEST_CASE(Tables_withManyRequests_stayBounded) {
  for (std::uint64_t I = 0; I < 10; ++I)
    run(CanaryOutcome::Ok, Fingerprint(100 + I));
  for (std::uint64_t I = 0; I < 10; ++I)
    run(CanaryOutcome::Crashed, Fingerprint(200 + I));
  for (std::uint64_t I = 0; I < 10; ++I)
    ask(Fingerprint(300 + I));
  BOOST_TEST(m_Owner.knownGood() == 3U);
  BOOST_TEST(m_Owner.suspects() == 3U);
  BOOST_TEST(m_Owner.inFlight() == 3U);
  BOOST_TEST((ask(Fingerprint(400)) == CanaryVerdict::Wait));
  BOOST_TEST((ask(Fingerprint(400), seconds(4)) == CanaryVerdict::Proceed));
}

BOOST_AUTO_TEST_CASE(KnownGoodRequest_inUse_isNotEvicted) {
  run(CanaryOutcome::Ok);
  for (std::uint64_t I = 0; I < 10; ++I) {
    run(CanaryOutcome::Ok, Fingerprint(100 + I));
    BOOST_TEST((ask() == CanaryVerdict::KnownGood));
  }
}

BOOST_AUTO_TEST_SUITE_END()
