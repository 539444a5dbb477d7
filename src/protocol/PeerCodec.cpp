#include "protocol/PeerCodec.h"

#include "protocol/MemberListCodec.h"

#include <algorithm>
#include <limits>

namespace figturn {

namespace {

std::string text(capnp::Text::Reader From) {
  return {From.cStr(), From.size()};
}

std::string bytes(capnp::Data::Reader From) {
  return {reinterpret_cast<const char *>(From.begin()), From.size()};
}

capnp::Data::Reader data(const std::string &From) {
  return {reinterpret_cast<const capnp::byte *>(From.data()), From.size()};
}

std::uint32_t clampToMilliseconds(milliseconds From) {
  const auto Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(From.count(), 0, Max));
}

} // namespace

void encode(const RampGrant &From, rpc::RampGrant::Builder To) {
  To.setTarget(From.m_Target.value());
  To.setBootId(From.m_Boot.value());
  To.setLevel(From.m_Level);
  To.setSequence(From.m_Sequence);
}

RampGrant decode(rpc::RampGrant::Reader From) {
  return {.m_Target = TargetName(text(From.getTarget())),
          .m_Boot = BootId(text(From.getBootId())),
          .m_Level = From.getLevel(),
          .m_Sequence = From.getSequence()};
}

void encode(const RampReport &From, rpc::RampReport::Builder To) {
  To.setTarget(From.m_Target.value());
  To.setBootId(From.m_Boot.value());
  To.setSequence(From.m_Sequence);
  To.setSuccesses(From.m_Successes);
  To.setRegressed(From.m_Regressed);
}

RampReport decode(rpc::RampReport::Reader From) {
  return {.m_Target = TargetName(text(From.getTarget())),
          .m_Boot = BootId(text(From.getBootId())),
          .m_Sequence = From.getSequence(),
          .m_Successes = From.getSuccesses(),
          .m_Regressed = From.getRegressed()};
}

void encode(const RegressNotice &From, rpc::RegressNotice::Builder To) {
  To.setTarget(From.m_Target.value());
  To.setBootId(From.m_Boot.value());
}

RegressNotice decode(rpc::RegressNotice::Reader From) {
  return {.m_Target = TargetName(text(From.getTarget())),
          .m_Boot = BootId(text(From.getBootId()))};
}

namespace {

template <typename Message, typename ListBuilder>
void encodeAll(const std::vector<Message> &From, ListBuilder To) {
  for (std::size_t I = 0; I < From.size(); ++I)
    encode(From[I], To[static_cast<unsigned>(I)]);
}

template <typename Message, typename ListReader>
std::vector<Message> decodeAll(ListReader From) {
  std::vector<Message> To;
  To.reserve(From.size());
  for (const auto &Item : From)
    To.push_back(decode(Item));
  return To;
}

} // namespace

void encode(const PeerHeartbeat &From, rpc::Heartbeat::Builder To) {
  const Heartbeat &Lease = From.m_Lease;
  To.setVm(From.m_Sender.m_Vm.value());
  To.setBootId(From.m_Sender.m_Boot.value());
  To.setDataCentre(From.m_Sender.m_DataCentre.value());
  To.setPeerAddress(From.m_Sender.m_PeerAddress);
  To.setCallerAddress(From.m_Sender.m_CallerAddress);
  To.setEpoch(Lease.m_Epoch.value());
  To.setActivated(Lease.m_Activated);
  // Rounded up, so that a call is never taken for ended before it is.
  To.setDrainMs(
      clampToMilliseconds(std::chrono::ceil<milliseconds>(Lease.m_DrainTime)));
  if (Lease.m_List)
    To.setMemberList(data(encodeMemberList(*Lease.m_List)));
  To.setConfigVersion(From.m_ConfigVersion.value());
  To.setIndexDigest(From.m_IndexDigest);
  To.setDraining(From.m_Draining);
  To.setDrained(From.m_Drained);
  encodeAll(From.m_Reports,
            To.initReports(static_cast<unsigned>(From.m_Reports.size())));
  encodeAll(From.m_Regressions,
            To.initRegresses(static_cast<unsigned>(From.m_Regressions.size())));
  encodeAll(From.m_Grants,
            To.initGrants(static_cast<unsigned>(From.m_Grants.size())));
  encodeAll(From.m_Quarantines, To.initQuarantines(static_cast<unsigned>(
                                    From.m_Quarantines.size())));
}

PeerHeartbeat decode(rpc::Heartbeat::Reader From) {
  PeerHeartbeat To{
      .m_Sender = {.m_Vm = VmName(text(From.getVm())),
                   .m_Boot = BootId(text(From.getBootId())),
                   .m_DataCentre = DataCentreName(text(From.getDataCentre())),
                   .m_PeerAddress = text(From.getPeerAddress()),
                   .m_CallerAddress = text(From.getCallerAddress())},
      .m_Lease = {.m_Epoch = Epoch(From.getEpoch()),
                  .m_Activated = From.getActivated(),
                  .m_DrainTime = milliseconds(From.getDrainMs())},
      .m_ConfigVersion = ConfigVersion(From.getConfigVersion()),
      .m_IndexDigest = From.getIndexDigest(),
      .m_Draining = From.getDraining(),
      .m_Drained = From.getDrained(),
      .m_Reports = decodeAll<RampReport>(From.getReports()),
      .m_Regressions = decodeAll<RegressNotice>(From.getRegresses()),
      .m_Grants = decodeAll<RampGrant>(From.getGrants()),
      .m_Quarantines = decodeAll<CrashNotice>(From.getQuarantines())};
  To.m_Lease.m_From = To.m_Sender.m_Vm;
  To.m_Lease.m_Boot = To.m_Sender.m_Boot;
  if (From.getMemberList().size() > 0)
    if (auto List = decodeMemberList(bytes(From.getMemberList())))
      To.m_Lease.m_List = std::make_shared<const MemberList>(std::move(*List));
  for (RampReport &Report : To.m_Reports)
    Report.m_From = To.m_Sender.m_Vm;
  for (RegressNotice &Notice : To.m_Regressions)
    Notice.m_From = To.m_Sender.m_Vm;
  return To;
}

