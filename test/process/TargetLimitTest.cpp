/** Limits that targets name for all VMs together, with real processes. */

#include "support/RoutedFleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <set>

using namespace figturn;
using namespace figturn::test;
using figturn::standin::SearcherStandin;
using figturn::standin::SimpleHttpRequest;
using figturn::standin::SimpleHttpResponder;

namespace {

using ArrivalClock = std::chrono::steady_clock;

constexpr std::chrono::seconds LimitWindow{4};

/** Three VMs and one target, which answers look-ups at once. */
struct Fixture {
  Fixture() {
    m_Fleet.publish(routedConfig(3));
    m_Target = &m_Fleet.addSearcher("i-1", "desk");
    m_Fleet.runOnStandinThread([this] {
      m_Target->m_RunHandler = [this](const SimpleHttpRequest &Request,
                                      const SimpleHttpResponder &Reply) {
        m_Arrivals.push_back(ArrivalClock::now());
        const std::string Id = Request.header("x-request-id");
        Reply.send(200, m_Target->m_Body,
                   "X-Request-Id: " + Id + "\r\nX-Server-Stamp: s-" + Id +
                       "\r\n" + m_LimitHeader);
      };
    });
    for (int I = 0; I < 3; ++I)
      m_Fleet.startVm();
  }

  /** Sends a look-up to one VM after the other. */
  unsigned lookUp() {
    const auto &Vm = *m_Fleet.m_Vms[m_Sent % m_Fleet.m_Vms.size()];
    return RoutedFleet::call(
               Vm.m_CallerPort, "GET", "/look/x",
               RoutedFleet::requestHeaders("q-" + std::to_string(m_Sent++)), "",
               Vm.m_Ipv4Address)
        .m_Status;
  }

  /** The most arrivals in any window of the limit's length. */
  std::size_t mostArrivalsInWindow() {
    std::size_t Most = 0;
    m_Fleet.runOnStandinThread([&] {
      std::deque<ArrivalClock::time_point> Recent;
      for (const auto Each : m_Arrivals) {
        Recent.push_back(Each);
        while (Each - Recent.front() >= LimitWindow)
          Recent.pop_front();
        Most = std::max(Most, Recent.size());
      }
    });
    return Most;
  }

  RoutedFleet m_Fleet;
  SearcherStandin *m_Target = nullptr;
  std::string m_LimitHeader; ///< Accessed on the stand-ins' thread.
  std::vector<ArrivalClock::time_point> m_Arrivals;
  int m_Sent = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetLimitTest, Fixture)

BOOST_AUTO_TEST_CASE(Limit_namedByTarget_holdsForAllVmsTogether) {
  constexpr double Limit = 2;
  m_Fleet.runOnStandinThread([this] { m_LimitHeader = "Server-Limit: 2\r\n"; });
  for (int I = 0; I < 3; ++I)
    BOOST_TEST(lookUp() == 200U); // Every VM is told.
  int Refused = 0;
  for (int I = 0; I < 300; ++I)
    Refused += lookUp() == 503 ? 1 : 0;
  // The platform allows half as much again, and five requests.
  const double Allowed = 1.5 * Limit * LimitWindow.count() + 5;
  BOOST_TEST(static_cast<double>(mostArrivalsInWindow()) <= Allowed);
  BOOST_TEST(Refused > 0);
}

BOOST_AUTO_TEST_CASE(Limit_noLongerNamed_isLifted) {
  m_Fleet.runOnStandinThread(
      [this] { m_LimitHeader = "Server-Limit: 20\r\n"; });
  for (int I = 0; I < 3; ++I)
    BOOST_TEST(lookUp() == 200U);
  m_Fleet.runOnStandinThread([this] { m_LimitHeader.clear(); });
  // A VM is told at the next request that its share allows, within a second.
  std::set<int> Told;
  const auto Deadline = ArrivalClock::now() + LimitWindow;
  while (Told.size() < 3 && ArrivalClock::now() < Deadline) {
    const int Vm = m_Sent % 3;
    if (lookUp() == 200)
      Told.insert(Vm);
  }
  BOOST_REQUIRE(Told.size() == 3U);
  for (int I = 0; I < 150; ++I)
    BOOST_TEST(lookUp() == 200U);
}

BOOST_AUTO_TEST_CASE(Limit_thatIsNoRate_isIgnored) {
  m_Fleet.runOnStandinThread(
      [this] { m_LimitHeader = "Server-Limit: -3\r\n"; });
  for (int I = 0; I < 60; ++I)
    BOOST_TEST(lookUp() == 200U);
  BOOST_TEST(m_Fleet.m_Vms[0]->m_Process->waitForLine("F0616").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
