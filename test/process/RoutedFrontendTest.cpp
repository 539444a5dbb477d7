// End-to-end tests of routed mode: real VM processes with stand-ins for the
// platform and the targets.

#include "support/RoutedFleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace figturn;
using namespace figturn::test;
using figturn::standin::SearcherStandin;
using figturn::standin::SimpleHttpRequest;
using figturn::standin::SimpleHttpResponder;

namespace {

constexpr std::chrono::seconds GracePeriod(6);

struct Fixture {
  Fixture() {
    m_Fleet.publish(routedConfig(3));
    m_Left = &m_Fleet.addSearcher("i-left", "s-0");
    m_Right = &m_Fleet.addSearcher("i-right", "s-1");
    m_Desk = &m_Fleet.addSearcher("i-desk", "desk");
    m_Vm = &m_Fleet.startVm();
  }

  RoutedAnswer get(const std::string &Target, const std::string &Id = "q-1",
                   int DeadlineMs = 3000) {
    return RoutedFleet::call(m_Vm->m_CallerPort, "GET", Target,
                             RoutedFleet::requestHeaders(Id, DeadlineMs));
  }
  RoutedAnswer book(const std::string &Id) {
    return RoutedFleet::call(m_Vm->m_CallerPort, "POST", "/book/a?b=c",
                             RoutedFleet::requestHeaders(Id), "order");
  }
  /** Sets the grace period of planned stops to GracePeriod. */
  void setGracePeriod() {
    m_Fleet.writeSettings(*m_Vm,
                          m_Fleet.m_Folder.filePath("vm-1").toStdString(),
                          GracePeriod.count());
    m_Vm->m_Process->signal(SIGHUP);
    BOOST_REQUIRE(m_Vm->m_Process->waitForLine("F0107").has_value());
  }
  /** Publishes a configuration whose routes wait longer than GracePeriod. */
  void allowLongRequests() {
    QJsonObject Config = routedConfig(4);
    QJsonArray Routes;
    for (const auto &Each : Config["routes"].toArray()) {
      QJsonObject Route = Each.toObject();
      Route["timeout_ms"] = 20000;
      Routes.append(Route);
    }
    Config["routes"] = Routes;
    m_Fleet.publish(Config);
    BOOST_REQUIRE(
        m_Vm->m_Process->waitForLine("F0250", "version=4").has_value());
  }
  void setRunHandler(
      SearcherStandin &Searcher,
      std::function<void(const SimpleHttpRequest &, SimpleHttpResponder)>
          OnRun) {
    m_Fleet.runOnStandinThread(
        [&] { Searcher.m_RunHandler = std::move(OnRun); });
  }
  std::size_t countRuns(SearcherStandin &Searcher) {
    std::size_t Count = 0;
    m_Fleet.runOnStandinThread([&] { Count = Searcher.m_RunRequests.size(); });
    return Count;
  }

