// End-to-end tests of searches, lookups and single runs with real processes.

#include "protocol/JsonConvert.h"
#include "support/Cluster.h"

#include <QJsonArray>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>

using namespace figturn;
using namespace figturn::test;

namespace {

constexpr std::uint32_t ShardCount = 8;
constexpr std::uint32_t RecordCount = 2000;
constexpr std::uint32_t MaxLimit = 1000;
const std::string ServicePath = "/v1/services/workshop-desk";

struct ClusterFixture {
  Cluster m_Cluster{{}};
  standin::RecordSet m_Records = m_Cluster.records("workshop-desk");

  QJsonObject search(std::size_t Vm, const std::string &Text,
                     std::uint32_t Limit) const {
    const QJsonObject Query{{"text", QString::fromStdString(Text)},
                            {"limit", static_cast<int>(Limit)}};
    QJsonObject Answer = m_Cluster.vmClient(Vm).postJson(
        ServicePath + "/search",
        {{"requestId", "s-1"}, {"deadlineMs", 5000}, {"query", Query}});
    BOOST_TEST_MESSAGE("answer: " << toCompactJson(Answer).substr(0, 300));
    return Answer;
  }

  void requireHits(const QJsonObject &Answer, const std::string &Text,
                   std::uint32_t Limit) const {
    const auto Expected = m_Records.search({.m_Text = Text, .m_Limit = Limit});
    const QJsonArray Hits = Answer["hits"].toArray();
    BOOST_REQUIRE_EQUAL(static_cast<std::size_t>(Hits.size()), Expected.size());
    for (std::size_t I = 0; I < Expected.size(); ++I) {
      const auto Hit = Hits[static_cast<qsizetype>(I)].toObject();
      BOOST_TEST(Hit["id"].toString().toStdString() == Expected[I].m_Id);
      BOOST_TEST((Hit["fields"].toObject() == Expected[I].m_Fields));
    }
  }

  /** Checks that each shard contributed all of its hits or none, and that the
   *  contributing shards match the stated coverage. */
  void requireHitsOfCoveredShards(const QJsonObject &Answer,
                                  const std::string &Text) const {
    std::set<std::string> Ids;
    for (const QJsonValueConstRef &Hit : Answer["hits"].toArray())
      Ids.insert(Hit.toObject()["id"].toString().toStdString());
    std::int64_t Covered = 0;
    std::int64_t Documents = 0;
    std::size_t ExpectedCount = 0;
    for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard) {
      const auto Slice = m_Records.shard(Shard, ShardCount);
      const auto ExpectedHits =
          Slice.search({.m_Text = Text, .m_Limit = RecordCount});
      const auto Present = std::count_if(
          ExpectedHits.begin(), ExpectedHits.end(),
          [&](const SearchHit &H) { return Ids.contains(H.m_Id); });
      if (Present == 0)
        continue;
      BOOST_TEST(static_cast<std::size_t>(Present) == ExpectedHits.size());
      ++Covered;
      Documents += static_cast<std::int64_t>(Slice.size());
      ExpectedCount += ExpectedHits.size();
    }
    const QJsonObject Coverage = Answer["coverage"].toObject();
    BOOST_TEST(ExpectedCount == Ids.size());
    BOOST_TEST(Coverage["shardsAnswered"].toInteger() == Covered);
    BOOST_TEST(Coverage["documentsAnswered"].toInteger() == Documents);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SearchPathTest, ClusterFixture)

BOOST_AUTO_TEST_CASE(Search_atEachVm_returnsBestHitsOfAllShards) {
  for (std::size_t Vm = 0; Vm < m_Cluster.vmCount(); ++Vm) {
    const QJsonObject Answer = search(Vm, "primary gold Otira", 25);
    BOOST_TEST(Answer["indexVersion"].toInteger() == 1);
    const QJsonObject Coverage = Answer["coverage"].toObject();
    BOOST_TEST(Coverage["shardsAnswered"].toInteger() == ShardCount);
    BOOST_TEST(Coverage["shardsTotal"].toInteger() == ShardCount);
    BOOST_TEST(Coverage["documentsAnswered"].toInteger() == RecordCount);
    BOOST_TEST(Coverage["documentsTotal"].toInteger() == RecordCount);
    requireHits(Answer, "primary gold Otira", 25);
  }
}

BOOST_AUTO_TEST_CASE(Search_afterLossOfOneTarget_coversAllShards) {
  const std::string KilledTarget = m_Cluster.targetNames().front();
  m_Cluster.targetProcess(KilledTarget).signal(SIGKILL);
  BOOST_REQUIRE(
      m_Cluster.targetProcess(KilledTarget).waitForExit().has_value());
  const QJsonObject Answer = search(0, "dielectric blue Mahia", 10);
  BOOST_TEST(Answer["coverage"]["shardsAnswered"].toInteger() == ShardCount);
  requireHits(Answer, "dielectric blue Mahia", 10);
}

BOOST_AUTO_TEST_CASE(Search_withTruncatedAndSwappedReplies_statesItsCoverage) {
  for (const std::string &Target : m_Cluster.targetNames())
    m_Cluster.controlTarget(Target, {{"truncateNext", 1}, {"swapNext", 2}});
  const std::string Text = "protected silver Rakaia";
  const QJsonObject Answer = search(1, Text, MaxLimit);
  const QJsonObject Coverage = Answer["coverage"].toObject();
  BOOST_TEST(Coverage["shardsTotal"].toInteger() == ShardCount);
  BOOST_TEST(Coverage["documentsTotal"].toInteger() == RecordCount);
  requireHitsOfCoveredShards(Answer, Text);
}

BOOST_AUTO_TEST_CASE(Lookup_ofRecord_returnsIt) {
  for (const char *Id : {"B-0001", "B-0777", "B-2000"}) {
    const QJsonObject Answer = m_Cluster.vmClient(2).postJson(
        ServicePath + "/lookup", {{"requestId", "l-1"}, {"record", Id}});
    BOOST_TEST_CONTEXT(toCompactJson(Answer)) {
      BOOST_TEST(Answer["found"].toBool());
      BOOST_TEST((Answer["record"].toObject() == m_Records.find(Id)->m_Fields));
    }
  }
}

BOOST_AUTO_TEST_CASE(SingleRun_repeatedAtAnotherVm_runsOnceWithSameAnswer) {
  const QJsonObject Request{{"requestId", "quote-1"},
                            {"record", "B-0042"},
                            {"body", QJsonObject{{"amount", 3}}},
                            {"deadlineMs", 5000}};
  const QJsonObject First =
      m_Cluster.vmClient(0).postJson(ServicePath + "/run", Request);
  const QJsonObject Second =
      m_Cluster.vmClient(1).postJson(ServicePath + "/run", Request);
  BOOST_TEST(First.contains("result"));
  BOOST_TEST((First["result"] == Second["result"]));
  BOOST_TEST(m_Cluster.countRuns("quote-1") == 1);
}

BOOST_AUTO_TEST_CASE(Discovery_inFullFleet_listsEveryVm) {
  const QJsonObject Answer = m_Cluster.vmClient(0).getJson("/v1/entries");
  BOOST_TEST(Answer["lifetimeMs"].toInteger() > 0);
  std::set<std::string> Names;
  for (const QJsonValueConstRef &Entry : Answer["entries"].toArray())
    Names.insert(Entry.toObject()["vm"].toString().toStdString());
  BOOST_TEST(Names.size() == m_Cluster.vmCount());
}

BOOST_AUTO_TEST_SUITE_END()
