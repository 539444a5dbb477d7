#include "protocol/GossipCodec.h"

#include "protocol/generated/Gossip.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <utility>

namespace figturn {

namespace {

/** Bound on what one datagram may unpack to, in words of 8 bytes. */
constexpr std::uint64_t MaxDatagramWords = 65536;

std::string text(capnp::Text::Reader From) {
  return {From.cStr(), From.size()};
}

VmPhase phase(std::uint8_t Number) {
  return Number <= static_cast<std::uint8_t>(VmPhase::Stopping)
             ? static_cast<VmPhase>(Number)
             : VmPhase::Starting;
}

void encodeVm(const VmRecord &From, rpc::GossipVm::Builder To) {
  To.setName(From.m_Vm.value());
  To.setStartedMs(From.m_StartedMs);
  To.setBeat(From.m_Beat);
  To.setPhase(static_cast<std::uint8_t>(From.m_Phase));
  To.setDataCentre(From.m_DataCentre.value());
  To.setCallerAddress(From.m_CallerAddress);
  To.setGossipAddress(From.m_GossipAddress);
  To.setStateAddress(From.m_StateAddress);
  To.setConfigVersion(From.m_ConfigVersion);
  To.setCapacityPermille(From.m_CapacityPermille);
  To.setLagMs(From.m_LagMs);
  To.setStoreUnreachable(!From.m_ReachesStore);
}

VmRecord decodeVm(rpc::GossipVm::Reader From) {
  return {.m_Vm = VmName(text(From.getName())),
          .m_StartedMs = From.getStartedMs(),
          .m_Beat = From.getBeat(),
          .m_Phase = phase(From.getPhase()),
          .m_DataCentre = DataCentreName(text(From.getDataCentre())),
          .m_CallerAddress = text(From.getCallerAddress()),
          .m_GossipAddress = text(From.getGossipAddress()),
          .m_StateAddress = text(From.getStateAddress()),
          .m_ConfigVersion = From.getConfigVersion(),
          .m_CapacityPermille = From.getCapacityPermille(),
          .m_LagMs = From.getLagMs(),
          .m_ReachesStore = !From.getStoreUnreachable()};
}

} // namespace

std::string encodeGossip(const GossipNews &News) {
  capnp::MallocMessageBuilder Message;
  auto Root = Message.initRoot<rpc::Gossip>();
  auto Vms = Root.initVms(static_cast<unsigned>(News.m_Records.size()));
  for (unsigned I = 0; I < Vms.size(); ++I)
    encodeVm(News.m_Records[I], Vms[I]);
  auto Beats = Root.initBeats(static_cast<unsigned>(News.m_Beats.size()));
  for (unsigned I = 0; I < Beats.size(); ++I) {
    Beats[I].setKey(News.m_Beats[I].m_Key);
    Beats[I].setBeat(News.m_Beats[I].m_Beat);
    Beats[I].setLagMs(News.m_Beats[I].m_LagMs);
  }
  auto Holders = Root.initHolders(static_cast<unsigned>(News.m_Holders.size()));
  for (unsigned I = 0; I < Holders.size(); ++I) {
    const StateHolder &From = News.m_Holders[I];
    Holders[I].setAddress(From.m_Address);
    Holders[I].setConfig(From.m_Version.m_Config);
    Holders[I].setTargets(From.m_Version.m_Targets);
    Holders[I].setEvacuations(From.m_Version.m_Evacuations);
  }
  auto Crashes = Root.initCrashes(static_cast<unsigned>(News.m_Crashes.size()));
  for (unsigned I = 0; I < Crashes.size(); ++I) {
    const CrashMark &From = News.m_Crashes[I];
    Crashes[I].setRequest(From.m_Request.value());
    Crashes[I].setTarget(From.m_Target);
    Crashes[I].setLeftMs(static_cast<std::uint32_t>(From.m_Left.count()));
  }
  kj::VectorOutputStream Out;
  capnp::writePackedMessage(Out, Message);
  const auto Bytes = Out.getArray();
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

std::optional<GossipNews> decodeGossip(std::string_view Bytes) {
  GossipNews News;
  const auto Failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream In(kj::arrayPtr(
        reinterpret_cast<const kj::byte *>(Bytes.data()), Bytes.size()));
    capnp::ReaderOptions Options;
    Options.traversalLimitInWords = MaxDatagramWords;
    capnp::PackedMessageReader Message(In, Options);
    const auto Root = Message.getRoot<rpc::Gossip>();
    for (const auto Vm : Root.getVms())
      News.m_Records.push_back(decodeVm(Vm));
    for (const auto Beat : Root.getBeats())
      News.m_Beats.push_back({.m_Key = Beat.getKey(),
                              .m_Beat = Beat.getBeat(),
                              .m_LagMs = Beat.getLagMs()});
    for (const auto Holder : Root.getHolders())
      News.m_Holders.push_back(
          {.m_Address = text(Holder.getAddress()),
           .m_Version = {.m_Config = Holder.getConfig(),
                         .m_Targets = Holder.getTargets(),
                         .m_Evacuations = Holder.getEvacuations()}});
    for (const auto Crash : Root.getCrashes())
      News.m_Crashes.push_back({.m_Request = Fingerprint(Crash.getRequest()),
                                .m_Target = Crash.getTarget(),
                                .m_Left = milliseconds(Crash.getLeftMs())});
  });
  if (Failure != nullptr || News.m_Records.empty())
    return std::nullopt;
  return News;
}

} // namespace figturn
