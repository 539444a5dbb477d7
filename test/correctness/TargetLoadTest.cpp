/** Tests of target load and health as measured by a VM's own calls. */

#include "coordination/TargetLoad.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Fixture {
  TargetLoad m_Load;
  std::uint64_t m_LastCall = 0;

  void call(CallOutcome Outcome, TimePoint Time, double Latency = 1) {
    m_Load.begin(++m_LastCall, Time + milliseconds(40));
    m_Load.end(m_LastCall, Outcome, Latency, Time);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetLoadTest, Fixture)

BOOST_AUTO_TEST_CASE(Target_withoutCalls_hasNoPenalty) {
  BOOST_TEST(m_Load.slowness(Start) == 1);
  BOOST_TEST(m_Load.failureShare(Start) == 0);
  BOOST_TEST(!m_Load.isBackingOff(Start));
}

BOOST_AUTO_TEST_CASE(Call_pastItsOverdueTime_makesTheTargetOverdue) {
  m_Load.begin(1, Start + milliseconds(40));
  BOOST_TEST(!m_Load.isOverdue(Start + milliseconds(39)));
  BOOST_TEST(m_Load.isOverdue(Start + milliseconds(40)));
  m_Load.end(1, CallOutcome::Answered, 1, Start + milliseconds(50));
  BOOST_TEST(!m_Load.isOverdue(Start + milliseconds(60)));
}

BOOST_AUTO_TEST_CASE(Slowness_afterItsHalfLife_hasHalved) {
  for (int I = 0; I < 30; ++I)
    call(CallOutcome::Answered, Start, 2.9);
  const double Initial = m_Load.slowness(Start) - 1;
  BOOST_TEST(Initial > 1.89);
  BOOST_TEST(m_Load.slowness(Start + seconds(2)) - 1 == Initial / 2,
             boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(Refusals_countAsFailuresButNotAsUnreachable) {
  for (int I = 0; I < 10; ++I)
    call(CallOutcome::Refused, Start);
  BOOST_TEST(m_Load.failureShare(Start) > 0.9);
  BOOST_TEST(!m_Load.isBackingOff(Start));
  BOOST_TEST(!m_Load.isUnreachable());
}

BOOST_AUTO_TEST_CASE(Backoff_doublesWithEachLostCallUpToItsMaximum) {
  call(CallOutcome::Lost, Start);
  BOOST_TEST(m_Load.isBackingOff(Start + milliseconds(249)));
  BOOST_TEST(!m_Load.isBackingOff(Start + milliseconds(250)));
  call(CallOutcome::NotSent, Start);
  BOOST_TEST(m_Load.isBackingOff(Start + milliseconds(499)));
  for (int I = 0; I < 10; ++I)
    call(CallOutcome::Unanswered, Start);
  BOOST_TEST(m_Load.isBackingOff(Start + milliseconds(1999)));
  BOOST_TEST(!m_Load.isBackingOff(Start + milliseconds(2000)));
  BOOST_TEST(m_Load.isUnreachable());
  call(CallOutcome::Answered, Start);
  BOOST_TEST(!m_Load.isUnreachable());
}

BOOST_AUTO_TEST_CASE(Call_abandonedByItsCaller_isIgnored) {
  call(CallOutcome::Abandoned, Start);
  BOOST_TEST(m_Load.failureShare(Start) == 0);
  BOOST_TEST(m_Load.outstanding() == 0U);
}

BOOST_AUTO_TEST_CASE(Address_ofAnotherProcess_marksTheTargetMisdirected) {
  call(CallOutcome::Misdirected, Start);
  BOOST_TEST(m_Load.isMisdirected());
}

BOOST_AUTO_TEST_CASE(Pause_metByCallsAtTheSameTime_doesNotMakeTheTargetSlow) {
  for (std::uint64_t I = 0; I < 5; ++I)
    m_Load.begin(I, Start + milliseconds(40));
  for (std::uint64_t I = 0; I < 5; ++I)
    m_Load.end(I, CallOutcome::Answered, 9, Start + milliseconds(200));
  BOOST_TEST(!m_Load.isSlow(Start + milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(Calls_slowOneAfterTheOther_makeTheTargetSlowUntilATrial) {
  for (int I = 0; I < 2; ++I) {
    const TimePoint SentAt = Start + I * milliseconds(300);
    m_Load.begin(1, SentAt + milliseconds(40));
    m_Load.end(1, CallOutcome::Answered, 9, SentAt + milliseconds(200));
  }
  const TimePoint Ended = Start + milliseconds(500);
  BOOST_TEST(m_Load.isSlow(Ended));
  BOOST_TEST(m_Load.isSlow(Ended + milliseconds(1999)));
  BOOST_TEST(!m_Load.isSlow(Ended + seconds(2)));
  // Another slow call, the trial, extends the time.
  m_Load.begin(1, Ended + seconds(3));
  m_Load.end(1, CallOutcome::Answered, 9, Ended + seconds(3));
  BOOST_TEST(m_Load.isSlow(Ended + seconds(4)));
  // A call as quick as usual ends it.
  call(CallOutcome::Answered, Ended + seconds(4));
  BOOST_TEST(!m_Load.isSlow(Ended + seconds(4)));
}

BOOST_AUTO_TEST_CASE(Slowness_ofASinglePause_isBounded) {
  call(CallOutcome::Answered, Start, 30);
  BOOST_TEST(m_Load.slowness(Start) <= 1.5);
}

BOOST_AUTO_TEST_SUITE_END()
