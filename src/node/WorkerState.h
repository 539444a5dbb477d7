#ifndef FIGTURN_NODE_WORKERSTATE_H
#define FIGTURN_NODE_WORKERSTATE_H

/**
 * Per-worker state of queries: for each service the observed latency and the
 * worker's share of the extra-load budget. Confined to one worker, so it needs
 * no lock; the shares of all workers add up to the service's budget.
 */

#include "coordination/CallIdAllocator.h"
#include "coordination/ExtraLoadBudget.h"
#include "coordination/HedgePolicy.h"
#include "coordination/LatencyWindow.h"
#include "coordination/LeastLoadedChooser.h"
#include "coordination/QuantileHedgePolicy.h"
#include "state/Configuration.h"

#include <map>
#include <memory>

namespace figturn {

/** State of one service on one worker. */
class ServiceState {
public:
  explicit ServiceState(const ServiceConfig &Config);

  LatencyWindow &latency() { return m_Latency; }
  const HedgePolicy &hedge() const { return m_Hedge; }
  ExtraLoadBudget &budget() { return m_Budget; }
  /** Whether this state was created with limits other than \p Config's. */
  bool differsFrom(const ServiceConfig &Config) const;

private:
  double m_ExtraLoadShare;
  double m_HedgeQuantile;
  LatencyWindow m_Latency;
  QuantileHedgePolicy m_Hedge;
  ExtraLoadBudget m_Budget;
};

/** One worker's state. */
class WorkerState {
public:
  WorkerState(ReplicaTable &Targets, std::uint32_t Seed);

  ReplicaChooser &chooser() { return m_Chooser; }
  /** The state of \p Service for \p Config. Queries that started with another
   *  configuration keep its state. */
  std::shared_ptr<ServiceState> service(const ServiceName &Service,
                                        const ServiceConfig &Config);

private:
  LeastLoadedChooser m_Chooser;
  std::map<ServiceName, std::shared_ptr<ServiceState>> m_Services;
};

} // namespace figturn

#endif // FIGTURN_NODE_WORKERSTATE_H
