/** Decoding of the platform's objects. */

#include "platform/Decoder.h"
#include "protocol/JsonConvert.h"
#include "support/RoutedTargets.h"

#include <QJsonArray>
#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::platform;
using namespace figturn::test;

namespace {

struct Fixture {
  QJsonObject m_Entry{{"service", "s-1"},
                      {"address", "10.0.0.9:8080"},
                      {"zone", "nz-south-a"},
                      {"version", "v1"},
                      {"slots", 4},
                      {"state", "ready"},
                      {"cold_remaining_ms", 0},
                      {"sequence", 4},
                      {"born", 1785822630279.0}};
  QJsonObject m_Route{{"name", "r"},
                      {"host", "h.example"},
                      {"path_prefix", "/a/"},
                      {"kind", "safe"},
                      {"timeout_ms", 800},
                      {"target_latency_ms", 150},
                      {"priority", 1},
                      {"attempts", 2},
                      {"gather", QJsonArray{"s-1", "s-2"}},
                      {"top", 20},
                      {"min_version", 0.89}};
  std::string m_Problem;

  std::optional<TargetEntry> target() {
    m_Problem.clear();
    return decodeTarget({.m_Name = "i-1", .m_Spec = m_Entry}, Start, m_Problem);
  }
  RoutingConfigPtr config() {
    m_Problem.clear();
    return decodeConfig(
        {{"version", 7},
         {"routes", QJsonArray{m_Route}},
         {"services",
          QJsonArray{QJsonObject{
              {"name", "s-1"}, {"connection_limit", 77}, {"cold_per_s", 2.5}}}},
         {"limits", QJsonObject{{"idle_timeout_ms", 15000}}}},
        m_Problem);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlatformDecoderTest, Fixture)

BOOST_AUTO_TEST_CASE(Target_validEntry_isDecoded) {
  const auto Decoded = target();
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST(Decoded->m_Instance.m_Name.value() == "i-1");
  BOOST_TEST(Decoded->m_Instance.m_StartedMs == 1785822630279);
  BOOST_TEST(Decoded->m_Host == "10.0.0.9");
  BOOST_TEST(Decoded->m_Port == 8080U);
  BOOST_TEST(!Decoded->m_Draining);
  BOOST_TEST((Decoded->m_ColdUntil == TimePoint()));
}

BOOST_AUTO_TEST_CASE(Target_inColdStart_isColdForRemainingTime) {
  m_Entry["cold_remaining_ms"] = 1500;
  BOOST_TEST((target()->m_ColdUntil == Start + milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(Target_invalidField_isRejectedWithFieldName) {
  const std::vector<std::pair<const char *, QJsonValue>> InvalidFields{
      {"service", 5},
      {"service", ""},
      {"address", "nowhere"},
      {"address", QJsonValue::Undefined},
      {"zone", QJsonValue::Null},
      {"slots", "four"},
      {"slots", 0},
      {"slots", 2.5},
      {"state", "gone"},
      {"state", true},
      {"born", 1.5},
      {"born", "yesterday"},
      {"cold_remaining_ms", "long"},
      {"cold_remaining_ms", -1}};
  const QJsonObject Valid = m_Entry;
  for (const auto &[Key, Value] : InvalidFields) {
    m_Entry = Valid;
    if (Value.isUndefined())
      m_Entry.remove(QLatin1StringView(Key));
    else
      m_Entry[QLatin1StringView(Key)] = Value;
    BOOST_TEST(!target().has_value());
    BOOST_TEST(m_Problem == Key);
  }
}

BOOST_AUTO_TEST_CASE(Object_withoutName_isRejected) {
  BOOST_TEST(!decodeObject({}).has_value());
  BOOST_TEST(!decodeObject({{"meta", "x"}}).has_value());
  const auto Decoded = decodeObject(
      {{"meta", QJsonObject{{"name", "n"}, {"revision", 9}}}, {"spec", 5}});
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST(Decoded->m_Revision.m_Number == 9U);
  BOOST_TEST(Decoded->m_Spec.isEmpty());
}

BOOST_AUTO_TEST_CASE(Config_searchRoute_isDecodedWithShardsAndCoverage) {
  const auto Decoded = config();
  BOOST_REQUIRE((Decoded != nullptr));
  const Route *Found = Decoded->match("h.example", "/a/x");
  BOOST_REQUIRE((Found != nullptr));
  BOOST_TEST(Found->m_Search->m_Shards.size() == 2U);
  BOOST_TEST(Found->m_Search->m_MinCoverage == 0.89);
  BOOST_TEST(Found->m_Search->m_MaxRecords == 20U);
  BOOST_TEST(Found->m_MaxSends == 2U);
  BOOST_TEST((Found->m_LatencyObjective == milliseconds(150)));
  BOOST_TEST(Decoded->policy(ServiceName("s-1")).m_ColdRequestsPerSecond ==
             2.5);
  BOOST_TEST((Decoded->limits().m_IdleTimeout == seconds(15)));
}

BOOST_AUTO_TEST_CASE(Config_trafficSplit_isDecodedWithWeights) {
  m_Route.remove("gather");
  m_Route["traffic_split"] =
      QJsonArray{QJsonObject{{"service", "a"}, {"weight", 1}},
                 QJsonObject{{"service", "b"}, {"weight", 3}}};
  const auto Decoded = config();
  BOOST_REQUIRE((Decoded != nullptr));
  BOOST_TEST(Decoded->routes()[0].m_Services[1].m_Weight == 3);
}

BOOST_AUTO_TEST_CASE(Config_missingField_isRejectedWithFieldName) {
  const QJsonObject Valid = m_Route;
  for (const char *Key :
       {"name", "host", "path_prefix", "kind", "timeout_ms"}) {
    m_Route = Valid;
    m_Route.remove(QLatin1StringView(Key));
    BOOST_TEST((config() == nullptr));
    BOOST_TEST(m_Problem == Key);
  }
  m_Route = Valid;
  m_Route["gather"] = QJsonArray{};
  BOOST_TEST((config() == nullptr));
  BOOST_TEST((decodeConfig({}, m_Problem) == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
