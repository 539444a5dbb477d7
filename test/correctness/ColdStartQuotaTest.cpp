/** Load on a cold target from a fleet whose VMs do not communicate about it. */

#include "coordination/ColdStartQuota.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Fixture {
  std::vector<VmName> m_Fleet;
  std::vector<ColdStartQuota> m_Quotas;

  void setFleet(std::size_t Size) {
    for (std::size_t I = 0; I < Size; ++I) {
      m_Fleet.emplace_back("vm-" + std::to_string(I));
      m_Quotas.emplace_back(m_Fleet.back());
    }
  }
  std::uint32_t sumShares(const std::string &Target, double Rate) {
    std::uint32_t Sum = 0;
    for (const ColdStartQuota &Each : m_Quotas)
      Sum += Each.share(TargetName(Target), {.m_RequestsPerSecond = Rate},
                        m_Fleet);
    return Sum;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ColdStartQuotaTest, Fixture)

BOOST_AUTO_TEST_CASE(Shares_ofAllVms_addUpToTheAllowance) {
  setFleet(15);
  for (const std::string Target : {"t-1", "t-2", "t-3"}) {
    BOOST_TEST(sumShares(Target, 4) == 4U);
    BOOST_TEST(sumShares(Target, 20.9) == 20U);
    BOOST_TEST(sumShares(Target, 0.5) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(
    Fleet_discoveringANewReplicaAtOnce_staysWithinItsAllowance) {
  setFleet(126);
  constexpr double MaxRate = 5;
  std::mt19937 Random(7); // NOLINT: a fixed seed
  std::deque<TimePoint> LastSecond;
  std::size_t MaxPerSecond = 0;
  for (int Millis = 0; Millis < 4000; ++Millis) {
    const TimePoint Now = Start + milliseconds(Millis);
    while (!LastSecond.empty() && Now - LastSecond.front() >= seconds(1))
      LastSecond.pop_front();
    ColdStartQuota &Quota = m_Quotas[Random() % m_Quotas.size()];
    const TargetName Target("fresh");
    const std::uint32_t Share =
        Quota.share(Target, {.m_RequestsPerSecond = MaxRate}, m_Fleet);
    if (Quota.tryReserve(Target, Share, Now))
      LastSecond.push_back(Now);
    MaxPerSecond = std::max(MaxPerSecond, LastSecond.size());
  }
  BOOST_TEST(MaxPerSecond <= static_cast<std::size_t>(MaxRate));
  BOOST_TEST(MaxPerSecond > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
