#ifndef FIGTURN_NODE_NODESERVICES_H
#define FIGTURN_NODE_NODESERVICES_H

/** Components of one entry VM that requests use; all outlive the requests. */

#include "coordination/CallIdAllocator.h"
#include "node/CanaryClient.h"
#include "node/MembershipTable.h"
#include "node/Metrics.h"
#include "node/RoutingTable.h"
#include "node/TargetDispatcher.h"
#include "node/TargetStatusTable.h"
#include "node/WorkerState.h"

#include <functional>
#include <string>
#include <vector>

namespace figturn {

/** References to shared components, passed to each request's runner. */
struct NodeServices {
  VmName m_Self;
  BootId m_Boot;
  std::string m_Origin; ///< "vm#boot"; identifies this process to targets.
  WorkerPool &m_Workers;
  RoutingTable &m_Routing;
  MembershipTable &m_Membership;
  TargetStatusTable &m_Targets;
  TargetDispatcher &m_Dispatcher;
  CanaryClient &m_Canaries;
  CallIdAllocator &m_CallIds;
  Metrics &m_Metrics;
  std::vector<WorkerState> &m_WorkerStates;
  /** Requests a read of the index object of a service from the platform;
   *  callable from any thread. */
  std::function<void(const ServiceName &)> m_RefreshIndex;
};

} // namespace figturn

#endif // FIGTURN_NODE_NODESERVICES_H
