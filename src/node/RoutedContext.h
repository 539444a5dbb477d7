#ifndef FIGTURN_NODE_ROUTEDCONTEXT_H
#define FIGTURN_NODE_ROUTEDCONTEXT_H

/**
 * State shared by all requests in routed mode: configuration, targets,
 * connections, budgets and target selection. One object per VM, on its worker.
 */

#include "coordination/ColdStartQuota.h"
#include "coordination/CrashQuarantine.h"
#include "coordination/DirectoryPolicy.h"
#include "coordination/ExtraLoadBudget.h"
#include "coordination/FleetView.h"
#include "coordination/HedgeDelayEstimator.h"
#include "coordination/HedgedRequest.h"
#include "coordination/RetryAfterPolicy.h"
#include "coordination/StopDeadline.h"
#include "coordination/TargetChooser.h"
#include "coordination/TargetRegistry.h"
#include "coordination/WeightedRoundRobin.h"
#include "node/RequestAdmission.h"
#include "node/RoutedMetrics.h"
#include "node/TargetConnectionPools.h"
#include "node/TimerQueue.h"
#include "protocol/RoutedProtocol.h"
#include "protocol/RoutedSettings.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace figturn {

class RoutedRequestRunner;

/** Shared request state of a VM in routed mode. Not thread-safe. */
class RoutedContext final : public HedgedRequestContext {
public:
  RoutedContext(const RoutedSettings &Settings, RoutedHeaders Headers,
                FleetView &Fleet, std::uint32_t Seed);

  TargetPtr choose(const ServiceName &Service, RouteKind Kind,
                   const std::vector<TargetPtr> &Tried, TimePoint Now) override;
  bool acquireExtraCall(const ServiceName &Service, SendKind Kind) override;
  void releaseExtraCall(const ServiceName &Service) override;

  /** Whether \p Service has a usable target. */
  Availability availability(const ServiceName &Service, TimePoint Now) const;
  /** Credits the extra-call budget of \p Service for one first call. */
  void recordFirstCall(const ServiceName &Service);
  /** Estimates call latency and hedge delay of \p RequestRoute. */
  HedgeDelayEstimator &hedgeDelayEstimator(const Route &RequestRoute);
  WeightedRoundRobin &roundRobin(const Route &RequestRoute) {
    return m_RoundRobins[RequestRoute.m_Name];
  }

  /** Applies a new configuration. */
  void setConfig(RoutingConfigPtr Config, TimePoint Now);
  const RoutingConfigPtr &config() const { return m_Config; }
  /** Recomputes this VM's share of common limits from the fleet's size. */
  void updateShares(TimePoint Now);
  /** Recomputes the admission limits from the targets and serving VMs. */
  void updateAdmission(TimePoint Now);

  /** Starts a planned stop: brings the deadlines of running requests forward.
   */
  void beginStop(TimePoint Now);
  const StopDeadline &stopDeadline() const { return m_StopDeadline; }
  /** All existing runners; each enters and removes itself. */
  std::set<RoutedRequestRunner *> &runners() { return m_Runners; }

  /** Applies changed settings. */
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
  CrashQuarantine &crashQuarantine() { return m_CrashQuarantine; }
  /** Moves the calls that wait for a connection to \p Leaving, which is leaving
   *  by \p Evidence, to other targets, and bounds the time for the bytes of
   * those that are partly written. */
  void endWrites(const Target &Leaving, std::string_view Evidence);
  /** Records that \p Target is down; \p Evidence is logged as the reason. */
  void recordTargetDown(const TargetInstance &Target, std::string_view Evidence,
                        TimePoint Now);
  RetryAfterPolicy &retryAfterPolicy() { return m_RetryAfterPolicy; }
  RoutedMetrics &metrics() { return m_Metrics; }
  const RoutedMetrics &metrics() const { return m_Metrics; }

private:
  ChoiceQuery makeChoiceQuery(const ServiceName &Service, RouteKind Kind,
                              const std::vector<TargetPtr> &Tried,
                              TimePoint Now) const;
  void onObservation(const TargetInstance &Target,
                     const TargetObservation &Observation, TimePoint Now);
  void onReply(Target &Source, unsigned Status, const HttpHeaders &ReplyHeaders,
               TimePoint SentAt, TimePoint Now);
  void applySignals(Target &Source, unsigned Status,
                    const HttpHeaders &ReplyHeaders, TimePoint Now);
  void applyRateLimit(Target &Source, const HttpHeaders &ReplyHeaders,
                      TimePoint SentAt, TimePoint Now);
  bool tryReserveColdStartQuota(const Target &Cold, TimePoint Now);
  ExtraLoadBudget &budget(const ServiceName &Service);

  RoutedSettings m_Settings;
  RoutedHeaders m_Headers;
  FleetView &m_Fleet;
  RoutingConfigPtr m_Config;
  StopDeadline m_StopDeadline;
  /** Declared before the members that own runners. */
  std::set<RoutedRequestRunner *> m_Runners;
  TargetRegistry m_Registry;
  CrashQuarantine m_CrashQuarantine;
  TargetConnectionPools m_ConnectionPools;
  TimerQueue m_Timers;
  RequestAdmission m_Admission{m_Timers};
  TargetChooser m_Chooser;
  ColdStartQuota m_ColdStartQuota;
  RetryAfterPolicy m_RetryAfterPolicy;
  RoutedMetrics m_Metrics;
  std::vector<VmName> m_QuotaMembers;
  ExtraLoadShare m_ExtraLoadShare;
  double m_TrafficShare = 1;
  double m_RateLimitShare = 1;
  std::minstd_rand m_PhaseRandom;
  std::map<ServiceName, ExtraLoadBudget> m_Budgets;
  std::map<std::string, HedgeDelayEstimator>
      m_HedgeDelayEstimators; ///< By route name.
  std::map<std::string, WeightedRoundRobin> m_RoundRobins;
};

} // namespace figturn

#endif // FIGTURN_NODE_ROUTEDCONTEXT_H
