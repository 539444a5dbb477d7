/**
 * Tests queries with random replies, failures, versions and crashes: an answer
 * must use a single version and report exact coverage, each query must finish
 * once, and extra calls must stay within the budget. FIGTURN_SEED=N runs only
 * seed N.
 */

#include "support/QueryDriver.h"
#include "support/Simulation.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace figturn;

namespace {

constexpr std::uint32_t ShardCount = 40;
constexpr int QueryCount = 20;
/** The id of each hit starts with the version that it comes from. */
constexpr const char *PinnedPrefix = "7/";

/** Runs queries in sequence with one set of strategies. */
class QuerySequence : private Simulation {
public:
  explicit QuerySequence(unsigned Seed) : Simulation(Seed) {}

  void run() {
    for (auto &[Target, Status] : m_QueryFixture.m_Status) {
      Status.m_Usable = randomBool(0.95);
      Status.m_Cold = randomBool(0.1);
    }
    m_QueryFixture.m_HedgeDelay = milliseconds(20);
    for (int I = 0; I < QueryCount; ++I)
      runQuery();
    const double Allowed = 0.05 * static_cast<double>(m_QueriedShardCount);
    BOOST_TEST(m_ExtraCalls <= Allowed);
  }

  int extraCalls() const { return m_ExtraCalls; }

private:
  void runQuery() {
    m_Now = {};
    m_Answered.clear();
    m_NextSend = 0;
    QueryDriver Query(m_QueryFixture,
                      {.m_Limit = 1000, .m_Canary = randomBool(0.2)});
    Query.start();
    schedule(Query);
    scheduleAfter(milliseconds(100), [this, &Query] {
      Query.m_Now = m_Now;
      Query.applyActions(Query.m_Query.onTimer(m_Now));
    });
    runEvents([] { return true; });
    check(Query);
  }

  void schedule(QueryDriver &Query) {
    for (; m_NextSend < Query.m_Sent.size(); ++m_NextSend) {
      const std::size_t Index = m_NextSend;
      scheduleAfter(randomDelay(0, 60), [this, &Query, Index] {
        const bool WasOver = Query.m_Query.isOver();
        const bool WasCancelled = isCancelled(Query, Index);
        Query.m_Now = m_Now;
        const QueryCallOutcome Outcome = outcome(Query, Index);
        const auto *Valid = std::get_if<CallAnswered>(&Outcome);
        if (Valid && !WasOver && !WasCancelled && isValid(Query, Index, *Valid))
          m_Answered.insert(Valid->m_Shard);
        Query.reply(Index, Outcome);
        handleRequests(Query);
        schedule(Query);
      });
    }
    const std::optional<TimePoint> Timer = Query.m_Query.nextTimer();
    if (Timer)
      scheduleAfter(*Timer - m_Now, [this, &Query] {
        Query.m_Now = m_Now;
        Query.applyActions(Query.m_Query.onTimer(m_Now));
        if (m_NextSend < Query.m_Sent.size())
          schedule(Query);
      });
  }

  /** Replies to the query's crash reports and restart requests. */
  void handleRequests(QueryDriver &Query) {
    if (std::exchange(Query.m_CrashReportCount, 0) > 0)
      Query.applyActions(Query.m_Query.onCanaryPermission(m_Now));
    if (std::exchange(Query.m_RestartCount, 0) > 0)
      Query.applyActions(Query.m_Query.declineRestart(m_Now));
  }

  static bool isCancelled(const QueryDriver &Query, std::size_t Index) {
    for (const CallId Entry : Query.m_Cancelled)
      if (Entry == Query.m_Sent[Index].m_Call)
        return true;
    return false;
  }

  static bool isValid(const QueryDriver &Query, std::size_t Index,
                      const CallAnswered &Answered) {
    return Answered.m_Version == IndexVersion(7) &&
           Answered.m_Shard == Query.m_Sent[Index].m_Shard;
  }

  QueryCallOutcome outcome(const QueryDriver &Query, std::size_t Index) {
    const int Percent = randomInt(0, 99);
    if (Percent < 5)
      return CallFailed{.m_Error = Errc::ConnectFailed,
                        .m_Verdict = RunVerdict::NotRun};
    if (Percent < 10)
      return CallFailed{.m_Error = Errc::VersionNotHeld};
    if (Percent < 15)
      return CallFailed{.m_Error = Errc::TargetShed};
    if (Percent < 17)
      return CallFailed{.m_Error = Errc::ConnectionClosed, .m_Crashed = true};
    CallAnswered Answered = Query.makeAnswer(Index, {});
    if (Percent < 22)
      Answered.m_Version = IndexVersion(8);
    if (Percent == 22)
      Answered.m_Shard = ShardId(Answered.m_Shard.value() + 1);
    Answered.m_Hits.push_back(
        {fmt::format("{}/{}", Answered.m_Version, Answered.m_Shard), 1, ""});
    return Answered;
  }

  void check(const QueryDriver &Query) {
    BOOST_TEST(Query.m_FinishCount == 1);
    BOOST_REQUIRE(Query.m_Answer);
    const QueryAnswer &Answer = *Query.m_Answer;
    BOOST_TEST(Answer.m_Coverage.m_ShardsTotal == ShardCount);
    BOOST_TEST(Answer.m_Coverage.m_ShardsAnswered == m_Answered.size());
    BOOST_TEST(Answer.m_Coverage.m_DocumentsAnswered == 10 * m_Answered.size());
    BOOST_TEST(Answer.m_Hits.size() == m_Answered.size());
    for (const Hit &Entry : Answer.m_Hits)
      BOOST_TEST(Entry.m_Id.starts_with(PinnedPrefix));
    std::set<ShardId> QueriedShards;
    for (const SendCall &Entry : Query.m_Sent)
      QueriedShards.insert(Entry.m_Shard);
    m_QueriedShardCount += QueriedShards.size();
    m_ExtraCalls += static_cast<int>(Query.m_Query.counts().m_Hedges +
                                     Query.m_Query.counts().m_Retries);
  }

  QueryFixture m_QueryFixture{ShardCount};
  std::set<ShardId> m_Answered;
  std::size_t m_NextSend = 0;
  std::size_t m_QueriedShardCount = 0;
  int m_ExtraCalls = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ScatterGatherRandomTest)

BOOST_AUTO_TEST_CASE(Queries_underRandomReplies_keepOneVersionAndTheBudget) {
  int Extra = 0;
  for (const unsigned Seed : Simulation::seeds(50)) {
    BOOST_TEST_CONTEXT("FIGTURN_SEED=" << Seed) {
      QuerySequence History(Seed);
      History.run();
      Extra += History.extraCalls();
    }
  }
  BOOST_TEST(Extra > 0);
}

BOOST_AUTO_TEST_SUITE_END()
