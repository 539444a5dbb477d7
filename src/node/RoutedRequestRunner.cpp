#include "node/RoutedRequestRunner.h"

#include "coordination/RecordMerge.h"
#include "state/Event.h"
#include "state/RendezvousHash.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <utility>

namespace figturn {

namespace {

/** Time for an answer's way to the caller: part of the latency objective and
 *  a fixed part for the event loops at both ends. */
constexpr double AnswerMarginFraction = 0.05;
constexpr milliseconds FixedAnswerMargin{4};

/** Of the objective, the most that is set aside for a loop that is late. */
constexpr double MaxLoopDelayFraction = 0.25;

/** A call with less time left than this is not worth sending. */
constexpr milliseconds MinCallTimeout{2};

/** A request that no target has answered yet is sent again after so many lost
 *  connections; any more may be its own doing. */
constexpr std::uint32_t MaxLostCallsWithoutReply = 2;

double toMilliseconds(Duration Length) {
  return std::chrono::duration<double, std::milli>(Length).count();
}

Duration fractionOf(Duration Whole, double Share) {
  return std::chrono::duration_cast<Duration>(
      Share * std::chrono::duration<double>(Whole));
}

} // namespace

RoutedRequestRunner::RoutedRequestRunner(RoutedContext &Context,
                                         HttpExchangePtr Exchange,
                                         RoutedRequestOptions Options)
    : m_Context(Context), m_Exchange(std::move(Exchange)),
      m_Options(std::move(Options)), m_StartedAt(m_Exchange->receivedAt()) {}

TimePoint RoutedRequestRunner::answerDueTime() const {
  const Duration Objective = route().m_LatencyObjective;
  // The request waited for this loop before it was read, and the timer that
  // ends the wait for shards does so again.
  const Duration Waits = std::min(2 * m_Context.timers().lateness(),
                                  fractionOf(Objective, MaxLoopDelayFraction));
  return std::min(m_StartedAt + Objective -
                      fractionOf(Objective, AnswerMarginFraction) -
                      FixedAnswerMargin - Waits,
                  m_Options.m_Deadline);
}

void RoutedRequestRunner::start(TimePoint Now) {
  if (const auto Missing = unavailableServices(Now); !Missing.empty()) {
    refuse(Errc::NoTarget, "Too few targets can be reached now.",
           fmt::format("{}:no-target", fmt::join(Missing, ":no-target,")), Now);
    return;
  }
  if (!m_Context.crashes().isEmpty() &&
      m_Context.crashes().isQuarantined(fingerprint(), Now)) {
    refuse(Errc::Quarantined,
           "The request has crashed the targets that ran it.", Now);
    return;
  }
  m_Exchange->onCallerGone([Self = weak_from_this()] {
    if (const auto Run = Self.lock())
      Run->onCallerGone();
  });
  m_AdmissionDomain =
      RequestAdmission::admissionDomain(route(), m_Options.m_Service);
  m_AdmissionId = m_Context.admission().submit(
      m_AdmissionDomain, route(), m_StartedAt, m_Options.m_Deadline,
      {.m_Run = [Self = shared_from_this()](
                    TimePoint At) { Self->sendFirstCalls(At); },
       .m_Refuse =
           [Self = shared_from_this()](std::error_code Why, TimePoint At) {
             Self->refuse(Why, "The targets have no room for the request now.",
                          At);
           }},
      Now);
}

void RoutedRequestRunner::sendFirstCalls(TimePoint Now) {
  m_AdmittedAt = Now;
  HedgeTimer &Hedges = m_Context.hedgeTimer(route());
  m_HedgeDelay = Hedges.delay();
  // A hedge helps only if a whole call still fits before the answer is due,
  // and takes the room of a first call while others wait.
  const bool IsUseful =
      (Now + m_HedgeDelay + Hedges.typical() < answerDueTime() ||
       !route().m_Search) &&
      !m_Context.admission().isSaturated(m_AdmissionDomain);
  const TimePoint HedgeAt = IsUseful ? Now + m_HedgeDelay : TimePoint::max();
  std::vector<ServiceName> Services{m_Options.m_Service};
  if (route().m_Search)
    Services = route().m_Search->m_Shards;
  m_Races.reserve(Services.size());
  for (const ServiceName &Service : Services)
    m_Races.push_back(
        {.m_Service = Service,
         .m_Race = ReplicaRace(
             {.m_Service = Service,
              .m_Kind = route().m_Kind,
              .m_MaxSends = route().m_MaxSends,
              .m_HedgeAt = HedgeAt,
              .m_LastSendAt = m_Options.m_Deadline - MinCallTimeout})});
  std::vector<std::string_view> Chosen;
  for (std::size_t I = 0; I < m_Races.size(); ++I) {
    m_Context.addExtraCallCredit(m_Races[I].m_Service);
    const auto First = m_Races[I].m_Race.start(m_Context, Now);
    Chosen.push_back(
        First ? std::string_view(
                    First->m_Target->m_Entry.m_Instance.m_Name.value())
              : std::string_view("none"));
    if (First)
      send(I, *First, Now);
  }
  logEvent(Event::RequestPlaced,
           "id={} route={} config={} waited_ms={:.1f} left_ms={:.0f} "
           "hedge_ms={:.1f} targets={}",
           m_Options.m_RequestId, route().m_Name, m_Options.m_Config->version(),
           toMilliseconds(Now - m_StartedAt),
           toMilliseconds(m_Options.m_Deadline - Now),
           toMilliseconds(m_HedgeDelay), fmt::join(Chosen, ","));
  answerIfDue(Now);
  scheduleTimer(Now);
}

void RoutedRequestRunner::send(std::size_t Index, const RaceSend &Send,
                               TimePoint Now) {
  ServiceRace &Of = m_Races[Index];
  const Duration Usual = m_Context.hedgeTimer(route()).typical();
  m_Context.metrics().addCall(Of.m_Service);
  PooledCall Call{
      .m_WriteRequest = [Self = shared_from_this(), To = Send.m_Target](
                            TimePoint At) { return Self->writeCall(*To, At); },
      .m_RequestId = m_Options.m_RequestId,
      .m_IsHead = m_Exchange->request().m_Method == "HEAD",
      .m_IsSingleRun = route().m_Kind == RouteKind::SingleRun,
      .m_Deadline = m_Options.m_Deadline,
      .m_OverdueAt = Now + m_HedgeDelay,
      .m_TypicalLatency = Usual};
  if (Send.m_Kind != SendKind::First)
    logEvent(Event::ExtraCallSent,
             "id={} kind={} service={} target={} after_ms={:.1f} reason={}",
             m_Options.m_RequestId, sendKindName(Send.m_Kind), Of.m_Service,
             Send.m_Target->m_Entry.m_Instance.m_Name,
             toMilliseconds(Now - m_StartedAt),
             Send.m_Kind == SendKind::Hedge ? "late"
                                            : Of.m_Race.reason().message());
  auto Self = shared_from_this();
  auto Number = std::make_shared<CallId>();
  *Number = m_Context.connectionPools().send(
      Send.m_Target, std::move(Call),
      [Self](unsigned Status, const HttpHeaders &Headers) {
        return Self->classify(Status, Headers);
      },
      [Self, Index, Number, From = Send.m_Target](PooledCallResult Result) {
        Self->onResult(Index, From, *Number, std::move(Result));
      });
  Of.m_Calls.emplace_back(Send.m_Target, *Number);
}

std::string RoutedRequestRunner::writeCall(const Target &To,
                                           TimePoint Now) const {
  const auto Left =
      std::chrono::duration_cast<milliseconds>(m_Options.m_Deadline - Now);
  return writeRoutedCall(m_Exchange->request(), To.m_Entry.m_Instance,
                         std::max(Left, MinCallTimeout), m_Context.headers());
}

void RoutedRequestRunner::onResult(std::size_t Index, const TargetPtr &From,
                                   CallId Call, PooledCallResult Result) {
  const TimePoint Now = Clock::now();
  ServiceRace &Of = m_Races[Index];
  std::erase_if(Of.m_Calls,
                [Call](const auto &Each) { return Each.second == Call; });
  const CallOutcome Outcome = Result.m_Outcome;
  m_Context.metrics().addOutcome(Of.m_Service, Outcome);
  if (Outcome == CallOutcome::Answered)
    m_Context.hedgeTimer(route()).record(Result.m_Latency, Now);
  else if (Outcome != CallOutcome::Abandoned)
    logEvent(Event::CallFailed,
             "id={} service={} target={} outcome={} status={} ms={:.1f}",
             m_Options.m_RequestId, Of.m_Service,
             From->m_Entry.m_Instance.m_Name, callOutcomeName(Outcome),
             Result.m_Status, toMilliseconds(Result.m_Latency));
  m_Context.admission().onCall(m_AdmissionDomain, route(), Outcome,
                               Result.m_Latency, Now);
  const bool MayRepeat = recordCrashEvidence(From, Result, Now);
  if (m_Done)
    return;
  const bool WasOver = Of.m_Race.isOver();
  const auto Next =
      Of.m_Race.onOutcome(From, Outcome, m_Context, Now, MayRepeat);
  if (Next)
    send(Index, *Next, Now);
  resolveHeldRetries(Now);
  if (!WasOver)
    onCallEnded(Index, std::move(Result), Now);
  if (!m_Done)
    scheduleTimer(Now);
}

Fingerprint RoutedRequestRunner::fingerprint() {
  if (!m_Fingerprint) {
    const HttpRequest &Request = m_Exchange->request();
    m_Fingerprint = Fingerprint(stableHash(
        Request.m_Body,
        stableHash(fmt::format("{} {}{}?{}", Request.m_Method, route().m_Host,
                               Request.m_Path, Request.m_Query))));
  }
  return *m_Fingerprint;
}

bool RoutedRequestRunner::recordCrashEvidence(const TargetPtr &From,
                                              const PooledCallResult &Result,
                                              TimePoint Now) {
  CrashGuard &Crashes = m_Context.crashes();
  if (Result.m_Outcome == CallOutcome::Lost) {
    ++m_LostCalls;
    Crashes.onCallLost(fingerprint(), From->m_Entry.m_Instance, Now);
    return m_HasTargetReply || m_LostCalls < MaxLostCallsWithoutReply;
  }
  if (Result.m_Status != 0 && Result.m_Outcome != CallOutcome::Refused &&
      Result.m_Outcome != CallOutcome::Misdirected) {
    m_HasTargetReply = true;
    if (!Crashes.isEmpty())
      Crashes.onAnswered(fingerprint(), Now);
  }
  return true;
}

void RoutedRequestRunner::resolveHeldRetries(TimePoint Now) {
  const bool IsAnyUnderWay =
      std::any_of(m_Races.begin(), m_Races.end(), [](const ServiceRace &Each) {
        return !Each.m_Race.isOver() && Each.m_Race.outstanding() > 0;
      });
  for (std::size_t I = 0; I < m_Races.size(); ++I) {
    ReplicaRace &Race = m_Races[I].m_Race;
    if (!Race.holdsRetry())
      continue;
    if (!m_HasTargetReply && !IsAnyUnderWay)
      Race.giveUpRetry();
    else if (m_HasTargetReply)
      if (const auto Next = Race.releaseRetry(m_Context, Now))
        send(I, *Next, Now);
  }
}

void RoutedRequestRunner::scheduleTimer(TimePoint Now) {
  TimePoint Next = nextDueTime(Now);
  for (const ServiceRace &Each : m_Races)
    if (const auto Hedge = Each.m_Race.hedgeTime())
      Next = std::min(Next, *Hedge);
  if (m_Done || (Next >= m_TimerDueAt && m_TimerDueAt > Now))
    return;
  m_TimerDueAt = Next;
  m_Context.timers().schedule(Next, weak_from_this(), [this] { onTimer(); });
}

void RoutedRequestRunner::onTimer() {
  if (m_Done)
    return;
  const TimePoint Now = Clock::now();
  m_TimerDueAt = TimePoint::max();
  for (std::size_t I = 0; I < m_Races.size(); ++I) {
    const auto Due = m_Races[I].m_Race.hedgeTime();
    if (!Due || *Due > Now)
      continue;
    if (const auto Hedge = m_Races[I].m_Race.onHedgeTime(m_Context, Now))
      send(I, *Hedge, Now);
  }
  answerIfDue(Now);
  if (!m_Done)
    scheduleTimer(Now);
}

void RoutedRequestRunner::onCallerGone() {
  if (m_Done)
    return;
  m_Done = true;
  const TimePoint Now = Clock::now();
  std::size_t Cancelled = 0;
  for (ServiceRace &Of : m_Races)
    for (const auto &[To, Call] : std::exchange(Of.m_Calls, {})) {
      m_Context.connectionPools().cancel(To, Call);
      ++Cancelled;
    }
  m_Context.metrics().addRefusal(route().m_Name, Errc::Cancelled);
  logEvent(Event::CallerLeft, "id={} route={} after_ms={:.1f} cancelled={}",
           m_Options.m_RequestId, route().m_Name,
           toMilliseconds(Now - m_StartedAt), Cancelled);
  releaseAdmission(Now);
}

void RoutedRequestRunner::cancelUnsentCalls() {
  m_Done = true;
  for (ServiceRace &Of : m_Races)
    std::erase_if(Of.m_Calls, [this](const auto &Each) {
      return m_Context.connectionPools().cancelIfUnsent(Each.first,
                                                        Each.second);
    });
}

void RoutedRequestRunner::releaseAdmission(TimePoint Now) {
  if (m_AdmittedAt)
    m_Context.admission().onRequestFinished(m_AdmissionDomain,
                                            Now - *m_AdmittedAt, Now);
  else if (m_AdmissionId != 0)
    m_Context.admission().removeWaiting(m_AdmissionDomain, m_AdmissionId);
}

RunVerdict RoutedRequestRunner::verdict() const {
  RunVerdict Sum = RunVerdict::NotRun;
  for (const ServiceRace &Each : m_Races) {
    if ((!Each.m_Race.isOver() && !Each.m_Calls.empty()) ||
        Each.m_Race.verdict() != RunVerdict::NotRun)
      Sum = RunVerdict::MayHaveRun;
  }
  return Sum;
}

void RoutedRequestRunner::answer(HttpResponse Response, std::size_t Asked,
                                 std::size_t Answered, TimePoint Now) {
  cancelUnsentCalls();
  const Duration Took = Now - m_StartedAt;
  m_Context.metrics().addAnswer(route().m_Name, Took, Asked, Answered);
  logEvent(Answered < Asked ? Event::RequestAnsweredPartly
                            : Event::RequestAnswered,
           "id={} route={} status={} ms={:.1f} shards={}/{} on_time={}",
           m_Options.m_RequestId, route().m_Name, Response.m_Status,
           toMilliseconds(Took), Answered, Asked,
           Took <= route().m_LatencyObjective);
  m_Exchange->respond(std::move(Response));
  releaseAdmission(Now);
}

void RoutedRequestRunner::refuse(std::error_code Reason,
                                 std::string_view Sentence, TimePoint Now) {
  std::string Lost;
  for (const ServiceRace &Each : m_Races)
    if (!Each.m_Race.isWon())
      Lost += fmt::format("{}{}:{}", Lost.empty() ? "" : ",", Each.m_Service,
                          Each.m_Race.isOver() ? Each.m_Race.reason().message()
                                               : "pending");
  refuse(Reason, Sentence, Lost, Now);
}

void RoutedRequestRunner::refuse(std::error_code Reason,
                                 std::string_view Sentence,
                                 const std::string &Lost, TimePoint Now) {
  // Calls that wait for a connection must not run once this is said.
  cancelUnsentCalls();
  const RunVerdict Verdict = verdict();
  const auto Pause =
      Verdict == RunVerdict::NotRun
          ? m_Context.retryAdvice().pause(Reason, m_Options.m_Deadline - Now)
          : std::nullopt;
  m_Context.metrics().addRefusal(route().m_Name, Reason);
  logEvent(Event::RoutedRequestRefused,
           "id={} route={} verdict={} reason={} ms={:.1f} retry_ms={} lost={}",
           m_Options.m_RequestId, route().m_Name, verdictName(Verdict),
           Reason.message(), toMilliseconds(Now - m_StartedAt),
           Pause ? Pause->count() : 0, Lost);
  m_Exchange->respond(refusalResponse({.m_Verdict = Verdict,
                                       .m_Reason = Reason,
                                       .m_Sentence = std::string(Sentence)},
                                      m_Options.m_RequestId, Pause,
                                      m_Context.headers()));
  releaseAdmission(Now);
}

namespace {

/** A request that one target serves. */
class SingleServiceRunner final : public RoutedRequestRunner {
public:
  using RoutedRequestRunner::RoutedRequestRunner;

protected:
  CallOutcome classify(unsigned Status,
                       const HttpHeaders &Headers) const override {
    return classifyReply(Status, Headers, m_Context.headers());
  }

