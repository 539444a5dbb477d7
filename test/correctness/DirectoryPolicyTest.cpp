/** Selection of the VMs that are advertised to callers. */

#include "coordination/DirectoryPolicy.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <set>

using namespace figturn;

namespace {

struct Fixture {
  std::vector<VmRecord> m_Vms;
  DirectoryPolicy m_Policy{DirectoryPolicyOptions{}, 1};

  void add(std::size_t Count, std::uint32_t Capacity, const std::string &Name) {
    for (std::size_t I = 0; I < Count; ++I)
      m_Vms.push_back(
          {.m_Vm = VmName(Name + std::to_string(I)),
           .m_DataCentre = DataCentreName("dc-" + std::to_string(I % 3)),
           .m_CallerAddress = Name + std::to_string(I),
           .m_CapacityPermille = Capacity});
  }
  /** Counts how often each VM is advertised in a thousand replies. */
  std::map<std::string, int> countAdvertisements() {
    std::map<std::string, int> Counts;
    for (int I = 0; I < 1000; ++I)
      for (const std::string &Each : m_Policy.selectAddresses(m_Vms))
        ++Counts[Each];
    return Counts;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DirectoryPolicyTest, Fixture)

BOOST_AUTO_TEST_CASE(Vms_withEqualCapacity_areAllAdvertised) {
  add(15, 170, "vm");
  BOOST_TEST(m_Policy.selectAddresses(m_Vms).size() == 15U);
}

BOOST_AUTO_TEST_CASE(LargeVms_withoutOverload_getAllCallers) {
  add(6, 500, "large");
  add(111, 84, "small");
  const auto Addresses = m_Policy.selectAddresses(m_Vms);
  BOOST_TEST(Addresses.size() == 6U);
  for (const std::string &Each : Addresses)
    BOOST_TEST(Each.starts_with("large"));
}

BOOST_AUTO_TEST_CASE(LargeVms_whenOverloaded_shareByCapacity) {
  add(6, 500, "large");
  add(40, 84, "small");
  for (VmRecord &Each : m_Vms)
    Each.m_LagMs = 30;
  const auto Counts = countAdvertisements();
  BOOST_TEST(Counts.at("large0") == 1000);
  BOOST_TEST(Counts.at("small0") > 1000 * 84 / 500 / 2);
  BOOST_TEST(Counts.at("small0") < 1000 * 84 / 500 * 2);
}

BOOST_AUTO_TEST_CASE(LargeVms_tooFewOrInOneDataCentre_areNotSufficient) {
  add(3, 500, "large");
  add(30, 84, "small");
  BOOST_TEST(countAdvertisements().contains("small0"));
  m_Vms.clear();
  add(6, 500, "large");
  for (VmRecord &Each : m_Vms)
    Each.m_DataCentre = DataCentreName("dc-0");
  add(30, 84, "small");
  BOOST_TEST(countAdvertisements().contains("small1"));
}

BOOST_AUTO_TEST_CASE(Reply_forALargeFleet_isLimitedButOmitsNoVmForever) {
  add(100, 170, "vm");
  BOOST_TEST(m_Policy.selectAddresses(m_Vms).size() == 64U);
  BOOST_TEST(countAdvertisements().size() == 100U);
}

BOOST_AUTO_TEST_CASE(Vms_ofUnknownCapacity_areAdvertised) {
  add(5, 0, "vm");
  BOOST_TEST(m_Policy.selectAddresses(m_Vms).size() == 5U);
  BOOST_TEST(m_Policy.selectAddresses({}).empty());
}

BOOST_AUTO_TEST_CASE(TrafficShare_whileLargeVmsSuffice_isTheirs) {
  add(6, 500, "large");
  add(90, 84, "small");
  const double Large = trafficShare(m_Vms.front(), m_Vms);
  const double Small = trafficShare(m_Vms.back(), m_Vms);
  BOOST_TEST(Large > 0.5 / 6);
  BOOST_TEST(Small < 0.1 * Large);
  BOOST_TEST(6 * Large + 90 * Small <= 1.0 + 1e-9);
}

BOOST_AUTO_TEST_CASE(TrafficShare_whenLargeVmsAreOverloaded_isByCapacity) {
  add(6, 500, "large");
  add(90, 100, "small");
  for (VmRecord &Each : m_Vms)
    Each.m_LagMs = 30;
  BOOST_TEST(std::abs(trafficShare(m_Vms.front(), m_Vms) - 1.0 / 24) < 1e-9);
  BOOST_TEST(std::abs(trafficShare(m_Vms.back(), m_Vms) - 0.2 / 24) < 1e-9);
}

BOOST_AUTO_TEST_CASE(TrafficShare_ofAVmThatKnowsNoOther_isWhole) {
  add(1, 0, "vm");
  BOOST_TEST(trafficShare(m_Vms.front(), m_Vms) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
