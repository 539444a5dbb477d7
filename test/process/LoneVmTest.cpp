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

// A VM that had not read its indexes yet was ready, and refused requests.
BOOST_AUTO_TEST_CASE(SingleVm_readingItsIndexSlowly_isReadyOnlyAfterIt) {
  const Cluster Fleet(
      {.m_EntryVms = 1, .m_PlatformFaults = {{"indexDelayMs", 700}}});
  const QJsonObject Answer = Fleet.vmClient(0).postJson(
      "/v1/services/workshop-desk/lookup", {{"record", "B-0001"}});
  BOOST_TEST(Answer["found"].toBool(),
             "reason: " << Answer["reason"].toString().toStdString());
}

BOOST_AUTO_TEST_CASE(SingleVm_withoutAnyIndex_becomesReady) {
  Cluster Fleet({.m_EntryVms = 1});
  QJsonObject Services = Fleet.configuration()["services"].toObject();
  Services["unpublished"] = QJsonObject{};
  Fleet.configuration()["services"] = Services;
  Fleet.publishConfiguration();
  Fleet.startVm(); // Waits until it is ready.
  BOOST_TEST(Fleet.vmCount() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
