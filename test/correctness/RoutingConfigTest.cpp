/** Selection of the route of a request. */

#include "state/RoutingConfig.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

struct Fixture {
  RoutingConfig m_Config{
      ConfigVersion(7),
      {{.m_Name = "root", .m_Host = "a.example", .m_PathPrefix = "/"},
       {.m_Name = "long", .m_Host = "a.example", .m_PathPrefix = "/x/y/"},
       {.m_Name = "short", .m_Host = "a.example", .m_PathPrefix = "/x/"},
       {.m_Name = "other", .m_Host = "b.example", .m_PathPrefix = "/x/"}},
      {{ServiceName("desk"), {.m_ConnectionLimit = 77}}},
      {}};

  std::string matchedName(std::string_view Host, std::string_view Path) const {
    const Route *Found = m_Config.match(Host, Path);
    return Found ? Found->m_Name : "none";
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RoutingConfigTest, Fixture)

BOOST_AUTO_TEST_CASE(Route_withTheLongestPrefix_isSelected) {
  BOOST_TEST(matchedName("a.example", "/x/y/z") == "long");
  BOOST_TEST(matchedName("a.example", "/x/z") == "short");
  BOOST_TEST(matchedName("a.example", "/z") == "root");
}

BOOST_AUTO_TEST_CASE(Path_withoutTheSlashOfThePrefix_doesNotMatch) {
  BOOST_TEST(matchedName("b.example", "/x") == "none");
  BOOST_TEST(matchedName("b.example", "/xy/") == "none");
}

BOOST_AUTO_TEST_CASE(Host_withPortOrInOtherCase_matches) {
  BOOST_TEST(matchedName("A.Example:8080", "/x/") == "short");
  BOOST_TEST(matchedName("c.example", "/x/") == "none");
  BOOST_TEST(matchedName("", "/x/") == "none");
}

BOOST_AUTO_TEST_CASE(Policy_ofAnUnknownService_hasNoLimit) {
  BOOST_TEST(m_Config.policy(ServiceName("desk")).m_ConnectionLimit == 77U);
  BOOST_TEST(m_Config.policy(ServiceName("none")).m_ConnectionLimit == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
