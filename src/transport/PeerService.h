#ifndef FIGTURN_TRANSPORT_PEERSERVICE_H
#define FIGTURN_TRANSPORT_PEERSERVICE_H

/**
 * Server side of the peer protocol. Forwards RPC calls to a PeerHandler, whose
 * responders may be called from any thread. Runs on the peer thread.
 */

#include "protocol/generated/Peer.capnp.h"
#include "transport/KjTaskQueue.h"
#include "transport/PeerNetwork.h"

#include <memory>
#include <unordered_map>

namespace figturn {

/** Completion functions of unanswered calls by ID; used on the peer thread. */
class PendingReplies {
public:
  /** Stores \p Complete until complete() or remove(); returns its ID. */
  std::uint64_t add(std::function<void(std::shared_ptr<void>)> Complete);
  /** Removes the function with the ID \p Id and runs it, if it is present. */
  void complete(std::uint64_t Id, std::shared_ptr<void> Reply);
  void remove(std::uint64_t Id) { m_Completions.erase(Id); }

private:
  std::uint64_t m_NextId = 1;
  std::unordered_map<std::uint64_t, std::function<void(std::shared_ptr<void>)>>
      m_Completions;
};

/** Implementation of the RPC interface. */
class PeerService final : public rpc::Peer::Server {
public:
  PeerService(PeerHandler &Handler, std::shared_ptr<KjTaskQueue> Queue);

protected:
  kj::Promise<void> heartbeat(HeartbeatContext Context) override;
  kj::Promise<void> pullDocuments(PullDocumentsContext Context) override;
  kj::Promise<void> runCall(RunCallContext Context) override;
  kj::Promise<void> askCanary(AskCanaryContext Context) override;
  kj::Promise<void> reportCanary(ReportCanaryContext Context) override;
  kj::Promise<void> learnCrash(LearnCrashContext Context) override;
  kj::Promise<void> awaitSingleRun(AwaitSingleRunContext Context) override;

private:
  /** A promise for a reply and the responder that fulfils it. */
  template <typename Reply> struct PendingReply {
    kj::Promise<std::shared_ptr<Reply>> m_Promise;
    PeerResponder<Reply> m_Respond;
  };
  template <typename Reply> PendingReply<Reply> makePendingReply();

  PeerHandler &m_Handler;
  std::shared_ptr<KjTaskQueue> m_Queue;
  std::shared_ptr<PendingReplies> m_PendingReplies;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_PEERSERVICE_H
