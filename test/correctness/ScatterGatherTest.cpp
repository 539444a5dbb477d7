/**
 * Tests of a single query: versions, coverage, retries, hedges, restarts,
 * canaries and merging.
 */

#include "coordination/ScatterGather.h"
#include "support/QueryDriver.h"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace figturn;

namespace {

struct Fixture {
  QueryFixture m_QueryFixture;

  QueryDriver query(ScatterGatherOptions Options = {}) {
    return QueryDriver(m_QueryFixture, std::move(Options));
  }
};

CallFailed failure(Errc Error, RunVerdict Verdict = RunVerdict::MayHaveRun) {
  return {.m_Error = Error, .m_Verdict = Verdict};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ScatterGatherTest, Fixture)

BOOST_AUTO_TEST_CASE(Query_allShardsAnswered_isCompleteAndMergedByScore) {
  QueryDriver Query = query({.m_Limit = 3});
  Query.start();
  BOOST_REQUIRE_EQUAL(Query.m_Sent.size(), 3U);
  Query.answer(0, {{"b", 1, ""}, {"x", 5, "first"}});
  Query.answer(1, {{"x", 2, "second"}, {"a", 1, ""}});
  BOOST_TEST(!Query.m_Answer);
  Query.answer(2, {});
  BOOST_REQUIRE(Query.m_Answer);
  BOOST_TEST(Query.m_Answer->m_Coverage.isComplete());
  BOOST_TEST(Query.m_Answer->m_Coverage.m_DocumentsAnswered == 30U);
  BOOST_REQUIRE_EQUAL(Query.m_Answer->m_Hits.size(), 3U);
  BOOST_TEST(Query.m_Answer->m_Hits[0].m_Payload == "first");
  BOOST_TEST(Query.m_Answer->m_Hits[1].m_Id == "a");
  BOOST_TEST(Query.m_Answer->m_Hits[2].m_Id == "b");
}

BOOST_AUTO_TEST_CASE(Reply_ofAnotherVersionOrShard_isNotMergedOrCovered) {
  m_QueryFixture.m_Budget.recordFirstCalls(100);
  QueryDriver Query = query();
  Query.start();
  CallAnswered Mismatch = Query.makeAnswer(0, {{"wrong", 9, ""}});
  Mismatch.m_Version = IndexVersion(8);
  Query.reply(0, Mismatch);
  Mismatch = Query.makeAnswer(1, {{"wrong", 9, ""}});
  Mismatch.m_Shard = ShardId(0);
  Query.reply(1, Mismatch);
  Mismatch = Query.makeAnswer(2, {{"wrong", 9, ""}});
  Mismatch.m_Documents = 9;
  Query.reply(2, Mismatch);
  BOOST_TEST(Query.m_Query.counts().m_BadReplies == 3U);
  BOOST_REQUIRE_EQUAL(Query.m_Sent.size(), 6U);
  Query.answer(3, {{"right", 1, ""}});
  Query.advanceTime(milliseconds(100));
  BOOST_REQUIRE(Query.m_Answer);
  BOOST_TEST(Query.m_Answer->m_Coverage.m_ShardsAnswered == 1U);
  BOOST_TEST(Query.m_Answer->m_Coverage.m_DocumentsAnswered == 10U);
  BOOST_TEST(Query.m_Answer->m_Hits.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Reply_withNanScore_isInvalid) {
  QueryDriver Query = query();
  Query.start();
  Query.answer(0, {{"a", std::numeric_limits<double>::quiet_NaN(), ""}});
  BOOST_TEST(Query.m_Query.counts().m_BadReplies == 1U);
}

BOOST_AUTO_TEST_CASE(Replies_afterTheEndOrTwice_areIgnoredAndCounted) {
  QueryDriver Query = query();
  Query.start();
  Query.answer(0, {});
  Query.answer(0, {{"twice", 1, ""}});
  Query.advanceTime(milliseconds(100));
  BOOST_REQUIRE(Query.m_Answer);
  BOOST_TEST(Query.m_Cancelled.size() == 2U);
  Query.answer(1, {{"late", 1, ""}});
  BOOST_TEST(Query.m_Answer->m_Coverage.m_ShardsAnswered == 1U);
  BOOST_TEST(Query.m_Query.counts().m_LateReplies == 2U);
  BOOST_TEST(Query.m_FinishCount == 1);
}

BOOST_AUTO_TEST_CASE(Reply_afterTheDeadline_isNotCovered) {
  QueryDriver Query = query();
  Query.start();
  Query.m_Now += milliseconds(100);
  Query.answer(0, {{"late", 1, ""}});
  BOOST_REQUIRE(Query.m_Answer);
  BOOST_TEST(Query.m_Answer->m_Coverage.m_ShardsAnswered == 0U);
  BOOST_TEST(Query.m_Answer->m_IncompleteReason == Errc::DeadlineExceeded);
}

BOOST_AUTO_TEST_CASE(SlowCall_withBudget_isHedgedAndTheSlowerCallCancelled) {
  m_QueryFixture.m_HedgeDelay = milliseconds(20);
  m_QueryFixture.m_Budget.recordFirstCalls(100);
  QueryDriver Query = query();
  Query.start();
  Query.answer(0, {});
  Query.answer(1, {});
  Query.advanceTime(milliseconds(20));
  BOOST_REQUIRE_EQUAL(Query.m_Sent.size(), 4U);
  BOOST_TEST(callKindName(Query.m_Sent[3].m_Kind) == "hedge");
  BOOST_TEST((Query.m_Sent[3].m_Target != Query.m_Sent[2].m_Target));
  Query.answer(3, {});
  BOOST_TEST(Query.m_Answer.has_value());
  BOOST_REQUIRE_EQUAL(Query.m_Cancelled.size(), 1U);
  BOOST_TEST((Query.m_Cancelled[0] == Query.m_Sent[2].m_Call));
}

BOOST_AUTO_TEST_CASE(SlowCall_withoutBudgetOrWarmReplica_isNotHedged) {
  m_QueryFixture.m_HedgeDelay = milliseconds(20);
  QueryDriver WithoutBudget = query();
  WithoutBudget.start();
  WithoutBudget.advanceTime(milliseconds(20));
  BOOST_TEST(WithoutBudget.m_Sent.size() == 3U);

  m_QueryFixture.m_Budget.recordFirstCalls(100);
  QueryDriver WithColdTargets = query();
  WithColdTargets.start();
  for (auto &[Target, Status] : m_QueryFixture.m_Status)
    Status.m_Cold = true;
  WithColdTargets.advanceTime(milliseconds(20));
  BOOST_TEST(WithColdTargets.m_Sent.size() == 3U);
  // Calls that weren't sent didn't spend any budget.
  for (int Token = 0; Token < 5; ++Token)
    BOOST_TEST(m_QueryFixture.m_Budget.tryAcquire());
}

BOOST_AUTO_TEST_CASE(UnsentCall_isSentToAnotherReplicaWithoutBudget) {
  QueryDriver Query = query();
  Query.start();
  Query.reply(0, failure(Errc::ConnectFailed, RunVerdict::NotRun));
  BOOST_REQUIRE_EQUAL(Query.m_Sent.size(), 4U);
  BOOST_TEST((Query.m_Sent[3].m_Target != Query.m_Sent[0].m_Target));
  BOOST_TEST(callKindName(Query.m_Sent[3].m_Kind) == "first");
}

BOOST_AUTO_TEST_CASE(ClosedCall_isRetriedOnlyWithBudget) {
  QueryDriver WithoutBudget = query();
  WithoutBudget.start();
  WithoutBudget.reply(0, failure(Errc::ConnectionClosed));
  BOOST_TEST(WithoutBudget.m_Sent.size() == 3U);
  m_QueryFixture.m_Budget.recordFirstCalls(100);
  WithoutBudget.advanceTime(milliseconds(10));
  BOOST_REQUIRE_EQUAL(WithoutBudget.m_Sent.size(), 4U);
  BOOST_TEST(callKindName(WithoutBudget.m_Sent[3].m_Kind) == "retry");
  BOOST_TEST(WithoutBudget.m_Query.counts().m_Retries == 1U);
}

BOOST_AUTO_TEST_CASE(Shard_withoutAnyReplica_endsBeforeTheDeadline) {
  for (auto &[Target, Status] : m_QueryFixture.m_Status)
    Status.m_Usable = false;
  QueryDriver Query = query();
  Query.start();
  while (!Query.m_Answer)
    Query.advanceTime(milliseconds(10));
  BOOST_TEST((Query.m_Now < Query.deadline()));
  BOOST_TEST(Query.m_Answer->m_IncompleteReason == Errc::NoTarget);
  BOOST_TEST(verdictName(Query.m_Answer->m_Verdict) == "not-run");
}

BOOST_AUTO_TEST_CASE(VersionNotHeld_triesOtherReplicasThenRestartsOnce) {
  QueryDriver Query = query();
  Query.start();
  Query.answer(1, {});
  Query.answer(2, {});
  Query.reply(0, failure(Errc::VersionNotHeld));
  BOOST_REQUIRE_EQUAL(Query.m_Sent.size(), 4U);
  Query.reply(3, failure(Errc::VersionNotHeld));
  BOOST_TEST(Query.m_RestartCount == 1);
  BOOST_TEST(!Query.m_Answer);
  Query.applyActions(Query.m_Query.declineRestart(Query.m_Now));
  BOOST_REQUIRE(Query.m_Answer);
  BOOST_TEST(Query.m_Answer->m_Coverage.m_ShardsAnswered == 2U);
  BOOST_TEST(Query.m_Answer->m_IncompleteReason == Errc::VersionNotHeld);
}

BOOST_AUTO_TEST_CASE(VersionNotHeld_inARestartedQuery_leavesShardUncovered) {
  QueryDriver Query = query({.m_MayRestart = false});
  Query.start();
  Query.answer(1, {});
  Query.answer(2, {});
  Query.reply(0, failure(Errc::VersionNotHeld));
  Query.reply(3, failure(Errc::VersionNotHeld));
  BOOST_TEST(Query.m_RestartCount == 0);
  BOOST_TEST(Query.m_Answer.has_value());
}

BOOST_AUTO_TEST_CASE(VersionNotHeld_nearTheDeadline_requestsNoRestart) {
  QueryDriver Query = query();
  Query.start();
  Query.m_Now += milliseconds(90);
  Query.reply(0, failure(Errc::VersionNotHeld));
  Query.reply(3, failure(Errc::VersionNotHeld));
  BOOST_TEST(Query.m_RestartCount == 0);
}

BOOST_AUTO_TEST_CASE(SupersededQuery_cancelsAllCallsWithoutFinishing) {
  QueryDriver Query = query();
  Query.start();
  Query.applyActions(Query.m_Query.supersede(Query.m_Now));
  Query.answer(0, {});
  Query.advanceTime(milliseconds(100));
  BOOST_TEST(Query.m_Cancelled.size() == 3U);
  BOOST_TEST(Query.m_FinishCount == 0);
}

BOOST_AUTO_TEST_CASE(Canary_isSentAloneAndOthersFollowItsSuccess) {
  QueryDriver Query = query({.m_Canary = true});
  Query.start();
  BOOST_REQUIRE_EQUAL(Query.m_Sent.size(), 1U);
  BOOST_TEST(callKindName(Query.m_Sent[0].m_Kind) == "canary");
  Query.answer(0, {});
  BOOST_TEST(Query.m_Sent.size() == 3U);
}

BOOST_AUTO_TEST_CASE(Canary_whoseShardIsGivenUp_movesToAnotherShard) {
  QueryDriver Query = query({.m_Canary = true});
  Query.start();
  Query.reply(0, failure(Errc::VersionNotHeld));
  Query.reply(1, failure(Errc::VersionNotHeld));
  BOOST_TEST(Query.m_RestartCount == 1);
  Query.applyActions(Query.m_Query.declineRestart(Query.m_Now));
  BOOST_REQUIRE_EQUAL(Query.m_Sent.size(), 3U);
  BOOST_TEST(callKindName(Query.m_Sent[2].m_Kind) == "canary");
  BOOST_TEST((Query.m_Sent[2].m_Shard == ShardId(1)));
  Query.answer(2, {});
  Query.answer(3, {});
  BOOST_REQUIRE(Query.m_Answer);
  BOOST_TEST(Query.m_Answer->m_Coverage.m_ShardsAnswered == 2U);
}

BOOST_AUTO_TEST_CASE(Lookup_ofAMissingShard_isNotComplete) {
  QueryDriver Query = query({.m_OnlyShard = ShardId(9)});
  Query.start();
  BOOST_REQUIRE(Query.m_Answer);
  BOOST_TEST(Query.m_Answer->m_IncompleteReason == Errc::NoTarget);
}

BOOST_AUTO_TEST_CASE(Crash_isReportedAndNothingSentWithoutPermission) {
  m_QueryFixture.m_Budget.recordFirstCalls(100);
  for (const bool IsCanary : {true, false}) {
    QueryDriver Query = query({.m_Canary = IsCanary});
    Query.start();
    const std::size_t Sent = Query.m_Sent.size();
    Query.reply(
        0, CallFailed{.m_Error = Errc::ConnectionClosed, .m_Crashed = true});
    Query.advanceTime(milliseconds(50));
    BOOST_TEST(Query.m_CrashReportCount == 1);
    BOOST_TEST(Query.m_Sent.size() == Sent);
    Query.applyActions(Query.m_Query.onCanaryPermission(Query.m_Now));
    BOOST_TEST(Query.m_Sent.size() == Sent + 1);
    Query.applyActions(Query.m_Query.onCanaryDenied(
        {.m_Reason = Errc::Quarantined}, Query.m_Now));
    BOOST_REQUIRE(Query.m_Refusal);
    BOOST_TEST(Query.m_Refusal->m_Reason == Errc::Quarantined);
  }
}

BOOST_AUTO_TEST_CASE(Lookup_ofOneShard_reportsCoverageOfThatShardOnly) {
  QueryDriver Query = query({.m_OnlyShard = ShardId(1)});
  Query.start();
  BOOST_REQUIRE_EQUAL(Query.m_Sent.size(), 1U);
  Query.answer(0, {{"record", 0, "fields"}});
  BOOST_REQUIRE(Query.m_Answer);
  BOOST_TEST(Query.m_Answer->m_Coverage.m_ShardsTotal == 1U);
  BOOST_TEST(Query.m_Answer->m_Coverage.isComplete());
}

BOOST_AUTO_TEST_SUITE_END()
