/** Sends, hedges and retries of one request, and what may be said of it. */

#include "coordination/HedgedRequest.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

class ScriptedWorld final : public HedgedRequestContext {
public:
  TargetPtr choose(const ServiceName &, RouteKind,
                   const std::vector<TargetPtr> &, TimePoint) override {
    return m_Left == 0 ? nullptr : makeTarget("t-" + std::to_string(m_Left--));
  }
  bool acquireExtraCall(const ServiceName &, SendKind) override {
    return m_Tokens > 0 && m_Tokens-- > 0;
  }
  void releaseExtraCall(const ServiceName &) override { ++m_Tokens; }

  int m_Left = 10;
  int m_Tokens = 10;
};

struct Fixture {
  ScriptedWorld m_World;
  HedgedRequestOptions m_Options{.m_Service = ServiceName("shard-0"),
                                 .m_MaxSends = 2,
                                 .m_HedgeTime = Start + milliseconds(40)};
  std::optional<HedgedRequest> m_Request;

  std::optional<HedgedSend> start() {
    m_Request.emplace(m_Options);
    return m_Request->start(m_World, Start);
  }
  std::optional<HedgedSend> end(CallOutcome Outcome, TimePoint At = Start) {
    return m_Request->onOutcome(makeTarget("t"), Outcome, m_World, At);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HedgedRequestTest, Fixture)

BOOST_AUTO_TEST_CASE(Answer_winsTheRace) {
  BOOST_TEST(start().has_value());
  end(CallOutcome::Answered);
  BOOST_TEST(m_Request->isAnswered());
  BOOST_TEST(!m_Request->hedgeTime());
}

BOOST_AUTO_TEST_CASE(Call_thatIsLate_isHedgedOnceWithinTheBudget) {
  start();
  BOOST_TEST((m_Request->hedgeTime() == Start + milliseconds(40)));
  const auto Hedge = m_Request->onHedgeTimer(m_World, Start + milliseconds(40));
  BOOST_TEST(Hedge.has_value());
  BOOST_TEST((Hedge->m_Kind == SendKind::Hedge));
  BOOST_TEST(m_World.m_Tokens == 9);
  BOOST_TEST(!m_Request->hedgeTime());
  // The first call's failure leaves the hedge to win.
  BOOST_TEST(!end(CallOutcome::Lost));
  BOOST_TEST(!m_Request->isOver());
  end(CallOutcome::Answered);
  BOOST_TEST(m_Request->isAnswered());
}

BOOST_AUTO_TEST_CASE(Budget_thatIsSpent_allowsNeitherHedgeNorRetry) {
  m_World.m_Tokens = 0;
  start();
  BOOST_TEST(!m_Request->onHedgeTimer(m_World, Start + milliseconds(40)));
  BOOST_TEST(!end(CallOutcome::Lost));
  BOOST_TEST(m_Request->isOver());
  BOOST_TEST((m_Request->verdict() == RunVerdict::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(Sends_neverExceedWhatTheRouteAllows) {
  start();
  BOOST_TEST(end(CallOutcome::Failed).has_value());
  BOOST_TEST(!end(CallOutcome::Failed));
  BOOST_TEST(m_Request->isOver());
}

BOOST_AUTO_TEST_CASE(Call_thatReachedNoTarget_costsNothingAndHasAnEnd) {
  start();
  for (int I = 0; I < 3; ++I)
    BOOST_TEST(end(CallOutcome::NotSent).has_value());
  BOOST_TEST(m_World.m_Tokens == 10);
  BOOST_TEST(!end(CallOutcome::NotSent));
  BOOST_TEST((m_Request->verdict() == RunVerdict::NotRun));
}

BOOST_AUTO_TEST_CASE(Misdirected_call_isRetriedAtTheBudgetsCost) {
  start();
  BOOST_TEST(end(CallOutcome::Misdirected).has_value());
  BOOST_TEST(m_World.m_Tokens == 9);
  BOOST_TEST((m_Request->verdict() == RunVerdict::NotRun));
}

BOOST_AUTO_TEST_CASE(SingleRun_isNeverHedgedNorRepeatedOnceSent) {
  m_Options.m_Kind = RouteKind::SingleRun;
  start();
  BOOST_TEST(!m_Request->hedgeTime());
  BOOST_TEST(!m_Request->onHedgeTimer(m_World, Start + seconds(1)));
  BOOST_TEST(!end(CallOutcome::Lost));
  BOOST_TEST((m_Request->verdict() == RunVerdict::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(SingleRun_thatATargetRefused_goesToAnother) {
  m_Options.m_Kind = RouteKind::SingleRun;
  start();
  BOOST_TEST(end(CallOutcome::Refused).has_value());
  BOOST_TEST(!end(CallOutcome::Refused));
  BOOST_TEST((m_Request->verdict() == RunVerdict::NotRun));
  BOOST_TEST((m_Request->reason() == Errc::TargetShed));
}

BOOST_AUTO_TEST_CASE(SingleRun_thatATargetFailed_isNotRepeated) {
  m_Options.m_Kind = RouteKind::SingleRun;
  start();
  BOOST_TEST(!end(CallOutcome::Failed));
  BOOST_TEST((m_Request->verdict() == RunVerdict::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(Service_withoutTargets_losesUnrun) {
  m_World.m_Left = 0;
  BOOST_TEST(!start());
  BOOST_TEST(m_Request->isOver());
  BOOST_TEST((m_Request->reason() == Errc::NoTarget));
  BOOST_TEST((m_Request->verdict() == RunVerdict::NotRun));
}

BOOST_AUTO_TEST_CASE(Hedge_withoutATarget_givesItsTokenBack) {
  m_World.m_Left = 1;
  start();
  BOOST_TEST(!m_Request->onHedgeTimer(m_World, Start + milliseconds(40)));
  BOOST_TEST(m_World.m_Tokens == 10);
}

BOOST_AUTO_TEST_CASE(Hedge_heldBackByTheBudget_isTriedAgain) {
  m_World.m_Tokens = 0;
  start();
  const TimePoint At = Start + milliseconds(40);
  BOOST_TEST(!m_Request->onHedgeTimer(m_World, At));
  BOOST_TEST((m_Request->hedgeTime() == At + milliseconds(25)));
  m_World.m_Tokens = 1;
  BOOST_TEST(
      m_Request->onHedgeTimer(m_World, At + milliseconds(25)).has_value());
  BOOST_TEST(!m_Request->hedgeTime());
}

BOOST_AUTO_TEST_CASE(Call_thatCouldNotEndInTime_isNotSent) {
  m_Options.m_LastSendTime = Start + milliseconds(100);
  start();
  BOOST_TEST(!end(CallOutcome::Lost, Start + milliseconds(101)));
  BOOST_TEST(m_Request->isOver());
}

BOOST_AUTO_TEST_CASE(Retry_ofASuspectedRequest_isHeldBackUntilItIsProven) {
  start();
  const auto Lost = CallOutcome::Lost;
  BOOST_TEST(
      !m_Request->onOutcome(makeTarget("t"), Lost, m_World, Start, false));
  BOOST_TEST(m_Request->hasDeferredRetry());
  BOOST_TEST(!m_Request->isOver());
  BOOST_TEST(!m_Request->hedgeTime().has_value());
  BOOST_TEST(m_Request->sendDeferredRetry(m_World, Start).has_value());
  BOOST_TEST(!m_Request->hasDeferredRetry());
}

BOOST_AUTO_TEST_CASE(Retry_thatIsGivenUp_endsTheRace) {
  start();
  m_Request->onOutcome(makeTarget("t"), CallOutcome::Lost, m_World, Start,
                       false);
  m_Request->cancelDeferredRetry();
  BOOST_TEST(m_Request->isOver());
  BOOST_TEST((m_Request->reason() == Errc::ConnectionClosed));
  BOOST_TEST((m_Request->verdict() == RunVerdict::MayHaveRun));
}

BOOST_AUTO_TEST_SUITE_END()
