#ifndef FIGTURN_NODE_ROUTEDWORLD_H
#define FIGTURN_NODE_ROUTEDWORLD_H

/**
 * What requests of the routed door share: configuration, targets, links,
 * budgets, placement. One object for each routed VM, on its worker.
 */

#include "coordination/ColdQuota.h"
#include "coordination/CrashGuard.h"
#include "coordination/ExtraLoadBudget.h"
#include "coordination/FleetView.h"
#include "coordination/HedgeTimer.h"
#include "coordination/HedgedRequest.h"
#include "coordination/RetryAfterPolicy.h"
#include "coordination/TargetChooser.h"
#include "coordination/TargetRegistry.h"
#include "coordination/WeightedRoundRobin.h"
#include "node/RoutedMetrics.h"
#include "node/RunAdmission.h"
#include "node/TargetLinks.h"
#include "node/TimerQueue.h"
#include "protocol/RoutedProtocol.h"
#include "protocol/RoutedSettings.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace figturn {

/** Shared state of a routed VM. Not thread-safe. */
class RoutedWorld final : public HedgedRequestContext {
public:
  RoutedWorld(const RoutedSettings &Settings, RoutedHeaders Headers,
              FleetView &Fleet, std::uint32_t Seed);

  TargetPtr choose(const ServiceName &Service, RouteKind Kind,
                   const std::vector<TargetPtr> &Tried, TimePoint Now) override;
  bool acquireExtraCall(const ServiceName &Service, SendKind Kind) override;
  void releaseExtraCall(const ServiceName &Service) override;

  /** Whether \p Service has a target that a call could go to. */
  bool isServable(const ServiceName &Service, TimePoint Now) const;
  /** Notes the first call of a request at \p Service. */
  void earnExtraCalls(const ServiceName &Service);
  /** Latencies of \p On's calls. */
  HedgeTimer &hedgeTimer(const Route &On);
  WeightedRoundRobin &rotation(const Route &On) {
    return m_Rotations[On.m_Name];
  }

  /** Takes a configuration in use. */
  void setConfig(RoutingConfigPtr Config, TimePoint Now);
  const RoutingConfigPtr &config() const { return m_Config; }
  /** Follows the fleet's size in what this VM may use of common limits. */
  void updateShares(TimePoint Now);
  /** Follows targets and VMs in how many requests may run here. */
  void updateAdmission(TimePoint Now);

  /** Takes settings that changed. */
  void setSettings(const RoutedSettings &Settings, TimePoint Now);

  const RoutedSettings &settings() const { return m_Settings; }
  const RoutedHeaders &headers() const { return m_Headers; }
  TargetRegistry &registry() { return m_Registry; }
  const TargetRegistry &registry() const { return m_Registry; }
  TargetLinks &links() { return m_Links; }
  const TargetLinks &links() const { return m_Links; }
  TimerQueue &timers() { return m_Timers; }
  RunAdmission &admission() { return m_Admission; }
  const RunAdmission &admission() const { return m_Admission; }
  CrashGuard &crashes() { return m_Crashes; }
  /** \p Target was seen to be down. */
  void noteTargetDown(const TargetInstance &Target, std::string_view Sign,
                      TimePoint Now);
  RetryAfterPolicy &advice() { return m_Advice; }
  RoutedMetrics &metrics() { return m_Metrics; }
  const RoutedMetrics &metrics() const { return m_Metrics; }

private:
  ChoiceQuery query(const ServiceName &Service, RouteKind Kind,
                    const std::vector<TargetPtr> &Tried, TimePoint Now) const;
  void onObservation(const TargetInstance &Target,
                     const TargetObservation &What, TimePoint Now);
  bool takeColdRight(const Target &Cold, TimePoint Now);
  ExtraLoadBudget &budget(const ServiceName &Service);

  RoutedSettings m_Settings;
  RoutedHeaders m_Headers;
  FleetView &m_Fleet;
  RoutingConfigPtr m_Config;
  TargetRegistry m_Registry{TargetRegistryOptions{}};
  CrashGuard m_Crashes{CrashGuardOptions{}};
  TargetLinks m_Links;
  TimerQueue m_Timers;
  RunAdmission m_Admission{m_Timers};
  TargetChooser m_Chooser;
  ColdQuota m_ColdQuota;
  RetryAfterPolicy m_Advice;
  RoutedMetrics m_Metrics;
  std::vector<VmName> m_Sharers;
  double m_Burst = 1;
  std::map<ServiceName, ExtraLoadBudget> m_Budgets;
  std::map<std::string, HedgeTimer> m_HedgeTimers; ///< By route.
  std::map<std::string, WeightedRoundRobin> m_Rotations;
};

} // namespace figturn

#endif // FIGTURN_NODE_ROUTEDWORLD_H