void encode(const CrashNotice &From, rpc::CrashNotice::Builder To) {
  To.setFingerprint(From.m_Fingerprint.value());
  To.setCrashes(From.m_Crashes);
  To.setRemainingMs(
      clampToMilliseconds(std::chrono::ceil<milliseconds>(From.m_Remaining)));
}

CrashNotice decode(rpc::CrashNotice::Reader From) {
  return {.m_Fingerprint = Fingerprint(From.getFingerprint()),
          .m_Crashes = From.getCrashes(),
          .m_Remaining = milliseconds(From.getRemainingMs())};
}

void encode(const PeerDocument &From, rpc::Document::Builder To) {
  To.setPath(From.m_Path);
  To.setVersion(From.m_Version);
  To.setBody(data(From.m_Body));
}

PeerDocument decode(rpc::Document::Reader From) {
  return {.m_Path = text(From.getPath()),
          .m_Version = From.getVersion(),
          .m_Body = bytes(From.getBody())};
}

void encode(const PeerCall &From, rpc::TargetCall::Builder To) {
  To.setVm(From.m_Vm.value());
  To.setCallId(From.m_Call.value());
  To.setTarget(From.m_Target.value());
  To.setPath(From.m_Path);
  To.setBody(data(From.m_Body));
  To.setDeadlineMs(clampToMilliseconds(From.m_Deadline));
  To.setUrgent(From.m_Urgent);
  To.setSingleRun(From.m_SingleRun);
  To.setEpoch(From.m_Epoch.value());
}

PeerCall decode(rpc::TargetCall::Reader From) {
  return {.m_Vm = VmName(text(From.getVm())),
          .m_Call = CallId(From.getCallId()),
          .m_Target = TargetName(text(From.getTarget())),
          .m_Path = text(From.getPath()),
          .m_Body = bytes(From.getBody()),
          .m_Deadline = milliseconds(From.getDeadlineMs()),
          .m_Urgent = From.getUrgent(),
          .m_SingleRun = From.getSingleRun(),
          .m_Epoch = Epoch(From.getEpoch())};
}

void encode(const PeerCallResult &From, rpc::TargetResult::Builder To) {
  if (From.m_Error)
    To.setError(From.m_Error.message());
  To.setStatus(From.m_Status);
  To.setBody(data(From.m_Body));
  To.setVerdict(std::string(verdictName(From.m_Verdict)));
  To.setBootId(From.m_BootId.value());
  To.setCrashed(From.m_Crashed);
  To.setLatencyUs(static_cast<std::uint64_t>(From.m_Latency.count()));
}

PeerCallResult decode(rpc::TargetResult::Reader From) {
  std::error_code Error;
  if (From.getError().size() > 0)
    Error = parseErrc(text(From.getError()));
  return {.m_Error = Error,
          .m_Status = From.getStatus(),
          .m_Body = bytes(From.getBody()),
          .m_Verdict = parseVerdict(text(From.getVerdict())),
          .m_BootId = BootId(text(From.getBootId())),
          .m_Crashed = From.getCrashed(),
          .m_Latency = microseconds(From.getLatencyUs())};
}

void encode(const HolderReply &From, rpc::HolderReply::Builder To) {
  const SingleRunOutcome &Outcome = From.m_Outcome;
  To.setSettled(From.m_Kind == HolderReply::Kind::Settled);
  To.setPhase(std::string(phaseName(Outcome.m_Phase)));
  To.setVerdict(std::string(verdictName(Outcome.m_Verdict)));
  if (Outcome.m_Reason)
    To.setReason(Outcome.m_Reason.message());
  To.setResult(data(Outcome.m_Result));
  // Rounded down, so that the release is never taken for older than it is.
  To.setReleaseAgeMs(
      clampToMilliseconds(std::chrono::floor<milliseconds>(From.m_ReleaseAge)));
}

HolderReply decode(rpc::HolderReply::Reader From) {
  HolderReply To;
  if (!From.getSettled())
    return To;
  To.m_Kind = HolderReply::Kind::Settled;
  To.m_Outcome.m_Phase = parsePhase(text(From.getPhase()));
  To.m_Outcome.m_Verdict = parseVerdict(text(From.getVerdict()));
  if (From.getReason().size() > 0)
    To.m_Outcome.m_Reason = parseErrc(text(From.getReason()));
  To.m_Outcome.m_Result = bytes(From.getResult());
  To.m_ReleaseAge = milliseconds(From.getReleaseAgeMs());
  return To;
}

rpc::CanaryVerdict encode(CanaryVerdict From) {
  return static_cast<rpc::CanaryVerdict>(From);
}

CanaryVerdict decode(rpc::CanaryVerdict From) {
  return From <= rpc::CanaryVerdict::QUARANTINED
             ? static_cast<CanaryVerdict>(From)
             : CanaryVerdict::Wait;
}

rpc::CanaryOutcome encode(CanaryOutcome From) {
  return static_cast<rpc::CanaryOutcome>(From);
}

CanaryOutcome decode(rpc::CanaryOutcome From) {
  return From <= rpc::CanaryOutcome::INCONCLUSIVE
             ? static_cast<CanaryOutcome>(From)
             : CanaryOutcome::Inconclusive;
}

} // namespace figturn
