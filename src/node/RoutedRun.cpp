#include "node/RoutedRun.h"

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
constexpr double AnswerMarginPart = 0.05;
constexpr milliseconds AnswerMargin{4};

/** Of the objective, the most that is set aside for a loop that is late. */
constexpr double LargestLoopPart = 0.25;

/** A call with less time left than this is not worth sending. */
constexpr milliseconds LeastCallTime{2};

/** A request that no target has answered yet is sent again after so many lost
 *  connections; any more may be its own doing. */
constexpr std::uint32_t MostUnprovenLosses = 2;

double millisOf(Duration Length) {
  return std::chrono::duration<double, std::milli>(Length).count();
}

Duration part(Duration Whole, double Share) {
  return std::chrono::duration_cast<Duration>(
      Share * std::chrono::duration<double>(Whole));
}

} // namespace

RoutedRun::RoutedRun(RoutedWorld &World, HttpExchangePtr Exchange,
                     RoutedRunOptions Options)
    : m_World(World), m_Exchange(std::move(Exchange)),
      m_Options(std::move(Options)), m_StartedAt(m_Exchange->receivedAt()) {}

TimePoint RoutedRun::onTimeUntil() const {
  const Duration Objective = route().m_LatencyObjective;
  // The request waited for this loop before it was read, and the timer that
  // ends the wait for shards does so again.
  const Duration Waits = std::min(2 * m_World.timers().lateness(),
                                  part(Objective, LargestLoopPart));
  return std::min(m_StartedAt + Objective - part(Objective, AnswerMarginPart) -
                      AnswerMargin - Waits,
                  m_Options.m_End);
}

void RoutedRun::start(TimePoint Now) {
  if (const auto Missing = missingServices(Now); !Missing.empty()) {
    refuse(Errc::NoTarget, "Too few targets can be reached now.",
           fmt::format("{}:no-target", fmt::join(Missing, ":no-target,")), Now);
    return;
  }
  if (!m_World.crashes().isEmpty() &&
      m_World.crashes().isQuarantined(fingerprint(), Now)) {
    refuse(Errc::Quarantined,
           "The request has crashed the targets that ran it.", Now);
    return;
  }
  m_Exchange->onCallerGone([Self = weak_from_this()] {
    if (const auto Run = Self.lock())
      Run->onCallerGone();
  });
  m_Domain = RunAdmission::domainOf(route(), m_Options.m_Service);
  m_AdmissionNumber = m_World.admission().enter(
      m_Domain, route(), m_StartedAt, m_Options.m_End,
      {.m_Run = [Self = shared_from_this()](TimePoint At) { Self->launch(At); },
       .m_Refuse =
           [Self = shared_from_this()](std::error_code Why, TimePoint At) {
             Self->refuse(Why, "The targets have no room for the request now.",
                          At);
           }},
      Now);
}

void RoutedRun::launch(TimePoint Now) {
  m_LaunchedAt = Now;
  HedgeTimer &Hedges = m_World.hedgeTimer(route());
  m_HedgeDelay = Hedges.delay();
  // A hedge helps only if a whole call still fits before the answer is due,
  // and takes the room of a first call while others wait.
  const bool IsUseful =
      (Now + m_HedgeDelay + Hedges.typical() < onTimeUntil() ||
       !route().m_Search) &&
      !m_World.admission().isSaturated(m_Domain);
  const TimePoint HedgeAt = IsUseful ? Now + m_HedgeDelay : TimePoint::max();
  std::vector<ServiceName> Services{m_Options.m_Service};
  if (route().m_Search)
    Services = route().m_Search->m_Shards;
  m_Lanes.reserve(Services.size());
  for (const ServiceName &Service : Services)
    m_Lanes.push_back({.m_Service = Service,
                       .m_Race = ReplicaRace(
                           {.m_Service = Service,
                            .m_Kind = route().m_Kind,
                            .m_MaxSends = route().m_MaxSends,
                            .m_HedgeAt = HedgeAt,
                            .m_LastSendAt = m_Options.m_End - LeastCallTime})});
  std::vector<std::string_view> Chosen;
  for (std::size_t I = 0; I < m_Lanes.size(); ++I) {
    m_World.earnExtraCalls(m_Lanes[I].m_Service);
    const auto First = m_Lanes[I].m_Race.start(m_World, Now);
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
           millisOf(Now - m_StartedAt), millisOf(m_Options.m_End - Now),
           millisOf(m_HedgeDelay), fmt::join(Chosen, ","));
  onTime(Now);
  arm(Now);
}

