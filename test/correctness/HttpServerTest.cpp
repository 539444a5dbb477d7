#include "support/Crowd.h"
#include "support/HttpServerFixture.h"

#include <atomic>
#include <boost/test/unit_test.hpp>

#include <future>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace figturn;
using namespace figturn::test;

BOOST_FIXTURE_TEST_SUITE(HttpServerTest, HttpServerFixture)

BOOST_AUTO_TEST_CASE(Request_complete_isDeliveredUnchangedAndAnswered) {
  start();
  RawClient Client(port());
  Client.send("POST /v1/services/a/search?x=1&y HTTP/1.1\r\nHost: f\r\n"
              "X-Mark: seven\r\nContent-Length: 5\r\n\r\nhello");
  const auto Exchange = nextExchange();
  BOOST_TEST(Exchange->request().m_Method == "POST");
  BOOST_TEST(Exchange->request().m_Path == "/v1/services/a/search");
  BOOST_TEST(Exchange->request().m_Query == "x=1&y");
  BOOST_TEST(Exchange->request().header("x-mark") == "seven");
  BOOST_TEST(Exchange->request().m_Body == "hello");
  BOOST_TEST(server().pendingRequests() == 1);
  Exchange->respond({.m_Status = 201, .m_Body = "{}"});
  const auto Reply = Client.receive();
  BOOST_REQUIRE(Reply);
  BOOST_TEST(Reply->m_Status == 201);
  BOOST_TEST(Reply->m_Body == "{}");
  BOOST_TEST(Reply->m_KeepAlive);
  waitUntil([&] { return server().pendingRequests() == 0; });
}

BOOST_AUTO_TEST_CASE(Request_inSingleBytesAndChunks_isReadCompletely) {
  start();
  RawClient Client(port());
  for (const char Byte : std::string("POST / HTTP/1.1\r\nHost: f\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"
                                     "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"))
    Client.send(std::string(1, Byte));
  BOOST_TEST(nextExchange()->request().m_Body == "abcde");
}

// Regression: the body of such a request was read as the next request.
BOOST_AUTO_TEST_CASE(Request_withAnUnreadableTransferCoding_isRefused) {
  start();
  const std::string Chunked = "5\r\nhello\r\n0\r\n\r\n";
  struct Case {
    std::string m_Fields;
    unsigned m_Status;
  };
  for (const Case &Each :
       {Case{"Transfer-Encoding: identity\r\n", 400U},
        Case{"Transfer-Encoding: gzip\r\n", 400U},
        Case{"Transfer-Encoding: chunked, gzip\r\n", 400U},
        Case{"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", 400U},
        Case{"Transfer-Encoding: \r\n", 400U},
        Case{"Transfer-Encoding: gzip, chunked\r\n", 501U},
        Case{"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", 501U},
        Case{"Transfer-Encoding: chunked, chunked\r\n", 501U}})
    for (const std::string &Body : {Chunked, serializePost("/hidden", "")}) {
      RawClient Client(port());
      Client.send("POST /outer HTTP/1.1\r\nHost: f\r\n" + Each.m_Fields +
                  "\r\n" + Body);
      const auto Reply = Client.receive();
      BOOST_REQUIRE(Reply.has_value());
      // A hidden request is no chunk, which may be noticed first.
      if (Body == Chunked || Reply->m_Status != 400U)
        BOOST_TEST(Reply->m_Status == Each.m_Status, Each.m_Fields);
      BOOST_TEST(!Reply->m_KeepAlive);
    }
  BOOST_TEST(handledCount() == 0U);
}

BOOST_AUTO_TEST_CASE(Requests_pipelined_areAnsweredInTheirOrder) {
  start();
  RawClient Client(port());
  Client.send(serializePost("/slow", "1") + serializePost("/fast", "2") +
              serializePost("/last", "3"));
  const auto Slow = nextExchange();
  const auto Fast = nextExchange();
  const auto Last = nextExchange();
  Last->respond({.m_Body = "last"});
  Fast->respond({.m_Body = "fast"});
  Slow->respond({.m_Body = "slow"});
  for (const std::string Expected : {"slow", "fast", "last"}) {
    const auto Reply = Client.receive();
    BOOST_REQUIRE(Reply);
    BOOST_TEST(Reply->m_Body == Expected);
  }
}