  void onCallEnded(std::size_t, PooledCallResult Result,
                   TimePoint Now) override {
    const ReplicaRace &Race = m_Races[0].m_Race;
    const bool IsReply = Result.m_Status != 0;
    if (Race.isWon()) {
      answer(passReply(Result.m_Status, Result.m_Headers,
                       std::move(Result.m_Body)),
             1, 1, Now);
      return;
    }
    if (Result.m_Outcome == CallOutcome::Failed && IsReply &&
        !headerValue(Result.m_Headers, m_Context.headers().m_TargetStamp)
             .empty())
      m_Failure = std::move(Result);
    if (Race.isOver())
      end(Now);
  }

  std::vector<ServiceName> unavailableServices(TimePoint Now) const override {
    if (m_Context.isServable(m_Options.m_Service, Now))
      return {};
    return {m_Options.m_Service};
  }

  void answerIfDue(TimePoint Now) override {
    if (m_Races[0].m_Race.isOver() || Now >= m_Options.m_Deadline)
      end(Now);
  }

  TimePoint nextDueTime(TimePoint) const override {
    return m_Options.m_Deadline;
  }

private:
  void end(TimePoint Now) {
    const ReplicaRace &Race = m_Races[0].m_Race;
    // A target's own failure says more than ours would.
    if (m_Failure && m_Failure->m_Status >= 500) {
      answer(passReply(m_Failure->m_Status, m_Failure->m_Headers,
                       std::move(m_Failure->m_Body)),
             1, 0, Now);
      return;
    }
    const bool IsLate = Now >= m_Options.m_Deadline || !Race.isOver();
    refuse(IsLate ? Errc::DeadlineExceeded : Race.reason(),
           "No target gave an answer to the request.", Now);
  }

