#ifndef FIGTURN_NODE_ROUTEDMETRICS_H
#define FIGTURN_NODE_ROUTEDMETRICS_H

/**
 * Counters of routed mode by route and service, served at the metrics and
 * control addresses. Separate from Metrics, which counts requests of figturn's
 * own caller API.
 */

#include "coordination/HedgedRequest.h"
#include "coordination/LatencyHistogram.h"
#include "state/Ids.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <system_error>
#include <utility>

namespace figturn {

/** Counts of one route. */
struct RouteCounters {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Answers = 0;
  std::uint64_t m_PartialAnswers = 0;
  std::uint64_t m_ShardsAsked = 0;
  std::uint64_t m_ShardsAnswered = 0;
  std::map<std::string, std::uint64_t> m_Refusals; ///< By reason.
  LatencyHistogram m_Latency;
};

/** Counts of one service's calls. */
struct CallCounters {
  std::uint64_t m_Calls = 0;
  std::uint64_t m_Hedges = 0;
  std::uint64_t m_Retries = 0;
  std::uint64_t m_OverBudget = 0; ///< Extra calls that the budget denied.
  std::map<std::string, std::uint64_t> m_Outcomes; ///< By callOutcomeName().
};

/** All counters; confined to one worker. */
class RoutedMetrics {
public:
  void addRequest(const std::string &Route) { ++m_Routes[Route].m_Requests; }
  void addAnswer(const std::string &Route, Duration Latency,
                 std::size_t ShardsAsked, std::size_t ShardsAnswered);
  void addRefusal(const std::string &Route, std::error_code Reason);
  /** Counts a request without a route, which was answered with \p Status. */
  void addUnrouted(unsigned Status, std::error_code Reason);
  void addCall(const ServiceName &Service) { ++m_Calls[Service].m_Calls; }
  void addExtraCall(const ServiceName &Service, SendKind Kind, bool Allowed);
  void addOutcome(const ServiceName &Service, CallOutcome Outcome);
  /** Counts a reply whose rate limit can't be read. */
  void addUnusableRateLimit() { ++m_UnusableRateLimits; }
  /** Counts calls that waited for a connection to a leaving target. */
  void addMovedCalls(std::size_t Count) { m_MovedCalls += Count; }
  /** Counts a reply whose wait can't be read. */
  void addUnusableWait() { ++m_UnusableWaits; }

  /** All counters in the Prometheus text format. */
  std::string text() const;

private:
  std::map<std::string, RouteCounters> m_Routes;
  std::map<ServiceName, CallCounters> m_Calls;
  std::map<std::pair<unsigned, std::string>, std::uint64_t> m_Unrouted;
  std::uint64_t m_UnusableRateLimits = 0;
  std::uint64_t m_UnusableWaits = 0;
  std::uint64_t m_MovedCalls = 0;
};

/** Name of \p Outcome in logs and metrics, for example "lost". */
std::string_view callOutcomeName(CallOutcome Outcome);

} // namespace figturn

#endif // FIGTURN_NODE_ROUTEDMETRICS_H