BOOST_AUTO_TEST_CASE(Answer_givenTwice_hasNoEffectTheSecondTime) {
  start();
  RawClient Client(port());
  Client.send(serializePost("/a", "") + serializePost("/b", ""));
  const auto First = nextExchange();
  const auto Second = nextExchange();
  First->respond({.m_Body = "one"});
  First->respond({.m_Body = "again"});
  Second->respond({.m_Body = "two"});
  BOOST_TEST(Client.receive().value().m_Body == "one");
  BOOST_TEST(Client.receive().value().m_Body == "two");
}

BOOST_AUTO_TEST_CASE(Caller_disconnected_isReportedAndItsAnswerDiscarded) {
  start();
  RawClient Client(port());
  Client.send(serializePost("/a", "{}"));
  const auto Exchange = nextExchange();
  std::promise<std::size_t> DisconnectWorker;
  Exchange->onCallerDisconnect(
      [&] { DisconnectWorker.set_value(workers().currentWorker()); });
  Client.close();
  BOOST_TEST(DisconnectWorker.get_future().get() == Exchange->worker());
  std::promise<void> CalledAgain;
  Exchange->onCallerDisconnect([&] { CalledAgain.set_value(); });
  CalledAgain.get_future().wait();
  Exchange->respond({.m_Body = "too late"});
  waitUntil([&] { return server().connections() == 0; });
  BOOST_TEST(server().pendingRequests() == 0);
}

BOOST_AUTO_TEST_CASE(Exchange_keptBeyondTheServer_isHarmless) {
  start();
  RawClient Client(port());
  Client.send(serializePost("/a", "{}"));
  const auto Exchange = nextExchange();
  HttpExchangePtr OutlivingExchange;
  {
    HttpServerFixture OtherServer;
    OtherServer.start();
    RawClient OtherClient(OtherServer.port());
    OtherClient.send(serializePost("/b", "{}"));
    auto Kept = OtherServer.nextExchange();
    std::thread([Kept] { Kept->respond({}); }).join();
    RawClient Third(OtherServer.port());
    Third.send(serializePost("/c", "{}"));
    OutlivingExchange = OtherServer.nextExchange();
  }
  OutlivingExchange->respond({.m_Body = "nobody"});
  OutlivingExchange->onCallerDisconnect([] {});
  Exchange->respond({.m_Body = "ok"});
  BOOST_TEST(Client.receive().value().m_Body == "ok");
}

BOOST_AUTO_TEST_CASE(Requests_beyondThePipelineLimit_waitForAnswers) {
  start({.m_MaxPipelined = 2});
  RawClient Client(port());
  std::string All;
  for (int Number = 0; Number < 50; ++Number)
    All += serializePost("/" + std::to_string(Number), "{}");
  Client.send(All);
  for (int Number = 0; Number < 50; ++Number) {
    const auto Exchange = nextExchange();
    BOOST_TEST(Exchange->request().m_Path == "/" + std::to_string(Number));
    BOOST_TEST(server().pendingRequests() <= 2);
    Exchange->respond({.m_Body = std::to_string(Number)});
    BOOST_TEST(Client.receive().value().m_Body == std::to_string(Number));
  }
}

BOOST_AUTO_TEST_CASE(Answers_givenWithinTheHandler_resumeReading) {
  HttpServer Server({.m_MaxPipelined = 4}, workers(), [](HttpExchangePtr Each) {
    Each->respond({.m_Body = Each->request().m_Path});
  });
  BOOST_REQUIRE(!Server.listen());
  RawClient Client(Server.port());
  std::string All;
  for (int Number = 0; Number < 999; ++Number)
    All += serializePost("/" + std::to_string(Number), "{}");
  Client.send(All);
  for (int Number = 0; Number < 999; ++Number)
    BOOST_REQUIRE(Client.receive().value().m_Body ==
                  "/" + std::to_string(Number));
}

