// Crowds of callers that don't behave, in routed mode: the process lives within
// the memory and the descriptors of the smallest VM, and one ordinary request
// is answered while the crowd keeps its connections open.

#include "support/Crowd.h"
#include "support/RoutedFleet.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;
using figturn::standin::SimpleHttpRequest;
using figturn::standin::SimpleHttpResponder;

namespace {

/** Limits of the smallest VM. The descriptors are the setting's default. */
constexpr std::size_t SmallestVmBytes = 112U << 20;
constexpr std::size_t MaxDescriptors = 1024;

/** The body limit of routedConfig(). */
constexpr std::size_t BodyLimit = 262144;

const std::string ChunkedHead = "POST /book/a HTTP/1.1\r\nHost: h.example\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";

std::string headOfBody(std::size_t Size) {
  return fmt::format("POST /book/a HTTP/1.1\r\nHost: h.example\r\n"
                     "Content-Length: {}\r\n\r\n",
                     Size);
}

struct Fixture {
  Fixture() {
    m_Fleet.publish(routedConfig(3));
    m_Desk = &m_Fleet.addSearcher("i-desk", "desk");
    m_Fleet.addSearcher("i-left", "s-0");
    m_Fleet.addSearcher("i-right", "s-1");
    m_Vm = &m_Fleet.startVm();
  }

  void checkVmServes() {
    const RoutedAnswer Answer =
        RoutedFleet::call(m_Vm->m_CallerPort, "GET", "/search/x",
                          RoutedFleet::requestHeaders("q-ordinary"));
    BOOST_TEST(Answer.m_Status == 200U);
    BOOST_TEST(m_Vm->m_Process->openDescriptors() > 0U);
    BOOST_TEST(m_Vm->m_Process->openDescriptors() <= MaxDescriptors);
    const std::size_t PeakBytes = m_Vm->m_Process->peakMemoryBytes();
    BOOST_TEST_MESSAGE("peak memory: " << PeakBytes);
    BOOST_TEST(PeakBytes < SmallestVmBytes);
  }

  RoutedFleet m_Fleet;
  standin::SearcherStandin *m_Desk = nullptr;
  RoutedFleet::Vm *m_Vm = nullptr;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RoutedCrowdTest, Fixture)

BOOST_AUTO_TEST_CASE(Requests_atTheLimits_areServedInCalm) {
  const std::string Body(BodyLimit, 'x');
  for (const char *Path : {"/book/a", "/search/x"}) {
    const RoutedAnswer Answer =
        RoutedFleet::call(m_Vm->m_CallerPort, "POST", Path,
                          RoutedFleet::requestHeaders("q-large") +
                              "X-Long: " + std::string(15000, 'x') + "\r\n",
                          Body);
    BOOST_TEST(Answer.m_Status == 200U);
  }
  RawClient Chunks(m_Vm->m_CallerPort);
  Chunks.send(ChunkedHead + chunked(Body, 1) + "0\r\n\r\n");
  const auto Reply = Chunks.receive();
  BOOST_REQUIRE(Reply);
  BOOST_TEST(Reply->m_Status == 200U);
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(Trailers_withoutEnd_leaveMemory) {
  Crowd Callers(m_Vm->m_CallerPort, 32);
  Callers.send(ChunkedHead + "0\r\n" +
               repeat("X-Trailer: " + std::string(100, 'x') + "\r\n", 80000));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(ChunkExtensions_withoutEnd_leaveMemory) {
  Crowd Callers(m_Vm->m_CallerPort, 32);
  Callers.send(ChunkedHead + "5;" + std::string(8U << 20, 'x'));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(LargeBodies_shortOfTheirEnd_leaveMemory) {
  Crowd Callers(m_Vm->m_CallerPort, 800);
  Callers.send(headOfBody(BodyLimit) + std::string(BodyLimit - 1, 'x'));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(LargeBodies_pieceByPiece_leaveMemory) {
  constexpr std::size_t PieceSize = 16384;
  Crowd Callers(m_Vm->m_CallerPort, 800);
  Callers.send(headOfBody(BodyLimit));
  for (std::size_t Sent = PieceSize; Sent < BodyLimit; Sent += PieceSize)
    Callers.send(std::string(PieceSize, 'x'));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(LargeBodies_wholeAndUnanswered_leaveMemory) {
  m_Fleet.runOnStandinThread([&] {
    m_Desk->m_RunHandler = [](const SimpleHttpRequest &, SimpleHttpResponder) {
    };
  });
  Crowd Callers(m_Vm->m_CallerPort, 800);
  Callers.send(headOfBody(BodyLimit) + std::string(BodyLimit, 'x'));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(LargeChunks_shortOfTheirEnd_leaveMemory) {
  Crowd Callers(m_Vm->m_CallerPort, 800);
  Callers.send(ChunkedHead +
               chunked(std::string(BodyLimit - 1, 'x'), BodyLimit / 4));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(SmallChunks_shortOfTheirEnd_leaveMemory) {
  Crowd Callers(m_Vm->m_CallerPort, 900);
  Callers.send(ChunkedHead + chunked(std::string(BodyLimit / 8, 'x'), 1));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(HeaderFields_manyAndSmall_leaveMemory) {
  Crowd Callers(m_Vm->m_CallerPort, 900);
  Callers.send("POST /book/a HTTP/1.1\r\nHost: h.example\r\n" +
               repeat("a:\r\n", 4000) + "Content-Length: 10\r\n\r\n123456789");
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(Answers_notRead_leaveMemory) {
  m_Fleet.runOnStandinThread(
      [&] { m_Desk->m_Body = std::string(6U << 20, 'x'); });
  Crowd Callers(m_Vm->m_CallerPort, 60);
  Callers.sendInTurn("GET /look/x HTTP/1.1\r\nHost: h.example\r\n\r\n");
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(PipelinedAnswers_notRead_leaveMemory) {
  m_Fleet.runOnStandinThread(
      [&] { m_Desk->m_Body = std::string(1U << 20, 'x'); });
  Crowd Callers(m_Vm->m_CallerPort, 40);
  Callers.sendInTurn(
      repeat("GET /look/x HTTP/1.1\r\nHost: h.example\r\n\r\n", 16));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(Connections_idleAndMany_leaveDescriptors) {
  Crowd Callers(m_Vm->m_CallerPort, 1100);
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(DirectoryCallers_shortOfTheirEnd_leaveMemory) {
  constexpr std::size_t DirectoryBodyLimit = 1U << 20;
  Crowd Callers(m_Vm->m_DirectoryPort, 300);
  Callers.send(headOfBody(DirectoryBodyLimit) +
               std::string(DirectoryBodyLimit - 1, 'x'));
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(DirectoryCallers_idleAndMany_leaveDescriptors) {
  Crowd Callers(m_Vm->m_DirectoryPort, 1100);
  checkVmServes();
}

BOOST_AUTO_TEST_CASE(ReadinessAndControlCallers_shortOfTheirEnd_leaveMemory) {
  constexpr std::size_t Size = 1U << 20;
  Crowd Readiness(m_Vm->m_ReadinessPort, 150);
  Crowd Control(m_Vm->m_ControlPort, 150);
  for (Crowd *Each : {&Readiness, &Control})
    Each->send(headOfBody(Size) + std::string(Size - 1, 'x'));
  checkVmServes();
}

BOOST_AUTO_TEST_SUITE_END()
