// Invalid caller requests: each gets the right refusal and runs at no target.

#include "protocol/JsonConvert.h"
#include "support/Cluster.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

const std::string ServicePath = "/v1/services/workshop-desk";

struct ClusterFixture {
  Cluster m_Cluster{{}};
  std::int64_t m_CallsBefore = m_Cluster.sumTargetCounters("calls");

  /** Sends \p Body; checks the refusal and that no target received a call. */
  void requireRefusal(const std::string &Path, const std::string &Body,
                      unsigned Status, const std::string &Reason) const {
    const auto Reply = m_Cluster.vmClient(0).exchange("POST", Path, Body);
    BOOST_REQUIRE(Reply.has_value());
    const QJsonObject Refusal = parseJsonObject(Reply->m_Body);
    BOOST_TEST(Reply->m_Status == Status, Path << " " << Reply->m_Body);
    BOOST_TEST(Refusal["verdict"].toString().toStdString() == "not-run");
    BOOST_TEST(Refusal["reason"].toString().toStdString() == Reason);
    BOOST_TEST(!Refusal["message"].toString().isEmpty());
    BOOST_TEST(m_Cluster.sumTargetCounters("calls") == m_CallsBefore);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerErrorsTest, ClusterFixture)

BOOST_AUTO_TEST_CASE(Request_malformed_isRefusedAndNotRun) {
  requireRefusal(ServicePath + "/search", "{\"query\":", 400, "bad-request");
  requireRefusal(ServicePath + "/search", "[]", 400, "bad-request");
  requireRefusal(ServicePath + "/search", R"({"query":"text"})", 400,
                 "bad-request");
  requireRefusal(ServicePath + "/search",
                 R"({"query":{"text":"x"},"deadlineMs":-5})", 400,
                 "bad-request");
  requireRefusal(ServicePath + "/lookup", "{}", 400, "bad-request");
}

BOOST_AUTO_TEST_CASE(Request_toUnknownService_isRefusedAndNotRun) {
  requireRefusal("/v1/services/no-such-desk/search",
                 R"({"query":{"text":"gold"}})", 404, "unknown-service");
}

BOOST_AUTO_TEST_CASE(SingleRun_refusedBeforeKeyLookup_mayHaveRun) {
  const QJsonObject Refusal = m_Cluster.vmClient(0).postJson(
      "/v1/services/no-such-desk/run",
      {{"requestId", "sent-before"}, {"record", "B-0001"}});
  BOOST_TEST(Refusal["reason"].toString().toStdString() == "unknown-service");
  BOOST_TEST(Refusal["verdict"].toString().toStdString() == "may-have-run");
}

BOOST_AUTO_TEST_CASE(SingleRun_withoutKey_isRefusedAndNotRun) {
  requireRefusal(ServicePath + "/run", R"({"record":"B-0001","body":{}})", 400,
                 "missing-key");
}

BOOST_AUTO_TEST_CASE(Request_withBodyAboveLimit_isRefusedAndNotRun) {
  const std::string Text(std::size_t{2} << 20, 'x');
  requireRefusal(ServicePath + "/search",
                 R"({"query":{"text":")" + Text + "\"}}", 413,
                 "body-too-large");
}

BOOST_AUTO_TEST_SUITE_END()
