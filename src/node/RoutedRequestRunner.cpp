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

/** Time reserved for delivering an answer to the caller: a fraction of the
 *  latency objective plus a fixed margin for the event loops at both ends. */
constexpr double AnswerMarginFraction = 0.05;
constexpr milliseconds FixedAnswerMargin{4};

/** Largest fraction of the objective reserved for event loop delay. */
constexpr double MaxLoopDelayFraction = 0.25;

/** Calls with less time remaining than this are not sent. */
constexpr milliseconds MinCallTimeout{2};

/** Number of lost calls after which a request that no target has replied to is
 *  not retried until one replies, because it may be crashing its targets. */
constexpr std::uint32_t MaxLostCallsWithoutReply = 2;

double toMilliseconds(Duration Interval) {
  return std::chrono::duration<double, std::milli>(Interval).count();
}

Duration fractionOf(Duration Total, double Share) {
  return std::chrono::duration_cast<Duration>(
      Share * std::chrono::duration<double>(Total));
}

} // namespace

RoutedRequestRunner::RoutedRequestRunner(RoutedContext &Context,
                                         HttpExchangePtr Exchange,
                                         RoutedRequestOptions Options)
    : m_Context(Context), m_Exchange(std::move(Exchange)),
      m_Options(std::move(Options)), m_StartedAt(m_Exchange->receivedAt()) {
  m_Context.runners().insert(this);
}

RoutedRequestRunner::~RoutedRequestRunner() { m_Context.runners().erase(this); }

void RoutedRequestRunner::limitDeadline(TimePoint Deadline, TimePoint Now) {
  if (m_Done || m_Options.m_Deadline <= Deadline)
    return;
  m_Options.m_Deadline = Deadline;
  onDeadlineChanged();
  // A request that waits for admission has a shorter timer of its own.
  if (m_AdmittedAt)
    scheduleTimer(Now);
}

TimePoint RoutedRequestRunner::answerDueTime() const {
  const Duration Objective = route().m_LatencyObjective;
  // Event loop delay occurs twice: before the request is read and when the
  // timer that ends the wait for shards fires.
  const Duration LoopDelay =
      std::min(2 * m_Context.timers().lateness(),
               fractionOf(Objective, MaxLoopDelayFraction));
  return std::min(m_StartedAt + Objective -
                      fractionOf(Objective, AnswerMarginFraction) -
                      FixedAnswerMargin - LoopDelay,
                  m_Options.m_Deadline);
}

void RoutedRequestRunner::start(TimePoint Now) {
  if (const auto Missing = unavailableServices(Now); !Missing.empty()) {
    refuseForLackOfTargets(Missing, Now);
    return;
  }
  if (!m_Context.crashQuarantine().isEmpty() &&
      m_Context.crashQuarantine().isQuarantined(fingerprint(), Now)) {
    refuse(Errc::Quarantined, "The request crashed the targets that ran it.",
           Now);
    return;
  }
  // Each call has its own copy of the request.
  const std::size_t CallCount =
      route().m_Search ? route().m_Search->m_Shards.size() : 1;
  if (!m_Exchange->reserveMemory(CallCount *
                                 messageBytes(m_Exchange->request()))) {
    refuse(Errc::Overloaded, "The VM has no memory left for the request.", Now);
    return;
  }
  m_Exchange->onCallerDisconnect([Self = weak_from_this()] {
    if (const auto Runner = Self.lock())
      Runner->onCallerDisconnect();
  });
  m_AdmissionDomain =
      RequestAdmission::admissionDomain(route(), m_Options.m_Service);
  m_AdmissionId = m_Context.admission().submit(
      m_AdmissionDomain, route(), m_StartedAt, m_Options.m_Deadline,
      {.m_OnAdmitted = [Self = shared_from_this()](
                           TimePoint At) { Self->sendFirstCalls(At); },
       .m_OnRefused =
           [Self = shared_from_this()](std::error_code Reason, TimePoint At) {
             Self->refuse(Reason,
                          "The targets have no capacity for the request.", At);
           }},
      Now);
}

