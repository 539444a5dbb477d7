#include "node/PeerEndpoint.h"

#include <utility>

namespace figturn {

void PeerEndpoint::connect(PeerEndpointParts Parts) {
  m_Parts.emplace(std::move(Parts));
}

void PeerEndpoint::onHeartbeat(PeerHeartbeat Message,
                               PeerResponder<PeerHeartbeat> Respond) {
  m_Parts->m_Post([this, Message = std::move(Message),
                   Respond = std::move(Respond)]() mutable {
    m_Parts->m_Membership.onHeartbeat(std::move(Message), std::move(Respond));
  });
}

void PeerEndpoint::onPullDocuments(
    std::vector<std::string> Paths,
    PeerResponder<std::vector<PeerDocument>> Respond) {
  m_Parts->m_Post(
      [this, Paths = std::move(Paths), Respond = std::move(Respond)] {
        Respond(m_Parts->m_Documents(Paths));
      });
}

void PeerEndpoint::onRunCall(PeerCall Call,
                             PeerResponder<PeerCallResult> Respond) {
  ++m_Calls;
  m_CallTargets.insert_or_assign(Call.m_Call, Call.m_Target);
  auto OnResult = [this, Respond = std::move(Respond)](CallResult Result) {
    --m_Calls;
    Respond({.m_Error = Result.m_Error,
             .m_Status = Result.m_Status,
             .m_Body = std::move(Result.m_Body),
             .m_Verdict = Result.m_Verdict,
             .m_BootId = Result.m_BootId,
             .m_Crashed = Result.m_Crashed,
             .m_Latency =
                 std::chrono::duration_cast<microseconds>(Result.m_Latency)});
  };
  constexpr std::size_t AnyWorker = 0;
  m_Parts->m_Dispatcher.run({.m_Call = Call.m_Call,
                             .m_Origin = Call.m_Origin.value(),
                             .m_Target = Call.m_Target,
                             .m_Path = std::move(Call.m_Path),
                             .m_Body = std::move(Call.m_Body),
                             .m_Deadline = Clock::now() + Call.m_Deadline,
                             .m_Urgent = Call.m_Urgent,
                             .m_SingleRun = Call.m_SingleRun,
                             .m_Forwarded = true},
                            AnyWorker, std::move(OnResult));
}

void PeerEndpoint::onCallCancelled(VmName /*Vm*/, CallId Call) {
  auto Node = m_CallTargets.extract(Call);
  if (!Node.empty())
    m_Parts->m_Dispatcher.cancel(Node.mapped(), Call);
}

void PeerEndpoint::onAskCanary(Fingerprint Request,
                               PeerResponder<CanaryAnswer> Respond) {
  Respond(m_Parts->m_Canaries.onAsk(Request));
}

void PeerEndpoint::onReportCanary(Fingerprint Request, std::uint64_t Canary,
                                  CanaryOutcome Outcome,
                                  PeerResponder<bool> Respond) {
  m_Parts->m_Canaries.onReport(
      Request, Canary, Outcome,
      [Respond = std::move(Respond)] { Respond(true); });
}

void PeerEndpoint::onCrashNotice(CrashNotice Notice,
                                 PeerResponder<bool> Respond) {
  m_Parts->m_Canaries.onCrashNotice(Notice);
  Respond(true);
}

void PeerEndpoint::onAwaitSingleRun(AttemptToken Token, milliseconds Wait,
                                    PeerResponder<HolderReply> Respond) {
  m_Parts->m_SingleRuns.awaitOutcome(Token, Wait, std::move(Respond));
}

} // namespace figturn
