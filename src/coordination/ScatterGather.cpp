#include "coordination/ScatterGather.h"

#include "state/Assert.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figturn {

namespace {

bool isExtraLoad(CallKind Kind) {
  return Kind == CallKind::Hedge || Kind == CallKind::Retry;
}

bool hasFiniteScores(const std::vector<Hit> &Hits) {
  return std::all_of(Hits.begin(), Hits.end(), [](const Hit &Each) {
    return std::isfinite(Each.m_Score);
  });
}

} // namespace

ScatterGather::ScatterGather(ScatterGatherOptions Options,
                             ScatterGatherStrategies Strategies)
    : m_Options(std::move(Options)), m_Strategies(Strategies),
      m_Merger(m_Options.m_Limit) {
  const IndexSnapshot &Snapshot = *m_Options.m_Snapshot;
  m_Shards.reserve(m_Options.m_OnlyShard ? 1 : Snapshot.m_Shards.size());
  for (const ShardInfo &Info : Snapshot.m_Shards) {
    if (m_Options.m_OnlyShard && Info.m_Shard != *m_Options.m_OnlyShard)
      continue;
    Shard Asked;
    Asked.m_Info = &Info;
    m_Shards.push_back(Asked);
    m_Coverage.m_DocumentsTotal += Info.m_Documents;
  }
  m_Coverage.m_ShardsTotal = static_cast<std::uint32_t>(m_Shards.size());
  m_Unsettled = m_Shards.size();
  if (m_Shards.empty())
    m_LastError = Errc::NoTarget;
}

QueryActions ScatterGather::start(TimePoint Now) {
  QueryActions Actions;
  Actions.reserve(m_Shards.size());
  m_Calls.reserve(m_Shards.size() + m_Shards.size() / 4);
  m_FirstId = m_Strategies.m_Ids.reserve(m_Shards.size() * MaxCallsPerShard);
  m_HedgeDelay = m_Strategies.m_Hedge.delay(Now);
  m_CanaryPending = m_Options.m_Canary;
  if (Now >= m_Options.m_Deadline) {
    m_LastError = Errc::DeadlineExceeded;
    finish(Actions);
    return Actions;
  }
  sendAllowed(Actions, Now);
  return Actions;
}

QueryActions ScatterGather::onReply(CallId Id, CallOutcome Outcome,
                                    TimePoint Now) {
  QueryActions Actions;
  auto *Answered = std::get_if<CallAnswered>(&Outcome);
  const std::uint64_t CallIndex = Id.value() - m_FirstId.value();
  if (CallIndex >= m_Calls.size() || !m_Calls[CallIndex].m_Outstanding) {
    if (Answered)
      ++m_Counts.m_LateReplies;
    return Actions;
  }
  const Call Ended = m_Calls[CallIndex];
  endCall(static_cast<std::uint32_t>(CallIndex));
  if (Now >= m_Options.m_Deadline) {
    // The deadline's timer is late; this reply is later than the deadline.
    m_AnyByteSent = true;
    m_Counts.m_LateReplies += Answered ? 1 : 0;
    m_LastError = Errc::DeadlineExceeded;
    finish(Actions);
    return Actions;
  }
  if (!Answered) {
    acceptFailure(Id, Ended, std::get<CallFailed>(Outcome), Actions, Now);
  } else if (isOfSnapshot(m_Shards[Ended.m_Shard], *Answered)) {
    acceptAnswer(Ended.m_Shard, *Answered, Actions, Now);
  } else {
    ++m_Counts.m_BadReplies;
    acceptFailure(Id, Ended, {.m_Error = Errc::BadReply}, Actions, Now);
  }
  finishIfSettled(Actions);
  return Actions;
}

QueryActions ScatterGather::onTimer(TimePoint Now) {
  QueryActions Actions;
  if (m_Over)
    return Actions;
  if (Now >= m_Options.m_Deadline) {
    m_LastError = Errc::DeadlineExceeded;
    finish(Actions);
    return Actions;
  }
  while (!m_RetryTimers.empty() && m_RetryTimers.front().m_At <= Now) {
    const std::uint32_t Index = m_RetryTimers.front().m_Shard;
    m_RetryTimers.pop_front();
    resume(Index, Actions, Now);
  }
  while (!m_HedgeTimers.empty() && m_HedgeTimers.front().m_At <= Now) {
    const ShardTimer Due = m_HedgeTimers.front();
    m_HedgeTimers.pop_front();
    hedge(Due, Actions, Now);
  }
  finishIfSettled(Actions);
  return Actions;
}

