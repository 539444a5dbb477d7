#ifndef FIGTURN_NODE_TARGETDISPATCHER_H
#define FIGTURN_NODE_TARGETDISPATCHER_H

/**
 * Finds the runner of a target and passes calls and results between the
 * worker that wants them and the worker on which the target lives. Each
 * target lives on one worker, so its gate and its connections need no lock.
 */

#include "node/CallTypes.h"
#include "node/MembershipTable.h"
#include "node/RoutingTable.h"
#include "node/TargetRunner.h"
#include "node/TargetStatusTable.h"
#include "transport/PeerNetwork.h"
#include "transport/WorkerPool.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace figturn {

/** All targets of one VM; thread-safe except for what says otherwise. */
class TargetDispatcher {
public:
  TargetDispatcher(VmName Self, WorkerPool &Workers, RoutingTable &Routing,
                   MembershipTable &Membership, TargetStatusTable &Status,
                   PeerNetwork &Peers);
  ~TargetDispatcher();

  /** Handler for notices to ramp authorities; set before configure(). */
  void
  onRegress(std::function<void(const VmName &, RegressNotice)> SendRegress);

  /** Makes the runners those of the configuration in force. A target that
   *  left it finishes what is in flight. */
  void configure();

  /** Destroys all runners on their own workers; blocks until it is done. */
  void shutDown();

  /** Runs \p Request; \p OnResult runs once, on \p Worker. */
  void run(CallRequest Request, std::size_t Worker, CallResultHandler OnResult);
  void cancel(const TargetName &Target, CallId Call);

  PeerNetwork &peers() { return m_Peers; }

  /** Membership changed: every gate looks at it again. */
  void onMembership();
  /** Collects the ramp reports of all targets, by authority. */
  void collectReports(
      std::function<void(std::map<VmName, std::vector<RampReport>>)> OnReports);
  /** Takes reports of a peer; answers with the grants. */
  void onReports(std::vector<RampReport> Reports,
                 std::function<void(std::vector<RampGrant>)> OnGrants);
  void onGrants(std::vector<RampGrant> Grants, VmName From, TimePoint SentAt);
  void onRegresses(const std::vector<RegressNotice> &Notices);
  /** When the last call in flight will have ended; Now if none is. */
  void collectDrainTime(std::function<void(TimePoint)> OnDrained);

private:
  using Runners = std::map<TargetName, std::unique_ptr<TargetRunner>>;

  std::size_t workerFor(const TargetName &Target) const;
  void configureWorker(std::size_t Worker, const ConfigurationPtr &Config);
  TargetRunner *find(const TargetName &Target);
  /** Runs \p Task on every worker; \p Done on the last one to finish. */
  void runOnAllWorkers(std::function<void(Runners &)> Task,
                       std::function<void()> Done);

  VmName m_Self;
  WorkerPool &m_Workers;
  RoutingTable &m_Routing;
  MembershipTable &m_Membership;
  TargetStatusTable &m_Status;
  PeerNetwork &m_Peers;
  std::function<void(const VmName &, RegressNotice)> m_SendRegress;
  std::vector<Runners> m_Runners; ///< By worker; each touched there only.
};

} // namespace figturn

#endif // FIGTURN_NODE_TARGETDISPATCHER_H