BOOST_AUTO_TEST_CASE(Caller_thatReadsNothing_isBufferedWithinALimit) {
  // Each answer exceeds the write backlog limit of a connection, so reading
  // stops after it until the caller reads the answer.
  const std::string Large(8388608, 'x');
  std::atomic<int> Handled = 0;
  HttpServer Server({.m_MaxPipelined = 16}, workers(),
                    [&](HttpExchangePtr Each) {
                      ++Handled;
                      Each->respond({.m_Body = Large});
                    });
  BOOST_REQUIRE(!Server.listen());
  RawClient Client(Server.port());
  for (int Number = 0; Number < 40; ++Number)
    Client.send(serializePost("/", ""));
  waitUntil([&] { return Handled > 0; });
  BOOST_TEST(Handled <= 16);
  for (int Number = 0; Number < 40; ++Number)
    BOOST_REQUIRE(Client.receive().value().m_Body.size() == Large.size());
  BOOST_TEST(Handled == 40);
}

BOOST_AUTO_TEST_CASE(Connections_accepted_areDistributedOverTheWorkers) {
  start();
  RawClient First(port());
  RawClient Second(port());
  First.send(serializePost("/", ""));
  Second.send(serializePost("/", ""));
  const std::set<std::size_t> Workers = {nextExchange()->worker(),
                                         nextExchange()->worker()};
  BOOST_TEST(Workers.size() == 2);
}

BOOST_AUTO_TEST_CASE(Connection_beyondTheLimit_isClosedAtOnce) {
  start({.m_MaxConnections = 1});
  RawClient First(port());
  First.send(serializePost("/a", ""));
  const auto Exchange = nextExchange();
  RawClient Second(port());
  BOOST_TEST(Second.isClosedByServer());
  Exchange->respond({.m_Body = "ok"});
  BOOST_TEST(First.receive().value().m_Body == "ok");
}

BOOST_AUTO_TEST_CASE(ExpectContinue_pipelined_isAnsweredInOrder) {
  start();
  RawClient Client(port());
  Client.send(serializePost("/first", "") +
              "POST / HTTP/1.1\r\nHost: f\r\nExpect: 100-continue\r\n"
              "Content-Length: 2\r\n\r\n");
  nextExchange()->respond({.m_Body = "first"});
  BOOST_TEST(Client.receive().value().m_Body == "first");
  BOOST_TEST(Client.receive().value().m_Status == 100);
  Client.send("hi");
  const auto Exchange = nextExchange();
  BOOST_TEST(Exchange->request().m_Body == "hi");
  Exchange->respond({.m_Body = "done"});
  BOOST_TEST(Client.receive().value().m_Body == "done");
}

BOOST_AUTO_TEST_CASE(PlannedStop_withPendingRequests_answersThemAll) {
  start();
  RawClient Busy(port());
  RawClient Idle(port());
  Idle.send(serializePost("/idle", ""));
  nextExchange()->respond({});
  BOOST_TEST(Idle.receive().has_value());
  Busy.send(serializePost("/a", "") + serializePost("/b", ""));
  const auto First = nextExchange();
  const auto Second = nextExchange();
  server().stopListening();
  server().closeAfterAnswers();
  server().closeIdle();
  BOOST_TEST(Idle.isClosedByServer());
  BOOST_TEST(!RawClient(port()).hasConnected());
  First->respond({.m_Body = "a"});
  Second->respond({.m_Body = "b"});
  const auto FirstReply = Busy.receive().value();
  BOOST_TEST(FirstReply.m_Body == "a");
  BOOST_TEST(FirstReply.m_KeepAlive);
  const auto SecondReply = Busy.receive().value();
  BOOST_TEST(SecondReply.m_Body == "b");
  BOOST_TEST(!SecondReply.m_KeepAlive);
  BOOST_TEST(Busy.isClosedByServer());
  Busy.close();
  Idle.close();
  waitUntil([&] { return server().connections() == 0; });
  BOOST_TEST(server().pendingRequests() == 0);
}

// Regression: a planned stop ended while requests were being received.
BOOST_AUTO_TEST_CASE(Request_partlyReceived_countsAsUnfinished) {
  start({.m_RequestTimeout = milliseconds(300)});
  const auto Expect = [this](std::size_t Count) {
    waitUntil([&] { return server().unfinishedRequests() == Count; });
  };
  const std::string Whole = serializePost("/", "body");
  const std::string Start = Whole.substr(0, Whole.size() - 1);
  RawClient Client(port());
  Client.send(Start);
  Expect(1);
  BOOST_TEST(server().pendingRequests() == 0U);
  Client.send("y");
  const auto Exchange = nextExchange();
  Expect(1);
  Exchange->respond({});
  Client.receive();
  Expect(0);
  Client.send(Start);
  Expect(1);
  Client.close();
  Expect(0);
  RawClient Late(port());
  Late.send(Start);
  Expect(1);
  BOOST_TEST(Late.receive().value().m_Status == 408U);
  Expect(0);
}