  RoutedFleet m_Fleet;
  SearcherStandin *m_Left = nullptr;
  SearcherStandin *m_Right = nullptr;
  SearcherStandin *m_Desk = nullptr;
  RoutedFleet::Vm *m_Vm = nullptr;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RoutedFrontendTest, Fixture)

BOOST_AUTO_TEST_CASE(Search_overTwoShards_isMergedWithBothSignatures) {
  m_Fleet.runOnStandinThread([&] {
    m_Left->m_Body = "aaaaaaaaaaaaaaaacccccccccccccccc";
    m_Right->m_Body = "bbbbbbbbbbbbbbbbtrailing";
  });
  const RoutedAnswer Answer = get("/search/x", "q-7");
  BOOST_TEST(Answer.m_Status == 200U);
  BOOST_TEST(Answer.m_Body ==
             "ccccccccccccccccbbbbbbbbbbbbbbbbaaaaaaaaaaaaaaaa");
  BOOST_TEST(Answer.header("X-Missing-Parts") == "0");
  const std::string Stamps = Answer.header("X-Part-Stamps");
  BOOST_TEST(Stamps.find("stamp-i-left-q-7") != std::string::npos);
  BOOST_TEST(Stamps.find("stamp-i-right-q-7") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Search_withoutOneShard_isPartialOrRefused) {
  setRunHandler(*m_Right,
                [](const SimpleHttpRequest &, SimpleHttpResponder Reply) {
                  Reply.send(500, "", "X-Server-Stamp: s\r\n");
                });
  const RoutedAnswer Partial = get("/search/x");
  BOOST_TEST(Partial.m_Status == 200U);
  BOOST_TEST(Partial.header("X-Missing-Parts") == "1");
  m_Fleet.runOnStandinThread([&] {
    m_Fleet.m_Store->put("servers", "i-left", m_Left->entry("draining"));
    m_Fleet.m_Store->put("servers", "i-right", m_Right->entry("draining"));
  });
  BOOST_TEST(
      m_Vm->m_Process->waitForLine("F0612", "target=i-right draining=true")
          .has_value());
  const std::size_t RunsBefore = countRuns(*m_Left);
  const RoutedAnswer Refused = get("/search/x");
  BOOST_TEST(Refused.m_Status == 503U);
  BOOST_TEST(!Refused.header("Retry-After").empty());
  BOOST_TEST(countRuns(*m_Left) == RunsBefore);
}

BOOST_AUTO_TEST_CASE(Request_toOneService_isForwardedUnchanged) {
  const RoutedAnswer Answer = book("b-1");
  BOOST_TEST(Answer.m_Status == 200U);
  BOOST_TEST(Answer.header("X-Server-Stamp") == "stamp-i-desk-b-1");
  SimpleHttpRequest Received;
  m_Fleet.runOnStandinThread([&] { Received = m_Desk->m_RunRequests.at(0); });
  BOOST_TEST(Received.m_Method == "POST");
  BOOST_TEST(Received.m_Path == "/book/a");
  BOOST_TEST(Received.m_Query.at("b") == "c");
  BOOST_TEST(Received.m_Body == "order");
  BOOST_TEST(Received.header("host") == "h.example");
  BOOST_TEST(std::stoi(Received.header("x-deadline-milliseconds")) <= 3000);
}

BOOST_AUTO_TEST_CASE(SingleRun_withLostReply_runsOnce) {
  m_Fleet.addSearcher("i-desk-2", "desk");
  BOOST_TEST(
      m_Vm->m_Process->waitForLine("F0612", "target=i-desk-2").has_value());
  for (SearcherStandin *Each : {m_Desk, m_Fleet.m_Searchers.back().get()})
    setRunHandler(*Each, [](const SimpleHttpRequest &,
                            SimpleHttpResponder Reply) { Reply.reset(); });
  const RoutedAnswer Answer = book("b-2");
  BOOST_TEST(Answer.m_Status == 502U);
  BOOST_TEST(countRuns(*m_Desk) + countRuns(*m_Fleet.m_Searchers.back()) == 1U);
}

BOOST_AUTO_TEST_CASE(SingleRun_refusedByOneTarget_runsAtAnother) {
  m_Fleet.addSearcher("i-desk-2", "desk");
  BOOST_TEST(
      m_Vm->m_Process->waitForLine("F0612", "target=i-desk-2").has_value());
  setRunHandler(*m_Desk,
                [](const SimpleHttpRequest &, SimpleHttpResponder Reply) {
                  Reply.send(503, "", "X-Not-Executed: 1\r\n");
                });
  for (int I = 0; I < 4; ++I)
    BOOST_TEST(book("b-" + std::to_string(I)).m_Status == 200U);
}

// Regression: a target's 503 was forwarded as the promise that the request had
// not run, and callers sent it again.
BOOST_AUTO_TEST_CASE(Reply_thatOnlyImpliesNotRun_isNotForwarded) {
  for (const unsigned Status : {408U, 429U, 503U}) {
    setRunHandler(*m_Desk, [Status](const SimpleHttpRequest &Request,
                                    SimpleHttpResponder Reply) {
      Reply.send(Status, "failed",
                 "X-Server-Stamp: s\r\nX-Request-Id: " +
                     Request.header("x-request-id") + "\r\n");
    });
    const std::string Id = "b-" + std::to_string(Status);
    BOOST_TEST(book(Id).m_Status == 502U, Status);
    BOOST_TEST(get("/look/x", "q-" + Id).m_Status == 502U, Status);
  }
}

// Callers got 3xx and 4xx that no target had signed, as if the VM had denied
// their requests.
BOOST_AUTO_TEST_CASE(Denial_withoutTheTargetsSignature_isNotForwarded) {
  for (const unsigned Status : {301U, 400U, 404U, 413U, 431U}) {
    std::string Signature;
    setRunHandler(*m_Desk, [&](const SimpleHttpRequest &Request,
                               SimpleHttpResponder Reply) {
      Reply.send(Status, "denied",
                 Signature + "X-Request-Id: " + Request.header("x-request-id") +
                     "\r\n");
    });
    const std::string Id = std::to_string(Status);
    BOOST_TEST(book("b-" + Id).m_Status == 502U, Status);
    BOOST_TEST(get("/look/x", "q-" + Id).m_Status == 502U, Status);
    m_Fleet.runOnStandinThread([&] { Signature = "X-Server-Stamp: s\r\n"; });
    BOOST_TEST(book("c-" + Id).m_Status == Status);
  }
}

// Other errors are the target's own answers.
BOOST_AUTO_TEST_CASE(Reply_withAServerError_isForwarded) {
  setRunHandler(
      *m_Desk, [](const SimpleHttpRequest &Request, SimpleHttpResponder Reply) {
        Reply.send(500, "failed",
                   "X-Server-Stamp: s\r\nX-Request-Id: " +
                       Request.header("x-request-id") + "\r\n");
      });
  const RoutedAnswer Answer = book("b-1");
  BOOST_TEST(Answer.m_Status == 500U);
  BOOST_TEST(Answer.m_Body == "failed");
}

BOOST_AUTO_TEST_CASE(Reply_truncatedByReset_isRejected) {
  setRunHandler(*m_Desk, [](const SimpleHttpRequest &Request,
                            SimpleHttpResponder Reply) {
    Reply.sendRaw("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: " +
                  Request.header("x-request-id") + "\r\n\r\nhalf of the bo");
    Reply.reset();
  });
  BOOST_TEST(book("b-3").m_Status == 502U);
}

// The caller got the malformed reply of a target.
BOOST_AUTO_TEST_CASE(Reply_withAStatusThatHttpLacks_isNotForwarded) {
  setRunHandler(
      *m_Desk, [](const SimpleHttpRequest &Request, SimpleHttpResponder Reply) {
        Reply.sendRaw("HTTP/1.1 000 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: " +
                      Request.header("x-request-id") +
                      "\r\nContent-Length: 2\r\n\r\nok");
      });
  const RoutedAnswer Answer = get("/look/x");
  BOOST_TEST(Answer.m_Status == 502U);
  BOOST_TEST(Answer.header("X-Server-Stamp").empty());
  const std::size_t Line = m_Vm->m_Process->lines().size();
  SearcherStandin &Other = m_Fleet.addSearcher("i-desk-2", "desk");
  BOOST_REQUIRE(
      m_Vm->m_Process->waitForLine("F0613", "added=1", Line).has_value());
  for (int I = 0; I < 10; ++I)
    BOOST_TEST(get("/look/x", "q-" + std::to_string(I)).m_Body == Other.m_Body);
}

// A target that sends long bodies without end on all its connections took more
// memory than the smallest VMs have, and their other requests ended with them.
BOOST_AUTO_TEST_CASE(Replies_withoutEnd_leaveMemoryForOtherRequests) {
  constexpr std::size_t SmallestVmBytes = 112U << 20;
  constexpr std::size_t SentPerReply = 7U
                                       << 20; // Less than one reply may have.
  constexpr std::size_t MaxCallers = 60;
  std::vector<SearcherStandin *> Faulty{m_Desk};
  for (const char *Name : {"i-desk-2", "i-desk-3", "i-desk-4"})
    Faulty.push_back(&m_Fleet.addSearcher(Name, "desk"));
  for (SearcherStandin *Each : Faulty)
    setRunHandler(*Each, [](const SimpleHttpRequest &Request,
                            SimpleHttpResponder Reply) {
      Reply.sendRaw("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: " +
                    Request.header("x-request-id") + "\r\n\r\n" +
                    std::string(SentPerReply, 'x'));
    });
  std::vector<std::thread> Callers;
  for (std::size_t I = 0; I < MaxCallers; ++I)
    Callers.emplace_back(
        [this, I] { get("/look/x", "q-" + std::to_string(I)); });
  for (std::thread &Each : Callers)
    Each.join();
  BOOST_TEST(m_Vm->m_Process->peakMemoryBytes() < SmallestVmBytes);
  BOOST_TEST(get("/search/x", "q-search").m_Status == 200U);
}

BOOST_AUTO_TEST_CASE(Reply_withoutContentLength_endsAtConnectionClose) {
  setRunHandler(
      *m_Desk, [](const SimpleHttpRequest &Request, SimpleHttpResponder Reply) {
        Reply.sendRaw("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: " +
                      Request.header("x-request-id") + "\r\n\r\ncomplete");
        Reply.close();
      });
  const RoutedAnswer Answer = book("b-4");
  BOOST_TEST(Answer.m_Status == 200U);
  BOOST_TEST(Answer.m_Body == "complete");
}

BOOST_AUTO_TEST_CASE(Reply_toAnotherRequest_isIgnored) {
  setRunHandler(*m_Desk, [this](const SimpleHttpRequest &Request,
                                SimpleHttpResponder Reply) {
    Reply.send(200, "of another",
               "X-Request-Id: other\r\nX-Server-Stamp: s\r\n");
    m_Desk->answer(Request, Reply);
  });
  const RoutedAnswer Answer = book("b-5");
  BOOST_TEST(Answer.m_Status == 200U);
  BOOST_TEST(Answer.m_Body == "0123456789abcdef");
}

BOOST_AUTO_TEST_CASE(Address_ofAnotherTarget_runsNothing) {
  m_Fleet.runOnStandinThread([&] {
    m_Fleet.m_Store->put("servers", "i-gone", m_Desk->entry());
    m_Fleet.m_Store->put("servers", "i-desk", m_Desk->entry("draining"));
  });
  BOOST_TEST(
      m_Vm->m_Process->waitForLine("F0612", "target=i-desk draining=true")
          .has_value());
  const RoutedAnswer Answer = book("b-6");
  BOOST_TEST(Answer.m_Status == 503U);
  BOOST_TEST(countRuns(*m_Desk) == 0U);
}

BOOST_AUTO_TEST_CASE(RegistryEntry_withInvalidField_isIgnored) {
  QJsonObject InvalidEntry = m_Desk->entry();
  InvalidEntry["slots"] = "four";
  m_Fleet.runOnStandinThread(
      [&] { m_Fleet.m_Store->put("servers", "i-forged", InvalidEntry); });
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0804", "name=i-forged field=slots")
                 .has_value());
  BOOST_TEST(book("b-7").m_Status == 200U);
}

BOOST_AUTO_TEST_CASE(Caller_disconnecting_hasCallCancelled) {
  setRunHandler(*m_Desk, [](const SimpleHttpRequest &, SimpleHttpResponder) {});
  RawClient Client(m_Vm->m_CallerPort);
  Client.send("GET /look/x HTTP/1.1\r\nHost: h.example\r\n" +
              RoutedFleet::requestHeaders("l-1") + "\r\n");
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0711", "id=l-1").has_value());
  Client.close();
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0717", "id=l-1").has_value());
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0717", "cancelled=1").has_value());
}

BOOST_AUTO_TEST_CASE(Configuration_withNewerVersion_takesEffect) {
  BOOST_TEST(get("/new/x").m_Status == 404U);
  QJsonObject Changed = routedConfig(5);
  QJsonArray Routes = Changed["routes"].toArray();
  QJsonObject Added = Routes[1].toObject();
  Added["name"] = "added";
  Added["path_prefix"] = "/new/";
  Routes.append(Added);
  Changed["routes"] = Routes;
  m_Fleet.publish(Changed);
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0250", "version=5").has_value());
  BOOST_TEST(get("/new/x").m_Status == 200U);
  // An older version that is written later has no effect.
  m_Fleet.publish(routedConfig(4));
  m_Fleet.publish(routedConfig(6));
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0250", "version=6").has_value());
  BOOST_TEST(!m_Vm->m_Process->lines().empty());
  for (const std::string &Line : m_Vm->m_Process->lines())
    BOOST_TEST(Line.find("config-in-force version=4") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(Change_missedByWatch_isReadAfterReconnect) {
  m_Fleet.runOnStandinThread([&] {
    m_Fleet.m_Store->m_SuppressesWatchEvents = true;
    m_Fleet.m_Store->put("config", "main", routedConfig(8));
    m_Fleet.m_Store->dropConnections();
  });
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0250", "version=8").has_value());
}

BOOST_AUTO_TEST_CASE(Vm_startedDuringStoreOutage_copiesPeerState) {
  m_Fleet.runOnStandinThread([&] { m_Fleet.m_Store->m_IsDown = true; });
  const RoutedFleet::Vm &Second = m_Fleet.startVm();
  BOOST_TEST(
      Second.m_Process->waitForLine("F0204", "from=127.0.0.1:").has_value());
  const RoutedAnswer Answer = RoutedFleet::call(
      Second.m_CallerPort, "GET", "/look/x", RoutedFleet::requestHeaders("c-1"),
      "", Second.m_Ipv4Address);
  BOOST_TEST(Answer.m_Status == 200U);
  // A VM that can't reach the store doesn't know whether a route exists.
  BOOST_TEST(RoutedFleet::call(Second.m_CallerPort, "GET", "/none/x",
                               RoutedFleet::requestHeaders("c-2"), "",
                               Second.m_Ipv4Address)
                 .m_Status == 503U);
}

BOOST_AUTO_TEST_CASE(Vms_ofOneFleet_advertiseEachOther) {
  const RoutedFleet::Vm &Second = m_Fleet.startVm();
  const std::string Added = fmt::format("127.0.0.2:{}", Second.m_CallerPort);
  BOOST_TEST(
      m_Vm->m_Process->waitForLine("F0353", "vm=vm-2 serves=true").has_value());
  BOOST_TEST(RoutedFleet::call(m_Vm->m_DirectoryPort, "GET", "/api/resolve")
                 .m_Body.find(Added) != std::string::npos);
  Second.m_Process->signal(SIGKILL);
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0353", "vm=vm-2 serves=false")
                 .has_value());
  BOOST_TEST(RoutedFleet::call(m_Vm->m_DirectoryPort, "GET", "/api/resolve")
                 .m_Body.find(Added) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(
    DirectoryAndReadiness_duringPlannedStop_reportUnavailable) {
  const RoutedAnswer Listed = RoutedFleet::call(
      m_Vm->m_DirectoryPort, "GET", "/api/resolve?name=h.example&zone=dc-a");
  BOOST_TEST(Listed.m_Status == 200U);
  BOOST_TEST(Listed.m_Body.find(fmt::format(
                 "127.0.0.1:{}", m_Vm->m_CallerPort)) != std::string::npos);
  BOOST_TEST(RoutedFleet::call(m_Vm->m_ReadinessPort, "GET", "/api/readiness")
                 .m_Status == 200U);
  m_Vm->m_Process->signal(SIGTERM);
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0103").has_value());
  BOOST_TEST(RoutedFleet::call(m_Vm->m_ReadinessPort, "GET", "/api/readiness")
                 .m_Status == 503U);
  BOOST_TEST(RoutedFleet::call(m_Vm->m_DirectoryPort, "GET", "/api/resolve")
                 .m_Status == 503U);
}

BOOST_AUTO_TEST_CASE(PlannedStop_withPendingRequest_answersIt) {
  setGracePeriod();
  m_Fleet.runOnStandinThread(
      [&] { m_Desk->m_Delay = std::chrono::milliseconds(600); });
  RawClient PendingClient(m_Vm->m_CallerPort);
  PendingClient.send("GET /look/x HTTP/1.1\r\nHost: h.example\r\n" +
                     RoutedFleet::requestHeaders("k-1") + "\r\n");
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0711", "id=k-1").has_value());
  m_Vm->m_Process->signal(SIGTERM);
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0103").has_value());
  // Callers that cached the address are still served during the stop.
  BOOST_TEST(get("/look/y", "k-2").m_Status == 200U);
  const auto Answer = PendingClient.receive();
  BOOST_TEST(Answer.has_value());
  BOOST_TEST(Answer->m_Status == 200U);
  BOOST_TEST((m_Vm->m_Process->waitForExit() == 0));
}

BOOST_AUTO_TEST_CASE(PlannedStop_withUnansweredSingleRun_answersBeforeTheKill) {
  setGracePeriod();
  allowLongRequests();
  setRunHandler(*m_Desk, [](const SimpleHttpRequest &, SimpleHttpResponder) {});
  RawClient PendingClient(m_Vm->m_CallerPort);
  PendingClient.send("POST /book/x HTTP/1.1\r\nHost: h.example\r\n" +
                     RoutedFleet::requestHeaders("k-3", 20000) +
                     "Content-Length: 0\r\n\r\n");
  BOOST_REQUIRE(m_Vm->m_Process->waitForLine("F0711", "id=k-3").has_value());
  m_Vm->m_Process->signal(SIGTERM);
  // The platform kills the process at the end of the grace period.
  std::this_thread::sleep_for(GracePeriod);
  m_Vm->m_Process->signal(SIGKILL);
  const auto Answer = PendingClient.receive();
  BOOST_REQUIRE(Answer.has_value());
  BOOST_TEST(Answer->m_Status == 504U);
}

BOOST_AUTO_TEST_CASE(SingleRun_lateInAPlannedStop_isRefusedBeforeItIsSent) {
  // Three objectives of 1 s don't fit into a grace period of 2 s.
  m_Vm->m_Process->signal(SIGTERM);
  BOOST_REQUIRE(m_Vm->m_Process->waitForLine("F0103").has_value());
  const RoutedAnswer Answer = book("k-4");
  BOOST_TEST(Answer.m_Status == 503U);
  BOOST_TEST(Answer.header("Retry-After") == "0.000");
  BOOST_TEST(countRuns(*m_Desk) == 0U);
}

BOOST_AUTO_TEST_CASE(Request_duringAPlannedStop_hasItsDeadlineBroughtForward) {
  setGracePeriod();
  allowLongRequests();
  m_Vm->m_Process->signal(SIGTERM);
  BOOST_REQUIRE(m_Vm->m_Process->waitForLine("F0103").has_value());
  BOOST_TEST(get("/look/x", "k-5", 20000).m_Status == 200U);
  std::string DeadlineMs;
  m_Fleet.runOnStandinThread([&] {
    DeadlineMs = m_Desk->m_RunRequests.at(0).header("x-deadline-milliseconds");
  });
  BOOST_TEST(std::stoi(DeadlineMs) <=
             std::chrono::milliseconds(GracePeriod).count());
}

BOOST_AUTO_TEST_CASE(PlannedStop_withOutstandingCalls_exitsCleanly) {
  setRunHandler(*m_Right, [](const SimpleHttpRequest &, SimpleHttpResponder) {
  }); // Never replies.
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(get("/search/x", "s-" + std::to_string(I)).m_Status == 200U);
  m_Vm->m_Process->signal(SIGTERM);
  BOOST_TEST((m_Vm->m_Process->waitForExit() == 0));
}

BOOST_AUTO_TEST_CASE(Signal_duringStartup_isHandled) {
  RoutedFleet::Vm &Second = m_Fleet.startVm(false);
  Second.m_Process->waitUntilSigtermBlocked();
  Second.m_Process->signal(SIGHUP);
  Second.m_Process->signal(SIGTERM);
  BOOST_TEST((Second.m_Process->waitForExit() == 0));
}

BOOST_AUTO_TEST_CASE(Settings_onReload_areAppliedIfValid) {
  const std::string File = m_Fleet.m_Folder.filePath("vm-1").toStdString();
  m_Fleet.writeSettings(*m_Vm, File, 3);
  m_Vm->m_Process->signal(SIGHUP);
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0107").has_value());
  QFile Broken(QString::fromStdString(File));
  BOOST_TEST(Broken.open(QIODevice::WriteOnly));
  Broken.write("{\"door\": \"routed\"}");
  Broken.close();
  m_Vm->m_Process->signal(SIGHUP);
  BOOST_TEST(m_Vm->m_Process->waitForLine("F0108").has_value());
  BOOST_TEST(book("b-8").m_Status == 200U);
}

BOOST_AUTO_TEST_CASE(MetricsAndStatus_afterRequest_reportIt) {
  get("/look/x");
  const std::string Metrics =
      RoutedFleet::call(m_Vm->m_ControlPort, "GET", "/metrics").m_Body;
  BOOST_TEST(Metrics.find("figturn_answers_total{route=\"look\"} 1\n") !=
             std::string::npos);
  BOOST_TEST(Metrics.find("figturn_config_version 3\n") != std::string::npos);
  const QJsonObject Status = parseJsonObject(
      RoutedFleet::call(m_Vm->m_ControlPort, "GET", "/v1/status").m_Body);
  BOOST_TEST(Status["ready"].toBool());
  BOOST_TEST(Status["targets"].toArray().size() == 3);
}

// A VM denied requests on a route that it had not heard of, as its watch of the
// store was silent: with 404 for up to three seconds after the route was due.
BOOST_AUTO_TEST_CASE(UnknownRoute_whileWatchIsSilent_isNotDenied) {
  constexpr std::chrono::seconds ConfigurationTime(3);
  constexpr std::chrono::seconds SilentTime(6);
  QJsonObject Config = routedConfig(4);
  QJsonArray Routes = Config["routes"].toArray();
  QJsonObject Added = Routes[1].toObject();
  Added["path_prefix"] = "/added/";
  Routes.append(Added);
  Config["routes"] = Routes;
  m_Fleet.runOnStandinThread(
      [&] { m_Fleet.m_Store->m_SuppressesWatchEvents = true; });
  m_Fleet.publish(Config);
  const auto PublishedAt = std::chrono::steady_clock::now();
  std::this_thread::sleep_until(PublishedAt + ConfigurationTime);
  unsigned Status = 0;
  while (Status != 200 &&
         std::chrono::steady_clock::now() < PublishedAt + SilentTime) {
    Status = get("/added/x").m_Status;
    BOOST_TEST((Status == 200 || Status == 503));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  BOOST_TEST(get("/never/x").m_Status == 404U);
}

BOOST_AUTO_TEST_SUITE_END()
