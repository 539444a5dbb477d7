// Searches while targets restart cold, fail or crash on a request.

#include "support/Cluster.h"
#include "support/FleetLoad.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace figturn;
using namespace figturn::test;

BOOST_AUTO_TEST_SUITE(TargetFaultsTest)

BOOST_AUTO_TEST_CASE(Targets_duringColdStart_neverExceedColdLimit) {
  Cluster Fleet({.m_Services = {{.m_TargetFlags = {"--boot_cold"}}}});
  std::atomic<int> Answers{0};
  FleetLoad Load(6, [&](std::size_t I) {
    Fleet.vmClient(I % 3).postJson(SearchPath, searchBody("aluminium"));
    ++Answers;
  });
  const std::string Name = Fleet.targetNames().front();
  while (Answers < 60)
    std::this_thread::yield();
  Fleet.targetProcess(Name).signal(SIGKILL);
  Fleet.restartTarget(Name, {"--boot_cold"});
  const int AnswersBefore = Answers;
  while (Answers < AnswersBefore + 120)
    std::this_thread::yield();
  Load.stop();
  BOOST_TEST(Fleet.sumTargetCounters("overColdLimit") == 0);
  for (const std::string &Target : Fleet.targetNames()) {
    const QJsonObject Connections =
        Fleet.targetCounters(Target)["connections"].toObject();
    BOOST_TEST(Connections["violations"].toInteger() == 0);
  }
}

BOOST_AUTO_TEST_CASE(Search_afterLossOfTarget_coversAllShards) {
  Cluster Fleet(ClusterOptions{});
  Fleet.vmClient(0).postJson(SearchPath, searchBody("gold"));
  Fleet.targetProcess(Fleet.targetNames().front()).signal(SIGKILL);
  for (std::size_t I = 0; I < Fleet.vmCount(); ++I)
    BOOST_TEST(coversAllShards(
        Fleet.vmClient(I).postJson(SearchPath, searchBody("gold"))));
}

BOOST_AUTO_TEST_CASE(Request_crashingTargets_crashesAtMostTwo) {
  Cluster Fleet(ClusterOptions{});
  for (const std::string &Name : Fleet.targetNames())
    Fleet.controlTarget(Name, {{"crashOnText", "poison"}});
  for (int Round = 0; Round < 2; ++Round)
    for (std::size_t I = 0; I < Fleet.vmCount(); ++I)
      Fleet.vmClient(I).postJson(SearchPath, searchBody("poison"));
  std::size_t Alive = 0;
  for (const std::string &Name : Fleet.targetNames())
    Alive += Fleet.targetCounters(Name).isEmpty() ? 0 : 1;
  BOOST_TEST(Alive >= Fleet.targetNames().size() - 2);
}

BOOST_AUTO_TEST_SUITE_END()
