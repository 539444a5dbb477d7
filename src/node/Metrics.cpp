#include "node/Metrics.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <mutex>

namespace figturn {

namespace {

struct NamedCounter {
  const char *m_Name;
  std::uint64_t ServiceCounters::*m_Value;
};

constexpr NamedCounter NamedCounters[] = {
    {"figturn_answers", &ServiceCounters::m_Answers},
    {"figturn_partial_answers", &ServiceCounters::m_PartialAnswers},
    {"figturn_shards_answered", &ServiceCounters::m_ShardsAnswered},
    {"figturn_shards_asked", &ServiceCounters::m_ShardsAsked},
    {"figturn_first_calls", &ServiceCounters::m_FirstCalls},
    {"figturn_hedges", &ServiceCounters::m_Hedges},
    {"figturn_retries", &ServiceCounters::m_Retries},
    {"figturn_late_replies", &ServiceCounters::m_LateReplies},
    {"figturn_bad_replies", &ServiceCounters::m_BadReplies},
};

std::size_t bucketIndex(Duration Latency) {
  const auto Millis = std::chrono::ceil<milliseconds>(Latency).count();
  const auto &Bounds = ServiceCounters::LatencyBoundsMs;
  return static_cast<std::size_t>(
      std::lower_bound(Bounds.begin(), Bounds.end(), Millis) - Bounds.begin());
}

void appendLatency(std::string &Text, const ServiceName &Service,
                   const ServiceCounters &Counters) {
  const auto &Bounds = ServiceCounters::LatencyBoundsMs;
  std::uint64_t CumulativeCount = 0;
  for (std::size_t I = 0; I < Counters.m_Latency.size(); ++I) {
    CumulativeCount += Counters.m_Latency.at(I);
    const std::string Bound =
        I < Bounds.size() ? std::to_string(Bounds.at(I)) : "+Inf";
    fmt::format_to(std::back_inserter(Text),
                   "figturn_latency_ms{{service=\"{}\",le=\"{}\"}} {}\n",
                   Service, Bound, CumulativeCount);
  }
}

} // namespace

void Metrics::addAnswer(const ServiceName &Service, Duration Latency,
                        const Coverage &Covered) {
  const std::lock_guard Lock(m_Mutex);
  ServiceCounters &Counters = m_Services[Service];
  ++Counters.m_Answers;
  ++Counters.m_Latency.at(bucketIndex(Latency));
  Counters.m_ShardsAnswered += Covered.m_ShardsAnswered;
  Counters.m_ShardsAsked += Covered.m_ShardsTotal;
  if (!Covered.isComplete())
    ++Counters.m_PartialAnswers;
}

void Metrics::addCalls(const ServiceName &Service, const QueryCounts &Counts) {
  const std::lock_guard Lock(m_Mutex);
  ServiceCounters &Counters = m_Services[Service];
  Counters.m_FirstCalls += Counts.m_FirstCalls;
  Counters.m_Hedges += Counts.m_Hedges;
  Counters.m_Retries += Counts.m_Retries;
  Counters.m_LateReplies += Counts.m_LateReplies;
  Counters.m_BadReplies += Counts.m_BadReplies;
}

void Metrics::addRefusal(const ServiceName &Service, const Refusal &Refused) {
  const std::lock_guard Lock(m_Mutex);
  ++m_Services[Service].m_Refusals[Refused.m_Reason.message()];
}

std::map<ServiceName, ServiceCounters> Metrics::services() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Services;
}

std::string Metrics::text() const {
  std::string Text;
  for (const auto &[Service, Counters] : services()) {
    for (const NamedCounter &Named : NamedCounters)
      fmt::format_to(std::back_inserter(Text), "{}{{service=\"{}\"}} {}\n",
                     Named.m_Name, Service, Counters.*Named.m_Value);
    for (const auto &[Reason, Count] : Counters.m_Refusals)
      fmt::format_to(std::back_inserter(Text),
                     "figturn_refusals{{service=\"{}\",reason=\"{}\"}} {}\n",
                     Service, Reason, Count);
    appendLatency(Text, Service, Counters);
  }
  return Text;
}

} // namespace figturn
