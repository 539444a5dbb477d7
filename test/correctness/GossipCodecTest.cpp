/** Encoding and decoding of gossip datagrams. */

#include "protocol/GossipCodec.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace figturn;

namespace {

GossipPayload makePayload(std::size_t Records, std::size_t Heartbeats) {
  GossipPayload Payload;
  for (std::size_t I = 0; I < Heartbeats; ++I)
    Payload.m_Heartbeats.push_back(
        {.m_Key = static_cast<std::uint32_t>(0x9e3779b9U * (I + 1)),
         .m_HeartbeatCount = 1000 + I});
  for (std::size_t I = 0; I < Records; ++I)
    Payload.m_Records.push_back(
        {.m_Vm = VmName("frontend-nz-south-a-" + std::to_string(I)),
         .m_StartedMs = 1785822630279,
         .m_HeartbeatCount = I,
         .m_Phase = VmPhase::Stopping,
         .m_DataCentre = DataCentreName("nz-south-a"),
         .m_CallerAddress = "10.1.0.39:8226",
         .m_GossipAddress = "10.1.0.39:7740",
         .m_StateAddress = "10.1.0.39:8224",
         .m_ConfigVersion = 17});
  return Payload;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GossipCodecTest)

BOOST_AUTO_TEST_CASE(Payload_encodedAndDecoded_isUnchanged) {
  const GossipPayload Payload = makePayload(3, 5);
  BOOST_TEST((decodeGossip(encodeGossip(Payload)) == Payload));
}

BOOST_AUTO_TEST_CASE(Message_fullRound_fitsInUnfragmentedDatagram) {
  // Maximum UDP payload of one Ethernet frame with IPv4, in bytes.
  constexpr std::size_t MaxUnfragmentedPayload = 1472;
  const FleetViewOptions Options;
  const std::size_t Records = Options.m_MaxRecordsPerMessage + 1;
  const std::size_t MaxHeartbeats = Options.m_MaxHeartbeatsPerMessage -
                                    Records * Options.m_HeartbeatsPerRecord;
  BOOST_TEST(encodeGossip(makePayload(Records, MaxHeartbeats)).size() <=
             MaxUnfragmentedPayload);
  BOOST_TEST(encodeGossip(makePayload(2, Options.m_MaxHeartbeatsPerMessage -
                                             2 * Options.m_HeartbeatsPerRecord))
                 .size() <= MaxUnfragmentedPayload);
}

BOOST_AUTO_TEST_CASE(Message_withCrashes_fitsInUnfragmentedDatagram) {
  // Maximum UDP payload of one Ethernet frame with IPv4, in bytes.
  constexpr std::size_t MaxUnfragmentedPayload = 1472;
  const FleetViewOptions Options;
  GossipPayload Payload = makePayload(
      Options.m_MaxRecordsPerMessage + 1,
      Options.m_MaxHeartbeatsPerMessage -
          (Options.m_MaxRecordsPerMessage + 1) * Options.m_HeartbeatsPerRecord -
          Options.m_MaxCrashesPerMessage * Options.m_HeartbeatsPerCrash);
  std::mt19937_64 Random(7); // NOLINT: fixed seed
  for (std::size_t I = 0; I < Options.m_MaxCrashesPerMessage; ++I)
    Payload.m_Crashes.push_back(
        {.m_Request = Fingerprint(Random()),
         .m_Target = static_cast<std::uint32_t>(Random()),
         .m_Vm = static_cast<std::uint32_t>(Random()),
         .m_Remaining = std::chrono::minutes(10)});
  const std::string Bytes = encodeGossip(Payload);
  BOOST_TEST(Bytes.size() <= MaxUnfragmentedPayload);
  BOOST_TEST((decodeGossip(Bytes) == Payload));
}

BOOST_AUTO_TEST_CASE(Bytes_malformed_areRejected) {
  BOOST_TEST(!decodeGossip("").has_value());
  BOOST_TEST(!decodeGossip("hello").has_value());
  const std::string Valid = encodeGossip(makePayload(3, 9));
  std::mt19937 Random(3); // NOLINT: fixed seed
  for (int I = 0; I < 2000; ++I) {
    std::string Malformed = Valid.substr(0, Random() % Valid.size());
    if (!Malformed.empty())
      Malformed[Random() % Malformed.size()] = static_cast<char>(Random());
    decodeGossip(Malformed); // Must not crash or throw.
  }
}

BOOST_AUTO_TEST_SUITE_END()
