// Searches while existing connections to targets have gone silent but new
// connections work.

#include "support/Cluster.h"
#include "support/FleetLoad.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

BOOST_AUTO_TEST_SUITE(SilentConnectionsTest)

BOOST_AUTO_TEST_CASE(Search_overSilentConnections_isComplete) {
  Cluster Fleet(ClusterOptions{});
  for (std::size_t I = 0; I < Fleet.vmCount(); ++I)
    Fleet.vmClient(I).postJson(SearchPath, searchBody("gold"));
  for (const std::string &Name : Fleet.targetNames())
    Fleet.controlTarget(Name, {{"hangOldConnections", true}});
  for (std::size_t I = 0; I < Fleet.vmCount(); ++I)
    BOOST_TEST(coversAllShards(
        Fleet.vmClient(I).postJson(SearchPath, searchBody("silver"))));
}

BOOST_AUTO_TEST_SUITE_END()