std::optional<TimePoint> ScatterGather::nextTimer() const {
  if (m_Over)
    return std::nullopt;
  TimePoint Next = m_Options.m_Deadline;
  if (!m_RetryTimers.empty())
    Next = std::min(Next, m_RetryTimers.front().m_At);
  if (!m_HedgeTimers.empty())
    Next = std::min(Next, m_HedgeTimers.front().m_At);
  return Next;
}

QueryActions ScatterGather::onCallerDisconnect(TimePoint) {
  return cancelAll();
}

QueryActions ScatterGather::supersede(TimePoint) { return cancelAll(); }

QueryActions ScatterGather::declineRestart(TimePoint Now) {
  QueryActions Actions;
  if (m_Over)
    return Actions;
  m_Options.m_MayRestart = false;
  m_RestartAsked = false;
  for (Shard &Each : m_Shards)
    if (Each.m_Need == Need::Restart)
      settle(Each, false);
  if (m_CanaryPending)
    sendCanary(Actions, Now);
  finishIfSettled(Actions);
  return Actions;
}

void ScatterGather::sendAllowed(QueryActions &Actions, TimePoint Now) {
  if (m_CanaryPending)
    sendCanary(Actions, Now);
  else
    sendWaiting(Actions, Now);
  finishIfSettled(Actions);
}

QueryActions ScatterGather::onCanaryPermission(TimePoint Now) {
  QueryActions Actions;
  if (m_Over || !m_Held)
    return Actions;
  m_Held = false;
  sendAllowed(Actions, Now);
  return Actions;
}

QueryActions ScatterGather::onCanaryDenied(Refusal Reason, TimePoint) {
  if (m_Over)
    return {};
  QueryActions Actions = cancelAll();
  Actions.push_back(Finish{std::move(Reason)});
  return Actions;
}

/** Sends for each shard that waits for a call and for no timer. */
void ScatterGather::sendWaiting(QueryActions &Actions, TimePoint Now) {
  for (std::uint32_t Index = 0; Index < m_Shards.size(); ++Index)
    if (!m_Shards[Index].m_Paused)
      sendNeeded(Index, Actions, Now);
}

/** Sends the canary for the first shard that is not given up. */
void ScatterGather::sendCanary(QueryActions &Actions, TimePoint Now) {
  for (std::uint32_t Index = 0; Index < m_Shards.size(); ++Index) {
    if (m_Shards[Index].m_Settled)
      continue;
    if (!m_Shards[Index].m_Paused)
      sendNeeded(Index, Actions, Now);
    if (!m_Shards[Index].m_Settled)
      return;
  }
}

/** Another shard's call becomes the canary if \p Index is given up. */
void ScatterGather::moveCanary(std::uint32_t Index, QueryActions &Actions,
                               TimePoint Now) {
  if (m_CanaryPending && m_Shards[Index].m_Settled)
    sendCanary(Actions, Now);
}

/** Sends the call that the shard needs, or sees to it that it is later. */
void ScatterGather::sendNeeded(std::uint32_t Index, QueryActions &Actions,
                               TimePoint Now) {
  Shard &Asked = m_Shards[Index];
  const bool WantsCall =
      Asked.m_Need == Need::First || Asked.m_Need == Need::Retry;
  if (m_Held || !WantsCall)
    return;
  const CallKind Kind =
      Asked.m_Need == Need::First ? CallKind::First : CallKind::Retry;
  if (trySend(Index, Kind, Actions, Now))
    return;
  if (Asked.m_Lacking.any() && mayRestart(Now)) {
    askRestart(Index, Actions);
    return;
  }
  pauseOrGiveUp(Index, Now);
}

