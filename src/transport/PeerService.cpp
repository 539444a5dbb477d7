#include "transport/PeerService.h"

#include "protocol/PeerCodec.h"

#include <utility>

namespace figturn {

std::uint64_t
PendingReplies::add(std::function<void(std::shared_ptr<void>)> Complete) {
  const std::uint64_t Id = m_NextId++;
  m_Completions.emplace(Id, std::move(Complete));
  return Id;
}

void PendingReplies::complete(std::uint64_t Id, std::shared_ptr<void> Reply) {
  auto Node = m_Completions.extract(Id);
  if (!Node.empty())
    Node.mapped()(std::move(Reply));
}

PeerService::PeerService(PeerHandler &Handler,
                         std::shared_ptr<KjTaskQueue> Queue)
    : m_Handler(Handler), m_Queue(std::move(Queue)),
      m_PendingReplies(std::make_shared<PendingReplies>()) {}

template <typename Reply>
PeerService::PendingReply<Reply> PeerService::makePendingReply() {
  using Value = std::shared_ptr<Reply>;
  auto Pair = kj::newPromiseAndFulfiller<Value>();
  // The fulfiller stays on this thread; the responder only holds an ID.
  auto Fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<Value>>>(
      kj::mv(Pair.fulfiller));
  const std::uint64_t Id =
      m_PendingReplies->add([Fulfiller](std::shared_ptr<void> Answer) {
        (*Fulfiller)->fulfill(std::static_pointer_cast<Reply>(Answer));
      });
  auto Pending = m_PendingReplies;
  auto Queue = m_Queue;
  auto Respond = [Pending, Queue, Id](Reply Answer) {
    auto Shared = std::make_shared<Reply>(std::move(Answer));
    Queue->post([Pending, Id, Shared] { Pending->complete(Id, Shared); });
  };
  auto RemoveOnExit = kj::defer([Pending, Id] { Pending->remove(Id); });
  return {Pair.promise.attach(kj::mv(RemoveOnExit)), Respond};
}

kj::Promise<void> PeerService::heartbeat(HeartbeatContext Context) {
  auto Reply = makePendingReply<PeerHeartbeat>();
  m_Handler.onHeartbeat(decode(Context.getParams().getBeat()), Reply.m_Respond);
  return Reply.m_Promise.then([Context](auto Answer) mutable {
    encode(*Answer, Context.getResults().initReply());
  });
}

kj::Promise<void> PeerService::pullDocuments(PullDocumentsContext Context) {
  auto Reply = makePendingReply<std::vector<PeerDocument>>();
  std::vector<std::string> Paths;
  for (auto Path : Context.getParams().getPaths())
    Paths.emplace_back(Path.cStr());
  m_Handler.onPullDocuments(std::move(Paths), Reply.m_Respond);
  return Reply.m_Promise.then([Context](auto Answer) mutable {
    auto List = Context.getResults().initDocuments(
        static_cast<unsigned>(Answer->size()));
    for (std::size_t I = 0; I < Answer->size(); ++I)
      encode((*Answer)[I], List[static_cast<unsigned>(I)]);
  });
}

kj::Promise<void> PeerService::runCall(RunCallContext Context) {
  auto Reply = makePendingReply<PeerCallResult>();
  PeerCall Call = decode(Context.getParams().getCall());
  const VmName Vm = Call.m_Origin;
  const CallId Id = Call.m_Call;
  m_Handler.onRunCall(std::move(Call), Reply.m_Respond);
  Context.allowCancellation();
  // Also runs after the call was answered; the handler ignores that case.
  auto CancelOnExit =
      kj::defer([this, Vm, Id] { m_Handler.onCallCancelled(Vm, Id); });
  return Reply.m_Promise
      .then([Context](auto Answer) mutable {
        encode(*Answer, Context.getResults().initResult());
      })
      .attach(kj::mv(CancelOnExit), thisCap());
}

kj::Promise<void> PeerService::askCanary(AskCanaryContext Context) {
  auto Reply = makePendingReply<CanaryAnswer>();
  m_Handler.onAskCanary(Fingerprint(Context.getParams().getFingerprint()),
                        Reply.m_Respond);
  return Reply.m_Promise.then([Context](auto Answer) mutable {
    auto Results = Context.getResults();
    Results.setVerdict(encode(Answer->m_Verdict));
    Results.setCanary(Answer->m_Canary);
    Results.setRemainingMs(static_cast<std::uint32_t>(
        std::chrono::ceil<milliseconds>(Answer->m_Remaining).count()));
  });
}

kj::Promise<void> PeerService::reportCanary(ReportCanaryContext Context) {
  auto Reply = makePendingReply<bool>();
  auto Params = Context.getParams();
  m_Handler.onReportCanary(Fingerprint(Params.getFingerprint()),
                           Params.getCanary(), decode(Params.getOutcome()),
                           Reply.m_Respond);
  return Reply.m_Promise.ignoreResult();
}

kj::Promise<void> PeerService::learnCrash(LearnCrashContext Context) {
  auto Reply = makePendingReply<bool>();
  m_Handler.onCrashNotice(decode(Context.getParams().getNotice()),
                          Reply.m_Respond);
  return Reply.m_Promise.ignoreResult();
}

kj::Promise<void> PeerService::awaitSingleRun(AwaitSingleRunContext Context) {
  auto Reply = makePendingReply<HolderReply>();
  auto Params = Context.getParams();
  m_Handler.onAwaitSingleRun(AttemptToken(Params.getToken().cStr()),
                             milliseconds(Params.getWaitMs()), Reply.m_Respond);
  return Reply.m_Promise.then([Context](auto Answer) mutable {
    encode(*Answer, Context.getResults().initReply());
  });
}

} // namespace figturn
