/** Objects in which some values can't be read. */

#include "protocol/LenientJson.h"
#include "protocol/JsonConvert.h"

#include <QJsonArray>
#include <boost/test/unit_test.hpp>
#include <string>

using namespace figturn;

namespace {

std::string parsed(const std::string &Text) {
  const auto Object = parseJsonLeniently(Text);
  return Object ? toCompactJson(*Object) : "none";
}

} // namespace

BOOST_AUTO_TEST_SUITE(LenientJsonTest)

BOOST_AUTO_TEST_CASE(ValidText_isReadUnchanged) {
  const std::string Text =
      R"({"a":[1,{"b":"x\"]}"}],"c":{"d":null},"e":true,"f":[],"g":{}})";
  BOOST_TEST(parsed(Text) == Text);
}

BOOST_AUTO_TEST_CASE(UnreadableValue_isNullAndOthersAreRead) {
  const std::string Deep = std::string(100000, '[') + std::string(100000, ']');
  for (const std::string &Odd :
       {Deep, std::string("1e999"), std::string("\"\xff\""),
        std::string("nonsense"), std::string("{\"x\" 1}")})
    BOOST_TEST(parsed("{ \"items\" : [ {\"m\":\"a, b\", \"s\":{\"v\": " + Odd +
                      " , \"w\":2}} , {\"m\":3} ] ,\"more\":false}") ==
               R"({"items":[{"m":"a, b","s":{"v":null,"w":2}},{"m":3}],)"
               R"("more":false})");
}

BOOST_AUTO_TEST_CASE(MalformedOuterStructure_isNoObject) {
  for (const std::string &Text :
       {std::string(), std::string("[]"), std::string("{\"a\": [1, 2}"),
        std::string("{\"a\": 1e999"), std::string("{\"a\": 1e999,}"),
        std::string("{\"a\": \"x"), std::string("{1e999: 2}"),
        std::string("{\"a\": 1e999} x"), std::string(100000, '{'),
        std::string("{\"a\":") + std::string(100000, '[')})
    BOOST_TEST(parsed(Text) == "none", Text.substr(0, 30));
}

BOOST_AUTO_TEST_SUITE_END()
