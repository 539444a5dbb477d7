#include "standin/ColdStartModel.h"
#include "standin/ObjectTable.h"
#include "standin/RecordSet.h"
#include "support/FreePorts.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>

using namespace figturn;
using namespace figturn::standin;

BOOST_AUTO_TEST_SUITE(StandinTest)

BOOST_AUTO_TEST_CASE(ColdStart_callsAboveLimit_areCounted) {
  ColdStartModel Start(
      {.m_ColdSlots = 1, .m_CallsPerLevel = 2, .m_WarmSlots = 3}, true);
  BOOST_TEST(Start.admit(1));
  BOOST_TEST(!Start.admit(2));
  BOOST_TEST(Start.callsOverLimit() == 1U);
  Start.onCallServed();
  BOOST_TEST(Start.concurrencyLimit() == 1U);
  Start.onCallServed();
  BOOST_TEST(Start.concurrencyLimit() == 2U);
  Start.onCallServed();
  Start.onCallServed();
  BOOST_TEST(!Start.isCold());
  BOOST_TEST(Start.admit(9));
  Start.resetToCold();
  BOOST_TEST(!Start.admit(2));
  BOOST_TEST(Start.callsOverLimit() == 2U);
}

BOOST_AUTO_TEST_CASE(ObjectTable_unmetWriteCondition_rejectsWrite) {
  ObjectTable Table;
  BOOST_TEST(!Table.allows("config", {.m_IfVersion = 0}));
  const std::uint64_t Version = Table.put("config", "a");
  BOOST_TEST(!Table.allows("config", {.m_IfAbsent = true}));
  BOOST_TEST(Table.allows("config", {.m_IfVersion = Version}));
  BOOST_TEST(Table.put("other", "b") > Version);
  Table.put("config", "c");
  BOOST_TEST(!Table.allows("config", {.m_IfVersion = Version}));
  BOOST_TEST(Table.findPrevious("config")->m_Body == "a");
}

BOOST_AUTO_TEST_CASE(RecordSet_shards_containEachRecordOnce) {
  for (const char *Name : {"mirror-batches", "building-relinings"}) {
    const RecordSet All =
        RecordSet::load(std::string(FIGTURN_SOURCE_DIR) +
                        "/test/standin/data/" + Name + ".json");
    BOOST_TEST(All.size() == 2000U);
    std::size_t Sum = 0;
    for (std::uint32_t Shard = 0; Shard < 8; ++Shard)
      Sum += All.shard(Shard, 8).size();
    BOOST_TEST(Sum == All.size());
  }
}

// Guards against VMs that failed to listen: their settings named one port
// twice, or the kernel assigned one of their ports to another socket before
// they started.
BOOST_AUTO_TEST_CASE(FreePorts_chosenTogether_areDistinctAndNotEphemeral) {
  unsigned FirstEphemeral = 0;
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> FirstEphemeral;
  BOOST_REQUIRE(FirstEphemeral > 0);
  for (int Round = 0; Round < 20000; ++Round) {
    const std::vector<std::uint16_t> Ports = test::freePorts(4);
    const std::set<std::uint16_t> Distinct(Ports.begin(), Ports.end());
    BOOST_REQUIRE(Distinct.size() == 4U);
    BOOST_REQUIRE(*Distinct.rbegin() < FirstEphemeral);
  }
}

// Guards against VMs that failed to listen because the VM of another test,
// which ran at the same time, had one of their ports.
BOOST_AUTO_TEST_CASE(PortBlocks_claimedTogether_haveNoPortInCommon) {
  test::PortBlock First;
  test::PortBlock Second;
  std::set<std::uint16_t> Distinct;
  for (int I = 0; I < 100; ++I) {
    Distinct.insert(First.next());
    Distinct.insert(Second.next());
  }
  BOOST_TEST(Distinct.size() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
