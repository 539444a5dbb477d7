/** Gossip on the wire. */

#include "protocol/GossipCodec.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace figturn;

namespace {

GossipPayload makeNews(std::size_t Records, std::size_t Beats) {
  GossipPayload News;
  for (std::size_t I = 0; I < Beats; ++I)
    News.m_Heartbeats.push_back(
        {.m_Key = static_cast<std::uint32_t>(0x9e3779b9U * (I + 1)),
         .m_HeartbeatCount = 1000 + I});
  for (std::size_t I = 0; I < Records; ++I)
    News.m_Records.push_back(
        {.m_Vm = VmName("frontend-nz-south-a-" + std::to_string(I)),
         .m_StartedMs = 1785822630279,
         .m_HeartbeatCount = I,
         .m_Phase = VmPhase::Stopping,
         .m_DataCentre = DataCentreName("nz-south-a"),
         .m_CallerAddress = "10.1.0.39:8226",
         .m_GossipAddress = "10.1.0.39:7740",
         .m_StateAddress = "10.1.0.39:8224",
         .m_ConfigVersion = 17});
  return News;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GossipCodecTest)

BOOST_AUTO_TEST_CASE(Records_comeBackAsTheyWere) {
  const GossipPayload News = makeNews(3, 5);
  BOOST_TEST((decodeGossip(encodeGossip(News)) == News));
}

BOOST_AUTO_TEST_CASE(Message_ofAFullRound_fitsADatagramUnfragmented) {
  constexpr std::size_t EthernetPayload = 1472;
  const FleetViewOptions Options;
  const std::size_t Records = Options.m_MaxRecordsPerMessage + 1;
  const std::size_t Room = Options.m_MaxHeartbeatsPerMessage -
                           Records * Options.m_HeartbeatsPerRecord;
  BOOST_TEST(encodeGossip(makeNews(Records, Room)).size() <= EthernetPayload);
  BOOST_TEST(encodeGossip(makeNews(2, Options.m_MaxHeartbeatsPerMessage -
                                          2 * Options.m_HeartbeatsPerRecord))
                 .size() <= EthernetPayload);
}

BOOST_AUTO_TEST_CASE(Message_withCrashes_fitsADatagramUnfragmented) {
  constexpr std::size_t EthernetPayload = 1472;
  const FleetViewOptions Options;
  GossipPayload News = makeNews(
      Options.m_MaxRecordsPerMessage + 1,
      Options.m_MaxHeartbeatsPerMessage -
          (Options.m_MaxRecordsPerMessage + 1) * Options.m_HeartbeatsPerRecord -
          Options.m_MaxCrashesPerMessage * Options.m_HeartbeatsPerCrash);
  std::mt19937_64 Random(7); // NOLINT: a fixed seed
  for (std::size_t I = 0; I < Options.m_MaxCrashesPerMessage; ++I)
    News.m_Crashes.push_back({.m_Request = Fingerprint(Random()),
                              .m_Target = static_cast<std::uint32_t>(Random()),
                              .m_Remaining = std::chrono::minutes(10)});
  const std::string Bytes = encodeGossip(News);
  BOOST_TEST(Bytes.size() <= EthernetPayload);
  BOOST_TEST((decodeGossip(Bytes) == News));
}

BOOST_AUTO_TEST_CASE(Bytes_thatAreNoGossip_areNone) {
  BOOST_TEST(!decodeGossip("").has_value());
  BOOST_TEST(!decodeGossip("hello").has_value());
  const std::string Whole = encodeGossip(makeNews(3, 9));
  std::mt19937 Random(3); // NOLINT: a fixed seed
  for (int I = 0; I < 2000; ++I) {
    std::string Spoilt = Whole.substr(0, Random() % Whole.size());
    if (!Spoilt.empty())
      Spoilt[Random() % Spoilt.size()] = static_cast<char>(Random());
    decodeGossip(Spoilt); // Must neither crash nor throw.
  }
}

BOOST_AUTO_TEST_SUITE_END()
