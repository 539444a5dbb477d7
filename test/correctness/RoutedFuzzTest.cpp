/**
 * Fuzz tests of the decoders of external input. A seeded generator mutates
 * valid input; no decoder may crash or throw, and no request body may exceed
 * its limit. FIGTURN_FUZZ_SEED=N sets the seed of the generator.
 */

#include "cli/RequestTimeline.h"
#include "coordination/RecordMerge.h"
#include "platform/Decoder.h"
#include "protocol/Compression.h"
#include "protocol/DocumentHistory.h"
#include "protocol/JsonConvert.h"
#include "protocol/LenientJson.h"
#include "protocol/RoutedProtocol.h"
#include "protocol/RoutedSettings.h"
#include "support/RoutedFleet.h"
#include "transport/HttpCodec.h"

#include <QJsonArray>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

using namespace figturn;
using namespace figturn::test;

namespace {

/** Number of inputs per decoder; set FIGTURN_FUZZ_CASES for longer runs. */
int caseCount() {
  const char *Value = std::getenv("FIGTURN_FUZZ_CASES");
  return Value ? std::atoi(Value) : 3000;
}

std::uint32_t seed() {
  const char *Value = std::getenv("FIGTURN_FUZZ_SEED");
  return Value ? static_cast<std::uint32_t>(std::atoi(Value)) : 1;
}

struct Fixture {
  std::mt19937 m_Random{seed()};

