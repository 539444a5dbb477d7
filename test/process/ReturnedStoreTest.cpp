/** VMs as real processes with a store that returns from an older copy of its
 *  data. */

#include "support/LearningLog.h"
#include "support/RoutedFleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

using namespace figturn;
using namespace figturn::test;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/** Bound for a change of the configuration, and for removals. */
constexpr std::chrono::seconds ChangeTime{3};

struct Fixture {
  Fixture() {
    m_Fleet.publish(routedConfig(3));
    m_Fleet.addSearcher("i-left", "s-0");
    m_Fleet.addSearcher("i-right", "s-1");
    m_Desk = &m_Fleet.addSearcher("i-desk", "desk");
    m_Other = &m_Fleet.addSearcher("i-other", "desk");
    for (int I = 0; I < 3; ++I)
      m_Fleet.startVm();
  }

  /** Writes of other programs, which raise the store's revision. */
  void writeOthers(int Count) {
    m_Fleet.runOnStandinThread([&] {
      for (int I = 0; I < Count; ++I)
        m_Fleet.m_Store->put("others", "o-1", {{"value", I}});
    });
  }
  void saveCopy() {
    m_Fleet.runOnStandinThread([&] { m_Fleet.m_Store->saveCopy(); });
    writeOthers(30);
  }
  void returnStore() {
    m_Fleet.runOnStandinThread([&] { m_Fleet.m_Store->returnFromCopy(); });
  }
  static QJsonObject configWithRoute(int Version, const char *Prefix) {
    QJsonObject Config = routedConfig(Version);
    QJsonArray Routes = Config["routes"].toArray();
    QJsonObject Added = Routes[1].toObject();
    Added["name"] = Prefix;
    Added["path_prefix"] = Prefix;
    Routes.append(Added);
    Config["routes"] = Routes;
    return Config;
  }
  void waitForConfig(int Version) {
    for (const auto &Each : m_Fleet.m_Vms)
      BOOST_REQUIRE(
          Each->m_Process
              ->waitForLine("F0250", fmt::format("version={}", Version))
              .has_value());
  }
  unsigned get(const RoutedFleet::Vm &Vm, const std::string &Target) {
    return RoutedFleet::call(Vm.m_CallerPort, "GET", Target,
                             RoutedFleet::requestHeaders(
                                 fmt::format("q-{}", ++m_RequestCount)),
                             "", Vm.m_Ipv4Address)
        .m_Status;
  }
  /** Whether each VM answers \p Target with \p Status once, within
   *  ChangeTime. */
  bool isAnsweredByAll(const std::string &Target, unsigned Status) {
    const auto Deadline = steady_clock::now() + ChangeTime;
    return std::all_of(m_Fleet.m_Vms.begin(), m_Fleet.m_Vms.end(),
                       [&](const auto &Each) {
                         while (get(*Each, Target) != Status) {
                           if (steady_clock::now() > Deadline)
                             return false;
                           std::this_thread::sleep_for(milliseconds(50));
                         }
                         return true;
                       });
  }
  std::size_t runCount(standin::SearcherStandin &Searcher) {
    std::size_t Count = 0;
    m_Fleet.runOnStandinThread([&] { Count = Searcher.m_RunRequests.size(); });
    return Count;
  }

  RoutedFleet m_Fleet;
  standin::SearcherStandin *m_Desk = nullptr;
  standin::SearcherStandin *m_Other = nullptr;
  int m_RequestCount = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReturnedStoreTest, Fixture)

// Callers got 404 on routes that the store had acknowledged.
BOOST_AUTO_TEST_CASE(Route_addedAfterTheReturn_isServedByAllVms) {
  saveCopy();
  m_Fleet.publish(routedConfig(4));
  waitForConfig(4);
  returnStore();
  m_Fleet.publish(configWithRoute(5, "/added/"));
  BOOST_TEST(isAnsweredByAll("/added/a", 200));
}

