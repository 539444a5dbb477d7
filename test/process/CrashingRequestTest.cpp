// End-to-end test of the crash quarantine: a request that crashes each target
// that runs it is sent repeatedly to several VMs. Uses real VM processes with
// stand-ins for the platform and the targets.

#include "support/RoutedFleet.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;
using figturn::standin::SearcherStandin;
using figturn::standin::SimpleHttpRequest;
using figturn::standin::SimpleHttpResponder;

namespace {

/** The quarantine takes effect after three crashes; up to three more requests
 *  may run before all VMs have received it. */
constexpr std::size_t MaxCrashes = 3 + 3;

struct Fixture {
  Fixture() {
    m_Fleet.publish(routedConfig(3));
    m_Fleet.addSearcher("i-left", "s-0");
    m_Fleet.addSearcher("i-right", "s-1");
    for (int I = 0; I < 8; ++I)
      crashOnPoison(m_Fleet.addSearcher("i-desk-" + std::to_string(I), "desk"));
    m_First = &m_Fleet.startVm();
    m_Second = &m_Fleet.startVm();
  }

  void crashOnPoison(SearcherStandin &Searcher) {
    m_Fleet.runOnStandinThread([&] {
      Searcher.m_RunHandler = [this,
                               &Searcher](const SimpleHttpRequest &Request,
                                          SimpleHttpResponder Reply) {
        if (Request.m_Path != "/look/poison") {
          Searcher.answer(Request, Reply);
          return;
        }
        ++m_Crashes;
        Searcher.server().crash(std::chrono::seconds(1));
      };
    });
  }
  std::size_t crashes() {
    std::size_t Count = 0;
    m_Fleet.runOnStandinThread([&] { Count = m_Crashes; });
    return Count;
  }
  RoutedAnswer get(const RoutedFleet::Vm &Vm, const std::string &Path) {
    return RoutedFleet::call(
        Vm.m_CallerPort, "GET", Path,
        RoutedFleet::requestHeaders("q-" + std::to_string(++m_Requests)), "",
        Vm.m_Ipv4Address);
  }

  RoutedFleet m_Fleet;
  RoutedFleet::Vm *m_First = nullptr;
  RoutedFleet::Vm *m_Second = nullptr;
  std::size_t m_Crashes = 0;
  int m_Requests = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashingRequestTest, Fixture)

BOOST_AUTO_TEST_CASE(Request_crashingTargets_isRefusedAtEveryVm) {
  for (int I = 0; I < 4; ++I)
    get(*m_First, "/look/poison");
  BOOST_TEST(m_First->m_Process->waitForLine("F0720").has_value());
  BOOST_TEST(
      m_Second->m_Process->waitForLine("F0720", "learned_from_vm").has_value());
  const std::size_t CrashesBefore = crashes();
  BOOST_TEST(CrashesBefore <= MaxCrashes);
  for (const RoutedFleet::Vm *Each : {m_First, m_Second}) {
    const RoutedAnswer Refused = get(*Each, "/look/poison");
    BOOST_TEST(Refused.m_Status == 503U);
    BOOST_TEST(Refused.header("Retry-After").empty());
    BOOST_TEST(Refused.m_Body.find("quarantined") != std::string::npos);
    BOOST_TEST(get(*Each, "/look/harmless").m_Status == 200U);
  }
  BOOST_TEST(crashes() == CrashesBefore);
}

BOOST_AUTO_TEST_SUITE_END()
