#ifndef FIGTURN_NODE_NODE_H
#define FIGTURN_NODE_NODE_H

/**
 * The process of an entry VM: creates and starts its components and performs
 * the planned stop. All VMs run the same code; none has a configured role.
 *
 * Threads: the workers (callers, queries, targets), the control thread
 * (platform, membership, configuration; the thread that created the Node) and
 * the peer thread (Cap'n Proto RPC).
 */

#include "coordination/DrainSequence.h"
#include "node/CallerService.h"
#include "node/ConfigUpdater.h"
#include "node/MembershipDriver.h"
#include "node/NodeServices.h"
#include "node/PeerEndpoint.h"
#include "protocol/NodeSettings.h"
#include "transport/HttpObjectStore.h"
#include "transport/HttpServer.h"
#include "transport/HttpVmList.h"

#include <QObject>
#include <QTimer>
#include <atomic>
#include <functional>
#include <memory>
#include <system_error>

namespace figturn {

/** One entry VM; created and used on the thread of the main event loop. */
class Node : public QObject {
public:
  explicit Node(NodeSettings Settings);
  ~Node() override;

  /** Opens the listening addresses and starts. Fails if an address can't be
   *  used. */
  std::error_code start();

  /** Begins the planned stop; \p OnStopped runs once all work has finished. */
  void stop(std::function<void()> OnStopped);

private:
  void post(std::function<void()> Task);
  void applyLeavingTargets(const std::vector<VmEntry> &Leaving);
  void updateReadiness();
  void advanceDrain();
  DrainProgress drainProgress() const;
  std::string status() const;
  HttpResponse pushConfig(const HttpRequest &Request);

  NodeSettings m_Settings;
  Member m_Self;
  WorkerPool m_Workers;
  HttpObjectStore m_Store;
  HttpVmList m_VmList;
  PeerEndpoint m_PeerEndpoint;
  PeerNetwork m_Peers;
  RoutingTable m_Routing;
  MembershipTable m_Membership;
  TargetStatusTable m_Targets;
  TargetDispatcher m_Dispatcher;
  CanaryClient m_Canaries;
  CallIdAllocator m_CallIds;
  Metrics m_Metrics;
  std::vector<WorkerState> m_WorkerStates;
  NodeServices m_Services;
  SingleRunService m_SingleRuns;
  CallerService m_Callers;
  MembershipDriver m_MembershipDriver;
  ConfigUpdater m_ConfigUpdater;
  HttpServer m_Server;
  DrainSequence m_Drain;
  QTimer m_DrainTimer;
  std::function<void()> m_OnStopped;
  /** Read by workers for the status report. */
  std::atomic<bool> m_Ready{false};
  std::atomic<DrainStep> m_DrainStep{DrainStep::None};
};

} // namespace figturn

#endif // FIGTURN_NODE_NODE_H
