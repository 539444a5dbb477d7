#ifndef FIGTURN_NODE_NODE_H
#define FIGTURN_NODE_NODE_H

/**
 * One entry VM's process: puts the parts together, starts them, and runs the
 * planned stop. Every VM runs the same; none has a role of its own.
 *
 * Threads: the workers (callers, queries, targets), the control thread
 * (platform, membership, configuration; the one that made the Node) and the
 * peer thread (Cap'n Proto RPC).
 */

#include "coordination/DrainSequence.h"
#include "node/CallerService.h"
#include "node/ConfigSynchronizer.h"
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

/** The process; made and used on the thread with the main event loop. */
class Node : public QObject {
public:
  explicit Node(NodeSettings Settings);
  ~Node() override;

  /** Listens and starts; an error names an address that can't be used. */
  std::error_code start();

  /** Begins the planned stop; \p OnStopped runs once nothing is left. */
  void stop(std::function<void()> OnStopped);

private:
  void post(std::function<void()> Task);
  void takeLeavingTargets(const std::vector<VmEntry> &Leaving);
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
  CallIdSource m_CallIds;
  Metrics m_Metrics;
  std::vector<WorkerState> m_WorkerStates;
  NodeServices m_Services;
  SingleRunService m_SingleRuns;
  CallerService m_Callers;
  MembershipDriver m_MembershipDriver;
  ConfigSynchronizer m_ConfigSynchronizer;
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
