#ifndef FIGTURN_NODE_CANARYCLIENT_H
#define FIGTURN_NODE_CANARYCLIENT_H

/**
 * Asks the owner VM of a request's fingerprint whether the request may be sent
 * to targets, and reports the outcome to it. Each VM has a registry for the
 * fingerprints that it owns. Every VM also keeps the quarantined fingerprints
 * of other owners, so that it refuses them without a message.
 */

#include "coordination/CanaryRegistry.h"
#include "node/MembershipTable.h"
#include "protocol/PeerMessages.h"
#include "state/RankedMutex.h"
#include "transport/PeerNetwork.h"
#include "transport/WorkerPool.h"

#include <functional>

namespace figturn {

/** Canary decisions of one VM; thread-safe. */
class CanaryClient {
public:
  using AnswerHandler = std::function<void(CanaryAnswer)>;
  using DoneHandler = std::function<void()>;

  CanaryClient(VmName Self, WorkerPool &Workers, MembershipTable &Membership,
               PeerNetwork &Peers);

  /** \p OnAnswer runs once, on \p Worker. */
  void ask(Fingerprint Request, std::size_t Worker, AnswerHandler OnAnswer);
  /** Reports the outcome of \p Canary (0 if the request was known to be good).
   *  \p OnDone runs once, on \p Worker, when the owner VM has processed the
   *  report and notified the peers of a crash. If the owner VM is unreachable,
   *  this VM does both. */
  void report(Fingerprint Request, std::uint64_t Canary, CanaryOutcome Outcome,
              std::size_t Worker, DoneHandler OnDone);

  // Requests and notices from peers, handled on the calling thread. onAsk() and
  // onReport() decide as the owner VM; OnDone runs on any thread.
  CanaryAnswer onAsk(Fingerprint Request);
  void onReport(Fingerprint Request, std::uint64_t Canary,
                CanaryOutcome Outcome, DoneHandler OnDone);
  void onCrashNotice(const CrashNotice &Notice);

private:
  std::optional<Member> remoteOwner(Fingerprint Request) const;
  void notifyPeers(const CrashNotice &Notice, DoneHandler OnDone);

  VmName m_Self;
  WorkerPool &m_Workers;
  MembershipTable &m_Membership;
  PeerNetwork &m_Peers;
  RankedMutex m_Mutex{LockRank::Quarantine};
  CanaryRegistry m_Registry;
};

} // namespace figturn

#endif // FIGTURN_NODE_CANARYCLIENT_H
