/**
 * Spoilt input from outside, made from sound input by a seeded generator: no
 * reader may crash, throw or take memory without bound.
 */

#include "cli/RequestStory.h"
#include "coordination/RecordMerge.h"
#include "platform/Decoder.h"
#include "protocol/JsonConvert.h"
#include "protocol/RoutedProtocol.h"
#include "protocol/RoutedSettings.h"
#include "support/RoutedFleet.h"
#include "transport/HttpCodec.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

using namespace figturn;
using namespace figturn::test;

namespace {

/** Cases for each reader; FIGTURN_FUZZ_CASES asks for longer runs by hand. */
int caseCount() {
  const char *Asked = std::getenv("FIGTURN_FUZZ_CASES");
  return Asked ? std::atoi(Asked) : 3000;
}

std::uint32_t seed() {
  const char *Asked = std::getenv("FIGTURN_FUZZ_SEED");
  return Asked ? static_cast<std::uint32_t>(std::atoi(Asked)) : 1;
}

struct Fixture {
  std::mt19937 m_Random{seed()};

  std::string spoil(std::string Text) {
    static const std::vector<std::string> Pieces{
        "\r\n",
        "\r\n\r\n",
        "0",
        "-1",
        "1e999",
        "99999999999999999999",
        "\"",
        "{",
        "}",
        "[",
        "null",
        "\\u0000",
        "\xff",
        ":",
        ",",
        "chunked",
        "Content-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\n"};
    const int Changes = 1 + static_cast<int>(m_Random() % 4);
    for (int I = 0; I < Changes && !Text.empty(); ++I) {
      const std::size_t At = m_Random() % Text.size();
      switch (m_Random() % 5) {
      case 0:
        Text[At] = static_cast<char>(m_Random());
        break;
      case 1:
        Text.erase(At, 1 + m_Random() % 8);
        break;
      case 2:
        Text.insert(At, Pieces[m_Random() % Pieces.size()]);
        break;
      case 3:
        Text.resize(At);
        break;
      default:
        Text.insert(At, Text.substr(0, m_Random() % 64));
        break;
      }
    }
    return Text;
  }
  template <typename Function>
  void tryAll(const std::string &Sound, Function Read) {
    for (int I = 0; I < caseCount(); ++I)
      Read(spoil(Sound));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RoutedFuzzTest, Fixture)

BOOST_AUTO_TEST_CASE(Requests_thatAreSpoilt_areReadOrRefused) {
  tryAll("POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
         "X-Request-Id: 1\r\n\r\n5\r\nhello\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
         [this](std::string Bytes) {
           HttpRequestReader Reader(4096, 4096);
           std::string Pending; // Bytes left over are given again.
           while (!Bytes.empty() && Reader.refusalStatus() == 0) {
             const std::size_t Step = 1 + m_Random() % Bytes.size();
             Pending += Bytes.substr(0, Step);
             Bytes.erase(0, Step);
             std::size_t Used = 1;
             while (Used > 0 && Reader.refusalStatus() == 0) {
               Used = Reader.feed(Pending);
               Pending.erase(0, Used);
               if (Reader.isComplete())
                 BOOST_REQUIRE(Reader.take().m_Body.size() <= 4096U);
             }
           }
         });
}

// Found by the generator with FIGTURN_FUZZ_SEED=77: an assertion within the
// parser ended the process.
BOOST_AUTO_TEST_CASE(EmptyChunkedBody_thatComesByteByByte_isRead) {
  const std::string Bytes =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  HttpRequestReader Reader(4096, 4096);
  std::string Pending;
  for (const char Byte : Bytes) {
    Pending += Byte;
    Pending.erase(0, Reader.feed(Pending));
  }
  BOOST_TEST(Reader.isComplete());
  BOOST_TEST(Reader.refusalStatus() == 0U);
}

BOOST_AUTO_TEST_CASE(Replies_thatAreSpoilt_areReadOrFail) {
  tryAll("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Server-Stamp: s\r\n\r\n"
         "helloHTTP/1.1 503 X\r\n\r\n",
         [](std::string Bytes) {
           HttpReplyReader Reader(4096);
           while (!Bytes.empty() && !Reader.hasFailed()) {
             const std::size_t Used = Reader.feed(Bytes);
             Bytes.erase(0, Used);
             if (Reader.isComplete())
               Reader.take();
             else if (Used == 0)
               break;
           }
           Reader.feedEnd();
         });
}

BOOST_AUTO_TEST_CASE(Configurations_thatAreSpoilt_areReadOrLeft) {
  tryAll(toCompactJson(routedConfig(7)), [](const std::string &Text) {
    std::string Problem;
    const auto Config = platform::decodeConfig(parseJsonObject(Text), Problem);
    BOOST_REQUIRE((Config != nullptr) == Problem.empty());
    if (Config)
      Config->match("h.example", "/search/x");
  });
}

BOOST_AUTO_TEST_CASE(Entries_thatAreSpoilt_nameATargetOrNone) {
  const QJsonObject Sound{{"service", "s"},
                          {"address", "10.0.0.1:80"},
                          {"zone", "a"},
                          {"slots", 4},
                          {"state", "ready"},
                          {"cold_remaining_ms", 0},
                          {"born", 1785822630279.0}};
  tryAll(toCompactJson(Sound), [](const std::string &Text) {
    std::string Problem;
    platform::decodeTarget({.m_Name = "i", .m_Spec = parseJsonObject(Text)},
                           Clock::now(), Problem);
  });
}

BOOST_AUTO_TEST_CASE(Settings_thatAreSpoilt_areReadOrReported) {
  tryAll(R"({"door": "routed", "vm": "v", "seeds": "10.0.0.1:4,10.0.0.2:4",
             "callerAddress": "127.0.0.1:1", "retrySlack": 116})",
         [](const std::string &Text) {
           seedGossipAddresses(parseRoutedSettings(Text, "f").m_Settings);
         });
}

BOOST_AUTO_TEST_CASE(Records_thatAreSpoilt_areMerged) {
  tryAll(std::string(160, 'r'), [](const std::string &Text) {
    const std::vector<std::string_view> Parts{Text, Text};
    BOOST_REQUIRE(mergeTopRecords(Parts, 5).size() % RecordBytes == 0);
  });
}

BOOST_AUTO_TEST_CASE(LogLines_thatAreSpoilt_areReadOrPassedOver) {
  tryAll("2026-08-04T05:50:30.400Z info F0711 request-placed id=q targets=t",
         [](const std::string &Text) {
           StoryLine Line;
           if (parseLogLine(Text, "f", Line))
             tellStory("q", {Line});
         });
}

BOOST_AUTO_TEST_SUITE_END()
