#ifndef FIGTURN_NODE_TARGETDISPATCHER_H
#define FIGTURN_NODE_TARGETDISPATCHER_H

/**
 * Finds the runner of a target and passes calls and results between the
 * requesting worker and the target's worker. Each target belongs to one worker,
 * so its gate and its connections need no lock.
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

/** All targets of one VM; thread-safe unless noted otherwise. */
class TargetDispatcher {
public:
  TargetDispatcher(VmName Self, WorkerPool &Workers, RoutingTable &Routing,
                   MembershipTable &Membership, TargetStatusTable &Status,
                   PeerNetwork &Peers);
  ~TargetDispatcher();

  /** Sets the handler that sends notices to ramp authorities; call it before
   *  configure(). */
  void setRegressNoticeHandler(
      std::function<void(const VmName &, RegressNotice)> SendRegressNotice);

  /** Creates and removes runners to match the active configuration. Calls in
   *  flight at a removed target still finish. */
  void configure();

  /** Destroys all runners on their own workers; blocks until done. */
  void shutDown();

  /** Runs \p Request; \p OnResult runs once, on \p Worker. */
  void run(CallRequest Request, std::size_t Worker, CallResultHandler OnResult);
  void cancel(const TargetName &Target, CallId Call);

  PeerNetwork &peers() { return m_Peers; }

  /** Makes every gate re-evaluate the changed membership. */
  void onMembership();
  /** Collects the ramp reports of all targets, keyed by authority;
   *  \p OnReports runs on a worker. */
  void collectReports(
      std::function<void(std::map<VmName, std::vector<RampReport>>)> OnReports);
  /** Processes a peer's reports and passes the grants to \p OnGrants, which
   *  runs on a worker, or immediately if there are no reports. */
  void onReports(std::vector<RampReport> Reports,
                 std::function<void(std::vector<RampGrant>)> OnGrants);
  void onGrants(std::vector<RampGrant> Grants, VmName Sender, TimePoint SentAt);
  void onRegressNotices(const std::vector<RegressNotice> &Notices);
  /** Passes the latest time at which a call in flight ends to \p OnCollected,
   *  which runs on a worker; TimePoint::min() if there is none. */
  void collectLastCallEndTime(std::function<void(TimePoint)> OnCollected);

private:
  using Runners = std::map<TargetName, std::unique_ptr<TargetRunner>>;

  std::size_t workerFor(const TargetName &Target) const;
  void configureWorker(std::size_t Worker, const ConfigurationPtr &Config);
  TargetRunner *find(const TargetName &Target);
  /** Runs \p Task on every worker, then \p OnDone on the last one to finish. */
  void runOnAllWorkers(std::function<void(Runners &)> Task,
                       std::function<void()> OnDone);

  VmName m_Self;
  std::shared_ptr<ReplyMemory> m_ReplyMemory = std::make_shared<ReplyMemory>();
  WorkerPool &m_Workers;
  RoutingTable &m_Routing;
  MembershipTable &m_Membership;
  TargetStatusTable &m_Status;
  PeerNetwork &m_Peers;
  std::function<void(const VmName &, RegressNotice)> m_SendRegressNotice;
  std::vector<Runners> m_Runners; ///< By worker; accessed only there.
};

} // namespace figturn

#endif // FIGTURN_NODE_TARGETDISPATCHER_H
