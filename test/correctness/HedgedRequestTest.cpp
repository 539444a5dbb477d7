/** Calls, hedges and retries of one request, and its verdict. */

#include "coordination/HedgedRequest.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

class FakeContext final : public HedgedRequestContext {
public:
  TargetPtr choose(const ServiceName &, RouteKind,
                   const std::vector<TargetPtr> &, TimePoint) override {
    return m_RemainingTargets == 0
               ? nullptr
               : makeTarget("t-" + std::to_string(m_RemainingTargets--));
  }
  bool acquireExtraCall(const ServiceName &, SendKind) override {
    return m_BudgetTokens > 0 && m_BudgetTokens-- > 0;
  }
  void releaseExtraCall(const ServiceName &) override { ++m_BudgetTokens; }

  int m_RemainingTargets = 10;
  int m_BudgetTokens = 10;
};

struct Fixture {
  FakeContext m_Context;
  HedgedRequestOptions m_Options{.m_Service = ServiceName("shard-0"),
                                 .m_MaxSends = 2,
                                 .m_HedgeTime = Start + milliseconds(40)};
  std::optional<HedgedRequest> m_Request;

  std::optional<HedgedSend> start() {
    m_Request.emplace(m_Options);
    return m_Request->start(m_Context, Start);
  }
  std::optional<HedgedSend> end(CallOutcome Outcome, TimePoint Time = Start) {
    return m_Request->onOutcome(makeTarget("t"), Outcome, m_Context, Time);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HedgedRequestTest, Fixture)

BOOST_AUTO_TEST_CASE(Answer_completesTheRequest) {
  BOOST_TEST(start().has_value());
  end(CallOutcome::Answered);
  BOOST_TEST(m_Request->isAnswered());
  BOOST_TEST(!m_Request->hedgeTime());
}

BOOST_AUTO_TEST_CASE(LateCall_withBudget_isHedgedOnce) {
  start();
  BOOST_TEST((m_Request->hedgeTime() == Start + milliseconds(40)));
  const auto Hedge =
      m_Request->onHedgeTimer(m_Context, Start + milliseconds(40));
  BOOST_TEST(Hedge.has_value());
  BOOST_TEST((Hedge->m_Kind == SendKind::Hedge));
  BOOST_TEST(m_Context.m_BudgetTokens == 9);
  BOOST_TEST(!m_Request->hedgeTime());
  // The hedge is still outstanding when the first call fails.
  BOOST_TEST(!end(CallOutcome::Lost));
  BOOST_TEST(!m_Request->isOver());
  end(CallOutcome::Answered);
  BOOST_TEST(m_Request->isAnswered());
}

BOOST_AUTO_TEST_CASE(Budget_exhausted_allowsNeitherHedgeNorRetry) {
  m_Context.m_BudgetTokens = 0;
  start();
  BOOST_TEST(!m_Request->onHedgeTimer(m_Context, Start + milliseconds(40)));
  BOOST_TEST(!end(CallOutcome::Lost));
  BOOST_TEST(m_Request->isOver());
  BOOST_TEST((m_Request->verdict() == RunVerdict::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(Calls_neverExceedTheMaximum) {
  start();
  BOOST_TEST(end(CallOutcome::Failed).has_value());
  BOOST_TEST(!end(CallOutcome::Failed));
  BOOST_TEST(m_Request->isOver());
}

// A request was refused although half of eight targets were up, because the
// first four that were tried had just crashed.
BOOST_AUTO_TEST_CASE(UnsentCalls_areNotChargedButBounded) {
  start();
  for (int I = 0; I < 7; ++I)
    BOOST_TEST(end(CallOutcome::NotSent).has_value());
  BOOST_TEST(m_Context.m_BudgetTokens == 10);
  BOOST_TEST(!end(CallOutcome::NotSent));
  BOOST_TEST((m_Request->verdict() == RunVerdict::NotRun));
}

BOOST_AUTO_TEST_CASE(MisdirectedCall_isRetriedWithBudget) {
  start();
  BOOST_TEST(end(CallOutcome::Misdirected).has_value());
  BOOST_TEST(m_Context.m_BudgetTokens == 9);
  BOOST_TEST((m_Request->verdict() == RunVerdict::NotRun));
}

BOOST_AUTO_TEST_CASE(SingleRun_onceSent_isNeitherHedgedNorRetried) {
  m_Options.m_Kind = RouteKind::SingleRun;
  start();
  BOOST_TEST(!m_Request->hedgeTime());
  BOOST_TEST(!m_Request->onHedgeTimer(m_Context, Start + seconds(1)));
  BOOST_TEST(!end(CallOutcome::Lost));
  BOOST_TEST((m_Request->verdict() == RunVerdict::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(SingleRun_refusedByATarget_isSentToAnother) {
  m_Options.m_Kind = RouteKind::SingleRun;
  start();
  BOOST_TEST(end(CallOutcome::Refused).has_value());
  BOOST_TEST(!end(CallOutcome::Refused));
  BOOST_TEST((m_Request->verdict() == RunVerdict::NotRun));
  BOOST_TEST((m_Request->reason() == Errc::TargetShed));
}

BOOST_AUTO_TEST_CASE(SingleRun_failedByATarget_isNotRetried) {
  m_Options.m_Kind = RouteKind::SingleRun;
  start();
  BOOST_TEST(!end(CallOutcome::Failed));
  BOOST_TEST((m_Request->verdict() == RunVerdict::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(Request_withoutTargets_failsAsNotRun) {
  m_Context.m_RemainingTargets = 0;
  BOOST_TEST(!start());
  BOOST_TEST(m_Request->isOver());
  BOOST_TEST((m_Request->reason() == Errc::NoTarget));
  BOOST_TEST((m_Request->verdict() == RunVerdict::NotRun));
}

BOOST_AUTO_TEST_CASE(Hedge_withoutATarget_returnsItsBudget) {
  m_Context.m_RemainingTargets = 1;
  start();
  BOOST_TEST(!m_Request->onHedgeTimer(m_Context, Start + milliseconds(40)));
  BOOST_TEST(m_Context.m_BudgetTokens == 10);
}

BOOST_AUTO_TEST_CASE(Hedge_preventedByTheBudget_isAttemptedAgain) {
  m_Context.m_BudgetTokens = 0;
  start();
  const TimePoint Time = Start + milliseconds(40);
  BOOST_TEST(!m_Request->onHedgeTimer(m_Context, Time));
  BOOST_TEST((m_Request->hedgeTime() == Time + milliseconds(25)));
  m_Context.m_BudgetTokens = 1;
  BOOST_TEST(
      m_Request->onHedgeTimer(m_Context, Time + milliseconds(25)).has_value());
  BOOST_TEST(!m_Request->hedgeTime());
}

BOOST_AUTO_TEST_CASE(Call_afterTheLastSendTime_isNotSent) {
  m_Options.m_LastSendTime = Start + milliseconds(100);
  start();
  BOOST_TEST(!end(CallOutcome::Lost, Start + milliseconds(101)));
  BOOST_TEST(m_Request->isOver());
}

BOOST_AUTO_TEST_CASE(Retry_ofASuspectedRequest_isDeferred) {
  start();
  const auto Lost = CallOutcome::Lost;
  BOOST_TEST(
      !m_Request->onOutcome(makeTarget("t"), Lost, m_Context, Start, false));
  BOOST_TEST(m_Request->hasDeferredRetry());
  BOOST_TEST(!m_Request->isOver());
  BOOST_TEST(!m_Request->hedgeTime().has_value());
  BOOST_TEST(m_Request->sendDeferredRetry(m_Context, Start).has_value());
  BOOST_TEST(!m_Request->hasDeferredRetry());
}

BOOST_AUTO_TEST_CASE(DeferredRetry_whenCancelled_failsTheRequest) {
  start();
  m_Request->onOutcome(makeTarget("t"), CallOutcome::Lost, m_Context, Start,
                       false);
  m_Request->cancelDeferredRetry();
  BOOST_TEST(m_Request->isOver());
  BOOST_TEST((m_Request->reason() == Errc::ConnectionClosed));
  BOOST_TEST((m_Request->verdict() == RunVerdict::MayHaveRun));
}

BOOST_AUTO_TEST_SUITE_END()
