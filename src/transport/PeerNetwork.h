#ifndef FIGTURN_TRANSPORT_PEERNETWORK_H
#define FIGTURN_TRANSPORT_PEERNETWORK_H

/**
 * Cap'n Proto RPC between entry VMs. KJ has its own event loop, so one thread
 * runs it; other threads hand tasks to it through a queue and get replies by
 * callback. A link on which a heartbeat goes unanswered is closed, because
 * RPC alone would wait for ever on a connection that has gone silent.
 */

#include "protocol/PeerMessages.h"

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace figturn {

/** Receives one reply, on the peer thread; must not block. */
template <typename Reply>
using PeerReplyHandler = std::function<void(std::error_code, Reply)>;

/** Answers one request, from any thread, once. */
template <typename Reply> using PeerResponder = std::function<void(Reply)>;

/** Serves peers' requests. Called on the peer thread; must not block. */
class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  virtual void onHeartbeat(PeerHeartbeat Beat,
                           PeerResponder<PeerHeartbeat> Respond) = 0;
  virtual void
  onPullDocuments(std::vector<std::string> Paths,
                  PeerResponder<std::vector<PeerDocument>> Respond) = 0;
  virtual void onRunCall(PeerCall Call,
                         PeerResponder<PeerCallResult> Respond) = 0;
  /** The sender no longer wants the result of a call it had sent. */
  virtual void onCallCancelled(VmName Vm, CallId Call) = 0;
  virtual void onAskCanary(Fingerprint Request,
                           PeerResponder<CanaryAnswer> Respond) = 0;
  /** Responds once the peers that can be reached know of a crash. */
  virtual void onReportCanary(Fingerprint Request, std::uint64_t Canary,
                              CanaryOutcome Outcome,
                              PeerResponder<bool> Respond) = 0;
  virtual void onLearnCrash(CrashNotice Notice,
                            PeerResponder<bool> Respond) = 0;
  virtual void onAwaitSingleRun(AttemptToken Token, milliseconds Wait,
                                PeerResponder<HolderReply> Respond) = 0;
};

/** Where to listen. */
struct PeerNetworkOptions {
  std::string m_Address; ///< "ip:port".
};

/** Names a call in flight so that it can be dropped. */
using PeerCallHandle = std::uint64_t;

/** The thread, the listener and the links to peers. */
class PeerNetwork {
public:
  PeerNetwork(PeerNetworkOptions Options, PeerHandler &Handler);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork &) = delete;
  PeerNetwork &operator=(const PeerNetwork &) = delete;

  /** Starts the thread and listens; an error if the address is taken. */
  std::error_code start();
  /** Closes all links and joins the thread. */
  void stop();

  // Requests to the peer at \p Address ("ip:port"). Each handler runs exactly
  // once unless the network stops first; PeerUnavailable or DeadlineExceeded
  // tell that no reply came.
  void sendHeartbeat(const std::string &Address, PeerHeartbeat Beat,
                     milliseconds Timeout,
                     PeerReplyHandler<PeerHeartbeat> OnReply);
  void pullDocuments(const std::string &Address, std::vector<std::string> Paths,
                     milliseconds Timeout,
                     PeerReplyHandler<std::vector<PeerDocument>> OnReply);
  PeerCallHandle runCall(const std::string &Address, PeerCall Call,
                         milliseconds Timeout,
                         PeerReplyHandler<PeerCallResult> OnReply);
  /** Drops a call: its handler may still run if the reply was on its way. */
  void cancelCall(PeerCallHandle Handle);
  void askCanary(const std::string &Address, Fingerprint Request,
                 milliseconds Timeout, PeerReplyHandler<CanaryAnswer> OnReply);
  void reportCanary(const std::string &Address, Fingerprint Request,
                    std::uint64_t Canary, CanaryOutcome Outcome,
                    milliseconds Timeout, PeerReplyHandler<bool> OnReply);
  void learnCrash(const std::string &Address, CrashNotice Notice,
                  milliseconds Timeout, PeerReplyHandler<bool> OnReply);
  void awaitSingleRun(const std::string &Address, AttemptToken Token,
                      milliseconds Wait, PeerReplyHandler<HolderReply> OnReply);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_PEERNETWORK_H