void RoutedRun::send(std::size_t Index, const RaceSend &Send, TimePoint Now) {
  Lane &Of = m_Lanes[Index];
  const Duration Usual = m_World.hedgeTimer(route()).typical();
  m_World.metrics().addCall(Of.m_Service);
  LinkCall Call{
      .m_WriteRequest = [Self = shared_from_this(), To = Send.m_Target](
                            TimePoint At) { return Self->writeCall(*To, At); },
      .m_RequestId = m_Options.m_RequestId,
      .m_IsHead = m_Exchange->request().m_Method == "HEAD",
      .m_IsSingleRun = route().m_Kind == RouteKind::SingleRun,
      .m_Deadline = m_Options.m_End,
      .m_OverdueAt = Now + m_HedgeDelay,
      .m_Usual = Usual};
  if (Send.m_Kind != SendKind::First)
    logEvent(
        Event::ExtraCallSent,
        "id={} kind={} service={} target={} after_ms={:.1f} reason={}",
        m_Options.m_RequestId, sendKindName(Send.m_Kind), Of.m_Service,
        Send.m_Target->m_Entry.m_Instance.m_Name, millisOf(Now - m_StartedAt),
        Send.m_Kind == SendKind::Hedge ? "late" : Of.m_Race.reason().message());
  auto Self = shared_from_this();
  auto Number = std::make_shared<CallId>();
  *Number = m_World.links().send(
      Send.m_Target, std::move(Call),
      [Self](unsigned Status, const HttpHeaders &Headers) {
        return Self->classify(Status, Headers);
      },
      [Self, Index, Number, From = Send.m_Target](LinkResult Result) {
        Self->onResult(Index, From, *Number, std::move(Result));
      });
  Of.m_Calls.emplace_back(Send.m_Target, *Number);
}

std::string RoutedRun::writeCall(const Target &To, TimePoint Now) const {
  const auto Left =
      std::chrono::duration_cast<milliseconds>(m_Options.m_End - Now);
  return encodeRoutedCall(m_Exchange->request(), To.m_Entry.m_Instance,
                          std::max(Left, LeastCallTime), m_World.headers());
}

void RoutedRun::onResult(std::size_t Index, const TargetPtr &From, CallId Call,
                         LinkResult Result) {
  const TimePoint Now = Clock::now();
  Lane &Of = m_Lanes[Index];
  std::erase_if(Of.m_Calls,
                [Call](const auto &Each) { return Each.second == Call; });
  const CallOutcome Outcome = Result.m_Outcome;
  m_World.metrics().addOutcome(Of.m_Service, Outcome);
  if (Outcome == CallOutcome::Answered)
    m_World.hedgeTimer(route()).record(Result.m_Latency, Now);
  else if (Outcome != CallOutcome::Abandoned)
    logEvent(Event::CallFailed,
             "id={} service={} target={} outcome={} status={} ms={:.1f}",
             m_Options.m_RequestId, Of.m_Service,
             From->m_Entry.m_Instance.m_Name, callOutcomeName(Outcome),
             Result.m_Status, millisOf(Result.m_Latency));
  m_World.admission().onCall(m_Domain, route(), Outcome, Result.m_Latency, Now);
  const bool MayRepeat = noteCrashSigns(From, Result, Now);
  if (m_Done)
    return;
  const bool WasOver = Of.m_Race.isOver();
  const auto Next = Of.m_Race.onOutcome(From, Outcome, m_World, Now, MayRepeat);
  if (Next)
    send(Index, *Next, Now);
  settleHeldRetries(Now);
  if (!WasOver)
    onLaneEvent(Index, std::move(Result), Now);
  if (!m_Done)
    arm(Now);
}

