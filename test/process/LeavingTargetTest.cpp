// Targets that leave while calls wait for a connection to them: real VM
// processes with stand-ins for the platform and the targets.

#include "support/RoutedFleet.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;
using figturn::standin::SearcherStandin;
using figturn::standin::SimpleHttpRequest;
using figturn::standin::SimpleHttpResponder;

namespace {

/** One VM with one connection to each target, and a target that holds back its
 *  answers. */
struct Fixture {
  Fixture() {
    QJsonObject Config = routedConfig(3);
    QJsonArray Services;
    for (const auto &Each : Config["services"].toArray()) {
      QJsonObject Service = Each.toObject();
      Service["connection_limit"] = 1;
      Services.append(Service);
    }
    Config["services"] = Services;
    m_Fleet.publish(Config);
    m_Leaving = &m_Fleet.addSearcher("i-leaving", "desk", "dc-a");
    m_Fleet.runOnStandinThread([&] {
      m_Leaving->m_RunHandler = [this](const SimpleHttpRequest &Request,
                                       SimpleHttpResponder Reply) {
        m_Held.emplace_back(Request, Reply);
      };
    });
    m_Vm = &m_Fleet.startVm();
  }

  /** Sends a request that the leaving target gets first, then others that wait
   *  for its connection, and starts another target. */
  void sendRequests(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      m_Clients.push_back(std::make_unique<RawClient>(m_Vm->m_CallerPort));
      m_Clients.back()->send(
          "POST /book/x HTTP/1.1\r\nHost: h.example\r\n" +
          RoutedFleet::requestHeaders("b-" + std::to_string(I), 2900) +
          "Content-Length: 5\r\n\r\norder");
      const std::string Id = "id=b-" + std::to_string(I) + " ";
      BOOST_REQUIRE(m_Vm->m_Process->waitForLine("F0711", Id).has_value());
    }
    m_Other = &m_Fleet.addSearcher("i-other", "desk", "dc-b");
    BOOST_REQUIRE(m_Vm->m_Process->waitForLine("F0612", "i-other").has_value());
  }
  /** Answers the request that the leaving target has held longest. */
  void answerHeld(const std::string &Headers = "") {
    m_Fleet.runOnStandinThread([&] {
      const auto [Request, Reply] = m_Held.at(m_Answered++);
      const std::string Id = Request.header("x-request-id");
      Reply.send(200, "0123456789abcdef",
                 Headers + "X-Request-Id: " + Id +
                     "\r\nX-Server-Stamp: stamp-i-leaving-" + Id + "\r\n");
    });
  }
  std::string signerOf(std::size_t Request) {
    const auto Reply = m_Clients.at(Request)->receive();
    return Reply ? Reply->header("X-Server-Stamp") : "no answer";
  }
  std::size_t countArrivals(const SearcherStandin &Searcher) {
    std::size_t Count = 0;
    m_Fleet.runOnStandinThread([&] { Count = Searcher.m_RunRequests.size(); });
    return Count;
  }

  std::vector<std::pair<SimpleHttpRequest, SimpleHttpResponder>> m_Held;
  std::size_t m_Answered = 0;
  RoutedFleet m_Fleet;
  SearcherStandin *m_Leaving = nullptr;
  SearcherStandin *m_Other = nullptr;
  RoutedFleet::Vm *m_Vm = nullptr;
  std::vector<std::unique_ptr<RawClient>> m_Clients;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeavingTargetTest, Fixture)

// They were written as soon as the connection was free, however long the target
// had been leaving by then.
BOOST_AUTO_TEST_CASE(CallsThatWait_whenTargetDrains_goToAnother) {
  sendRequests(3);
  m_Fleet.runOnStandinThread([&] {
    m_Fleet.m_Store->put("servers", "i-leaving", m_Leaving->entry("draining"));
  });
  BOOST_REQUIRE(m_Vm->m_Process->waitForLine("F0612", "i-leaving draining=true")
                    .has_value());
  answerHeld();
  BOOST_TEST(signerOf(0) == "stamp-i-leaving-b-0");
  BOOST_TEST(signerOf(1) == "stamp-i-other-b-1");
  BOOST_TEST(signerOf(2) == "stamp-i-other-b-2");
  BOOST_TEST(countArrivals(*m_Leaving) == 1U);
}

// The first call that waits may be written before the answer is acted on.
BOOST_AUTO_TEST_CASE(CallsThatWait_whenTargetSaysItLeaves_goToAnother) {
  sendRequests(3);
  answerHeld("Server-Leaving: 1\r\n");
  BOOST_TEST(signerOf(0) == "stamp-i-leaving-b-0");
  BOOST_REQUIRE(m_Vm->m_Process->waitForLine("F0617").has_value());
  BOOST_TEST(signerOf(2) == "stamp-i-other-b-2");
  BOOST_TEST(countArrivals(*m_Leaving) <= 2U);
}

BOOST_AUTO_TEST_CASE(CallsThatWait_whenDataCentreIsEvacuated_goToAnother) {
  sendRequests(3);
  m_Fleet.runOnStandinThread(
      [&] { m_Fleet.m_Store->put("evacuations", "dc-a", QJsonObject{}); });
  BOOST_REQUIRE(m_Vm->m_Process->waitForLine("F0614", "dc-a").has_value());
  answerHeld();
  BOOST_TEST(signerOf(1) == "stamp-i-other-b-1");
  BOOST_TEST(signerOf(2) == "stamp-i-other-b-2");
  BOOST_TEST(countArrivals(*m_Leaving) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