  std::optional<PooledCallResult> m_Failure;
};

/** A search over shards. */
class ShardedSearchRunner final : public RoutedRequestRunner {
public:
  ShardedSearchRunner(RoutedContext &Context, HttpExchangePtr Exchange,
                      RoutedRequestOptions Options)
      : RoutedRequestRunner(Context, std::move(Exchange), std::move(Options)),
        m_CoverageRule({.m_LeastCoverage = route().m_Search->m_LeastCoverage,
                        .m_OnTimeUntil = answerDueTime(),
                        .m_Deadline = m_Options.m_Deadline}) {}

protected:
  CallOutcome classify(unsigned Status,
                       const HttpHeaders &Headers) const override {
    return classifyPart(Status, Headers, m_Context.headers());
  }

  void onCallEnded(std::size_t Index, PooledCallResult Result,
                   TimePoint Now) override {
    if (m_Races[Index].m_Race.isWon()) {
      m_Stamps.push_back(
          headerValue(Result.m_Headers, m_Context.headers().m_TargetStamp));
      m_Parts.push_back(std::move(Result.m_Body));
    }
    answerIfDue(Now);
  }

  std::vector<ServiceName> unavailableServices(TimePoint Now) const override {
    std::vector<ServiceName> Missing;
    const std::vector<ServiceName> &Shards = route().m_Search->m_Shards;
    for (const ServiceName &Shard : Shards)
      if (!m_Context.isServable(Shard, Now))
        Missing.push_back(Shard);
    if (Shards.size() - Missing.size() >=
        m_CoverageRule.leastShards(Shards.size()))
      Missing.clear();
    return Missing;
  }