BOOST_AUTO_TEST_CASE(Route_droppedAfterTheReturn_isServedByNoVm) {
  m_Fleet.publish(configWithRoute(4, "/added/"));
  waitForConfig(4);
  saveCopy();
  m_Fleet.publish(configWithRoute(5, "/added/"));
  waitForConfig(5);
  returnStore();
  m_Fleet.publish(routedConfig(6));
  BOOST_TEST(isAnsweredByAll("/added/a", 404));
}

// The configuration that was lost is the operator's latest word until it is
// written again.
BOOST_AUTO_TEST_CASE(Route_whoseConfigWasLost_isServedAlsoByAStartedVm) {
  saveCopy();
  m_Fleet.publish(configWithRoute(4, "/added/"));
  waitForConfig(4);
  returnStore();
  m_Fleet.startVm();
  BOOST_TEST(isAnsweredByAll("/added/a", 200));
}

// A target that had left was called again.
BOOST_AUTO_TEST_CASE(Target_removedAndBroughtBack_isNotCalled) {
  saveCopy();
  m_Fleet.runOnStandinThread(
      [&] { m_Fleet.m_Store->remove("servers", "i-other"); });
  for (const auto &Each : m_Fleet.m_Vms)
    BOOST_REQUIRE(
        Each->m_Process->waitForLine("F0613", "cause=hold-ended").has_value());
  returnStore();
  const std::size_t Before = runCount(*m_Other);
  const auto End = steady_clock::now() + ChangeTime;
  while (steady_clock::now() < End) {
    for (const auto &Each : m_Fleet.m_Vms)
      get(*Each, "/look/a");
    std::this_thread::sleep_for(milliseconds(20));
  }
  BOOST_TEST(runCount(*m_Other) == Before);
}

BOOST_AUTO_TEST_CASE(Target_removedAfterTheReturn_isNotCalled) {
  saveCopy();
  m_Fleet.runOnStandinThread(
      [&] { m_Fleet.m_Store->put("servers", "i-other", m_Other->entry()); });
  m_Fleet.publish(routedConfig(4));
  waitForConfig(4);
  returnStore();
  m_Fleet.runOnStandinThread(
      [&] { m_Fleet.m_Store->remove("servers", "i-other"); });
  std::this_thread::sleep_for(ChangeTime);
  const std::size_t Before = runCount(*m_Other);
  for (int I = 0; I < 20; ++I)
    for (const auto &Each : m_Fleet.m_Vms)
      get(*Each, "/look/a");
  BOOST_TEST(runCount(*m_Other) == Before);
}

// The lines of the VMs and what reads them didn't agree on revisions.
BOOST_AUTO_TEST_CASE(Change_ofATarget_isTimedByTheVmsLines) {
  LearningLog Log;
  m_Fleet.runOnStandinThread([&] {
    const auto Now = std::chrono::system_clock::now().time_since_epoch();
    m_Fleet.m_Store->put("servers", "i-other", m_Other->entry("draining"));
    Log.onAck(
        {.m_Part = "targets",
         .m_Era = m_Fleet.m_Store->m_Era,
         .m_Revision = m_Fleet.m_Store->revision(),
         .m_AckMs = std::chrono::duration_cast<milliseconds>(Now).count()});
  });
  for (const auto &Each : m_Fleet.m_Vms)
    BOOST_REQUIRE(
        Each->m_Process->waitForLine("F0613", "leaving=i-other").has_value());
  // The line follows what it is about.
  std::size_t Count = 0;
  const auto Deadline = steady_clock::now() + ChangeTime;
  while (Count < m_Fleet.m_Vms.size() && steady_clock::now() < Deadline) {
    LearningLog Read = Log;
    for (const auto &Each : m_Fleet.m_Vms)
      for (const std::string &Line : Each->m_Process->lines())
        Read.addLine(Each->m_Name, Line);
    Count = 0;
    for (const auto &[Group, Summary] : Read.summaries())
      Count += Group.m_Part == "targets" ? Summary.m_Count : 0;
    std::this_thread::sleep_for(milliseconds(50));
  }
  BOOST_TEST(Count == m_Fleet.m_Vms.size());
}

BOOST_AUTO_TEST_SUITE_END()