void RoutedRequestRunner::sendFirstCalls(TimePoint Now) {
  m_AdmittedAt = Now;
  HedgeDelayEstimator &Hedges = m_Context.hedgeDelayEstimator(route());
  m_HedgeDelay = Hedges.delay();
  // In a search, a hedge is useful only if a complete call still fits before
  // the answer is due. While requests wait for admission, a hedge would
  // displace a first call.
  const bool IsHedgeUseful =
      (Now + m_HedgeDelay + Hedges.medianLatency() < answerDueTime() ||
       !route().m_Search) &&
      !m_Context.admission().isSaturated(m_AdmissionDomain);
  const TimePoint HedgeAt =
      IsHedgeUseful ? Now + m_HedgeDelay : TimePoint::max();
  std::vector<ServiceName> Services{m_Options.m_Service};
  if (route().m_Search)
    Services = route().m_Search->m_Shards;
  m_ServiceCalls.reserve(Services.size());
  for (const ServiceName &Service : Services)
    m_ServiceCalls.push_back(
        {.m_Service = Service,
         .m_HedgedRequest = HedgedRequest(
             {.m_Service = Service,
              .m_Kind = route().m_Kind,
              .m_MaxSends = route().m_MaxSends,
              .m_HedgeTime = HedgeAt,
              .m_LastSendTime = m_Options.m_Deadline - MinCallTimeout})});
  std::vector<std::string_view> TargetNames;
  for (std::size_t I = 0; I < m_ServiceCalls.size(); ++I) {
    m_Context.recordFirstCall(m_ServiceCalls[I].m_Service);
    const auto First = m_ServiceCalls[I].m_HedgedRequest.start(m_Context, Now);
    TargetNames.push_back(
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
           toMilliseconds(m_HedgeDelay), fmt::join(TargetNames, ","));
  answerIfDue(Now);
  scheduleTimer(Now);
}

void RoutedRequestRunner::send(std::size_t Index, const HedgedSend &Send,
                               TimePoint Now) {
  ServiceCalls &Calls = m_ServiceCalls[Index];
  const Duration TypicalLatency =
      m_Context.hedgeDelayEstimator(route()).medianLatency();
  m_Context.metrics().addCall(Calls.m_Service);
  PooledCall Call{.m_SerializeRequest =
                      [Self = shared_from_this(),
                       Destination = Send.m_Target](TimePoint At) {
                        return Self->writeCall(*Destination, At);
                      },
                  .m_RequestId = m_Options.m_RequestId,
                  .m_IsHead = m_Exchange->request().m_Method == "HEAD",
                  .m_IsSingleRun = route().m_Kind == RouteKind::SingleRun,
                  .m_Deadline = m_Options.m_Deadline,
                  .m_OverdueAt = Now + m_HedgeDelay,
                  .m_TypicalLatency = TypicalLatency};
  if (Send.m_Kind != SendKind::First)
    logEvent(Event::ExtraCallSent,
             "id={} kind={} service={} target={} after_ms={:.1f} reason={}",
             m_Options.m_RequestId, sendKindName(Send.m_Kind), Calls.m_Service,
             Send.m_Target->m_Entry.m_Instance.m_Name,
             toMilliseconds(Now - m_StartedAt),
             Send.m_Kind == SendKind::Hedge
                 ? "late"
                 : Calls.m_HedgedRequest.reason().message());
  auto Self = shared_from_this();
  auto Id = std::make_shared<CallId>();
  *Id = m_Context.connectionPools().send(
      Send.m_Target, std::move(Call),
      [Self](unsigned Status, const HttpHeaders &Headers) {
        return Self->classify(Status, Headers);
      },
      [Self, Index, Id, Source = Send.m_Target](PooledCallResult Result) {
        Self->onResult(Index, Source, *Id, std::move(Result));
      });
  Calls.m_Calls.emplace_back(Send.m_Target, *Id);
}

std::string RoutedRequestRunner::writeCall(const Target &Destination,
                                           TimePoint Now) const {
  const auto Remaining =
      std::chrono::duration_cast<milliseconds>(m_Options.m_Deadline - Now);
  return encodeRoutedCall(m_Exchange->request(), Destination.m_Entry.m_Instance,
                          std::max(Remaining, MinCallTimeout),
                          m_Context.headers());
}

void RoutedRequestRunner::onResult(std::size_t Index, const TargetPtr &Source,
                                   CallId Call, PooledCallResult Result) {
  const TimePoint Now = Clock::now();
  ServiceCalls &Calls = m_ServiceCalls[Index];
  std::erase_if(Calls.m_Calls,
                [Call](const auto &Each) { return Each.second == Call; });
  const CallOutcome Outcome = Result.m_Outcome;
  m_Context.metrics().addOutcome(Calls.m_Service, Outcome);
  if (Outcome == CallOutcome::Answered)
    m_Context.hedgeDelayEstimator(route()).record(Result.m_Latency, Now);
  else if (Outcome != CallOutcome::Abandoned)
    logEvent(Event::CallFailed,
             "id={} service={} target={} outcome={} error={} status={} "
             "ms={:.1f}",
             m_Options.m_RequestId, Calls.m_Service,
             Source->m_Entry.m_Instance.m_Name, callOutcomeName(Outcome),
             Result.m_Error ? Result.m_Error.message() : "none",
             Result.m_Status, toMilliseconds(Result.m_Latency));
  m_Context.admission().onCallFinished(m_AdmissionDomain, route(), Outcome,
                                       Result.m_Latency, Now);
  const bool MayRetry = recordCrashEvidence(Source, Result, Now);
  if (m_Done)
    return;
  const bool WasFinished = Calls.m_HedgedRequest.isOver();
  const auto Next = Calls.m_HedgedRequest.onOutcome(Source, Outcome, m_Context,
                                                    Now, MayRetry);
  if (Next)
    send(Index, *Next, Now);
  resolveDeferredRetries(Now);
  if (!WasFinished)
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

bool RoutedRequestRunner::recordCrashEvidence(const TargetPtr &Source,
                                              const PooledCallResult &Result,
                                              TimePoint Now) {
  CrashQuarantine &Crashes = m_Context.crashQuarantine();
  if (Result.m_Outcome == CallOutcome::Lost) {
    ++m_LostCalls;
    Crashes.onCallLost({.m_Request = fingerprint(),
                        .m_Target = Source->m_Entry.m_Instance,
                        .m_AttemptStartedAt = *m_AdmittedAt},
                       Now);
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

void RoutedRequestRunner::resolveDeferredRetries(TimePoint Now) {
  const bool HasOutstandingCalls =
      std::any_of(m_ServiceCalls.begin(), m_ServiceCalls.end(),
                  [](const ServiceCalls &Each) {
                    return !Each.m_HedgedRequest.isOver() &&
                           Each.m_HedgedRequest.outstanding() > 0;
                  });
  for (std::size_t I = 0; I < m_ServiceCalls.size(); ++I) {
    HedgedRequest &Hedged = m_ServiceCalls[I].m_HedgedRequest;
    if (!Hedged.hasDeferredRetry())
      continue;
    if (!m_HasTargetReply && !HasOutstandingCalls)
      Hedged.cancelDeferredRetry();
    else if (m_HasTargetReply)
      if (const auto Next = Hedged.sendDeferredRetry(m_Context, Now))
        send(I, *Next, Now);
  }
}

void RoutedRequestRunner::scheduleTimer(TimePoint Now) {
  TimePoint Next = nextDueTime(Now);
  for (const ServiceCalls &Each : m_ServiceCalls)
    if (const auto Hedge = Each.m_HedgedRequest.hedgeTime())
      Next = std::min(Next, *Hedge);
  if (m_Done || (Next >= m_TimerDueAt && m_TimerDueAt > Now))
    return;
  m_TimerDueAt = Next;
  m_Context.timers().runAt(Next, weak_from_this(), [this] { onTimer(); });
}

void RoutedRequestRunner::onTimer() {
  if (m_Done)
    return;
  const TimePoint Now = Clock::now();
  m_TimerDueAt = TimePoint::max();
  for (std::size_t I = 0; I < m_ServiceCalls.size(); ++I) {
    const auto Due = m_ServiceCalls[I].m_HedgedRequest.hedgeTime();
    if (!Due || *Due > Now)
      continue;
    if (const auto Hedge =
            m_ServiceCalls[I].m_HedgedRequest.onHedgeTimer(m_Context, Now))
      send(I, *Hedge, Now);
  }
  answerIfDue(Now);
  if (!m_Done)
    scheduleTimer(Now);
}

void RoutedRequestRunner::onCallerDisconnect() {
  if (m_Done)
    return;
  m_Done = true;
  const TimePoint Now = Clock::now();
  std::size_t Cancelled = 0;
  for (ServiceCalls &Calls : m_ServiceCalls)
    for (const auto &[Destination, Call] : std::exchange(Calls.m_Calls, {})) {
      m_Context.connectionPools().cancel(Destination, Call);
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
  for (ServiceCalls &Calls : m_ServiceCalls)
    std::erase_if(Calls.m_Calls, [this](const auto &Each) {
      return m_Context.connectionPools().withdraw(Each.first, Each.second);
    });
}

void RoutedRequestRunner::releaseAdmission(TimePoint Now) {
  if (m_AdmittedAt)
    m_Context.admission().onRequestEnded(m_AdmissionDomain, Now - *m_AdmittedAt,
                                         Now);
  else if (m_AdmissionId != 0)
    m_Context.admission().removeWaiting(m_AdmissionDomain, m_AdmissionId);
}

RunVerdict RoutedRequestRunner::verdict() const {
  RunVerdict Combined = RunVerdict::NotRun;
  for (const ServiceCalls &Each : m_ServiceCalls) {
    if ((!Each.m_HedgedRequest.isOver() && !Each.m_Calls.empty()) ||
        Each.m_HedgedRequest.verdict() != RunVerdict::NotRun)
      Combined = RunVerdict::MayHaveRun;
  }
  return Combined;
}

void RoutedRequestRunner::answer(HttpResponse Response, std::size_t ShardsAsked,
                                 std::size_t ShardsAnswered, TimePoint Now) {
  cancelUnsentCalls();
  const Duration Latency = Now - m_StartedAt;
  m_Context.metrics().addAnswer(route().m_Name, Latency, ShardsAsked,
                                ShardsAnswered);
  logEvent(ShardsAnswered < ShardsAsked ? Event::RequestAnsweredPartly
                                        : Event::RequestAnswered,
           "id={} route={} status={} ms={:.1f} shards={}/{} on_time={}",
           m_Options.m_RequestId, route().m_Name, Response.m_Status,
           toMilliseconds(Latency), ShardsAnswered, ShardsAsked,
           Latency <= route().m_LatencyObjective);
  m_Exchange->respond(std::move(Response));
  releaseAdmission(Now);
}

void RoutedRequestRunner::refuse(std::error_code Reason,
                                 std::string_view Message, TimePoint Now) {
  std::string FailedServices;
  for (const ServiceCalls &Each : m_ServiceCalls)
    if (!Each.m_HedgedRequest.isAnswered())
      FailedServices += fmt::format(
          "{}{}:{}", FailedServices.empty() ? "" : ",", Each.m_Service,
          Each.m_HedgedRequest.isOver()
              ? Each.m_HedgedRequest.reason().message()
              : "pending");
  refuse(Reason, Message, FailedServices, Now);
}

void RoutedRequestRunner::refuseForLackOfTargets(
    const std::vector<ServiceName> &Missing, TimePoint Now) {
  std::string FailedServices;
  bool IsLimited = false;
  for (const ServiceName &Each : Missing) {
    const bool IsEachLimited =
        m_Context.availability(Each, Now) == Availability::Limited;
    IsLimited = IsLimited || IsEachLimited;
    FailedServices +=
        fmt::format("{}{}:{}", FailedServices.empty() ? "" : ",", Each,
                    IsEachLimited ? "target-limit" : "no-target");
  }
  refuse(IsLimited ? Errc::Overloaded : Errc::NoTarget,
         IsLimited ? "The targets take no requests now."
                   : "Too few targets are available.",
         FailedServices, Now);
}

void RoutedRequestRunner::refuse(std::error_code Reason,
                                 std::string_view Message,
                                 const std::string &FailedServices,
                                 TimePoint Now) {
  // Calls that wait for a connection must not run after the refusal is sent.
  cancelUnsentCalls();
  const RunVerdict Verdict = verdict();
  const auto RetryAfter = Verdict == RunVerdict::NotRun
                              ? m_Context.retryAfterPolicy().retryAfter(
                                    Reason, m_Options.m_Deadline - Now)
                              : std::nullopt;
  m_Context.metrics().addRefusal(route().m_Name, Reason);
  logEvent(Event::RoutedRequestRefused,
           "id={} route={} verdict={} reason={} ms={:.1f} retry_ms={} lost={}",
           m_Options.m_RequestId, route().m_Name, verdictName(Verdict),
           Reason.message(), toMilliseconds(Now - m_StartedAt),
           RetryAfter ? RetryAfter->count() : 0, FailedServices);
  m_Exchange->respond(refusalResponse({.m_Verdict = Verdict,
                                       .m_Reason = Reason,
                                       .m_Message = std::string(Message)},
                                      m_Options.m_RequestId, RetryAfter,
                                      m_Context.headers()));
  releaseAdmission(Now);
}

namespace {

/** A request to a single service. */
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
    const HedgedRequest &Hedged = m_ServiceCalls[0].m_HedgedRequest;
    const bool IsReply = Result.m_Status != 0;
    if (Hedged.isAnswered()) {
      answer(forwardReply(Result.m_Status, Result.m_Headers,
                          std::move(Result.m_Body)),
             1, 1, Now);
      return;
    }
    if (Result.m_Outcome == CallOutcome::Failed && IsReply &&
        !impliesNotRun(Result.m_Status) &&
        !headerValue(Result.m_Headers, m_Context.headers().m_TargetSignature)
             .empty())
      m_ErrorReply = std::move(Result);
    if (Hedged.isOver())
      end(Now);
  }

  std::vector<ServiceName> unavailableServices(TimePoint Now) const override {
    if (m_Context.availability(m_Options.m_Service, Now) ==
        Availability::Usable)
      return {};
    return {m_Options.m_Service};
  }

  void answerIfDue(TimePoint Now) override {
    if (m_ServiceCalls[0].m_HedgedRequest.isOver() ||
        Now >= m_Options.m_Deadline)
      end(Now);
  }

  TimePoint nextDueTime(TimePoint) const override {
    return m_Options.m_Deadline;
  }

private:
  void end(TimePoint Now) {
    const HedgedRequest &Hedged = m_ServiceCalls[0].m_HedgedRequest;
    // The target's own error reply is more specific than a refusal.
    if (m_ErrorReply && m_ErrorReply->m_Status >= 500) {
      answer(forwardReply(m_ErrorReply->m_Status, m_ErrorReply->m_Headers,
                          std::move(m_ErrorReply->m_Body)),
             1, 0, Now);
      return;
    }
    const bool IsDeadlineExceeded =
        Now >= m_Options.m_Deadline || !Hedged.isOver();
    refuse(IsDeadlineExceeded ? Errc::DeadlineExceeded : Hedged.reason(),
           "No target answered the request.", Now);
  }

  std::optional<PooledCallResult> m_ErrorReply;
};

/** A search over several shards; merges their answers. */
class ShardedSearchRunner final : public RoutedRequestRunner {
public:
  ShardedSearchRunner(RoutedContext &Context, HttpExchangePtr Exchange,
                      RoutedRequestOptions Options)
      : RoutedRequestRunner(Context, std::move(Exchange), std::move(Options)),
        m_CoveragePolicy({.m_MinCoverage = route().m_Search->m_MinCoverage,
                          .m_OnTimeDeadline = answerDueTime(),
                          .m_Deadline = m_Options.m_Deadline}) {}

protected:
  CallOutcome classify(unsigned Status,
                       const HttpHeaders &Headers) const override {
    return classifyShardReply(Status, Headers, m_Context.headers());
  }

  void onCallEnded(std::size_t Index, PooledCallResult Result,
                   TimePoint Now) override {
    if (m_ServiceCalls[Index].m_HedgedRequest.isAnswered()) {
      m_Signatures.push_back(
          headerValue(Result.m_Headers, m_Context.headers().m_TargetSignature));
      m_ShardBodies.push_back(std::move(Result.m_Body));
    }
    answerIfDue(Now);
  }

  std::vector<ServiceName> unavailableServices(TimePoint Now) const override {
    std::vector<ServiceName> Missing;
    const std::vector<ServiceName> &Shards = route().m_Search->m_Shards;
    for (const ServiceName &Shard : Shards)
      if (m_Context.availability(Shard, Now) != Availability::Usable)
        Missing.push_back(Shard);
    if (Shards.size() - Missing.size() >=
        m_CoveragePolicy.minShards(Shards.size()))
      Missing.clear();
    return Missing;
  }

  void onDeadlineChanged() override {
    m_CoveragePolicy.limitDeadline(m_Options.m_Deadline);
  }

  void answerIfDue(TimePoint Now) override {
    switch (m_CoveragePolicy.decide(progress(), Now)) {
    case SearchDecision::Wait:
      break;
    case SearchDecision::Answer:
      answerWithMergedShards(Now);
      break;
    case SearchDecision::Fail:
      fail(Now);
      break;
    }
  }

  TimePoint nextDueTime(TimePoint Now) const override {
    return m_CoveragePolicy.nextTimer(Now);
  }

private:
  SearchProgress progress() const {
    SearchProgress Progress{.m_Shards = m_ServiceCalls.size(),
                            .m_Answered = m_ShardBodies.size()};
    for (const ServiceCalls &Each : m_ServiceCalls)
      Progress.m_Lost +=
          Each.m_HedgedRequest.isOver() && !Each.m_HedgedRequest.isAnswered()
              ? 1
              : 0;
    return Progress;
  }

  void answerWithMergedShards(TimePoint Now) {
    const std::vector<std::string_view> Parts(m_ShardBodies.begin(),
                                              m_ShardBodies.end());
    answer(searchResponse(
               mergeTopRecords(Parts, route().m_Search->m_MaxRecords),
               m_Signatures, m_ServiceCalls.size() - m_ShardBodies.size(),
               m_Options.m_RequestId, m_Context.headers()),
           m_ServiceCalls.size(), m_ShardBodies.size(), Now);
  }

  void fail(TimePoint Now) {
    std::error_code Reason = Errc::DeadlineExceeded;
    for (const ServiceCalls &Each : m_ServiceCalls)
      if (Now < m_Options.m_Deadline && Each.m_HedgedRequest.isOver() &&
          !Each.m_HedgedRequest.isAnswered())
        Reason = Each.m_HedgedRequest.reason();
    refuse(Reason,
           "Too few shards answered to reach the route's minimum coverage.",
           Now);
  }

  CoveragePolicy m_CoveragePolicy;
  std::vector<std::string> m_Signatures;
  std::vector<std::string> m_ShardBodies;
};

} // namespace

void startRoutedRequest(RoutedContext &Context, const HttpExchangePtr &Exchange,
                        RoutedRequestOptions Options, TimePoint Now) {
  std::shared_ptr<RoutedRequestRunner> Runner;
  if (Options.m_Route->m_Search)
    Runner = std::make_shared<ShardedSearchRunner>(Context, Exchange,
                                                   std::move(Options));
  else
    Runner = std::make_shared<SingleServiceRunner>(Context, Exchange,
                                                   std::move(Options));
  Runner->start(Now);
}

} // namespace figturn
