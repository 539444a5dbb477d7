#ifndef FIGTURN_NODE_ROUTEDCONTEXT_H
#define FIGTURN_NODE_ROUTEDCONTEXT_H

/**
 * What requests of the routed door share: configuration, targets, links,
 * budgets, placement. One object for each routed VM, on its worker.
 */

#include "coordination/ColdQuota.h"
#include "coordination/CrashGuard.h"
#include "coordination/ExtraLoadBudget.h"
#include "coordination/FleetView.h"
#include "coordination/HedgeTimer.h"
#include "coordination/ReplicaRace.h"
#include "coordination/RetryAdvice.h"
#include "coordination/TargetChooser.h"
#include "coordination/TargetRegistry.h"
#include "coordination/WeightedRotation.h"
#include "node/RequestAdmission.h"
#include "node/RoutedMetrics.h"
#include "node/TargetConnectionPools.h"
#include "node/TimerQueue.h"
#include "protocol/RoutedProtocol.h"
#include "protocol/RoutedSettings.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace figturn {

/** Shared state of a routed VM. Not thread-safe. */
class RoutedContext final : public RaceWorld {
public:
  RoutedContext(const RoutedSettings &Settings, RoutedHeaders Headers,
                FleetView &Fleet, std::uint32_t Seed);

  TargetPtr choose(const ServiceName &Service, RouteKind Kind,
                   const std::vector<TargetPtr> &Tried, TimePoint Now) override;
  bool takeExtraCall(const ServiceName &Service, SendKind Kind) override;
  void returnExtraCall(const ServiceName &Service) override;

  /** Whether \p Service has a target that a call could go to. */
  bool isServable(const ServiceName &Service, TimePoint Now) const;
  /** Notes the first call of a request at \p Service. */
  void addExtraCallCredit(const ServiceName &Service);
  /** Latencies of \p On's calls. */
  HedgeTimer &hedgeTimer(const Route &On);
  WeightedRotation &rotation(const Route &On) { return m_Rotations[On.m_Name]; }

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
  TargetConnectionPools &connectionPools() { return m_ConnectionPools; }
  const TargetConnectionPools &connectionPools() const {
    return m_ConnectionPools;
  }
  TimerQueue &timers() { return m_Timers; }
  RequestAdmission &admission() { return m_Admission; }
  const RequestAdmission &admission() const { return m_Admission; }
  CrashGuard &crashes() { return m_Crashes; }
  /** \p Target was seen to be down. */
  void recordTargetDown(const TargetInstance &Target, std::string_view Sign,
                        TimePoint Now);
  RetryAdvice &retryAdvice() { return m_RetryAdvice; }
  RoutedMetrics &metrics() { return m_Metrics; }
  const RoutedMetrics &metrics() const { return m_Metrics; }

private:
  ChoiceQuery makeChoiceQuery(const ServiceName &Service, RouteKind Kind,
                              const std::vector<TargetPtr> &Tried,
                              TimePoint Now) const;
  void onObservation(const TargetInstance &Target,
                     const TargetObservation &What, TimePoint Now);
  bool tryTakeColdQuota(const Target &Cold, TimePoint Now);
  ExtraLoadBudget &budget(const ServiceName &Service);

  RoutedSettings m_Settings;
  RoutedHeaders m_Headers;
  FleetView &m_Fleet;
  RoutingConfigPtr m_Config;
  TargetRegistry m_Registry{TargetRegistryOptions{}};
  CrashGuard m_Crashes{CrashGuardOptions{}};
  TargetConnectionPools m_ConnectionPools;
  TimerQueue m_Timers;
  RequestAdmission m_Admission{m_Timers};
  TargetChooser m_Chooser;
  ColdQuota m_ColdQuota;
  RetryAdvice m_RetryAdvice;
  RoutedMetrics m_Metrics;
  std::vector<VmName> m_SharingVms;
  double m_ExtraCallBurst = 1;
  std::map<ServiceName, ExtraLoadBudget> m_Budgets;
  std::map<std::string, HedgeTimer> m_HedgeTimers; ///< By route.
  std::map<std::string, WeightedRotation> m_Rotations;
};

} // namespace figturn

#endif // FIGTURN_NODE_ROUTEDCONTEXT_H