/** Sends a call to a replica that wasn't tried yet, if there is one. */
bool ScatterGather::trySend(std::uint32_t Index, CallKind Kind,
                            QueryActions &Actions, TimePoint Now) {
  Shard &Asked = m_Shards[Index];
  if (Asked.m_CallCount == MaxCallsPerShard)
    return false;
  const bool IsExtra = isExtraLoad(Kind);
  if (IsExtra && !m_Strategies.m_Budget.trySpend())
    return false;
  const std::optional<std::size_t> Replica = m_Strategies.m_Chooser.choose(
      *Asked.m_Info, Asked.m_Tried | Asked.m_Lacking, Kind, Now);
  if (!Replica) {
    if (IsExtra)
      m_Strategies.m_Budget.refund();
    return false;
  }
  if (Asked.m_CallCount == 0)
    m_Strategies.m_Budget.earn(1);
  m_Counts.m_FirstCalls += Kind == CallKind::First ? 1 : 0;
  m_Counts.m_Hedges += Kind == CallKind::Hedge ? 1 : 0;
  m_Counts.m_Retries += Kind == CallKind::Retry ? 1 : 0;

  const auto CallIndex = static_cast<std::uint32_t>(m_Calls.size());
  m_Calls.push_back(
      {.m_Shard = Index, .m_Replica = static_cast<std::uint32_t>(*Replica)});
  Asked.m_Tried.set(*Replica);
  Asked.m_Outstanding[Asked.m_OutstandingCount] = CallIndex;
  ++Asked.m_OutstandingCount;
  ++Asked.m_CallCount;
  Asked.m_Need = Need::None;
  // A canary is alone by purpose, so it isn't hedged.
  if (m_HedgeDelay && Kind != CallKind::Hedge && !m_CanaryPending)
    m_HedgeTimers.push_back(
        {.m_At = Now + *m_HedgeDelay, .m_Shard = Index, .m_Call = CallIndex});
  Actions.push_back(
      SendCall{.m_Call = idOf(CallIndex),
               .m_Shard = Asked.m_Info->m_Shard,
               .m_Target = Asked.m_Info->m_Replicas[*Replica],
               .m_Version = m_Options.m_Snapshot->m_Version,
               .m_Kind = m_CanaryPending ? CallKind::Canary : Kind});
  return true;
}

void ScatterGather::pauseOrGiveUp(std::uint32_t Index, TimePoint Now) {
  Shard &Asked = m_Shards[Index];
  const std::size_t Replicas =
      std::min(Asked.m_Info->m_Replicas.size(), Asked.m_Lacking.size());
  const bool IsHopeless = Asked.m_Lacking.count() >= Replicas ||
                          Asked.m_CallCount == MaxCallsPerShard ||
                          Asked.m_PauseCount == m_Options.m_MaxRetryPauses;
  if (!IsHopeless) {
    ++Asked.m_PauseCount;
    Asked.m_Paused = true;
    m_RetryTimers.push_back(
        {.m_At = Now + m_Options.m_RetryPause, .m_Shard = Index});
    return;
  }
  settle(Asked, false);
}

/** The shard's pause is over: all replicas but the lacking ones are open. */
void ScatterGather::resume(std::uint32_t Index, QueryActions &Actions,
                           TimePoint Now) {
  Shard &Asked = m_Shards[Index];
  Asked.m_Paused = false;
  Asked.m_Tried.reset();
  sendNeeded(Index, Actions, Now);
  moveCanary(Index, Actions, Now);
}

void ScatterGather::hedge(const ShardTimer &Timer, QueryActions &Actions,
                          TimePoint Now) {
  const bool IsSlow = m_Calls[Timer.m_Call].m_Outstanding;
  if (m_Held || !IsSlow || m_Shards[Timer.m_Shard].m_OutstandingCount != 1)
    return;
  trySend(Timer.m_Shard, CallKind::Hedge, Actions, Now);
}

void ScatterGather::acceptAnswer(std::uint32_t Index, CallAnswered &Answered,
                                 QueryActions &Actions, TimePoint Now) {
  Shard &Asked = m_Shards[Index];
  ++m_Coverage.m_ShardsAnswered;
  m_Coverage.m_DocumentsAnswered += Asked.m_Info->m_Documents;
  m_Merger.add(std::move(Answered.m_Hits));
  cancelOutstanding(Asked, Actions);
  settle(Asked, true);
  if (!m_CanaryPending)
    return;
  m_CanaryPending = false;
  sendWaiting(Actions, Now);
}

void ScatterGather::acceptFailure(CallId Id, const Call &Ended,
                                  const CallFailed &Failure,
                                  QueryActions &Actions, TimePoint Now) {
  Shard &Asked = m_Shards[Ended.m_Shard];
  Asked.m_LastError = Failure.m_Error;
  const bool IsNotHeld = Failure.m_Error == Errc::VersionNotHeld;
  const bool IsFree = IsNotHeld || Failure.m_Verdict == RunVerdict::NotRun;
  m_AnyByteSent = m_AnyByteSent || Failure.m_Verdict != RunVerdict::NotRun;
  if (IsNotHeld)
    Asked.m_Lacking.set(Ended.m_Replica);
  if (Failure.m_Crashed) {
    m_Held = true;
    Actions.push_back(ReportCrash{
        .m_Call = Id, .m_Target = Asked.m_Info->m_Replicas[Ended.m_Replica]});
  }
  if (Asked.m_OutstandingCount > 0)
    return; // Its other call may still answer.
  if (Failure.m_Error == Errc::BadRequest) {
    settle(Asked, false); // Each replica would say the same.
    moveCanary(Ended.m_Shard, Actions, Now);
    return;
  }
  Asked.m_Need = IsFree ? Need::First : Need::Retry;
  sendNeeded(Ended.m_Shard, Actions, Now);
  moveCanary(Ended.m_Shard, Actions, Now);
}

