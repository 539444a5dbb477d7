#ifndef FIGTURN_NODE_PEERENDPOINT_H
#define FIGTURN_NODE_PEERENDPOINT_H

/**
 * Dispatches the requests of other entry VMs to the components that serve them.
 * Called on the peer thread, so nothing here blocks.
 */

#include "node/CanaryClient.h"
#include "node/MembershipDriver.h"
#include "node/SingleRunService.h"
#include "node/TargetDispatcher.h"
#include "transport/PeerNetwork.h"

#include <atomic>
#include <functional>

namespace figturn {

/** Components that serve peers' requests; all outlive the endpoint. */
struct PeerEndpointParts {
  MembershipDriver &m_Membership;
  TargetDispatcher &m_Dispatcher;
  CanaryClient &m_Canaries;
  SingleRunService &m_SingleRuns;
  /** Returns the platform's objects as held by this VM. */
  std::function<std::vector<PeerDocument>(const std::vector<std::string> &)>
      m_Documents;
  /** Posts to the control thread. */
  std::function<void(std::function<void()>)> m_Post;
};

/** Handler of peers' requests. Must not be called before connect(). */
class PeerEndpoint : public PeerHandler {
public:
  /** Sets the components; call it before the network starts. */
  void connect(PeerEndpointParts Parts);

  /** Number of peers' calls that are running here. */
  std::size_t calls() const { return m_Calls; }

  void onHeartbeat(PeerHeartbeat Message,
                   PeerResponder<PeerHeartbeat> Respond) override;
  void
  onPullDocuments(std::vector<std::string> Paths,
                  PeerResponder<std::vector<PeerDocument>> Respond) override;
  void onRunCall(PeerCall Call, PeerResponder<PeerCallResult> Respond) override;
  void onCallCancelled(VmName Vm, CallId Call) override;
  void onAskCanary(Fingerprint Request,
                   PeerResponder<CanaryAnswer> Respond) override;
  void onReportCanary(Fingerprint Request, std::uint64_t Canary,
                      CanaryOutcome Outcome,
                      PeerResponder<bool> Respond) override;
  void onCrashNotice(CrashNotice Notice, PeerResponder<bool> Respond) override;
  void onAwaitSingleRun(AttemptToken Token, milliseconds Wait,
                        PeerResponder<HolderReply> Respond) override;

private:
  std::optional<PeerEndpointParts> m_Parts;
  std::atomic<std::size_t> m_Calls{0};
  /** Targets of the calls that run here; accessed on the peer thread only. */
  std::unordered_map<CallId, TargetName> m_CallTargets;
};

} // namespace figturn

#endif // FIGTURN_NODE_PEERENDPOINT_H
