/**
 * Admission of requests for a set of targets: which run, wait or are refused.
 */

#include "coordination/AdmissionControl.h"
#include "state/Errc.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

struct Fixture {
  TimePoint m_Now{seconds(100)};
  AdmissionControl m_Control{
      {.m_Limit = {.m_MinCalls = 4, .m_MaxLimit = 8}, .m_MinFloor = 2}};
  std::uint64_t m_LastId = 0;

  AdmissionDecision admit(milliseconds Age = milliseconds(0),
                          milliseconds Objective = milliseconds(100)) {
    const TimePoint Received = m_Now - Age;
    return m_Control.admit({.m_Id = ++m_LastId,
                            .m_ReceivedAt = Received,
                            .m_Deadline = Received + seconds(1),
                            .m_Objective = Objective},
                           m_Now);
  }
  void fillSlots() {
    while (m_Control.running() < m_Control.limit())
      admit();
  }
  /** Reports one window of finished calls that all have \p Outcome. */
  AdmissionChange finishCalls(CallOutcome Outcome, milliseconds Latency) {
    AdmissionChange Change;
    for (int I = 0; I < 4; ++I) {
      m_Now += milliseconds(40);
      Change =
          m_Control.onCallFinished(Outcome, Latency, milliseconds(100), m_Now);
    }
    return Change;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionControlTest, Fixture)

BOOST_AUTO_TEST_CASE(LateRequest_withFreeSlot_runs) {
  BOOST_TEST((admit(milliseconds(300)).m_Admission == Admission::Run));
}

BOOST_AUTO_TEST_CASE(LateRequest_withoutFreeSlot_isRefusedAtOnce) {
  fillSlots();
  const AdmissionDecision Late = admit(milliseconds(300));
  BOOST_TEST((Late.m_Admission == Admission::Shed));
  BOOST_TEST((Late.m_Shed.at(0).m_Reason == Errc::Overloaded));
}

BOOST_AUTO_TEST_CASE(Request_withoutObjective_waitsForAFractionOfItsDeadline) {
  fillSlots();
  BOOST_TEST((admit({}, milliseconds(0)).m_Admission == Admission::Wait));
  BOOST_TEST(
      (*m_Control.nextTimer() == m_Now + milliseconds(250) + Duration(1)));
}

BOOST_AUTO_TEST_CASE(Limit_withRefusedAndSlowCalls_decreasesToItsFloor) {
  fillSlots();
  finishCalls(CallOutcome::Refused, milliseconds(1));
  BOOST_TEST(m_Control.limit() == 6U);
  for (int I = 0; I < 10; ++I)
    finishCalls(CallOutcome::Answered, milliseconds(90));
  BOOST_TEST(m_Control.limit() == 2U);
}

BOOST_AUTO_TEST_CASE(Limit_withUnsentOrLostCalls_doesNotChange) {
  fillSlots();
  finishCalls(CallOutcome::NotSent, milliseconds(90));
  finishCalls(CallOutcome::Lost, milliseconds(90));
  BOOST_TEST(m_Control.limit() == 8U);
}

BOOST_AUTO_TEST_CASE(Limit_whenReachedWithFastCalls_increases) {
  fillSlots();
  finishCalls(CallOutcome::Refused, milliseconds(1));
  m_Control.onRequestFinished(milliseconds(20), m_Now);
  m_Control.onRequestFinished(milliseconds(20), m_Now);
  m_Control.onRequestFinished(milliseconds(20), m_Now);
  fillSlots();
  BOOST_TEST((admit().m_Admission == Admission::Wait));
  const AdmissionChange Change =
      finishCalls(CallOutcome::Answered, milliseconds(10));
  BOOST_TEST(m_Control.limit() == 7U);
  BOOST_TEST((Change.m_Run.size() + Change.m_Shed.size()) == 1U);
}

BOOST_AUTO_TEST_CASE(FairShare_ofTheSlots_setsTheFloor) {
  fillSlots();
  m_Control.setFairShare(20, 0.2, m_Now);
  for (int I = 0; I < 10; ++I)
    finishCalls(CallOutcome::Refused, milliseconds(1));
  BOOST_TEST(m_Control.limit() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()
