#include "support/TargetPoolFixture.h"
#include "transport/SilencePolicy.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;
using Kind = TargetObservation::Kind;

namespace {

constexpr milliseconds Threshold{100};

struct SilenceFixture : TargetPoolFixture {
  void startWithLowThreshold(std::size_t MaxConnections) {
    start({.m_MaxConnections = MaxConnections,
           .m_SilenceThreshold = Threshold,
           .m_ProbeTimeout = milliseconds(200)});
  }

  /** Sends a call, answers it and returns its connection. */
  FakeTarget::Connection *roundTrip(std::uint64_t Id) {
    send(call(Id));
    const auto Request = m_Target.nextRequest();
    Request.m_Connection->reply("for " + Request.m_Body);
    BOOST_TEST(waitForResult(Id).m_Body == "for " + std::to_string(Id));
    return Request.m_Connection;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetPoolSilenceTest, SilenceFixture)

BOOST_AUTO_TEST_CASE(Policy_withoutBothConditions_doesNotRetire) {
  const TimePoint Start{seconds(100)};
  const auto Decide = [&](milliseconds Silence, bool Works, bool Unacked) {
    return chooseSilenceAction(
        {.m_LastProgress = Start,
         .m_LastWorkingOpenedAt = Works ? Start + milliseconds(1) : Start,
         .m_HasUnacknowledgedBytes = Unacked},
        milliseconds(250), Start + Silence);
  };
  using Action = SilenceAction;
  BOOST_TEST((Decide(milliseconds(249), true, true) == Action::None));
  BOOST_TEST((Decide(milliseconds(250), false, true) == Action::Probe));
  BOOST_TEST((Decide(milliseconds(9000), false, false) == Action::Probe));
  BOOST_TEST((Decide(milliseconds(250), true, true) == Action::Retire));
  BOOST_TEST((Decide(milliseconds(499), true, false) == Action::Wait));
  BOOST_TEST((Decide(milliseconds(500), true, false) == Action::Retire));
}

BOOST_AUTO_TEST_CASE(Connections_silent_areRetiredWithoutFailingTheTarget) {
  startWithLowThreshold(4);
  warmUp(3);
  m_Target.silenceConnections();
  send(call(1));
  const auto Result = waitForResult(1);
  BOOST_TEST((Result.m_Error == Errc::ConnectionSilent));
  BOOST_TEST((Result.m_Verdict == RunVerdict::MayHaveRun));
  // The other two are idle; a hello request shows that they are silent, too.
  processEventsUntil([&] { return m_Pool->counters().m_Retired == 3; });
  processEventsUntil(
      [&] { return m_Target.openConnectionCount() == m_Pool->connections(); });
  std::size_t Counted = 0;
  for (const auto &Each : m_Observations)
    if (Each.m_Kind == Kind::SilentRetired)
      Counted += Each.m_Count;
  BOOST_TEST(Counted == 3);
  BOOST_TEST(observationCount(Kind::Refused) == 0);
  BOOST_TEST(observationCount(Kind::AllLost) == 0);
  BOOST_TEST(!roundTrip(2)->m_IsSilent);
}

BOOST_AUTO_TEST_CASE(Calls_afterTheProbe_useWorkingConnections) {
  startWithLowThreshold(3);
  warmUp(2);
  m_Target.silenceConnections();
  send(call(1));
  processEventsUntil([&] { return observationCount(Kind::Connected) == 3; });
  for (std::uint64_t Id = 2; Id < 6; ++Id)
    BOOST_TEST(!roundTrip(Id)->m_IsSilent);
}

BOOST_AUTO_TEST_CASE(Replacement_ofSilentConnections_keepsTheLimit) {
  startWithLowThreshold(2);
  warmUp(2);
  m_Target.silenceConnections();
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    send(call(Id));
  std::size_t PeakConnections = 0;
  // The first two calls are on silent connections; the others wait.
  processEventsUntil([&] {
    PeakConnections = std::max(PeakConnections, m_Pool->connections());
    while (!m_Target.m_Requests.empty()) {
      const auto Request = m_Target.nextRequest();
      Request.m_Connection->reply("for " + Request.m_Body);
    }
    return hasResult(1) && hasResult(2) && hasResult(3) && hasResult(4);
  });
  BOOST_TEST((waitForResult(1).m_Error == Errc::ConnectionSilent));
  BOOST_TEST((waitForResult(2).m_Error == Errc::ConnectionSilent));
  BOOST_TEST(waitForResult(3).m_Body == "for 3");
  BOOST_TEST(waitForResult(4).m_Body == "for 4");
  BOOST_TEST(PeakConnections <= 2);
}

BOOST_AUTO_TEST_CASE(Deadline_belowTheThreshold_stillTriggersAProbe) {
  start({.m_MaxConnections = 3,
         .m_SilenceThreshold = milliseconds(60000),
         .m_ProbeTimeout = milliseconds(100)});
  warmUp(2);
  m_Target.silenceConnections();
  send(call(1, milliseconds(20)));
  BOOST_TEST((waitForResult(1).m_Error == Errc::DeadlineExceeded));
  processEventsUntil([&] { return observationCount(Kind::Connected) == 3; });
  BOOST_TEST(!roundTrip(2)->m_IsSilent);
}

BOOST_AUTO_TEST_CASE(SingleRun_thatIsSlow_keepsItsConnection) {
  startWithLowThreshold(3);
  auto Slow = call(1);
  Slow.m_SingleRun = true;
  send(Slow);
  const auto Request = m_Target.nextRequest();
  // The second call's connection is retired as silent, which shows that the
  // same time has passed for the first.
  send(call(2));
  m_Target.nextRequest();
  BOOST_TEST((waitForResult(2).m_Error == Errc::ConnectionSilent));
  Request.m_Connection->reply("done");
  const auto Result = waitForResult(1);
  BOOST_TEST(!Result.m_Error);
  BOOST_TEST(Result.m_Body == "done");
}

BOOST_AUTO_TEST_CASE(Call_answeredAfterTheThreshold_isNotRetired) {
  startWithLowThreshold(3);
  send(call(1));
  const auto Request = m_Target.nextRequest();
  // The probe shows that the threshold has passed, but not yet twice.
  processEventsUntil([&] { return m_Target.m_Connections.size() == 2; });
  Request.m_Connection->reply("slow");
  const auto Result = waitForResult(1);
  BOOST_TEST(Result.m_Body == "slow");
  BOOST_TEST(m_Pool->counters().m_Retired == 0);
}

BOOST_AUTO_TEST_CASE(Target_thatIsSilentItself_hasNoConnectionRetired) {
  startWithLowThreshold(3);
  warmUp(2);
  m_Target.m_AnswersHellos = false;
  send(call(1, milliseconds(600)));
  m_Target.nextRequest();
  BOOST_TEST((waitForResult(1).m_Error == Errc::DeadlineExceeded));
  BOOST_TEST(observationCount(Kind::SilentRetired) == 0);
}

BOOST_AUTO_TEST_CASE(IdleConnection_thatAnswersAHello_isKept) {
  startWithLowThreshold(3);
  warmUp(2);
  m_Target.m_Connections.back()->m_IsSilent = true;
  m_Target.m_Connections.front()->m_IsSilent = false;
  send(call(1));
  if (!m_Target.m_Requests.empty())
    m_Target.m_Requests.clear();
  processEventsUntil([&] { return hasResult(1); });
  BOOST_TEST((waitForResult(1).m_Error == Errc::ConnectionSilent));
  BOOST_TEST(m_Pool->counters().m_Retired == 1);
}

BOOST_AUTO_TEST_SUITE_END()
