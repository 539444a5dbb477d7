/**
 * The rules of one query, one case each: versions, coverage, retries, hedges,
 * restarts, canaries and the merge.
 */

#include "coordination/ScatterGather.h"
#include "support/QueryDriver.h"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace figturn;

namespace {

struct Fixture {
  QueryWorld m_World;

  QueryDriver query(ScatterGatherOptions Options = {}) {
    return QueryDriver(m_World, std::move(Options));
  }
};

CallFailed failure(Errc Error, RunVerdict Verdict = RunVerdict::MayHaveRun) {
  return {.m_Error = Error, .m_Verdict = Verdict};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ScatterGatherTest, Fixture)

BOOST_AUTO_TEST_CASE(Query_allShardsAnswered_isCompleteAndMergedByScore) {
  QueryDriver It = query({.m_Limit = 3});
  It.start();
  BOOST_REQUIRE_EQUAL(It.m_Sent.size(), 3U);
  It.answer(0, {{"b", 1, ""}, {"x", 5, "first"}});
  It.answer(1, {{"x", 2, "second"}, {"a", 1, ""}});
  BOOST_TEST(!It.m_Answer);
  It.answer(2, {});
  BOOST_REQUIRE(It.m_Answer);
  BOOST_TEST(It.m_Answer->m_Coverage.isComplete());
  BOOST_TEST(It.m_Answer->m_Coverage.m_DocumentsAnswered == 30U);
  BOOST_REQUIRE_EQUAL(It.m_Answer->m_Hits.size(), 3U);
  BOOST_TEST(It.m_Answer->m_Hits[0].m_Payload == "first");
  BOOST_TEST(It.m_Answer->m_Hits[1].m_Id == "a");
  BOOST_TEST(It.m_Answer->m_Hits[2].m_Id == "b");
}

BOOST_AUTO_TEST_CASE(Reply_ofAnotherVersionOrShard_isNotMergedOrCovered) {
  m_World.m_Budget.earn(100);
  QueryDriver It = query();
  It.start();
  CallAnswered Wrong = It.good(0, {{"wrong", 9, ""}});
  Wrong.m_Version = IndexVersion(8);
  It.reply(0, Wrong);
  Wrong = It.good(1, {{"wrong", 9, ""}});
  Wrong.m_Shard = ShardId(0);
  It.reply(1, Wrong);
  Wrong = It.good(2, {{"wrong", 9, ""}});
  Wrong.m_Documents = 9;
  It.reply(2, Wrong);
  BOOST_TEST(It.m_Query.counts().m_BadReplies == 3U);
  BOOST_REQUIRE_EQUAL(It.m_Sent.size(), 6U);
  It.answer(3, {{"right", 1, ""}});
  It.timer(milliseconds(100));
  BOOST_REQUIRE(It.m_Answer);
  BOOST_TEST(It.m_Answer->m_Coverage.m_ShardsAnswered == 1U);
  BOOST_TEST(It.m_Answer->m_Coverage.m_DocumentsAnswered == 10U);
  BOOST_TEST(It.m_Answer->m_Hits.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Reply_withScoreThatIsNoNumber_isBad) {
  QueryDriver It = query();
  It.start();
  It.answer(0, {{"a", std::numeric_limits<double>::quiet_NaN(), ""}});
  BOOST_TEST(It.m_Query.counts().m_BadReplies == 1U);
}

BOOST_AUTO_TEST_CASE(Replies_afterTheEndOrTwice_areIgnoredAndCounted) {
  QueryDriver It = query();
  It.start();
  It.answer(0, {});
  It.answer(0, {{"twice", 1, ""}});
  It.timer(milliseconds(100));
  BOOST_REQUIRE(It.m_Answer);
  BOOST_TEST(It.m_Cancelled.size() == 2U);
  It.answer(1, {{"late", 1, ""}});
  BOOST_TEST(It.m_Answer->m_Coverage.m_ShardsAnswered == 1U);
  BOOST_TEST(It.m_Query.counts().m_LateReplies == 2U);
  BOOST_TEST(It.m_FinishCount == 1);
}

BOOST_AUTO_TEST_CASE(Reply_afterTheDeadline_isNotCovered) {
  QueryDriver It = query();
  It.start();
  It.m_Now += milliseconds(100);
  It.answer(0, {{"late", 1, ""}});
  BOOST_REQUIRE(It.m_Answer);
  BOOST_TEST(It.m_Answer->m_Coverage.m_ShardsAnswered == 0U);
  BOOST_TEST(It.m_Answer->m_IncompleteReason == Errc::DeadlineExceeded);
}

BOOST_AUTO_TEST_CASE(SlowCall_withBudget_isHedgedAndTheLoserCancelled) {
  m_World.m_HedgeDelay = milliseconds(20);
  m_World.m_Budget.earn(100);
  QueryDriver It = query();
  It.start();
  It.answer(0, {});
  It.answer(1, {});
  It.timer(milliseconds(20));
  BOOST_REQUIRE_EQUAL(It.m_Sent.size(), 4U);
  BOOST_TEST(callKindName(It.m_Sent[3].m_Kind) == "hedge");
  BOOST_TEST((It.m_Sent[3].m_Target != It.m_Sent[2].m_Target));
  It.answer(3, {});
  BOOST_TEST(It.m_Answer.has_value());
  BOOST_REQUIRE_EQUAL(It.m_Cancelled.size(), 1U);
  BOOST_TEST((It.m_Cancelled[0] == It.m_Sent[2].m_Call));
}

BOOST_AUTO_TEST_CASE(SlowCall_withoutBudgetOrWarmReplica_isNotHedged) {
  m_World.m_HedgeDelay = milliseconds(20);
  QueryDriver Poor = query();
  Poor.start();
  Poor.timer(milliseconds(20));
  BOOST_TEST(Poor.m_Sent.size() == 3U);

  m_World.m_Budget.earn(100);
  QueryDriver Cold = query();
  Cold.start();
  for (auto &[Target, Status] : m_World.m_Status)
    Status.m_Cold = true;
  Cold.timer(milliseconds(20));
  BOOST_TEST(Cold.m_Sent.size() == 3U);
  // What was not sent was not spent.
  for (int Token = 0; Token < 5; ++Token)
    BOOST_TEST(m_World.m_Budget.trySpend());
}

BOOST_AUTO_TEST_CASE(UnsentCall_isSentElsewhereWithoutBudget) {
  QueryDriver It = query();
  It.start();
  It.reply(0, failure(Errc::ConnectFailed, RunVerdict::NotRun));
  BOOST_REQUIRE_EQUAL(It.m_Sent.size(), 4U);
  BOOST_TEST((It.m_Sent[3].m_Target != It.m_Sent[0].m_Target));
  BOOST_TEST(callKindName(It.m_Sent[3].m_Kind) == "first");
}

BOOST_AUTO_TEST_CASE(ClosedCall_isRetriedOnlyWithBudget) {
  QueryDriver Poor = query();
  Poor.start();
  Poor.reply(0, failure(Errc::ConnectionClosed));
  BOOST_TEST(Poor.m_Sent.size() == 3U);
  m_World.m_Budget.earn(100);
  Poor.timer(milliseconds(10));
  BOOST_REQUIRE_EQUAL(Poor.m_Sent.size(), 4U);
  BOOST_TEST(callKindName(Poor.m_Sent[3].m_Kind) == "retry");
  BOOST_TEST(Poor.m_Query.counts().m_Retries == 1U);
}

BOOST_AUTO_TEST_CASE(Shard_withoutAnyReplica_endsBeforeTheDeadline) {
  for (auto &[Target, Status] : m_World.m_Status)
    Status.m_Usable = false;
  QueryDriver It = query();
  It.start();
  while (!It.m_Answer)
    It.timer(milliseconds(10));
  BOOST_TEST((It.m_Now < It.deadline()));
  BOOST_TEST(It.m_Answer->m_IncompleteReason == Errc::NoTarget);
  BOOST_TEST(verdictName(It.m_Answer->m_Verdict) == "not-run");
}

BOOST_AUTO_TEST_CASE(VersionNotHeld_isAskedElsewhereThenRestartsOnce) {
  QueryDriver It = query();
  It.start();
  It.answer(1, {});
  It.answer(2, {});
  It.reply(0, failure(Errc::VersionNotHeld));
  BOOST_REQUIRE_EQUAL(It.m_Sent.size(), 4U);
  It.reply(3, failure(Errc::VersionNotHeld));
  BOOST_TEST(It.m_Restarts == 1);
  BOOST_TEST(!It.m_Answer);
  It.take(It.m_Query.declineRestart(It.m_Now));
  BOOST_REQUIRE(It.m_Answer);
  BOOST_TEST(It.m_Answer->m_Coverage.m_ShardsAnswered == 2U);
  BOOST_TEST(It.m_Answer->m_IncompleteReason == Errc::VersionNotHeld);
}

BOOST_AUTO_TEST_CASE(VersionNotHeld_inARestartedQuery_leavesShardUncovered) {
  QueryDriver It = query({.m_MayRestart = false});
  It.start();
  It.answer(1, {});
  It.answer(2, {});
  It.reply(0, failure(Errc::VersionNotHeld));
  It.reply(3, failure(Errc::VersionNotHeld));
  BOOST_TEST(It.m_Restarts == 0);
  BOOST_TEST(It.m_Answer.has_value());
}

BOOST_AUTO_TEST_CASE(VersionNotHeld_nearTheDeadline_asksForNoRestart) {
  QueryDriver It = query();
  It.start();
  It.m_Now += milliseconds(90);
  It.reply(0, failure(Errc::VersionNotHeld));
  It.reply(3, failure(Errc::VersionNotHeld));
  BOOST_TEST(It.m_Restarts == 0);
}

BOOST_AUTO_TEST_CASE(Superseded_query_cancelsAllAndNeverFinishes) {
  QueryDriver It = query();
  It.start();
  It.take(It.m_Query.supersede(It.m_Now));
  It.answer(0, {});
  It.timer(milliseconds(100));
  BOOST_TEST(It.m_Cancelled.size() == 3U);
  BOOST_TEST(It.m_FinishCount == 0);
}

BOOST_AUTO_TEST_CASE(Canary_goesAloneAndTheRestFollowsItsSuccess) {
  QueryDriver It = query({.m_Canary = true});
  It.start();
  BOOST_REQUIRE_EQUAL(It.m_Sent.size(), 1U);
  BOOST_TEST(callKindName(It.m_Sent[0].m_Kind) == "canary");
  It.answer(0, {});
  BOOST_TEST(It.m_Sent.size() == 3U);
}

BOOST_AUTO_TEST_CASE(Canary_whoseShardIsGivenUp_movesToAnotherShard) {
  QueryDriver It = query({.m_Canary = true});
  It.start();
  It.reply(0, failure(Errc::VersionNotHeld));
  It.reply(1, failure(Errc::VersionNotHeld));
  BOOST_TEST(It.m_Restarts == 1);
  It.take(It.m_Query.declineRestart(It.m_Now));
  BOOST_REQUIRE_EQUAL(It.m_Sent.size(), 3U);
  BOOST_TEST(callKindName(It.m_Sent[2].m_Kind) == "canary");
  BOOST_TEST((It.m_Sent[2].m_Shard == ShardId(1)));
  It.answer(2, {});
  It.answer(3, {});
  BOOST_REQUIRE(It.m_Answer);
  BOOST_TEST(It.m_Answer->m_Coverage.m_ShardsAnswered == 2U);
}

BOOST_AUTO_TEST_CASE(Lookup_ofAShardThatIsNotThere_isNotComplete) {
  QueryDriver It = query({.m_OnlyShard = ShardId(9)});
  It.start();
  BOOST_REQUIRE(It.m_Answer);
  BOOST_TEST(It.m_Answer->m_IncompleteReason == Errc::NoTarget);
}

BOOST_AUTO_TEST_CASE(Crash_isReportedAndNothingSentWithoutPermission) {
  m_World.m_Budget.earn(100);
  for (const bool IsCanary : {true, false}) {
    QueryDriver It = query({.m_Canary = IsCanary});
    It.start();
    const std::size_t Sent = It.m_Sent.size();
    It.reply(0,
             CallFailed{.m_Error = Errc::ConnectionClosed, .m_Crashed = true});
    It.timer(milliseconds(50));
    BOOST_TEST(It.m_Crashes == 1);
    BOOST_TEST(It.m_Sent.size() == Sent);
    It.take(It.m_Query.onCanaryPermission(It.m_Now));
    BOOST_TEST(It.m_Sent.size() == Sent + 1);
    It.take(
        It.m_Query.onCanaryDenied({.m_Reason = Errc::Quarantined}, It.m_Now));
    BOOST_REQUIRE(It.m_Refusal);
    BOOST_TEST(It.m_Refusal->m_Reason == Errc::Quarantined);
  }
}

BOOST_AUTO_TEST_CASE(Lookup_ofOneShard_claimsCoverageOfThatShardOnly) {
  QueryDriver It = query({.m_OnlyShard = ShardId(1)});
  It.start();
  BOOST_REQUIRE_EQUAL(It.m_Sent.size(), 1U);
  It.answer(0, {{"record", 0, "fields"}});
  BOOST_REQUIRE(It.m_Answer);
  BOOST_TEST(It.m_Answer->m_Coverage.m_ShardsTotal == 1U);
  BOOST_TEST(It.m_Answer->m_Coverage.isComplete());
}

BOOST_AUTO_TEST_SUITE_END()
