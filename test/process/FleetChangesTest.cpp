// Service to callers while operators and the platform change the fleet.

#include "support/Cluster.h"
#include "support/FleetLoad.h"

#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

using namespace figturn;
using namespace figturn::test;

namespace {

void setPlacement(Cluster &Fleet, const char *DataCentre,
                  const char *Placement) {
  QJsonObject Centres = Fleet.configuration()["dataCentres"].toObject();
  Centres[DataCentre] = QJsonObject{{"placement", Placement}};
  Fleet.configuration()["dataCentres"] = Centres;
  Fleet.publishConfiguration();
}

/** Waits until each VM has logged that \p Count configurations took effect. */
void waitForConfigurations(Cluster &Fleet, std::size_t Count) {
  for (std::size_t I = 0; I < Fleet.vmCount(); ++I) {
    std::size_t Logged = 0;
    std::size_t FirstLine = 0;
    while (Logged < Count) {
      BOOST_REQUIRE(Fleet.vmProcess(I).waitForLine("F0250", "", FirstLine));
      const std::vector<std::string> Lines = Fleet.vmProcess(I).lines();
      while (FirstLine < Lines.size() && Logged < Count)
        Logged += Lines[FirstLine++].find("F0250") != std::string::npos ? 1 : 0;
    }
  }
}

std::int64_t callsInDataCentre(Cluster &Fleet, const char *DataCentre) {
  std::int64_t Calls = 0;
  const QJsonObject Targets = Fleet.configuration()["targets"].toObject();
  for (const std::string &Name : Fleet.targetNames()) {
    const QJsonObject Target = Targets[QString::fromStdString(Name)].toObject();
    if (Target["dataCentre"].toString() == QLatin1String(DataCentre))
      Calls += Fleet.targetCounters(Name)["calls"].toInteger();
  }
  return Calls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetChangesTest)

BOOST_AUTO_TEST_CASE(DataCentre_setOutAndIn_losesAndRegainsWork) {
  // With six targets, the replicas of each shard are in two data centres.
  Cluster Fleet({.m_Services = {{.m_Targets = 6}}});
  setPlacement(Fleet, "nz-south-a", "out");
  waitForConfigurations(Fleet, 2);
  const std::int64_t CallsBefore = callsInDataCentre(Fleet, "nz-south-a");
  for (int Round = 0; Round < 5; ++Round)
    for (std::size_t I = 0; I < Fleet.vmCount(); ++I)
      BOOST_TEST(coversAllShards(
          Fleet.vmClient(I).postJson(SearchPath, searchBody("gold"))));
  BOOST_TEST(callsInDataCentre(Fleet, "nz-south-a") == CallsBefore);
  setPlacement(Fleet, "nz-south-a", "in");
  waitForConfigurations(Fleet, 3);
  for (int Round = 0; Round < 20; ++Round)
    BOOST_TEST(coversAllShards(
        Fleet.vmClient(0).postJson(SearchPath, searchBody("gold"))));
  BOOST_TEST(callsInDataCentre(Fleet, "nz-south-a") > CallsBefore);
}

// Calls that waited for a slot of a target were sent to it after the
// configuration had ceased to name it.
BOOST_AUTO_TEST_CASE(CallsThatWait_whenTargetIsRemoved_goToAnother) {
  Cluster Fleet({.m_Services = {{.m_Shards = 1,
                                 .m_Targets = 2,
                                 .m_Replicas = 2,
                                 .m_SlotsPerSearcher = 1}},
                 .m_EntryVms = 1});
  const std::string Removed = Fleet.targetNames().front();
  const auto CallsOfRemoved = [&] {
    return Fleet.targetCounters(Removed)["calls"].toInteger();
  };
  for (int I = 0; I < 4; ++I)
    BOOST_TEST(coversAllShards(
        Fleet.vmClient(0).postJson(SearchPath, searchBody("gold"))));
  const std::int64_t CallsBefore = CallsOfRemoved();
  for (const std::string &Name : Fleet.targetNames())
    Fleet.controlTarget(Name, {{"delayMs", 700}});
  constexpr int CallerCount = 8;
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  for (int I = 0; I < CallerCount; ++I)
    Callers.emplace_back(
        [&] { Fleet.vmClient(0).postJson(SearchPath, searchBody("gold")); });
  const auto Deadline = std::chrono::steady_clock::now() + seconds(5);
  while (CallsOfRemoved() == CallsBefore &&
         std::chrono::steady_clock::now() < Deadline)
    std::this_thread::sleep_for(milliseconds(10));
  QJsonObject Targets = Fleet.configuration()["targets"].toObject();
  Targets.remove(QString::fromStdString(Removed));
  Fleet.configuration()["targets"] = Targets;
  Fleet.publishConfiguration();
  waitForConfigurations(Fleet, 2);
  const std::int64_t Calls = CallsOfRemoved();
  for (std::thread &Each : Callers)
    Each.join();
  BOOST_TEST(CallsOfRemoved() == Calls);
}

BOOST_AUTO_TEST_CASE(Search_duringPlatformOutage_isAnswered) {
  Cluster Fleet(ClusterOptions{});
  Fleet.platformClient().postJson("/control", {{"outage", true}});
  for (int Round = 0; Round < 10; ++Round)
    for (std::size_t I = 0; I < Fleet.vmCount(); ++I)
      BOOST_TEST(coversAllShards(
          Fleet.vmClient(I).postJson(SearchPath, searchBody("gold"))));
}

BOOST_AUTO_TEST_CASE(
    Vm_startedDuringPlatformOutage_getsConfigurationFromPeers) {
  Cluster Fleet(ClusterOptions{});
  Fleet.platformClient().postJson("/control", {{"outage", true}});
  const std::size_t LateVm = Fleet.startVm(false);
  BOOST_TEST(
      Fleet.vmProcess(LateVm).waitForLine("F0250", "version=").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