Fingerprint RoutedRun::fingerprint() {
  if (!m_Fingerprint) {
    const HttpRequest &Request = m_Exchange->request();
    m_Fingerprint = Fingerprint(stableHash(
        Request.m_Body,
        stableHash(fmt::format("{} {}{}?{}", Request.m_Method, route().m_Host,
                               Request.m_Path, Request.m_Query))));
  }
  return *m_Fingerprint;
}

bool RoutedRun::noteCrashSigns(const TargetPtr &From, const LinkResult &Result,
                               TimePoint Now) {
  CrashGuard &Crashes = m_World.crashes();
  if (Result.m_Outcome == CallOutcome::Lost) {
    ++m_LostCalls;
    Crashes.onCallLost(fingerprint(), From->m_Entry.m_Instance, Now);
    return m_IsProven || m_LostCalls < MostUnprovenLosses;
  }
  if (Result.m_Status != 0 && Result.m_Outcome != CallOutcome::Refused &&
      Result.m_Outcome != CallOutcome::Misdirected) {
    m_IsProven = true;
    if (!Crashes.isEmpty())
      Crashes.onAnswered(fingerprint(), Now);
  }
  return true;
}

void RoutedRun::settleHeldRetries(TimePoint Now) {
  const bool IsAnyUnderWay =
      std::any_of(m_Lanes.begin(), m_Lanes.end(), [](const Lane &Each) {
        return !Each.m_Race.isOver() && Each.m_Race.outstanding() > 0;
      });
  for (std::size_t I = 0; I < m_Lanes.size(); ++I) {
    ReplicaRace &Race = m_Lanes[I].m_Race;
    if (!Race.holdsRetry())
      continue;
    if (!m_IsProven && !IsAnyUnderWay)
      Race.giveUpRetry();
    else if (m_IsProven)
      if (const auto Next = Race.releaseRetry(m_World, Now))
        send(I, *Next, Now);
  }
}

void RoutedRun::arm(TimePoint Now) {
  TimePoint Next = nextTime(Now);
  for (const Lane &Each : m_Lanes)
    if (const auto Hedge = Each.m_Race.hedgeTime())
      Next = std::min(Next, *Hedge);
  if (m_Done || (Next >= m_ArmedFor && m_ArmedFor > Now))
    return;
  m_ArmedFor = Next;
  m_World.timers().at(Next, weak_from_this(), [this] { onTimer(); });
}

void RoutedRun::onTimer() {
  if (m_Done)
    return;
  const TimePoint Now = Clock::now();
  m_ArmedFor = TimePoint::max();
  for (std::size_t I = 0; I < m_Lanes.size(); ++I) {
    const auto Due = m_Lanes[I].m_Race.hedgeTime();
    if (!Due || *Due > Now)
      continue;
    if (const auto Hedge = m_Lanes[I].m_Race.onHedgeTime(m_World, Now))
      send(I, *Hedge, Now);
  }
  onTime(Now);
  if (!m_Done)
    arm(Now);
}

void RoutedRun::onCallerGone() {
  if (m_Done)
    return;
  m_Done = true;
  const TimePoint Now = Clock::now();
  std::size_t Cancelled = 0;
  for (Lane &Of : m_Lanes)
    for (const auto &[To, Call] : std::exchange(Of.m_Calls, {})) {
      m_World.links().cancel(To, Call);
      ++Cancelled;
    }
  m_World.metrics().addRefusal(route().m_Name, Errc::Cancelled);
  logEvent(Event::CallerLeft, "id={} route={} after_ms={:.1f} cancelled={}",
           m_Options.m_RequestId, route().m_Name, millisOf(Now - m_StartedAt),
           Cancelled);
  leaveAdmission(Now);
}

void RoutedRun::withdrawUnsent() {
  m_Done = true;
  for (Lane &Of : m_Lanes)
    std::erase_if(Of.m_Calls, [this](const auto &Each) {
      return m_World.links().withdraw(Each.first, Each.second);
    });
}

void RoutedRun::leaveAdmission(TimePoint Now) {
  if (m_LaunchedAt)
    m_World.admission().leave(m_Domain, Now - *m_LaunchedAt, Now);
  else if (m_AdmissionNumber != 0)
    m_World.admission().forget(m_Domain, m_AdmissionNumber);
}

