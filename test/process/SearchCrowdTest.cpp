// Crowds of callers that don't behave, in search mode: the process lives within
// the memory and the descriptors of the smallest VM, and one ordinary request
// is answered while the crowd keeps its connections open.

#include "protocol/JsonConvert.h"
#include "support/Cluster.h"
#include "support/Crowd.h"

#include <QJsonArray>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace figturn;
using namespace figturn::test;

namespace {

/** Limits of the smallest VM, and the default limit of descriptors. */
constexpr std::size_t SmallestVmBytes = 112U << 20;
constexpr std::size_t MaxDescriptors = 1024;

constexpr std::size_t BodyLimit = 1U << 20;
const std::string RequestLine =
    "POST /v1/services/workshop-desk/search HTTP/1.1\r\nHost: vm\r\n";
const std::string ChunkedHead =
    RequestLine + "Transfer-Encoding: chunked\r\n\r\n";

std::string headOfBody(std::size_t Size) {
  return RequestLine + fmt::format("Content-Length: {}\r\n\r\n", Size);
}

struct Fixture {
  Fixture() : m_Cluster({.m_EntryVms = 1}) {}

  void checkVmServes() {
    const QJsonObject Answer = m_Cluster.vmClient(0).postJson(
        "/v1/services/workshop-desk/search",
        {{"requestId", "ordinary"},
         {"deadlineMs", 5000},
         {"query", QJsonObject{{"text", "gold"}, {"limit", 3}}}});
    BOOST_TEST(Answer["hits"].toArray().size() == 3,
               "answer: " << toCompactJson(Answer).substr(0, 300));
    Process &Vm = m_Cluster.vmProcess(0);
    BOOST_TEST(Vm.openDescriptors() > 0U);
    BOOST_TEST(Vm.openDescriptors() <= MaxDescriptors);
    const std::size_t PeakBytes = Vm.peakMemoryBytes();
    BOOST_TEST_MESSAGE("peak memory: " << PeakBytes);
    BOOST_TEST(PeakBytes < SmallestVmBytes);
  }

  Cluster m_Cluster;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SearchCrowdTest, Fixture)

BOOST_AUTO_TEST_CASE(Search_atTheLimits_isServedInCalm) {
  const std::string Start = R"({"deadlineMs": 5000, "query": {"text": ")";
  const std::string End = R"(", "limit": 3}})";
  const auto Reply = m_Cluster.vmClient(0).exchange(
      "POST", "/v1/services/workshop-desk/search",
      Start + std::string(BodyLimit - Start.size() - End.size(), 'x') + End);
  BOOST_REQUIRE(Reply.has_value());
  BOOST_TEST(Reply->m_Status == 200U, Reply->m_Body.substr(0, 300));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(Trailers_withoutEnd_leaveMemory) {
  Crowd Callers(m_Cluster.callerPort(0), 32);
  Callers.send(ChunkedHead + "0\r\n" +
               repeat("X-Trailer: " + std::string(100, 'x') + "\r\n", 80000));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(LargeBodies_shortOfTheirEnd_leaveMemory) {
  Crowd Callers(m_Cluster.callerPort(0), 200);
  Callers.send(headOfBody(BodyLimit) + std::string(BodyLimit - 1, 'x'));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(LargeBodies_pieceByPiece_leaveMemory) {
  constexpr std::size_t PieceSize = 65536;
  Crowd Callers(m_Cluster.callerPort(0), 200);
  Callers.send(headOfBody(BodyLimit));
  for (std::size_t Sent = PieceSize; Sent < BodyLimit; Sent += PieceSize)
    Callers.send(std::string(PieceSize, 'x'));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(LargeBodies_whole_leaveMemory) {
  const std::string Start = R"({"deadlineMs": 5000, "query": {"text": ")";
  const std::string End = R"(", "limit": 3}})";
  Crowd Callers(m_Cluster.callerPort(0), 200);
  Callers.send(headOfBody(BodyLimit) + Start +
               std::string(BodyLimit - Start.size() - End.size(), 'x') + End);
  checkVmServes();
}

// Regression: a search that alone held more than its client's share kept out
// ordinary ones.
BOOST_AUTO_TEST_CASE(LargeSearch_inProgress_leavesRoomForAnOrdinaryOne) {
  for (const std::string &Target : m_Cluster.targetNames())
    m_Cluster.controlTarget(Target, {{"delayMs", 200}});
  const std::string Start = R"({"deadlineMs": 5000, "query": {"text": ")";
  const std::string End = R"(", "limit": 3}})";
  Crowd Caller(m_Cluster.callerPort(0), 1);
  Caller.send(headOfBody(BodyLimit) + Start +
              std::string(BodyLimit - Start.size() - End.size(), 'x') + End);
  while (m_Cluster.sumTargetCounters("inFlight") == 0)
    ;
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(LargeChunks_shortOfTheirEnd_leaveMemory) {
  Crowd Callers(m_Cluster.callerPort(0), 200);
  Callers.send(ChunkedHead +
               chunked(std::string(BodyLimit - 1, 'x'), BodyLimit / 4));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(SmallChunks_shortOfTheirEnd_leaveMemory) {
  Crowd Callers(m_Cluster.callerPort(0), 900);
  Callers.send(ChunkedHead + chunked(std::string(BodyLimit / 32, 'x'), 1));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(HeaderFields_manyAndSmall_leaveMemory) {
  Crowd Callers(m_Cluster.callerPort(0), 900);
  Callers.send(RequestLine + repeat("a:\r\n", 4000) +
               "Content-Length: 10\r\n\r\n123456789");
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(PipelinedAnswers_notRead_leaveMemory) {
  const std::string Query = R"({"query": {"text": "gold", "limit": 1000}})";
  Crowd Callers(m_Cluster.callerPort(0), 100);
  Callers.sendInTurn(repeat(headOfBody(Query.size()) + Query, 8));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(Connections_idleAndMany_leaveDescriptors) {
  Crowd Callers(m_Cluster.callerPort(0), 1100);
  checkVmServes();
}

BOOST_AUTO_TEST_SUITE_END()
