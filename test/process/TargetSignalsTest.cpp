/** What targets say about themselves in their replies, with real processes. */

#include "support/RoutedFleet.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace figturn;
using namespace figturn::test;
using figturn::standin::SearcherStandin;
using figturn::standin::SimpleHttpRequest;
using figturn::standin::SimpleHttpResponder;

namespace {

/** One VM and up to two replicas of one service. */
struct Fixture {
  Fixture() {
    m_Fleet.publish(routedConfig(3));
    m_First = &m_Fleet.addSearcher("i-first", "desk");
  }

  void start() { m_Vm = &m_Fleet.startVm(); }
  void addSecond() { m_Second = &m_Fleet.addSearcher("i-second", "desk"); }

  RoutedAnswer lookUp() {
    return RoutedFleet::call(
        m_Vm->m_CallerPort, "GET", "/look/x",
        RoutedFleet::requestHeaders("q-" + std::to_string(m_Sent++)));
  }
  /** Sends look-ups until \p Searcher has got one. */
  void lookUpUntilRun(SearcherStandin &Searcher) {
    for (int I = 0; I < 200 && countRuns(Searcher) == 0; ++I)
      lookUp();
    BOOST_REQUIRE(countRuns(Searcher) > 0U);
  }
  std::size_t countRuns(SearcherStandin &Searcher) {
    std::size_t Count = 0;
    m_Fleet.runOnStandinThread([&] { Count = Searcher.m_RunRequests.size(); });
    return Count;
  }
  /** Has the first replica refuse all requests with the header \p Line. */
  void refuseWith(const std::string &Line) {
    m_Fleet.runOnStandinThread([this, Line] {
      m_First->m_RunHandler = [Line](const SimpleHttpRequest &Request,
                                     const SimpleHttpResponder &Reply) {
        Reply.send(503, "full",
                   "X-Request-Id: " + Request.header("x-request-id") +
                       "\r\nX-Not-Executed: 1\r\n" + Line + "\r\n");
      };
    });
  }

  RoutedFleet m_Fleet;
  SearcherStandin *m_First = nullptr;
  SearcherStandin *m_Second = nullptr;
  RoutedFleet::Vm *m_Vm = nullptr;
  int m_Sent = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetSignalsTest, Fixture)

BOOST_AUTO_TEST_CASE(Target_thatSaysItLeaves_getsNoMoreRequests) {
  addSecond();
  start();
  m_Fleet.runOnStandinThread([this] {
    m_Fleet.m_Store->m_IsDown = true;
    m_First->m_RunHandler = [this](const SimpleHttpRequest &Request,
                                   const SimpleHttpResponder &Reply) {
      const std::string Id = Request.header("x-request-id");
      Reply.send(200, m_First->m_Body,
                 "X-Request-Id: " + Id + "\r\nX-Server-Stamp: s-" + Id +
                     "\r\nServer-Leaving: 1\r\n");
    };
  });
  lookUpUntilRun(*m_First);
  const std::size_t RunsBefore = countRuns(*m_First);
  for (int I = 0; I < 100; ++I)
    BOOST_TEST(lookUp().m_Status == 200U);
  BOOST_TEST(countRuns(*m_First) == RunsBefore);
  BOOST_TEST(
      m_Vm->m_Process->waitForLine("F0617", "target=i-first").has_value());
}

BOOST_AUTO_TEST_CASE(Target_thatAsksToWait_getsNoRequestsUntilTheEnd) {
  addSecond();
  start();
  refuseWith("Retry-After: 1.5");
  lookUpUntilRun(*m_First);
  const std::size_t RunsBefore = countRuns(*m_First);
  for (int I = 0; I < 100; ++I)
    BOOST_TEST(lookUp().m_Status == 200U);
  BOOST_TEST(countRuns(*m_First) == RunsBefore);
  BOOST_TEST(
      m_Vm->m_Process->waitForLine("F0618", "target=i-first").has_value());
}

BOOST_AUTO_TEST_CASE(Request_whileAllReplicasWait_isRefusedAtOnceAsNotRun) {
  start();
  refuseWith("Retry-After: 20");
  BOOST_TEST(lookUp().m_Status == 503U);
  const std::size_t RunsBefore = countRuns(*m_First);
  for (int I = 0; I < 20; ++I) {
    const RoutedAnswer Answer = lookUp();
    BOOST_TEST(Answer.m_Status == 503U);
    BOOST_TEST(!Answer.header("Retry-After").empty());
  }
  BOOST_TEST(countRuns(*m_First) == RunsBefore);
}

BOOST_AUTO_TEST_CASE(Wait_thatIsOver_isForgotten) {
  start();
  refuseWith("Retry-After: 0.2");
  BOOST_TEST(lookUp().m_Status == 503U);
  m_Fleet.runOnStandinThread([this] {
    m_First->m_RunHandler = [this](const SimpleHttpRequest &Request,
                                   const SimpleHttpResponder &Reply) {
      m_First->answer(Request, Reply);
    };
  });
  // The wait began before the refusal reached this test.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  BOOST_TEST(lookUp().m_Status == 200U);
}

BOOST_AUTO_TEST_CASE(Wait_thatIsNoTime_isIgnored) {
  start();
  for (const char *Value :
       {"-3", "nan", "1e400", "999999999", "soon", "5\r\nRetry-After: 6"}) {
    refuseWith(std::string("Retry-After: ") + Value);
    const std::size_t RunsBefore = countRuns(*m_First);
    lookUp();
    lookUp();
    BOOST_TEST(countRuns(*m_First) == RunsBefore + 2, Value);
  }
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0619").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
