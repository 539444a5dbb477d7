#include "support/HttpServerFixture.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace figturn;
using namespace figturn::test;

namespace {

struct ErrorFixture : HttpServerFixture {
  /** Sends \p Bytes and expects a refusal, a close and no handled request. */
  void expectRefusal(const std::string &Bytes, unsigned Status,
                     const std::string &Reason) {
    RawClient Client(port());
    Client.send(Bytes);
    const auto Reply = Client.receive();
    BOOST_REQUIRE(Reply);
    BOOST_TEST(Reply->m_Status == Status);
    BOOST_TEST(!Reply->m_KeepAlive);
    BOOST_TEST(Reply->m_Body.find("\"not-run\"") != std::string::npos);
    BOOST_TEST(Reply->m_Body.find(Reason) != std::string::npos);
    BOOST_TEST(Client.isClosedByServer());
    BOOST_TEST(handledCount() == 0);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpServerErrorTest, ErrorFixture)

BOOST_AUTO_TEST_CASE(RequestLine_malformed_isRefusedWith400) {
  start();
  expectRefusal("what is this\r\n\r\n", 400, "bad-request");
  expectRefusal("GET / HTTP/9.9\r\n\r\n", 400, "bad-request");
  expectRefusal(std::string("\x16\x03\x01\x00\xa5\x01", 6) +
                    std::string(100, '\0'),
                400, "bad-request");
}

BOOST_AUTO_TEST_CASE(Length_givenTwiceOrNegative_isRefusedWith400) {
  start();
  expectRefusal("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400, "bad-request");
  expectRefusal("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                "Content-Length: 4\r\n\r\nabcd",
                400, "bad-request");
  expectRefusal("POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n", 400,
                "bad-request");
}

BOOST_AUTO_TEST_CASE(Body_declaredOversize_isRefusedBeforeItIsSent) {
  start({.m_BodyLimit = 1000});
  expectRefusal("POST / HTTP/1.1\r\nContent-Length: 300000000\r\n\r\n", 413,
                "body-too-large");
}

// Each empty line restarted the idle timeout, so that a connection could be
// kept without ever sending a request.
BOOST_AUTO_TEST_CASE(Connection_withEmptyLinesOnly_isClosedWhenIdle) {
  constexpr int MaxLines = 250;
  start({.m_IdleTimeout = milliseconds(200)});
  RawClient Client(port());
  int Lines = 0;
  while (Lines < MaxLines && Client.send("\r\n")) {
    std::this_thread::sleep_for(milliseconds(20));
    ++Lines;
  }
  BOOST_TEST(Lines < MaxLines);
}

// Such bytes were collected without a limit.
BOOST_AUTO_TEST_CASE(TrailersAndChunkLines_withoutEnd_areRefusedWith431) {
  start({.m_HeaderLimit = 1000});
  const std::string Head =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  expectRefusal(Head + "0\r\nX-Trailer: " + std::string(2000, 'x'), 431,
                "shorter fields");
  expectRefusal(Head + "0\r\n" + std::string(500, 'a') + ": b\r\n" +
                    std::string(500, 'c') + ": d\r\n",
                431, "shorter fields");
  expectRefusal(Head + "5;" + std::string(2000, 'x'), 431, "shorter fields");
}

BOOST_AUTO_TEST_CASE(Trailers_withinTheHeaderLimit_areAccepted) {
  start({.m_HeaderLimit = 1000});
  RawClient Client(port());
  Client.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "5;extension=value\r\nhello\r\n0\r\nX-Trailer: " +
              std::string(900, 'x') + "\r\n\r\n");
  const auto Exchange = nextExchange();
  BOOST_TEST(Exchange->request().m_Body == "hello");
  Exchange->respond({.m_Body = "ok"});
  BOOST_TEST(Client.receive().value().m_Body == "ok");
}

BOOST_AUTO_TEST_CASE(Body_oversize_isRefusedWhileItIsSent) {
  start({.m_BodyLimit = 1000});
  expectRefusal(serializePost("/", std::string(1001, 'x')), 413,
                "body-too-large");
  expectRefusal("POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" +
                    std::string(200000, 'x'),
                413, "body-too-large");
}

BOOST_AUTO_TEST_CASE(Chunks_ofAnOversizeBody_areRefused) {
  start({.m_BodyLimit = 1000});
  std::string Bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int Number = 0; Number < 11; ++Number)
    Bytes += "64\r\n" + std::string(100, 'x') + "\r\n";
  expectRefusal(Bytes, 413, "body-too-large");
}

BOOST_AUTO_TEST_CASE(Header_oversize_isRefusedWith431) {
  start({.m_HeaderLimit = 1024});
  expectRefusal("GET / HTTP/1.1\r\nX-Long: " + std::string(5000, 'x') +
                    "\r\n\r\n",
                431, "header");
  expectRefusal("GET /" + std::string(5000, 'x'), 431, "header");
}

BOOST_AUTO_TEST_CASE(Header_tooSlow_isRefusedWith408) {
  start({.m_RequestTimeout = milliseconds(20)});
  expectRefusal("GET / HTT", 408, "header-timeout");
}

BOOST_AUTO_TEST_CASE(Body_tooSlow_isRefusedWith408) {
  start({.m_RequestTimeout = milliseconds(20)});
  expectRefusal("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", 408,
                "header-timeout");
}

BOOST_AUTO_TEST_CASE(Requests_beforeAMalformedOne_areAnswered) {
  start();
  RawClient Client(port());
  Client.send(serializePost("/good", "{}") + "garbage\r\n\r\n" +
              serializePost("/behind", ""));
  nextExchange()->respond({.m_Body = "good"});
  BOOST_TEST(Client.receive().value().m_Body == "good");
  BOOST_TEST(Client.receive().value().m_Status == 400);
  BOOST_TEST(Client.isClosedByServer());
  BOOST_TEST(handledCount() == 1);
}

BOOST_AUTO_TEST_CASE(Listen_failed_returnsTheSystemsError) {
  start();
  HttpServer Second({.m_Port = port()}, workers(), [](HttpExchangePtr) {});
  BOOST_TEST(
      (Second.listen() == std::make_error_code(std::errc::address_in_use)));
  HttpServer Third({.m_Address = "no address"}, workers(),
                   [](HttpExchangePtr) {});
  BOOST_TEST(
      (Third.listen() == std::make_error_code(std::errc::invalid_argument)));
}

BOOST_AUTO_TEST_SUITE_END()