BOOST_AUTO_TEST_CASE(PlannedStop_withConnectionsNotAcceptedYet_answersThem) {
  start();
  std::promise<void> Blocked;
  std::promise<void> Sent;
  workers().post(0, [&] {
    Blocked.set_value();
    Sent.get_future().wait();
    server().stopListening();
  });
  Blocked.get_future().wait();
  std::vector<std::unique_ptr<RawClient>> Clients;
  for (int I = 0; I < 50; ++I) {
    Clients.push_back(std::make_unique<RawClient>(port()));
    Clients.back()->send(serializePost("/a", "b"));
  }
  Sent.set_value();
  for (std::size_t I = 0; I < Clients.size(); ++I)
    nextExchange()->respond({.m_Body = "answer"});
  for (const auto &Each : Clients)
    BOOST_TEST(Each->receive().has_value());
}

BOOST_AUTO_TEST_CASE(Connection_beyondTheLimit_replacesTheOneIdleForLongest) {
  start({.m_MaxConnections = 4}); // Three of one client.
  RawClient Busy(port());
  Busy.send(serializePost("/busy", ""));
  const auto Exchange = nextExchange();
  RawClient Idle(port());
  waitUntil([&] { return server().connections() == 2; });
  RawClient LaterIdle(port());
  waitUntil([&] { return server().connections() == 3; });
  RawClient New(port());
  New.send(serializePost("/new", ""));
  nextExchange()->respond({.m_Body = "served"});
  BOOST_TEST(New.receive().value().m_Body == "served");
  BOOST_TEST(Idle.isClosedByServer());
  Exchange->respond({.m_Body = "ok"});
  BOOST_TEST(Busy.receive().value().m_Body == "ok");
}

// Accepting ended for good when the process once had no descriptor left.
BOOST_AUTO_TEST_CASE(Connection_withoutDescriptorForIt_isAcceptedLater) {
  start();
  std::vector<int> Descriptors;
  const int Reserved = ::dup(STDIN_FILENO);
  for (int Copy = ::dup(Reserved); Copy >= 0; Copy = ::dup(Reserved))
    Descriptors.push_back(Copy);
  ::close(Reserved); // For the client's end.
  RawClient Client(port());
  Client.send(serializePost("/a", ""));
  std::this_thread::sleep_for(milliseconds(100));
  BOOST_TEST(handledCount() == 0);
  for (const int Each : Descriptors)
    ::close(Each);
  nextExchange()->respond({.m_Body = "ok"});
  BOOST_TEST(Client.receive().value().m_Body == "ok");
}

BOOST_AUTO_TEST_CASE(Memory_ofConnections_isReturnedOnEveryWayOut) {
  const auto Connections = std::make_shared<CallerConnections>(
      ConnectionBudgetOptions{.m_MaxBytes = 100000, .m_MaxConnections = 10});
  start({.m_BodyLimit = 60000,
         .m_Connections = Connections,
         .m_RequestTimeout = milliseconds(300),
         .m_IdleTimeout = milliseconds(300)});
  const std::string Head = "POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n";
  const std::string Part(50000, 'x');
  const auto IsReturned = [&] {
    waitUntil([&] { return Connections->heldBytes() == 0; });
    return true;
  };
  {
    RawClient Answered(port());
    Answered.send(serializePost("/", Part));
    nextExchange()->respond({.m_Body = Part});
    BOOST_TEST(Answered.receive().value().m_Body == Part);
    BOOST_TEST(IsReturned());
  }
  {
    RawClient Reset(port());
    Reset.send(Head + Part);
    waitUntil([&] { return Connections->heldBytes() >= Part.size(); });
  }
  BOOST_TEST(IsReturned());
  RawClient Late(port());
  Late.send(Head + Part);
  BOOST_TEST(Late.receive().value().m_Status == 408);
  BOOST_TEST(IsReturned());
  RawClient TooLong(port());
  TooLong.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
               "ffff\r\n" +
               Part + Part);
  BOOST_TEST(TooLong.receive().value().m_Status == 413);
  BOOST_TEST(IsReturned());
  {
    RawClient Left(port());
    Left.send(serializePost("/", Part));
    const auto Exchange = nextExchange();
    Left.close();
    BOOST_TEST(Connections->heldBytes() >= Part.size());
  }
  BOOST_TEST(IsReturned());
  RawClient NotReading(port());
  NotReading.send(serializePost("/", ""));
  nextExchange()->respond({.m_Body = std::string(32U << 20, 'x')});
  BOOST_TEST(IsReturned());
}