RunVerdict RoutedRun::verdict() const {
  RunVerdict Sum = RunVerdict::NotRun;
  for (const Lane &Each : m_Lanes) {
    if ((!Each.m_Race.isOver() && !Each.m_Calls.empty()) ||
        Each.m_Race.verdict() != RunVerdict::NotRun)
      Sum = RunVerdict::MayHaveRun;
  }
  return Sum;
}

void RoutedRun::answer(HttpResponse Response, std::size_t Asked,
                       std::size_t Answered, TimePoint Now) {
  withdrawUnsent();
  const Duration Took = Now - m_StartedAt;
  m_World.metrics().addAnswer(route().m_Name, Took, Asked, Answered);
  logEvent(Answered < Asked ? Event::RequestAnsweredPartly
                            : Event::RequestAnswered,
           "id={} route={} status={} ms={:.1f} shards={}/{} on_time={}",
           m_Options.m_RequestId, route().m_Name, Response.m_Status,
           millisOf(Took), Answered, Asked, Took <= route().m_LatencyObjective);
  m_Exchange->respond(std::move(Response));
  leaveAdmission(Now);
}

void RoutedRun::refuse(std::error_code Reason, std::string_view Sentence,
                       TimePoint Now) {
  std::string Lost;
  for (const Lane &Each : m_Lanes)
    if (!Each.m_Race.isWon())
      Lost += fmt::format("{}{}:{}", Lost.empty() ? "" : ",", Each.m_Service,
                          Each.m_Race.isOver() ? Each.m_Race.reason().message()
                                               : "pending");
  refuse(Reason, Sentence, Lost, Now);
}

void RoutedRun::refuse(std::error_code Reason, std::string_view Sentence,
                       const std::string &Lost, TimePoint Now) {
  // Calls that wait for a connection must not run once this is said.
  withdrawUnsent();
  const RunVerdict Verdict = verdict();
  const auto Pause = Verdict == RunVerdict::NotRun
                         ? m_World.advice().pause(Reason, m_Options.m_End - Now)
                         : std::nullopt;
  m_World.metrics().addRefusal(route().m_Name, Reason);
  logEvent(Event::RoutedRequestRefused,
           "id={} route={} verdict={} reason={} ms={:.1f} retry_ms={} lost={}",
           m_Options.m_RequestId, route().m_Name, verdictName(Verdict),
           Reason.message(), millisOf(Now - m_StartedAt),
           Pause ? Pause->count() : 0, Lost);
  m_Exchange->respond(refusalResponse({.m_Verdict = Verdict,
                                       .m_Reason = Reason,
                                       .m_Sentence = std::string(Sentence)},
                                      m_Options.m_RequestId, Pause,
                                      m_World.headers()));
  leaveAdmission(Now);
}

namespace {

/** A request that one target serves. */
class PlainRun final : public RoutedRun {
public:
  using RoutedRun::RoutedRun;

protected:
  CallOutcome classify(unsigned Status,
                       const HttpHeaders &Headers) const override {
    return classifyReply(Status, Headers, m_World.headers());
  }

  void onLaneEvent(std::size_t, LinkResult Result, TimePoint Now) override {
    const ReplicaRace &Race = m_Lanes[0].m_Race;
    const bool IsReply = Result.m_Status != 0;
    if (Race.isWon()) {
      answer(forwardReply(Result.m_Status, Result.m_Headers,
                          std::move(Result.m_Body)),
             1, 1, Now);
      return;
    }
    if (Result.m_Outcome == CallOutcome::Failed && IsReply &&
        !headerValue(Result.m_Headers, m_World.headers().m_TargetSignature)
             .empty())
      m_Failure = std::move(Result);
    if (Race.isOver())
      end(Now);
  }

  std::vector<ServiceName> missingServices(TimePoint Now) const override {
    if (m_World.isServable(m_Options.m_Service, Now))
      return {};
    return {m_Options.m_Service};
  }

  void onTime(TimePoint Now) override {
    if (m_Lanes[0].m_Race.isOver() || Now >= m_Options.m_End)
      end(Now);
  }