  std::string mutate(std::string Text) {
    static const std::vector<std::string> Fragments{
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
    const int MutationCount = 1 + static_cast<int>(m_Random() % 4);
    for (int I = 0; I < MutationCount && !Text.empty(); ++I) {
      const std::size_t Offset = m_Random() % Text.size();
      switch (m_Random() % 5) {
      case 0:
        Text[Offset] = static_cast<char>(m_Random());
        break;
      case 1:
        Text.erase(Offset, 1 + m_Random() % 8);
        break;
      case 2:
        Text.insert(Offset, Fragments[m_Random() % Fragments.size()]);
        break;
      case 3:
        Text.resize(Offset);
        break;
      default:
        Text.insert(Offset, Text.substr(0, m_Random() % 64));
        break;
      }
    }
    return Text;
  }
  template <typename Function>
  void fuzz(const std::string &Valid, Function Decode) {
    for (int I = 0; I < caseCount(); ++I)
      Decode(mutate(Valid));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RoutedFuzzTest, Fixture)

BOOST_AUTO_TEST_CASE(Requests_malformed_areParsedOrRefused) {
  fuzz("POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
       "X-Request-Id: 1\r\n\r\n5\r\nhello\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
       [this](std::string Bytes) {
         HttpRequestReader Reader(4096, 4096);
         std::string Pending; // Unconsumed bytes are fed again.
         while (!Bytes.empty() && Reader.defect() == RequestDefect::None) {
           const std::size_t Step = 1 + m_Random() % Bytes.size();
           Pending += Bytes.substr(0, Step);
           Bytes.erase(0, Step);
           std::size_t Used = 1;
           while (Used > 0 && Reader.defect() == RequestDefect::None) {
             Used = Reader.feed(Pending);
             Pending.erase(0, Used);
             if (Reader.isComplete())
               BOOST_REQUIRE(Reader.takeMessage().m_Body.size() <= 4096U);
           }
         }
       });
}

// Guards against a failed assertion in the HTTP parser that aborted the process
// on such a request; found with FIGTURN_FUZZ_SEED=77.
BOOST_AUTO_TEST_CASE(Request_emptyChunkedBodyInSingleBytes_isParsed) {
  const std::string Bytes =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  HttpRequestReader Reader(4096, 4096);
  std::string Pending;
  for (const char Byte : Bytes) {
    Pending += Byte;
    Pending.erase(0, Reader.feed(Pending));
  }
  BOOST_TEST(Reader.isComplete());
  BOOST_TEST(requestDefectStatus(Reader.defect()) == 0U);
}

BOOST_AUTO_TEST_CASE(Replies_malformed_areParsedOrFail) {
  fuzz("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Server-Stamp: s\r\n\r\n"
       "helloHTTP/1.1 503 X\r\n\r\n",
       [](std::string Bytes) {
         HttpReplyReader Reader(4096);
         while (!Bytes.empty() && !Reader.hasFailed()) {
           const std::size_t Used = Reader.feed(Bytes);
           Bytes.erase(0, Used);
           if (Reader.isComplete())
             Reader.takeMessage();
           else if (Used == 0)
             break;
         }
         Reader.feedEof();
       });
}

BOOST_AUTO_TEST_CASE(Configurations_malformed_areDecodedOrRejected) {
  fuzz(toCompactJson(routedConfig(7)), [](const std::string &Text) {
    std::string Problem;
    const auto Config = platform::decodeConfig(parseJsonObject(Text), Problem);
    BOOST_REQUIRE((Config != nullptr) == Problem.empty());
    if (Config)
      Config->match("h.example", "/search/x");
  });
}

BOOST_AUTO_TEST_CASE(Targets_malformed_areDecodedOrRejected) {
  const QJsonObject Valid{{"service", "s"},
                          {"address", "10.0.0.1:80"},
                          {"zone", "a"},
                          {"slots", 4},
                          {"state", "ready"},
                          {"cold_remaining_ms", 0},
                          {"born", 1785822630279.0}};
  fuzz(toCompactJson(Valid), [](const std::string &Text) {
    std::string Problem;
    platform::decodeTarget({.m_Name = "i", .m_Spec = parseJsonObject(Text)},
                           Clock::now(), Problem);
  });
}

BOOST_AUTO_TEST_CASE(Listings_malformed_keepTheirReadableEntries) {
  const std::string Entry =
      R"({"meta":{"name":"i-1"},"spec":{"slots":4,"a":[1,{"b":"c"}]}})";
  // Mutations within an entry's values leave the entry after it readable.
  fuzz(R"([1,{"b":"c"}])", [&Entry](const std::string &Text) {
    const auto Body =
        parseJsonLeniently(R"({"items":[{"meta":{"name":"i-0"},"spec":{"a":)" +
                           Text + "}}," + Entry + R"(],"more":false})");
    if (Body && Body->value("items").toArray().size() == 2)
      BOOST_REQUIRE(toCompactJson(Body->value("items")[1].toObject()).size() ==
                    Entry.size());
  });
  fuzz(R"({"items":[)" + Entry + "," + Entry + R"(],"current_rev":7})",
       [](const std::string &Text) {
         if (const auto Body = parseJsonLeniently(Text))
           for (const auto &Each : Body->value("items").toArray())
             platform::decodeObject(Each.toObject());
       });
}

BOOST_AUTO_TEST_CASE(Copies_malformed_areDecompressedOrRefused) {
  fuzz(compress(toCompactJson(routedConfig(7))), [](const std::string &Bytes) {
    const auto Text = decompress(Bytes, 100000);
    BOOST_REQUIRE(!Text || Text->size() <= 100000U);
  });
}

BOOST_AUTO_TEST_CASE(Changes_malformed_areAppliedOrRefused) {
  DocumentHistory History({.m_ListField = "routes", .m_NameField = "name"});
  History.set(6, routedConfig(6));
  History.set(7, routedConfig(7));
  const QJsonObject Changes = *History.changesSince(6);
  DocumentHistory Copy({.m_ListField = "routes", .m_NameField = "name"});
  Copy.set(6, routedConfig(6));
  fuzz(toCompactJson(Changes), [&Copy](const std::string &Text) {
    if (const auto Document = Copy.apply(parseJsonObject(Text)))
      BOOST_REQUIRE(Document->value("routes").isArray());
  });
}

BOOST_AUTO_TEST_CASE(RateLimits_malformed_areReadOrRefused) {
  const RoutedHeaders Names{.m_RateLimit = "Server-Limit"};
  fuzz("28.4", [&Names](const std::string &Text) {
    const auto Limit =
        decodeRateLimit({{"Server-Limit", Text}}, Names).m_RequestsPerSecond;
    BOOST_REQUIRE((!Limit || (*Limit >= 0 && *Limit <= 1e6)));
  });
}

BOOST_AUTO_TEST_CASE(Waits_malformed_areReadOrRefused) {
  fuzz("1.5", [](const std::string &Text) {
    const auto Time = decodeWait(503, {{"Retry-After", Text}}).m_Time;
    BOOST_REQUIRE(
        (!Time || (*Time >= Duration(0) && *Time <= std::chrono::hours(24))));
  });
}

BOOST_AUTO_TEST_CASE(Settings_malformed_areDecodedOrReported) {
  fuzz(R"({"door": "routed", "vm": "v", "seeds": "10.0.0.1:4,10.0.0.2:4",
             "callerAddress": "127.0.0.1:1", "retrySlack": 116})",
       [](const std::string &Text) {
         seedGossipAddresses(parseRoutedSettings(Text, "f").m_Settings);
       });
}

BOOST_AUTO_TEST_CASE(Records_malformed_areMerged) {
  fuzz(std::string(160, 'r'), [](const std::string &Text) {
    const std::vector<std::string_view> Parts{Text, Text};
    BOOST_REQUIRE(mergeTopRecords(Parts, 5).size() % RecordSizeBytes == 0);
  });
}

BOOST_AUTO_TEST_CASE(LogLines_malformed_areParsedOrSkipped) {
  fuzz("2026-08-04T05:50:30.400Z info F0711 request-placed id=q targets=t",
       [](const std::string &Text) {
         LogLine Line;
         if (parseLogLine(Text, "f", Line))
           buildTimeline("q", {Line});
       });
}

BOOST_AUTO_TEST_SUITE_END()
