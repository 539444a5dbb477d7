#ifndef FIGTURN_NODE_REQUESTADMISSION_H
#define FIGTURN_NODE_REQUESTADMISSION_H

/**
 * Admission of a routed VM's requests: one AdmissionControl for each set of
 * targets that requests compete for, and the requests that wait for it. A
 * plain request competes for its service, a search for its shards.
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

/** A request that waits for admission. */
struct AdmissionWaiter {
  std::function<void(TimePoint)> m_Run;
  std::function<void(std::error_code, TimePoint)> m_Refuse;
};

/** The admission; lives on one worker. */
class RequestAdmission {
public:
  explicit RequestAdmission(TimerQueue &Timers) : m_Timers(Timers) {}

  /** The set of targets that requests of \p On for \p Service compete for,
   *  named by one of its services. */
  static ServiceName admissionDomain(const Route &On,
                                     const ServiceName &Service);

  /** Follows the ranks of the routes. */
  void setConfig(const RoutingConfig &Config);
  /** Follows the targets' slots and how many VMs callers are sent to. */
  void setFairShares(const TargetRegistry &Registry, std::size_t Vms,
                     TimePoint Now);

  /** Asks for a request of \p On to run; \p Waiter runs now or later, once.
   *  Returns the request's number for leave() and forget(). */
  std::uint64_t submit(const ServiceName &Domain, const Route &On,
                       TimePoint ReceivedAt, TimePoint Deadline,
                       AdmissionWaiter Waiter, TimePoint Now);
  /** A request that ran has ended. */
  void onRequestFinished(const ServiceName &Domain, Duration Took,
                         TimePoint Now);
  /** The caller of a waiting request left. */
  void removeWaiting(const ServiceName &Domain, std::uint64_t Number);
  /** A call of \p On in \p Domain ended. */
  void onCall(const ServiceName &Domain, const Route &On, CallOutcome Outcome,
              Duration Latency, TimePoint Now);
  /** Whether requests wait in \p Domain. */
  bool isSaturated(const ServiceName &Domain) const;

  /** The controls by domain, for status and metrics. */
  template <typename Visitor> void visit(const Visitor &Each) const {
    for (const auto &[Name, Of] : m_Domains)
      Each(Name, Of->m_Control);
  }

private:
  struct Domain {
    AdmissionControl m_Control{AdmissionControlOptions{}};
    std::vector<ServiceName> m_Services;
    std::uint32_t m_HighestRank = 0; ///< Of the routes that compete here.
    std::uint32_t m_LastLoggedLimit = 0;
    TimePoint m_TimerDueAt = TimePoint::max();
  };
  using DomainPtr = std::shared_ptr<Domain>;

  DomainPtr findOrCreateDomain(const ServiceName &Name, const Route &On);
  void apply(const ServiceName &Name, const DomainPtr &Of,
             const AdmissionChange &Change, TimePoint Now);
  void scheduleTimer(const ServiceName &Name, const DomainPtr &Of,
                     TimePoint Now);

  TimerQueue &m_Timers;
  std::map<ServiceName, DomainPtr> m_Domains;
  std::map<std::uint64_t, AdmissionWaiter> m_Waiting;
  std::uint64_t m_LastId = 0;
  std::size_t m_Vms = 1;
};

} // namespace figturn

#endif // FIGTURN_NODE_REQUESTADMISSION_H