namespace {
struct SingleWorkerFixture : HttpServerFixture {
  SingleWorkerFixture() : HttpServerFixture(1) {}

  void setBodyLimit(std::size_t Limit) {
    std::promise<void> Done;
    workers().post(0, [&] {
      server().setLimits({.m_HeaderLimit = 16384,
                          .m_BodyLimit = Limit,
                          .m_RequestTimeout = seconds(5),
                          .m_IdleTimeout = seconds(60)});
      Done.set_value();
    });
    Done.get_future().wait();
  }
};
} // namespace

// Regression: kept connections refused bodies by the limit that was in force
// when they were accepted.
BOOST_FIXTURE_TEST_CASE(Limits_changed_applyToKeptConnections,
                        SingleWorkerFixture) {
  start({.m_BodyLimit = 1000});
  RawClient Client(port());
  const auto Serve = [&](std::size_t Size) {
    Client.send(serializePost("/", std::string(Size, 'x')));
    nextExchange()->respond({});
    return Client.receive().value().m_Status;
  };
  BOOST_TEST(Serve(1000) == 200U);
  setBodyLimit(5000);
  BOOST_TEST(Serve(5000) == 200U);
  setBodyLimit(2000);
  Client.send(serializePost("/", std::string(2001, 'x')));
  BOOST_TEST(Client.receive().value().m_Status == 413U);
}

BOOST_AUTO_TEST_CASE(Request_withoutRoomForIt_isRefusedAndNotHandled) {
  start({.m_BodyLimit = 200000, .m_MaxBytes = 400000});
  std::vector<std::unique_ptr<RawClient>> Clients;
  std::vector<HttpExchangePtr> Exchanges;
  const std::string Body(150000, 'x');
  Clients.push_back(std::make_unique<RawClient>(port()));
  Clients.back()->send(serializePost("/first", Body));
  Exchanges.push_back(nextExchange());
  RawClient Refused(port());
  Refused.send(serializePost("/second", Body));
  const auto Reply = Refused.receive();
  BOOST_REQUIRE(Reply);
  BOOST_TEST(Reply->m_Status == 503);
  BOOST_TEST(!Reply->header("Retry-After").empty());
  BOOST_TEST(Reply->m_Body.find("\"not-run\"") != std::string::npos);
  RawClient Small(port());
  Small.send(serializePost("/small", "x"));
  const auto Exchange = nextExchange();
  BOOST_TEST(Exchange->request().m_Path == "/small");
  Exchange->respond({});
  Exchanges.front()->respond({.m_Body = "ok"});
  BOOST_TEST(Clients.front()->receive().value().m_Body == "ok");
}

