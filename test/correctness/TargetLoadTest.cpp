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
    call(CallOutcome::Answered, Start, 9);
  const double Initial = m_Load.slowness(Start) - 1;
  BOOST_TEST(Initial > 7.9);
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

BOOST_AUTO_TEST_SUITE_END()
