#include "protocol/PeerCodec.h"

#include "protocol/MemberListCodec.h"

#include <algorithm>
#include <limits>

namespace figturn {

namespace {

std::string text(capnp::Text::Reader Text) {
  return {Text.cStr(), Text.size()};
}

std::string bytes(capnp::Data::Reader Data) {
  return {reinterpret_cast<const char *>(Data.begin()), Data.size()};
}

capnp::Data::Reader data(const std::string &Bytes) {
  return {reinterpret_cast<const capnp::byte *>(Bytes.data()), Bytes.size()};
}

std::uint32_t clampToUint32(milliseconds Duration) {
  const auto Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Duration.count(), 0, Max));
}

} // namespace

void encode(const RampGrant &Message, rpc::RampGrant::Builder Builder) {
  Builder.setTarget(Message.m_Target.value());
  Builder.setBootId(Message.m_Boot.value());
  Builder.setLevel(Message.m_Level);
  Builder.setSequence(Message.m_Sequence);
}

RampGrant decode(rpc::RampGrant::Reader Reader) {
  return {.m_Target = TargetName(text(Reader.getTarget())),
          .m_Boot = BootId(text(Reader.getBootId())),
          .m_Level = Reader.getLevel(),
          .m_Sequence = Reader.getSequence()};
}

void encode(const RampReport &Message, rpc::RampReport::Builder Builder) {
  Builder.setTarget(Message.m_Target.value());
  Builder.setBootId(Message.m_Boot.value());
  Builder.setSequence(Message.m_Sequence);
  Builder.setSuccesses(Message.m_Successes);
  Builder.setRegressed(Message.m_Regressed);
}

RampReport decode(rpc::RampReport::Reader Reader) {
  return {.m_Target = TargetName(text(Reader.getTarget())),
          .m_Boot = BootId(text(Reader.getBootId())),
          .m_Sequence = Reader.getSequence(),
          .m_Successes = Reader.getSuccesses(),
          .m_Regressed = Reader.getRegressed()};
}

void encode(const RegressNotice &Message, rpc::RegressNotice::Builder Builder) {
  Builder.setTarget(Message.m_Target.value());
  Builder.setBootId(Message.m_Boot.value());
}

RegressNotice decode(rpc::RegressNotice::Reader Reader) {
  return {.m_Target = TargetName(text(Reader.getTarget())),
          .m_Boot = BootId(text(Reader.getBootId()))};
}

namespace {

template <typename Message, typename ListBuilder>
void encodeAll(const std::vector<Message> &Messages, ListBuilder Builder) {
  for (std::size_t I = 0; I < Messages.size(); ++I)
    encode(Messages[I], Builder[static_cast<unsigned>(I)]);
}

template <typename Message, typename ListReader>
std::vector<Message> decodeAll(ListReader Reader) {
  std::vector<Message> Messages;
  Messages.reserve(Reader.size());
  for (const auto &Item : Reader)
    Messages.push_back(decode(Item));
  return Messages;
}

} // namespace

void encode(const PeerHeartbeat &Message, rpc::Heartbeat::Builder Builder) {
  const Heartbeat &Lease = Message.m_Lease;
  Builder.setVm(Message.m_Sender.m_Vm.value());
  Builder.setBootId(Message.m_Sender.m_Boot.value());
  Builder.setDataCentre(Message.m_Sender.m_DataCentre.value());
  Builder.setPeerAddress(Message.m_Sender.m_PeerAddress);
  Builder.setCallerAddress(Message.m_Sender.m_CallerAddress);
  Builder.setEpoch(Lease.m_Epoch.value());
  Builder.setActivated(Lease.m_Activated);
  // Rounded up, so that a call isn't considered ended too early.
  Builder.setDrainMs(
      clampToUint32(std::chrono::ceil<milliseconds>(Lease.m_DrainTime)));
  if (Lease.m_List)
    Builder.setMemberList(data(encodeMemberList(*Lease.m_List)));
  Builder.setConfigVersion(Message.m_ConfigVersion.value());
  Builder.setIndexDigest(Message.m_IndexDigest);
  Builder.setDraining(Message.m_Draining);
  Builder.setDrained(Message.m_Drained);
  encodeAll(Message.m_Reports, Builder.initReports(static_cast<unsigned>(
                                   Message.m_Reports.size())));
  encodeAll(Message.m_Regressions, Builder.initRegresses(static_cast<unsigned>(
                                       Message.m_Regressions.size())));
  encodeAll(Message.m_Grants,
            Builder.initGrants(static_cast<unsigned>(Message.m_Grants.size())));
  encodeAll(Message.m_Quarantines,
            Builder.initQuarantines(
                static_cast<unsigned>(Message.m_Quarantines.size())));
}

