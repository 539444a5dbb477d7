/** Budgets of hedges and retries, and their division among the VMs. */

#include "coordination/ExtraLoadBudget.h"

#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

using namespace figturn;

namespace {

/** The fraction that the VMs divide, as in routed mode. */
constexpr double ShareableFraction = 0.85;

struct Fixture {
  /** Extra calls of \p VmCount VMs, each of which knows \p KnownVms and sends
   *  \p FirstCalls and as many extra calls as it may. */
  static int countExtraCalls(std::size_t VmCount, std::size_t KnownVms,
                             double Slack, double Ratio, int FirstCalls) {
    const ExtraLoadShare Share = extraLoadShare(
        ShareableFraction * Slack, 1.0 / static_cast<double>(KnownVms));
    int Count = 0;
    for (std::size_t I = 0; I < VmCount; ++I) {
      ExtraLoadBudget Budget(ShareableFraction * Ratio, Share.m_Burst,
                             Share.m_Reserve);
      while (Budget.tryAcquire())
        ++Count;
      for (int Call = 0; Call < FirstCalls; ++Call) {
        Budget.recordFirstCalls(1);
        Count += Budget.tryAcquire() ? 1 : 0;
      }
    }
    return Count;
  }
};

/** VMs and slack of the platform's deployments. */
const std::vector<std::pair<std::size_t, double>> Fleets{
    {12, 104}, {15, 116}, {117, 298}, {126, 316}};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ExtraLoadBudgetTest, Fixture)

// After a power failure of all VMs, each took the extra calls of the whole
// fleet for its own.
BOOST_AUTO_TEST_CASE(Vms_startedTogetherAndUnknownToEachOther_stayWithinSlack) {
  for (const auto &[VmCount, Slack] : Fleets) {
    BOOST_TEST_INFO("VMs " << VmCount);
    BOOST_TEST(countExtraCalls(VmCount, 1, Slack, 0.2, 0) <= Slack);
    constexpr int FirstCalls = 130;
    BOOST_TEST(countExtraCalls(VmCount, 1, Slack, 0.2, FirstCalls) <=
               Slack + 0.2 * FirstCalls * static_cast<double>(VmCount));
  }
}

BOOST_AUTO_TEST_CASE(Vm_beforeItsFirstCalls_mayReplaceALostCall) {
  for (const auto &[VmCount, Slack] : Fleets)
    BOOST_TEST(countExtraCalls(1, VmCount, Slack, 0.2, 0) >= 1);
}

BOOST_AUTO_TEST_CASE(UnspentTokens_ofAFleetThatKnowsItself_fitTheSlack) {
  for (const auto &[VmCount, Slack] : Fleets)
    BOOST_TEST(extraLoadShare(ShareableFraction * Slack,
                              1.0 / static_cast<double>(VmCount))
                       .m_Burst *
                   static_cast<double>(VmCount) <=
               Slack);
}

BOOST_AUTO_TEST_SUITE_END()
