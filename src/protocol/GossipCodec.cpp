#include "protocol/GossipCodec.h"

#include "protocol/generated/Gossip.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <utility>

namespace figturn {

namespace {

/** Maximum size of an unpacked datagram, in words of 8 bytes. */
constexpr std::uint64_t MaxDatagramWords = 65536;

std::string text(capnp::Text::Reader Text) {
  return {Text.cStr(), Text.size()};
}

VmPhase decodePhase(std::uint8_t Number) {
  return Number <= static_cast<std::uint8_t>(VmPhase::Stopping)
             ? static_cast<VmPhase>(Number)
             : VmPhase::Starting;
}

void encodeVm(const VmRecord &Record, rpc::GossipVm::Builder Builder) {
  Builder.setName(Record.m_Vm.value());
  Builder.setStartedMs(Record.m_StartedMs);
  Builder.setBeat(Record.m_HeartbeatCount);
  Builder.setPhase(static_cast<std::uint8_t>(Record.m_Phase));
  Builder.setDataCentre(Record.m_DataCentre.value());
  Builder.setCallerAddress(Record.m_CallerAddress);
  Builder.setGossipAddress(Record.m_GossipAddress);
  Builder.setStateAddress(Record.m_StateAddress);
  Builder.setConfigVersion(Record.m_ConfigVersion);
  Builder.setCapacityPermille(Record.m_CapacityPermille);
  Builder.setLagMs(Record.m_LagMs);
  Builder.setStoreUnreachable(!Record.m_CanReachStore);
}

VmRecord decodeVm(rpc::GossipVm::Reader Reader) {
  return {.m_Vm = VmName(text(Reader.getName())),
          .m_StartedMs = Reader.getStartedMs(),
          .m_HeartbeatCount = Reader.getBeat(),
          .m_Phase = decodePhase(Reader.getPhase()),
          .m_DataCentre = DataCentreName(text(Reader.getDataCentre())),
          .m_CallerAddress = text(Reader.getCallerAddress()),
          .m_GossipAddress = text(Reader.getGossipAddress()),
          .m_StateAddress = text(Reader.getStateAddress()),
          .m_ConfigVersion = Reader.getConfigVersion(),
          .m_CapacityPermille = Reader.getCapacityPermille(),
          .m_LagMs = Reader.getLagMs(),
          .m_CanReachStore = !Reader.getStoreUnreachable()};
}

} // namespace

std::string encodeGossip(const GossipPayload &Payload) {
  capnp::MallocMessageBuilder Message;
  auto Root = Message.initRoot<rpc::Gossip>();
  auto Vms = Root.initVms(static_cast<unsigned>(Payload.m_Records.size()));
  for (unsigned I = 0; I < Vms.size(); ++I)
    encodeVm(Payload.m_Records[I], Vms[I]);
  auto Heartbeats =
      Root.initBeats(static_cast<unsigned>(Payload.m_Heartbeats.size()));
  for (unsigned I = 0; I < Heartbeats.size(); ++I) {
    Heartbeats[I].setKey(Payload.m_Heartbeats[I].m_Key);
    Heartbeats[I].setBeat(Payload.m_Heartbeats[I].m_HeartbeatCount);
    Heartbeats[I].setLagMs(Payload.m_Heartbeats[I].m_LagMs);
  }
  auto Sources =
      Root.initHolders(static_cast<unsigned>(Payload.m_StateSources.size()));
  for (unsigned I = 0; I < Sources.size(); ++I) {
    const StateSource &Source = Payload.m_StateSources[I];
    Sources[I].setAddress(Source.m_Address);
    const StateVersion &Version = Source.m_Version;
    Sources[I].setConfig(Version.m_Config.m_Number);
    Sources[I].setConfigEra(Version.m_Config.m_Era);
    Sources[I].setTargets(Version.m_Targets.m_Number);
    Sources[I].setTargetsEra(Version.m_Targets.m_Era);
    Sources[I].setEvacuations(Version.m_Evacuations.m_Number);
    Sources[I].setEvacuationsEra(Version.m_Evacuations.m_Era);
    Sources[I].setConfigNumber(Version.m_ConfigNumber);
  }
  auto Crashes =
      Root.initCrashes(static_cast<unsigned>(Payload.m_Crashes.size()));
  for (unsigned I = 0; I < Crashes.size(); ++I) {
    const CrashRecord &Crash = Payload.m_Crashes[I];
    Crashes[I].setRequest(Crash.m_Request.value());
    Crashes[I].setTarget(Crash.m_Target);
    Crashes[I].setVm(Crash.m_Vm);
    Crashes[I].setLeftMs(static_cast<std::uint32_t>(Crash.m_Remaining.count()));
  }
  kj::VectorOutputStream Output;
  capnp::writePackedMessage(Output, Message);
  const auto Bytes = Output.getArray();
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

std::optional<GossipPayload> decodeGossip(std::string_view Bytes) {
  GossipPayload Payload;
  const auto Failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream Input(kj::arrayPtr(
        reinterpret_cast<const kj::byte *>(Bytes.data()), Bytes.size()));
    capnp::ReaderOptions Options;
    Options.traversalLimitInWords = MaxDatagramWords;
    capnp::PackedMessageReader Message(Input, Options);
    const auto Root = Message.getRoot<rpc::Gossip>();
    for (const auto Vm : Root.getVms())
      Payload.m_Records.push_back(decodeVm(Vm));
    for (const auto Heartbeat : Root.getBeats())
      Payload.m_Heartbeats.push_back({.m_Key = Heartbeat.getKey(),
                                      .m_HeartbeatCount = Heartbeat.getBeat(),
                                      .m_LagMs = Heartbeat.getLagMs()});
    for (const auto Source : Root.getHolders())
      Payload.m_StateSources.push_back(
          {.m_Address = text(Source.getAddress()),
           .m_Version = {
               .m_Config = {Source.getConfigEra(), Source.getConfig()},
               .m_Targets = {Source.getTargetsEra(), Source.getTargets()},
               .m_Evacuations = {Source.getEvacuationsEra(),
                                 Source.getEvacuations()},
               .m_ConfigNumber = Source.getConfigNumber()}});
    for (const auto Crash : Root.getCrashes())
      Payload.m_Crashes.push_back(
          {.m_Request = Fingerprint(Crash.getRequest()),
           .m_Target = Crash.getTarget(),
           .m_Vm = Crash.getVm(),
           .m_Remaining = milliseconds(Crash.getLeftMs())});
  });
  if (Failure != nullptr || Payload.m_Records.empty())
    return std::nullopt;
  return Payload;
}

} // namespace figturn