PeerHeartbeat decode(rpc::Heartbeat::Reader Reader) {
  PeerHeartbeat Result{
      .m_Sender = {.m_Vm = VmName(text(Reader.getVm())),
                   .m_Boot = BootId(text(Reader.getBootId())),
                   .m_DataCentre = DataCentreName(text(Reader.getDataCentre())),
                   .m_PeerAddress = text(Reader.getPeerAddress()),
                   .m_CallerAddress = text(Reader.getCallerAddress())},
      .m_Lease = {.m_Epoch = Epoch(Reader.getEpoch()),
                  .m_Activated = Reader.getActivated(),
                  .m_DrainTime = milliseconds(Reader.getDrainMs())},
      .m_ConfigVersion = ConfigVersion(Reader.getConfigVersion()),
      .m_IndexDigest = Reader.getIndexDigest(),
      .m_Draining = Reader.getDraining(),
      .m_Drained = Reader.getDrained(),
      .m_Reports = decodeAll<RampReport>(Reader.getReports()),
      .m_Regressions = decodeAll<RegressNotice>(Reader.getRegresses()),
      .m_Grants = decodeAll<RampGrant>(Reader.getGrants()),
      .m_Quarantines = decodeAll<CrashNotice>(Reader.getQuarantines())};
  Result.m_Lease.m_Sender = Result.m_Sender.m_Vm;
  Result.m_Lease.m_Boot = Result.m_Sender.m_Boot;
  if (Reader.getMemberList().size() > 0)
    if (auto List = decodeMemberList(bytes(Reader.getMemberList())))
      Result.m_Lease.m_List =
          std::make_shared<const MemberList>(std::move(*List));
  for (RampReport &Report : Result.m_Reports)
    Report.m_Sender = Result.m_Sender.m_Vm;
  for (RegressNotice &Notice : Result.m_Regressions)
    Notice.m_Sender = Result.m_Sender.m_Vm;
  return Result;
}

void encode(const CrashNotice &Message, rpc::CrashNotice::Builder Builder) {
  Builder.setFingerprint(Message.m_Fingerprint.value());
  Builder.setCrashes(Message.m_Crashes);
  Builder.setRemainingMs(
      clampToUint32(std::chrono::ceil<milliseconds>(Message.m_Remaining)));
}

CrashNotice decode(rpc::CrashNotice::Reader Reader) {
  return {.m_Fingerprint = Fingerprint(Reader.getFingerprint()),
          .m_Crashes = Reader.getCrashes(),
          .m_Remaining = milliseconds(Reader.getRemainingMs())};
}

void encode(const PeerDocument &Message, rpc::Document::Builder Builder) {
  Builder.setPath(Message.m_Path);
  Builder.setVersion(Message.m_Version);
  Builder.setBody(data(Message.m_Body));
}

PeerDocument decode(rpc::Document::Reader Reader) {
  return {.m_Path = text(Reader.getPath()),
          .m_Version = Reader.getVersion(),
          .m_Body = bytes(Reader.getBody())};
}

void encode(const PeerCall &Message, rpc::TargetCall::Builder Builder) {
  Builder.setVm(Message.m_Origin.value());
  Builder.setCallId(Message.m_Call.value());
  Builder.setTarget(Message.m_Target.value());
  Builder.setPath(Message.m_Path);
  Builder.setBody(data(Message.m_Body));
  Builder.setDeadlineMs(clampToUint32(Message.m_Deadline));
  Builder.setUrgent(Message.m_Urgent);
  Builder.setSingleRun(Message.m_SingleRun);
  Builder.setEpoch(Message.m_Epoch.value());
}

