/** Requests that HTTP/1.1 allows are read, in whatever parts they arrive. */

#include "transport/HttpCodec.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace figturn;

namespace {

constexpr std::size_t HeaderLimit = 1000;
constexpr std::size_t BodyLimit = 5000;

struct Fixture {
  /** Feeds \p Parts in turn and returns the request; fails the test if it is
   *  refused or incomplete. */
  static HttpRequest read(const std::vector<std::string> &Parts) {
    HttpRequestReader Reader(HeaderLimit, BodyLimit);
    std::string Pending;
    for (const std::string &Part : Parts) {
      Pending += Part;
      std::size_t Used = 1;
      while (Used > 0 && !Pending.empty() && !Reader.isComplete()) {
        Used = Reader.feed(Pending);
        Pending.erase(0, Used);
      }
      BOOST_REQUIRE_EQUAL(requestDefectName(Reader.defect()), "none");
    }
    BOOST_REQUIRE(Reader.isComplete());
    BOOST_REQUIRE(Pending.empty());
    return Reader.takeMessage();
  }

  /** A header of exactly \p Size bytes, with the line \p Field. */
  static std::string headerOf(std::size_t Size, const std::string &Field) {
    const std::string Head =
        "POST /a/b HTTP/1.1\r\nHost: h.example\r\n" + Field + "X-Fill: ";
    return Head + std::string(Size - Head.size() - 4, 'f') + "\r\n\r\n";
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProperRequestsTest, Fixture)

BOOST_AUTO_TEST_CASE(Request_inAnyTwoParts_orInSingleBytes_isRead) {
  const std::string Head = "POST /a/b?c=%C3%A6 HTTP/1.1\r\nhOST: h.example\r\n"
                           "Connection: keep-alive, TE\r\nTE: trailers\r\n"
                           "X-Text: \xc3\xa6 \t ~!\r\nX-Empty:\r\n";
  const std::vector<std::string> Requests{
      Head + "Content-Length: 5\r\n\r\nhello",
      Head + "Content-Length: 0\r\n\r\n",
      "\r\n" + Head + "Content-Length:5 \r\n\r\nhello",
      Head + "Transfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
      Head + "Transfer-Encoding: chunked\r\n\r\n"
             "2\r\nhe\r\n00003;a=b;c=\"d\"\r\nllo\r\n0;e\r\n\r\n",
      Head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n"
             "1\r\nh\r\n4\r\nello\r\n0\r\nX-T: u\r\n\r\n",
      Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"};
  for (const std::string &Request : Requests) {
    const std::string Body = read({Request}).m_Body;
    BOOST_TEST((Body.empty() || Body == "hello"));
    std::vector<std::string> Bytes;
    for (std::size_t I = 0; I < Request.size(); ++I) {
      Bytes.push_back(Request.substr(I, 1));
      BOOST_TEST(read({Request.substr(0, I), Request.substr(I)}).m_Body ==
                 Body);
    }
    BOOST_TEST(read(Bytes).m_Body == Body);
  }
}

BOOST_AUTO_TEST_CASE(Request_ofExactlyTheLimits_isRead) {
  const std::string Body(BodyLimit, 'b');
  const std::string Whole =
      headerOf(HeaderLimit, "Content-Length: 5000\r\n") + Body;
  const std::string Chunked =
      headerOf(HeaderLimit, "Transfer-Encoding: chunked\r\n") + "1\r\nb\r\n" +
      "1387\r\n" + Body.substr(1) + "\r\n0\r\n\r\n";
  for (const std::string &Request : {Whole, Chunked})
    for (std::size_t At = 1; At < Request.size(); At += 7)
      BOOST_TEST(read({Request.substr(0, At), Request.substr(At)}).m_Body ==
                 Body);
}

// Guards against 404 on such a request: its whole target counted as the path.
BOOST_AUTO_TEST_CASE(Target_inAbsoluteForm_isReadAsHostAndPath) {
  const HttpRequest Request = read({"GET HTTP://h.example:8226/a/b?c=d "
                                    "HTTP/1.1\r\nHost: other\r\n\r\n"});
  BOOST_TEST(Request.m_Target == "/a/b?c=d");
  BOOST_TEST(Request.m_Path == "/a/b");
  BOOST_TEST(Request.m_Query == "c=d");
  BOOST_TEST(Request.header("Host") == "h.example:8226");
  BOOST_TEST(read({"GET http://h.example?q HTTP/1.1\r\n\r\n"}).m_Target ==
             "/?q");
  BOOST_TEST(read({"GET http://h.example HTTP/1.1\r\n\r\n"}).m_Path == "/");
  BOOST_TEST(read({"GET /http://x/ HTTP/1.1\r\n\r\n"}).m_Path == "/http://x/");
}

BOOST_AUTO_TEST_SUITE_END()