  void answerIfDue(TimePoint Now) override {
    switch (m_CoverageRule.decide(progress(), Now)) {
    case SearchStep::Wait:
      break;
    case SearchStep::Answer:
      answerWithMergedShards(Now);
      break;
    case SearchStep::Fail:
      fail(Now);
      break;
    }
  }

  TimePoint nextDueTime(TimePoint Now) const override {
    return m_CoverageRule.nextTime(Now);
  }

private:
  SearchProgress progress() const {
    SearchProgress Out{.m_Shards = m_Races.size(),
                       .m_Answered = m_Parts.size()};
    for (const ServiceRace &Each : m_Races)
      Out.m_Lost += Each.m_Race.isOver() && !Each.m_Race.isWon() ? 1 : 0;
    return Out;
  }

  void answerWithMergedShards(TimePoint Now) {
    const std::vector<std::string_view> Parts(m_Parts.begin(), m_Parts.end());
    answer(
        searchResponse(mergeTopRecords(Parts, route().m_Search->m_TopRecords),
                       m_Stamps, m_Races.size() - m_Parts.size(),
                       m_Options.m_RequestId, m_Context.headers()),
        m_Races.size(), m_Parts.size(), Now);
  }

  void fail(TimePoint Now) {
    std::error_code Reason = Errc::DeadlineExceeded;
    for (const ServiceRace &Each : m_Races)
      if (Now < m_Options.m_Deadline && Each.m_Race.isOver() &&
          !Each.m_Race.isWon())
        Reason = Each.m_Race.reason();
    refuse(Reason,
           "Too few shards answered for the coverage that the route asks for.",
           Now);
  }

  CoverageRule m_CoverageRule;
  std::vector<std::string> m_Stamps;
  std::vector<std::string> m_Parts;
};

} // namespace

void startRoutedRequest(RoutedContext &Context, const HttpExchangePtr &Exchange,
                        RoutedRequestOptions Options, TimePoint Now) {
  std::shared_ptr<RoutedRequestRunner> Run;
  if (Options.m_Route->m_Search)
    Run = std::make_shared<ShardedSearchRunner>(Context, Exchange,
                                                std::move(Options));
  else
    Run = std::make_shared<SingleServiceRunner>(Context, Exchange,
                                                std::move(Options));
  Run->start(Now);
}

} // namespace figturn