PeerCall decode(rpc::TargetCall::Reader Reader) {
  return {.m_Origin = VmName(text(Reader.getVm())),
          .m_Call = CallId(Reader.getCallId()),
          .m_Target = TargetName(text(Reader.getTarget())),
          .m_Path = text(Reader.getPath()),
          .m_Body = bytes(Reader.getBody()),
          .m_Deadline = milliseconds(Reader.getDeadlineMs()),
          .m_Urgent = Reader.getUrgent(),
          .m_SingleRun = Reader.getSingleRun(),
          .m_Epoch = Epoch(Reader.getEpoch())};
}

void encode(const PeerCallResult &Message, rpc::TargetResult::Builder Builder) {
  if (Message.m_Error)
    Builder.setError(Message.m_Error.message());
  Builder.setStatus(Message.m_Status);
  Builder.setBody(data(Message.m_Body));
  Builder.setVerdict(std::string(verdictName(Message.m_Verdict)));
  Builder.setBootId(Message.m_BootId.value());
  Builder.setCrashed(Message.m_Crashed);
  Builder.setLatencyUs(static_cast<std::uint64_t>(Message.m_Latency.count()));
}

PeerCallResult decode(rpc::TargetResult::Reader Reader) {
  std::error_code Error;
  if (Reader.getError().size() > 0)
    Error = parseErrc(text(Reader.getError()));
  return {.m_Error = Error,
          .m_Status = Reader.getStatus(),
          .m_Body = bytes(Reader.getBody()),
          .m_Verdict = parseVerdict(text(Reader.getVerdict())),
          .m_BootId = BootId(text(Reader.getBootId())),
          .m_Crashed = Reader.getCrashed(),
          .m_Latency = microseconds(Reader.getLatencyUs())};
}

void encode(const HolderReply &Message, rpc::HolderReply::Builder Builder) {
  const SingleRunOutcome &Outcome = Message.m_Outcome;
  Builder.setSettled(Message.m_Kind == HolderReply::Kind::Settled);
  Builder.setPhase(std::string(phaseName(Outcome.m_Phase)));
  Builder.setVerdict(std::string(verdictName(Outcome.m_Verdict)));
  if (Outcome.m_Reason)
    Builder.setReason(Outcome.m_Reason.message());
  Builder.setResult(data(Outcome.m_Result));
  // Rounded down, so that the release isn't considered older than it is.
  Builder.setReleaseAgeMs(
      clampToUint32(std::chrono::floor<milliseconds>(Message.m_ReleaseAge)));
}

HolderReply decode(rpc::HolderReply::Reader Reader) {
  HolderReply Result;
  if (!Reader.getSettled())
    return Result;
  Result.m_Kind = HolderReply::Kind::Settled;
  Result.m_Outcome.m_Phase = parsePhase(text(Reader.getPhase()));
  Result.m_Outcome.m_Verdict = parseVerdict(text(Reader.getVerdict()));
  if (Reader.getReason().size() > 0)
    Result.m_Outcome.m_Reason = parseErrc(text(Reader.getReason()));
  Result.m_Outcome.m_Result = bytes(Reader.getResult());
  Result.m_ReleaseAge = milliseconds(Reader.getReleaseAgeMs());
  return Result;
}

rpc::CanaryVerdict encode(CanaryVerdict Verdict) {
  return static_cast<rpc::CanaryVerdict>(Verdict);
}

CanaryVerdict decode(rpc::CanaryVerdict Verdict) {
  return Verdict <= rpc::CanaryVerdict::QUARANTINED
             ? static_cast<CanaryVerdict>(Verdict)
             : CanaryVerdict::Wait;
}

rpc::CanaryOutcome encode(CanaryOutcome Outcome) {
  return static_cast<rpc::CanaryOutcome>(Outcome);
}

CanaryOutcome decode(rpc::CanaryOutcome Outcome) {
  return Outcome <= rpc::CanaryOutcome::INCONCLUSIVE
             ? static_cast<CanaryOutcome>(Outcome)
             : CanaryOutcome::Inconclusive;
}

} // namespace figturn