bool ScatterGather::isOfSnapshot(const Shard &Asked,
                                 const CallAnswered &Answered) const {
  const ShardInfo &Info = *Asked.m_Info;
  return Answered.m_Version == m_Options.m_Snapshot->m_Version &&
         Answered.m_Shard == Info.m_Shard &&
         Answered.m_Documents.value_or(Info.m_Documents) == Info.m_Documents &&
         hasFiniteScores(Answered.m_Hits);
}

bool ScatterGather::mayRestart(TimePoint Now) const {
  return m_Options.m_MayRestart &&
         (m_RestartAsked ||
          Now + m_Options.m_RestartReserve <= m_Options.m_Deadline);
}

void ScatterGather::askRestart(std::uint32_t Index, QueryActions &Actions) {
  m_Shards[Index].m_Need = Need::Restart;
  if (m_RestartAsked)
    return;
  m_RestartAsked = true;
  Actions.push_back(RestartAt{m_Options.m_Snapshot->m_Version});
}

/** Nothing more is done for the shard, which is covered or given up. */
void ScatterGather::settle(Shard &Ended, bool IsCovered) {
  Ended.m_Settled = true;
  Ended.m_Need = Need::None;
  --m_Unsettled;
  if (!IsCovered)
    m_LastError = Ended.m_LastError ? Ended.m_LastError : Errc::NoTarget;
}

void ScatterGather::endCall(std::uint32_t CallIndex) {
  Call &Ended = m_Calls[CallIndex];
  Ended.m_Outstanding = false;
  Shard &Of = m_Shards[Ended.m_Shard];
  for (std::size_t I = 0; I < Of.m_OutstandingCount; ++I) {
    if (Of.m_Outstanding[I] != CallIndex)
      continue;
    --Of.m_OutstandingCount;
    Of.m_Outstanding[I] = Of.m_Outstanding[Of.m_OutstandingCount];
    return;
  }
}

void ScatterGather::cancelOutstanding(Shard &Of, QueryActions &Actions) {
  for (std::size_t I = 0; I < Of.m_OutstandingCount; ++I) {
    m_Calls[Of.m_Outstanding[I]].m_Outstanding = false;
    Actions.push_back(CancelCall{idOf(Of.m_Outstanding[I])});
    m_AnyByteSent = true;
  }
  Of.m_OutstandingCount = 0;
}

/** Ends the query without a Finish. */
QueryActions ScatterGather::cancelAll() {
  QueryActions Actions;
  if (m_Over)
    return Actions;
  m_Over = true;
  for (Shard &Each : m_Shards)
    cancelOutstanding(Each, Actions);
  return Actions;
}

void ScatterGather::finishIfSettled(QueryActions &Actions) {
  if (!m_Over && m_Unsettled == 0)
    finish(Actions);
}

void ScatterGather::finish(QueryActions &Actions) {
  QueryActions Cancels = cancelAll();
  Actions.insert(Actions.end(), Cancels.begin(), Cancels.end());
  Actions.push_back(Finish{makeAnswer()});
}

QueryAnswer ScatterGather::makeAnswer() {
  QueryAnswer Result;
  Result.m_Version = m_Options.m_Snapshot->m_Version;
  Result.m_Coverage = m_Coverage;
  Result.m_Hits = m_Merger.take();
  if (!m_Coverage.isComplete() || m_Shards.empty())
    Result.m_Incomplete = m_LastError;
  if (m_Coverage.m_ShardsAnswered == 0)
    Result.m_Verdict =
        m_AnyByteSent ? RunVerdict::MayHaveRun : RunVerdict::NotRun;
  return Result;
}

CallId ScatterGather::idOf(std::uint32_t CallIndex) const {
  return CallId(m_FirstId.value() + CallIndex);
}

} // namespace figturn