  TimePoint nextTime(TimePoint) const override { return m_Options.m_End; }

private:
  void end(TimePoint Now) {
    const ReplicaRace &Race = m_Lanes[0].m_Race;
    // A target's own failure says more than ours would.
    if (m_Failure && m_Failure->m_Status >= 500) {
      answer(forwardReply(m_Failure->m_Status, m_Failure->m_Headers,
                          std::move(m_Failure->m_Body)),
             1, 0, Now);
      return;
    }
    const bool IsLate = Now >= m_Options.m_End || !Race.isOver();
    refuse(IsLate ? Errc::DeadlineExceeded : Race.reason(),
           "No target gave an answer to the request.", Now);
  }

  std::optional<LinkResult> m_Failure;
};

/** A search over shards. */
class SearchRun final : public RoutedRun {
public:
  SearchRun(RoutedWorld &World, HttpExchangePtr Exchange,
            RoutedRunOptions Options)
      : RoutedRun(World, std::move(Exchange), std::move(Options)),
        m_Rule({.m_LeastCoverage = route().m_Search->m_LeastCoverage,
                .m_OnTimeUntil = onTimeUntil(),
                .m_Deadline = m_Options.m_End}) {}

protected:
  CallOutcome classify(unsigned Status,
                       const HttpHeaders &Headers) const override {
    return classifyShardReply(Status, Headers, m_World.headers());
  }

  void onLaneEvent(std::size_t Index, LinkResult Result,
                   TimePoint Now) override {
    if (m_Lanes[Index].m_Race.isWon()) {
      m_Stamps.push_back(
          headerValue(Result.m_Headers, m_World.headers().m_TargetSignature));
      m_Parts.push_back(std::move(Result.m_Body));
    }
    onTime(Now);
  }

  std::vector<ServiceName> missingServices(TimePoint Now) const override {
    std::vector<ServiceName> Missing;
    const std::vector<ServiceName> &Shards = route().m_Search->m_Shards;
    for (const ServiceName &Shard : Shards)
      if (!m_World.isServable(Shard, Now))
        Missing.push_back(Shard);
    if (Shards.size() - Missing.size() >= m_Rule.leastShards(Shards.size()))
      Missing.clear();
    return Missing;
  }

  void onTime(TimePoint Now) override {
    switch (m_Rule.decide(progress(), Now)) {
    case SearchStep::Wait:
      break;
    case SearchStep::Answer:
      answerNow(Now);
      break;
    case SearchStep::Fail:
      fail(Now);
      break;
    }
  }

  TimePoint nextTime(TimePoint Now) const override {
    return m_Rule.nextTime(Now);
  }

private:
  SearchProgress progress() const {
    SearchProgress Out{.m_Shards = m_Lanes.size(),
                       .m_Answered = m_Parts.size()};
    for (const Lane &Each : m_Lanes)
      Out.m_Lost += Each.m_Race.isOver() && !Each.m_Race.isWon() ? 1 : 0;
    return Out;
  }

  void answerNow(TimePoint Now) {
    const std::vector<std::string_view> Parts(m_Parts.begin(), m_Parts.end());
    answer(
        searchResponse(mergeTopRecords(Parts, route().m_Search->m_TopRecords),
                       m_Stamps, m_Lanes.size() - m_Parts.size(),
                       m_Options.m_RequestId, m_World.headers()),
        m_Lanes.size(), m_Parts.size(), Now);
  }

  void fail(TimePoint Now) {
    std::error_code Reason = Errc::DeadlineExceeded;
    for (const Lane &Each : m_Lanes)
      if (Now < m_Options.m_End && Each.m_Race.isOver() && !Each.m_Race.isWon())
        Reason = Each.m_Race.reason();
    refuse(Reason,
           "Too few shards answered for the coverage that the route asks for.",
           Now);
  }

  CoverageRule m_Rule;
  std::vector<std::string> m_Stamps;
  std::vector<std::string> m_Parts;
};

} // namespace

void startRoutedRun(RoutedWorld &World, const HttpExchangePtr &Exchange,
                    RoutedRunOptions Options, TimePoint Now) {
  std::shared_ptr<RoutedRun> Run;
  if (Options.m_Route->m_Search)
    Run = std::make_shared<SearchRun>(World, Exchange, std::move(Options));
  else
    Run = std::make_shared<PlainRun>(World, Exchange, std::move(Options));
  Run->start(Now);
}

} // namespace figturn
