/** Decisions of the admission queue of one VM. */

#include "coordination/AdmissionQueue.h"
#include "state/Errc.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

struct Fixture {
  TimePoint m_Now;
  AdmissionQueue m_Queue{{.m_Slots = 1, .m_MaxPending = 20}};

  AdmissionDecision admit(std::uint64_t Id, Priority Class, int DeadlineMs) {
    return m_Queue.admit({.m_Id = Id,
                          .m_Priority = Class,
                          .m_Deadline = TimePoint(milliseconds(DeadlineMs))},
                         m_Now);
  }
  Admission urgent(std::uint64_t Id, int DeadlineMs) {
    return admit(Id, Priority::Urgent, DeadlineMs).m_Admission;
  }
  Admission ordinary(std::uint64_t Id, int DeadlineMs) {
    return admit(Id, Priority::Ordinary, DeadlineMs).m_Admission;
  }
  std::uint64_t finishAndStartNext() {
    const AdmissionChange Change =
        m_Queue.onRequestFinished(milliseconds(10), m_Now);
    return Change.m_Run.empty() ? 0 : Change.m_Run.front();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionQueueTest, Fixture)

BOOST_AUTO_TEST_CASE(Waiting_ofBothClasses_runsUrgentThenEarliestDeadline) {
  BOOST_TEST((ordinary(1, 900) == Admission::Run));
  BOOST_TEST((ordinary(2, 500) == Admission::Wait));
  BOOST_TEST((ordinary(3, 400) == Admission::Wait));
  BOOST_TEST((urgent(4, 900) == Admission::Wait));
  BOOST_TEST((urgent(5, 800) == Admission::Wait));
  for (const std::uint64_t Expected : {5U, 4U, 3U, 2U, 0U})
    BOOST_TEST(finishAndStartNext() == Expected);
}

BOOST_AUTO_TEST_CASE(Waiting_withEqualDeadlines_runsInOrderOfArrival) {
  ordinary(1, 900);
  ordinary(2, 900);
  ordinary(3, 900);
  BOOST_TEST(finishAndStartNext() == 2U);
  BOOST_TEST(finishAndStartNext() == 3U);
}

BOOST_AUTO_TEST_CASE(Ordinary_underSteadyUrgentLoad_runsEveryEighthTime) {
  urgent(1, 100000);
  ordinary(2, 100000);
  ordinary(3, 100000);
  std::vector<int> Turns;
  for (int Turn = 1; Turn <= 16; ++Turn) {
    while (m_Queue.waiting() < 10)
      urgent(100 + m_Queue.waiting(), 100000);
    const std::uint64_t Id = finishAndStartNext();
    if (Id == 2 || Id == 3)
      Turns.push_back(Turn);
  }
  BOOST_REQUIRE_EQUAL(Turns.size(), 2U);
  BOOST_TEST(Turns[0] == 8);
  BOOST_TEST(Turns[1] == 16);
}

BOOST_AUTO_TEST_CASE(Request_thatCannotEndInTime_isShedAtOnce) {
  urgent(1, 900);
  finishAndStartNext(); // Records a service time of 10 ms.
  urgent(2, 900);
  BOOST_TEST((urgent(3, 30) == Admission::Wait));
  BOOST_TEST((urgent(4, 29) == Admission::Wait)); // Runs before 3.
  // 10 ms each for the running request, the two waiting ones and the new one.
  BOOST_TEST((urgent(5, 39) == Admission::Shed));
  BOOST_TEST((urgent(6, 40) == Admission::Wait));
  BOOST_TEST((urgent(7, 0) == Admission::Shed));
}

BOOST_AUTO_TEST_CASE(Waiting_overtakenTooOften_isShedBeforeItIsSent) {
  urgent(1, 900);
  finishAndStartNext();
  urgent(2, 900);
  ordinary(3, 30);
  urgent(4, 900);
  urgent(5, 900);
  BOOST_TEST((m_Queue.nextTimer() > TimePoint(milliseconds(20))));
  m_Now += milliseconds(21);
  const AdmissionChange Change =
      m_Queue.onRequestFinished(milliseconds(10), m_Now);
  BOOST_REQUIRE_EQUAL(Change.m_Shed.size(), 1U);
  BOOST_TEST(Change.m_Shed[0].m_Id == 3U);
  BOOST_TEST(Change.m_Shed[0].m_Reason == Errc::Overloaded);
  BOOST_TEST(Change.m_Run.front() == 4U);
}

BOOST_AUTO_TEST_CASE(FreeSlot_afterASlowPeriod_isStillUsed) {
  urgent(1, 900);
  m_Queue.onRequestFinished(seconds(5), m_Now);
  BOOST_TEST((urgent(2, 100) == Admission::Run));
}

BOOST_AUTO_TEST_CASE(FullQueue_shedsOrdinaryForUrgent) {
  for (std::uint64_t Id = 1; Id <= 20; ++Id)
    ordinary(Id, 1000 + static_cast<int>(Id));
  BOOST_TEST((ordinary(21, 1000) == Admission::Shed));
  const AdmissionDecision Decision = admit(22, Priority::Urgent, 1000);
  BOOST_TEST((Decision.m_Admission == Admission::Wait));
  BOOST_REQUIRE_EQUAL(Decision.m_Shed.size(), 1U);
  BOOST_TEST(Decision.m_Shed[0].m_Id == 20U);
  BOOST_TEST(m_Queue.waiting() == 19U);
}

BOOST_AUTO_TEST_CASE(Waiting_whoseCallerDisconnected_isRemoved) {
  ordinary(1, 900);
  ordinary(2, 900);
  BOOST_TEST(m_Queue.remove(2));
  BOOST_TEST(!m_Queue.remove(2));
  BOOST_TEST(finishAndStartNext() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
