#ifndef FIGTURN_NODE_METRICS_H
#define FIGTURN_NODE_METRICS_H

/**
 * Counters per service, as shown by `GET /metrics` and `figturn status`:
 * answers, latency, coverage, extra load and refusals.
 */

#include "coordination/QueryTypes.h"
#include "state/Ids.h"
#include "state/RankedMutex.h"
#include "state/Time.h"
#include "state/Verdict.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace figturn {

/** Counts of one service since the process started. */
struct ServiceCounters {
  /** Upper bounds of the latency histogram's buckets in milliseconds; the last
   *  bucket is unbounded. */
  static constexpr std::array<std::int64_t, 12> LatencyBoundsMs = {
      1, 2, 5, 10, 20, 50, 100, 150, 200, 500, 1000, 5000};

  std::uint64_t m_Answers = 0;
  std::uint64_t m_PartialAnswers = 0; ///< Not all shards were covered.
  std::uint64_t m_ShardsAnswered = 0;
  std::uint64_t m_ShardsAsked = 0;
  std::uint64_t m_FirstCalls = 0;
  std::uint64_t m_Hedges = 0;
  std::uint64_t m_Retries = 0;
  std::uint64_t m_LateReplies = 0;
  std::uint64_t m_BadReplies = 0;
  std::map<std::string, std::uint64_t> m_Refusals; ///< By reason.
  /** Answers per bucket of the latency histogram. */
  std::array<std::uint64_t, LatencyBoundsMs.size() + 1> m_Latency{};
};

/** Counters of all services; thread-safe. */
class Metrics {
public:
  void addAnswer(const ServiceName &Service, Duration Latency,
                 const Coverage &Covered);
  void addCalls(const ServiceName &Service, const QueryCounts &Counts);
  void addRefusal(const ServiceName &Service, const Refusal &Refused);

  std::map<ServiceName, ServiceCounters> services() const;
  /** All counters as text, one "name{labels} value" a line. */
  std::string text() const;

private:
  mutable RankedMutex m_Mutex{LockRank::Counters};
  std::map<ServiceName, ServiceCounters> m_Services;
};

} // namespace figturn

#endif // FIGTURN_NODE_METRICS_H