// Many callers at the limits of connections and bytes, with steps in random
// order on two workers.
BOOST_AUTO_TEST_CASE(Callers_withRandomSteps_leaveNothingHeld) {
  constexpr int CallerCount = 12;
  constexpr int StepCount = 150;
  const auto Connections = std::make_shared<CallerConnections>(
      ConnectionBudgetOptions{.m_MaxBytes = 300000, .m_MaxConnections = 8});
  HttpServer Server(
      {.m_BodyLimit = 100000,
       .m_Connections = Connections,
       .m_RequestTimeout = milliseconds(200),
       .m_IdleTimeout = milliseconds(200)},
      workers(), [](const HttpExchangePtr &Each) {
        const std::size_t Size = Each->request().m_Body.size();
        if (Size % 2 == 0)
          Each->respond({.m_Body = std::string(4 * Size, 'x')});
        else if (Each->reserveMemory(Size))
          std::thread([Each] { Each->respond({.m_Body = "later"}); }).detach();
        else
          Each->respond({.m_Status = 503});
      });
  BOOST_REQUIRE(!Server.listen());
  std::vector<std::thread> Callers;
  for (unsigned Seed = 1; Seed <= CallerCount; ++Seed)
    Callers.emplace_back([&Server, Seed] {
      std::minstd_rand Random(Seed);
      auto Client = std::make_unique<RawClient>(Server.port());
      for (int Step = 0; Step < StepCount; ++Step) {
        const std::string Body(Random() % 100000, 'x');
        const std::string Post = serializePost("/", Body);
        switch (Random() % 6) {
        case 0:
          Client->send(Post.substr(0, Random() % Post.size()));
          break;
        case 1:
          Client->send(Post + Post);
          break;
        case 2:
          Client->send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       chunked(Body.substr(0, 2000), 1));
          break;
        case 3:
          if (Client->send(Post))
            Client->receive();
          break;
        case 4:
          Client->send("\r\n");
          break;
        default:
          Client = std::make_unique<RawClient>(Server.port());
        }
      }
    });
  for (std::thread &Each : Callers)
    Each.join();
  waitUntil([&] {
    return Server.connections() == 0 && Connections->heldBytes() == 0;
  });
  RawClient Ordinary(Server.port());
  Ordinary.send(serializePost("/", "ab"));
  BOOST_TEST(Ordinary.receive().value().m_Body == "xxxxxxxx");
}

BOOST_AUTO_TEST_CASE(Connection_idle_isClosedCleanly) {
  start({.m_IdleTimeout = milliseconds(20)});
  RawClient Client(port());
  Client.send(serializePost("/a", ""));
  nextExchange()->respond({.m_Body = "ok"});
  BOOST_TEST(Client.receive().value().m_Body == "ok");
  BOOST_TEST(Client.isClosedByServer());
}

// A VM without a configuration refused requests by its built-in limits.
BOOST_AUTO_TEST_CASE(Limits_notKnown_refuseUntilTheyAre) {
  std::atomic<bool> AreKnown = false;
  start({.m_HeaderLimit = 1000,
         .m_BodyLimit = 1000,
         .m_AreLimitsKnown = [&](TimePoint) { return AreKnown.load(); }});
  const auto Send = [&](const std::string &Bytes) {
    RawClient Client(port());
    Client.send(Bytes);
    return Client.receive().value();
  };
  const std::string LongBody = serializePost("/", std::string(1001, 'x'));
  const std::string LongHeader =
      "GET / HTTP/1.1\r\nX-Long: " + std::string(1000, 'x');
  for (const std::string &Each : {LongBody, LongHeader}) {
    const HttpReply Reply = Send(Each);
    BOOST_TEST(Reply.m_Status == 503U);
    BOOST_TEST(!Reply.header("Retry-After").empty());
    BOOST_TEST(Reply.m_Body.find("\"not-ready\"") != std::string::npos);
  }
  BOOST_TEST(Send("GET /\r\n\r\n").m_Status == 400U);
  AreKnown = true;
  BOOST_TEST(Send(LongBody).m_Status == 413U);
  BOOST_TEST(Send(LongHeader).m_Status == 431U);
}

BOOST_AUTO_TEST_CASE(Requests_refusedUnread_areCountedByStatusAndCause) {
  start({.m_HeaderLimit = 1000, .m_BodyLimit = 1000});
  const auto Send = [&](const std::string &Bytes) {
    RawClient Client(port());
    Client.send(Bytes);
    Client.receive();
  };
  Send("GET /\r\n\r\n");
  Send("GET / HTTP/1.1\r\nNo colon\r\n\r\n");
  Send("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n");
  Send("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n");
  Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
  Send("GET / HTTP/1.1\r\nX-Long: " + std::string(1000, 'x'));
  Send(serializePost("/", std::string(1001, 'x')));
  const RefusalCounts Expected{
      {{400, "bad-request-line"}, 1}, {{400, "bad-header"}, 1},
      {{400, "bad-body-length"}, 1},  {{501, "unknown-transfer-coding"}, 1},
      {{400, "bad-chunk"}, 1},        {{431, "header-too-large"}, 1},
      {{413, "body-too-large"}, 1}};
  BOOST_TEST((server().refusalCounts() == Expected));
}

BOOST_AUTO_TEST_SUITE_END()
