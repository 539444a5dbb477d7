#ifndef FIGTURN_NODE_REQUESTADMISSION_H
#define FIGTURN_NODE_REQUESTADMISSION_H

/**
 * Admission control for requests in routed mode: one AdmissionControl per
 * domain (a set of targets that requests compete for) with its queue of
 * waiting requests. The domain of a plain request is its service, that of a
 * search is its shards.
 */

#include "coordination/AdmissionControl.h"
#include "coordination/TargetRegistry.h"
#include "node/TimerQueue.h"
#include "state/RoutingConfig.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <system_error>

namespace figturn {

/** Callbacks of a request that waits for admission. One of them runs, unless
 *  the request is removed first. */
struct AdmissionWaiter {
  std::function<void(TimePoint)> m_OnAdmitted;
  std::function<void(std::error_code, TimePoint)> m_OnRefused;
};

/** Admission control of one VM; confined to one worker. */
class RequestAdmission {
public:
  explicit RequestAdmission(TimerQueue &Timers) : m_Timers(Timers) {}

  /** Name of the domain of requests of \p RequestRoute for \p Service. A domain
   *  has the name of one of its services. */
  static ServiceName admissionDomain(const Route &RequestRoute,
                                     const ServiceName &Service);

  /** Updates the domains and the ranks of their routes. */
  void setConfig(const RoutingConfig &Config);
  /** Recomputes each domain's fair share from its targets' slots and this VM's
   *  part, from 0 to 1, of the callers' requests. */
  void setFairShares(const TargetRegistry &Registry, double TrafficShare,
                     TimePoint Now);

  /** Requests admission for a request of \p RequestRoute; one callback of
   *  \p Waiter runs once, now or later. Returns an ID for removeWaiting(). */
  std::uint64_t submit(const ServiceName &Domain, const Route &RequestRoute,
                       TimePoint ReceivedAt, TimePoint Deadline,
                       AdmissionWaiter Waiter, TimePoint Now);
  /** Reports that an admitted request has ended after \p RunTime. */
  void onRequestEnded(const ServiceName &Domain, Duration RunTime,
                      TimePoint Now);
  /** Removes a waiting request whose caller has disconnected. */
  void removeWaiting(const ServiceName &Domain, std::uint64_t Id);
  /** Reports that a call of \p RequestRoute in \p Domain ended. */
  void onCallFinished(const ServiceName &Domain, const Route &RequestRoute,
                      CallOutcome Outcome, Duration Latency, TimePoint Now);
  /** Whether requests are waiting in \p Domain. */
  bool isSaturated(const ServiceName &Domain) const;

  /** Calls \p Each with every domain's name and control, for metrics. */
  template <typename Visitor> void visit(const Visitor &Each) const {
    for (const auto &[Name, AdmissionDomain] : m_Domains)
      Each(Name, AdmissionDomain->m_Control);
  }

private:
  struct Domain {
    AdmissionControl m_Control{AdmissionControlOptions{}};
    std::vector<ServiceName> m_Services;
    std::uint32_t m_MinRank = 0; ///< Lowest number among its routes.
    std::uint32_t m_LastLoggedLimit = 0;
    TimePoint m_TimerDueAt = TimePoint::max();
  };
  using DomainPtr = std::shared_ptr<Domain>;

  DomainPtr findOrCreateDomain(const ServiceName &Name,
                               const Route &RequestRoute);
  void apply(const ServiceName &Name, const DomainPtr &AdmissionDomain,
             const AdmissionChange &Change, TimePoint Now);
  void scheduleTimer(const ServiceName &Name, const DomainPtr &AdmissionDomain,
                     TimePoint Now);

  TimerQueue &m_Timers;
  std::map<ServiceName, DomainPtr> m_Domains;
  std::map<std::uint64_t, AdmissionWaiter> m_Waiting;
  std::uint64_t m_LastId = 0;
};

} // namespace figturn

#endif // FIGTURN_NODE_REQUESTADMISSION_H
