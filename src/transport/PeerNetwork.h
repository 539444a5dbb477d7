#ifndef FIGTURN_TRANSPORT_PEERNETWORK_H
#define FIGTURN_TRANSPORT_PEERNETWORK_H

/**
 * Cap'n Proto RPC between entry VMs. A dedicated thread, the peer thread, runs
 * KJ's event loop; other threads post requests to it through a queue and
 * receive replies by callback. A link is closed if a heartbeat on it times out,
 * because the RPC layer alone would wait indefinitely on an unresponsive
 * connection.
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

/** Answers one request; call it once, from any thread. */
template <typename Reply> using PeerResponder = std::function<void(Reply)>;

/** Serves requests from peers. Called on the peer thread; must not block. */
class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  virtual void onHeartbeat(PeerHeartbeat Heartbeat,
                           PeerResponder<PeerHeartbeat> Respond) = 0;
  virtual void
  onPullDocuments(std::vector<std::string> Paths,
                  PeerResponder<std::vector<PeerDocument>> Respond) = 0;
  virtual void onRunCall(PeerCall Call,
                         PeerResponder<PeerCallResult> Respond) = 0;
  /** The sender cancelled the call or its connection was closed. Also called
   *  after the call was answered. */
  virtual void onCallCancelled(VmName Vm, CallId Call) = 0;
  virtual void onAskCanary(Fingerprint Request,
                           PeerResponder<CanaryAnswer> Respond) = 0;
  /** Responds after the reachable peers were notified of a crash. */
  virtual void onReportCanary(Fingerprint Request, std::uint64_t Canary,
                              CanaryOutcome Outcome,
                              PeerResponder<bool> Respond) = 0;
  virtual void onCrashNotice(CrashNotice Notice,
                             PeerResponder<bool> Respond) = 0;
  virtual void onAwaitSingleRun(AttemptToken Token, milliseconds Wait,
                                PeerResponder<HolderReply> Respond) = 0;
};

/** Options of a PeerNetwork. */
struct PeerNetworkOptions {
  std::string m_Address; ///< To listen on, "ip:port".
};

/** Identifies a call in flight, to cancel it. */
using PeerCallHandle = std::uint64_t;

/** Owns the peer thread, the listener and the links to peers. */
class PeerNetwork {
public:
  PeerNetwork(PeerNetworkOptions Options, PeerHandler &Handler);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork &) = delete;
  PeerNetwork &operator=(const PeerNetwork &) = delete;

  /** Starts the thread and listens; fails with address_in_use if that isn't
   *  possible. */
  std::error_code start();
  /** Closes all links and joins the thread. */
  void stop();

  // Requests to the peer at \p Address ("ip:port"). Each handler runs exactly
  // once unless the call is cancelled or the network stops first. The error is
  // PeerUnavailable or DeadlineExceeded if no reply was received.
  void sendHeartbeat(const std::string &Address, PeerHeartbeat Heartbeat,
                     milliseconds Timeout,
                     PeerReplyHandler<PeerHeartbeat> OnReply);
  void pullDocuments(const std::string &Address, std::vector<std::string> Paths,
                     milliseconds Timeout,
                     PeerReplyHandler<std::vector<PeerDocument>> OnReply);
  PeerCallHandle runCall(const std::string &Address, PeerCall Call,
                         milliseconds Timeout,
                         PeerReplyHandler<PeerCallResult> OnReply);
  /** Cancels a call; its handler may still run if the reply arrives first. */
  void cancelCall(PeerCallHandle Handle);
  void askCanary(const std::string &Address, Fingerprint Request,
                 milliseconds Timeout, PeerReplyHandler<CanaryAnswer> OnReply);
  void reportCanary(const std::string &Address, Fingerprint Request,
                    std::uint64_t Canary, CanaryOutcome Outcome,
                    milliseconds Timeout, PeerReplyHandler<bool> OnReply);
  void sendCrashNotice(const std::string &Address, CrashNotice Notice,
                       milliseconds Timeout, PeerReplyHandler<bool> OnReply);
  void awaitSingleRun(const std::string &Address, AttemptToken Token,
                      milliseconds Wait, PeerReplyHandler<HolderReply> OnReply);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_PEERNETWORK_H
