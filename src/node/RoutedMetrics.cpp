#include "node/RoutedMetrics.h"

#include <fmt/format.h>

namespace figturn {

std::string_view callOutcomeName(CallOutcome Outcome) {
  switch (Outcome) {
  case CallOutcome::Answered:
    return "answered";
  case CallOutcome::Failed:
    return "failed";
  case CallOutcome::Refused:
    return "refused";
  case CallOutcome::Misdirected:
    return "misdirected";
  case CallOutcome::NotSent:
    return "not-sent";
  case CallOutcome::Lost:
    return "lost";
  case CallOutcome::Unanswered:
    return "unanswered";
  case CallOutcome::Abandoned:
    return "abandoned";
  }
  return "";
}

void RoutedMetrics::addAnswer(const std::string &Route, Duration Latency,
                              std::size_t ShardsAsked,
                              std::size_t ShardsAnswered) {
  RouteCounters &Counters = m_Routes[Route];
  ++Counters.m_Answers;
  Counters.m_PartialAnswers += ShardsAnswered < ShardsAsked ? 1 : 0;
  Counters.m_ShardsAsked += ShardsAsked;
  Counters.m_ShardsAnswered += ShardsAnswered;
  Counters.m_Latency.record(Latency);
}

void RoutedMetrics::addRefusal(const std::string &Route,
                               std::error_code Reason) {
  ++m_Routes[Route].m_Refusals[Reason.message()];
}

void RoutedMetrics::addUnrouted(unsigned Status, std::error_code Reason) {
  addRefusal("none", Reason);
  ++m_Unrouted[{Status, Reason.message()}];
}

void RoutedMetrics::addExtraCall(const ServiceName &Service, SendKind Kind,
                                 bool Allowed) {
  CallCounters &Counters = m_Calls[Service];
  if (!Allowed)
    ++Counters.m_OverBudget;
  else if (Kind == SendKind::Hedge)
    ++Counters.m_Hedges;
  else
    ++Counters.m_Retries;
}

void RoutedMetrics::addOutcome(const ServiceName &Service,
                               CallOutcome Outcome) {
  ++m_Calls[Service].m_Outcomes[std::string(callOutcomeName(Outcome))];
}

std::string RoutedMetrics::text() const {
  std::string Text;
  const auto Add = [&Text](std::string_view Name, const std::string &Labels,
                           std::uint64_t Value) {
    Text += fmt::format("figturn_{}{{{}}} {}\n", Name, Labels, Value);
  };
  for (const auto &[Name, Route] : m_Routes) {
    const std::string Labels = fmt::format("route=\"{}\"", Name);
    Add("requests_total", Labels, Route.m_Requests);
    Add("answers_total", Labels, Route.m_Answers);
    Add("partial_answers_total", Labels, Route.m_PartialAnswers);
    Add("shards_asked_total", Labels, Route.m_ShardsAsked);
    Add("shards_answered_total", Labels, Route.m_ShardsAnswered);
    for (const auto &[Reason, Count] : Route.m_Refusals)
      Add("refusals_total", fmt::format("{},reason=\"{}\"", Labels, Reason),
          Count);
    Text += Route.m_Latency.text("figturn_answer_seconds", Labels);
  }
  for (const auto &[Key, Count] : m_Unrouted)
    Add("unrouted_requests_total",
        fmt::format("status=\"{}\",reason=\"{}\"", Key.first, Key.second),
        Count);
  for (const auto &[Name, Calls] : m_Calls) {
    const std::string Labels = fmt::format("service=\"{}\"", Name);
    Add("calls_total", Labels, Calls.m_Calls);
    Add("hedges_total", Labels, Calls.m_Hedges);
    Add("retries_total", Labels, Calls.m_Retries);
    Add("extra_calls_over_budget_total", Labels, Calls.m_OverBudget);
    for (const auto &[Outcome, Count] : Calls.m_Outcomes)
      Add("call_outcomes_total",
          fmt::format("{},outcome=\"{}\"", Labels, Outcome), Count);
  }
  Text += fmt::format("figturn_unusable_rate_limits_total {}\n",
                      m_UnusableRateLimits);
  Text += fmt::format("figturn_unusable_waits_total {}\n", m_UnusableWaits);
  Text += fmt::format("figturn_unsent_calls_moved_total {}\n", m_MovedCalls);
  return Text;
}

} // namespace figturn
