// A fleet of one entry VM, as when all other VMs are replaced at the same time.

#include "support/Cluster.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

BOOST_AUTO_TEST_SUITE(LoneVmTest)

BOOST_AUTO_TEST_CASE(SingleVm_withoutPeers_becomesReadyAndAnswers) {
  const Cluster Fleet({.m_EntryVms = 1});
  const QJsonObject Answer = Fleet.vmClient(0).postJson(
      "/v1/services/workshop-desk/lookup", {{"record", "B-0001"}});
  BOOST_TEST(Answer["found"].toBool());
}

BOOST_AUTO_TEST_SUITE_END()
