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
  return std::all_of(Hits.begin(), Hits.end(), [](const Hit &Match) {
    return std::isfinite(Match.m_Score);
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
    Shard Entry;
    Entry.m_Info = &Info;
    m_Shards.push_back(Entry);
    m_Coverage.m_DocumentsTotal += Info.m_Documents;
  }
  m_Coverage.m_ShardsTotal = static_cast<std::uint32_t>(m_Shards.size());
  m_UnsettledShards = m_Shards.size();
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
  sendPermitted(Actions, Now);
  return Actions;
}

QueryActions ScatterGather::onReply(CallId Id, QueryCallOutcome Outcome,
                                    TimePoint Now) {
  QueryActions Actions;
  auto *Answered = std::get_if<CallAnswered>(&Outcome);
  const std::uint64_t CallIndex = Id.value() - m_FirstId.value();
  if (CallIndex >= m_Calls.size() || !m_Calls[CallIndex].m_Outstanding) {
    if (Answered)
      ++m_Counts.m_LateReplies;
    return Actions;
  }
  const Call EndedCall = m_Calls[CallIndex];
  endCall(static_cast<std::uint32_t>(CallIndex));
  if (Now >= m_Options.m_Deadline) {
    // The reply arrived after the deadline, but before the deadline timer ran.
    m_AnyByteSent = true;
    m_Counts.m_LateReplies += Answered ? 1 : 0;
    m_LastError = Errc::DeadlineExceeded;
    finish(Actions);
    return Actions;
  }
  if (!Answered) {
    acceptFailure(Id, EndedCall, std::get<CallFailed>(Outcome), Actions, Now);
  } else if (matchesSnapshot(m_Shards[EndedCall.m_Shard], *Answered)) {
    acceptAnswer(EndedCall.m_Shard, *Answered, Actions, Now);
  } else {
    ++m_Counts.m_BadReplies;
    acceptFailure(Id, EndedCall, {.m_Error = Errc::BadReply}, Actions, Now);
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
  while (!m_RetryTimers.empty() && m_RetryTimers.front().m_DueTime <= Now) {
    const std::uint32_t Index = m_RetryTimers.front().m_Shard;
    m_RetryTimers.pop_front();
    resume(Index, Actions, Now);
  }
  while (!m_HedgeTimers.empty() && m_HedgeTimers.front().m_DueTime <= Now) {
    const ShardTimer DueTimer = m_HedgeTimers.front();
    m_HedgeTimers.pop_front();
    hedge(DueTimer, Actions, Now);
  }
  finishIfSettled(Actions);
  return Actions;
}

std::optional<TimePoint> ScatterGather::nextTimer() const {
  if (m_Over)
    return std::nullopt;
  TimePoint Next = m_Options.m_Deadline;
  if (!m_RetryTimers.empty())
    Next = std::min(Next, m_RetryTimers.front().m_DueTime);
  if (!m_HedgeTimers.empty())
    Next = std::min(Next, m_HedgeTimers.front().m_DueTime);
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
  m_RestartRequested = false;
  for (Shard &Entry : m_Shards)
    if (Entry.m_NextStep == NextStep::Restart)
      settle(Entry, false);
  if (m_CanaryPending)
    sendCanary(Actions, Now);
  finishIfSettled(Actions);
  return Actions;
}

void ScatterGather::sendPermitted(QueryActions &Actions, TimePoint Now) {
  if (m_CanaryPending)
    sendCanary(Actions, Now);
  else
    sendPendingShards(Actions, Now);
  finishIfSettled(Actions);
}

QueryActions ScatterGather::onCanaryPermission(TimePoint Now) {
  QueryActions Actions;
  if (m_Over || !m_Suspended)
    return Actions;
  m_Suspended = false;
  sendPermitted(Actions, Now);
  return Actions;
}

QueryActions ScatterGather::onCanaryDenied(Refusal Reason, TimePoint) {
  if (m_Over)
    return {};
  QueryActions Actions = cancelAll();
  Actions.push_back(Finish{std::move(Reason)});
  return Actions;
}

/** Sends the next call of each shard that isn't waiting for a timer. */
void ScatterGather::sendPendingShards(QueryActions &Actions, TimePoint Now) {
  for (std::uint32_t Index = 0; Index < m_Shards.size(); ++Index)
    if (!m_Shards[Index].m_BackingOff)
      sendNextCall(Index, Actions, Now);
}

/** Sends the canary to the first shard that hasn't been given up. */
void ScatterGather::sendCanary(QueryActions &Actions, TimePoint Now) {
  for (std::uint32_t Index = 0; Index < m_Shards.size(); ++Index) {
    if (m_Shards[Index].m_Settled)
      continue;
    if (!m_Shards[Index].m_BackingOff)
      sendNextCall(Index, Actions, Now);
    if (!m_Shards[Index].m_Settled)
      return;
  }
}

/** Sends the canary to another shard if \p Index has been given up. */
void ScatterGather::reassignCanary(std::uint32_t Index, QueryActions &Actions,
                                   TimePoint Now) {
  if (m_CanaryPending && m_Shards[Index].m_Settled)
    sendCanary(Actions, Now);
}

/** Sends the shard's next call, or schedules a retry. */
void ScatterGather::sendNextCall(std::uint32_t Index, QueryActions &Actions,
                                 TimePoint Now) {
  Shard &Entry = m_Shards[Index];
  const bool WantsCall = Entry.m_NextStep == NextStep::First ||
                         Entry.m_NextStep == NextStep::Retry;
  if (m_Suspended || !WantsCall)
    return;
  const CallKind Kind =
      Entry.m_NextStep == NextStep::First ? CallKind::First : CallKind::Retry;
  if (trySend(Index, Kind, Actions, Now))
    return;
  if (Entry.m_VersionNotHeld.any() && canRestart(Now)) {
    requestRestart(Index, Actions);
    return;
  }
  backOffOrGiveUp(Index, Now);
}

/** Sends a call to a replica that hasn't been tried yet, if there is one. */
bool ScatterGather::trySend(std::uint32_t Index, CallKind Kind,
                            QueryActions &Actions, TimePoint Now) {
  Shard &Entry = m_Shards[Index];
  if (Entry.m_CallCount == MaxCallsPerShard)
    return false;
  const bool IsExtra = isExtraLoad(Kind);
  if (IsExtra && !m_Strategies.m_Budget.tryAcquire())
    return false;
  const std::optional<std::size_t> Replica = m_Strategies.m_Chooser.choose(
      *Entry.m_Info, Entry.m_TriedReplicas | Entry.m_VersionNotHeld, Kind, Now);
  if (!Replica) {
    if (IsExtra)
      m_Strategies.m_Budget.release();
    return false;
  }
  if (Entry.m_CallCount == 0)
    m_Strategies.m_Budget.recordFirstCalls(1);
  m_Counts.m_FirstCalls += Kind == CallKind::First ? 1 : 0;
  m_Counts.m_Hedges += Kind == CallKind::Hedge ? 1 : 0;
  m_Counts.m_Retries += Kind == CallKind::Retry ? 1 : 0;

  const auto CallIndex = static_cast<std::uint32_t>(m_Calls.size());
  m_Calls.push_back(
      {.m_Shard = Index, .m_Replica = static_cast<std::uint32_t>(*Replica)});
  Entry.m_TriedReplicas.set(*Replica);
  Entry.m_Outstanding[Entry.m_OutstandingCount] = CallIndex;
  ++Entry.m_OutstandingCount;
  ++Entry.m_CallCount;
  Entry.m_NextStep = NextStep::None;
  // Canaries aren't hedged: at most one replica may be exposed to the query.
  if (m_HedgeDelay && Kind != CallKind::Hedge && !m_CanaryPending)
    m_HedgeTimers.push_back({.m_DueTime = Now + *m_HedgeDelay,
                             .m_Shard = Index,
                             .m_Call = CallIndex});
  Actions.push_back(
      SendCall{.m_Call = callIdAt(CallIndex),
               .m_Shard = Entry.m_Info->m_Shard,
               .m_Target = Entry.m_Info->m_Replicas[*Replica],
               .m_Version = m_Options.m_Snapshot->m_Version,
               .m_Kind = m_CanaryPending ? CallKind::Canary : Kind});
  return true;
}

void ScatterGather::backOffOrGiveUp(std::uint32_t Index, TimePoint Now) {
  Shard &Entry = m_Shards[Index];
  const std::size_t Replicas =
      std::min(Entry.m_Info->m_Replicas.size(), Entry.m_VersionNotHeld.size());
  const bool IsExhausted =
      Entry.m_VersionNotHeld.count() >= Replicas ||
      Entry.m_CallCount == MaxCallsPerShard ||
      Entry.m_RetryRoundCount == m_Options.m_MaxRetryRounds;
  if (!IsExhausted) {
    ++Entry.m_RetryRoundCount;
    Entry.m_BackingOff = true;
    m_RetryTimers.push_back(
        {.m_DueTime = Now + m_Options.m_RetryDelay, .m_Shard = Index});
    return;
  }
  settle(Entry, false);
}

/** Ends the retry delay: replicas that hold the version may be tried again. */
void ScatterGather::resume(std::uint32_t Index, QueryActions &Actions,
                           TimePoint Now) {
  Shard &Entry = m_Shards[Index];
  Entry.m_BackingOff = false;
  Entry.m_TriedReplicas.reset();
  sendNextCall(Index, Actions, Now);
  reassignCanary(Index, Actions, Now);
}

void ScatterGather::hedge(const ShardTimer &Timer, QueryActions &Actions,
                          TimePoint Now) {
  const bool IsSlow = m_Calls[Timer.m_Call].m_Outstanding;
  if (m_Suspended || !IsSlow || m_Shards[Timer.m_Shard].m_OutstandingCount != 1)
    return;
  trySend(Timer.m_Shard, CallKind::Hedge, Actions, Now);
}

void ScatterGather::acceptAnswer(std::uint32_t Index, CallAnswered &Answered,
                                 QueryActions &Actions, TimePoint Now) {
  Shard &Entry = m_Shards[Index];
  ++m_Coverage.m_ShardsAnswered;
  m_Coverage.m_DocumentsAnswered += Entry.m_Info->m_Documents;
  m_Merger.add(std::move(Answered.m_Hits));
  cancelOutstanding(Entry, Actions);
  settle(Entry, true);
  if (!m_CanaryPending)
    return;
  m_CanaryPending = false;
  sendPendingShards(Actions, Now);
}

void ScatterGather::acceptFailure(CallId Id, const Call &EndedCall,
                                  const CallFailed &Failure,
                                  QueryActions &Actions, TimePoint Now) {
  Shard &Entry = m_Shards[EndedCall.m_Shard];
  Entry.m_LastError = Failure.m_Error;
  const bool IsNotHeld = Failure.m_Error == Errc::VersionNotHeld;
  const bool IsFreeRetry = IsNotHeld || Failure.m_Verdict == RunVerdict::NotRun;
  m_AnyByteSent = m_AnyByteSent || Failure.m_Verdict != RunVerdict::NotRun;
  if (IsNotHeld)
    Entry.m_VersionNotHeld.set(EndedCall.m_Replica);
  if (Failure.m_Crashed) {
    m_Suspended = true;
    Actions.push_back(
        ReportCrash{.m_Call = Id,
                    .m_Target = Entry.m_Info->m_Replicas[EndedCall.m_Replica]});
  }
  if (Entry.m_OutstandingCount > 0)
    return; // The shard's other call may still succeed.
  if (Failure.m_Error == Errc::BadRequest) {
    settle(Entry, false); // Every replica would reject the request.
    reassignCanary(EndedCall.m_Shard, Actions, Now);
    return;
  }
  Entry.m_NextStep = IsFreeRetry ? NextStep::First : NextStep::Retry;
  sendNextCall(EndedCall.m_Shard, Actions, Now);
  reassignCanary(EndedCall.m_Shard, Actions, Now);
}

bool ScatterGather::matchesSnapshot(const Shard &Entry,
                                    const CallAnswered &Answered) const {
  const ShardInfo &Info = *Entry.m_Info;
  return Answered.m_Version == m_Options.m_Snapshot->m_Version &&
         Answered.m_Shard == Info.m_Shard &&
         Answered.m_Documents.value_or(Info.m_Documents) == Info.m_Documents &&
         hasFiniteScores(Answered.m_Hits);
}

bool ScatterGather::canRestart(TimePoint Now) const {
  return m_Options.m_MayRestart &&
         (m_RestartRequested ||
          Now + m_Options.m_MinRestartTime <= m_Options.m_Deadline);
}

void ScatterGather::requestRestart(std::uint32_t Index, QueryActions &Actions) {
  m_Shards[Index].m_NextStep = NextStep::Restart;
  if (m_RestartRequested)
    return;
  m_RestartRequested = true;
  Actions.push_back(RestartQuery{m_Options.m_Snapshot->m_Version});
}

/** Marks the shard as final, either covered or given up. */
void ScatterGather::settle(Shard &Entry, bool IsCovered) {
  Entry.m_Settled = true;
  Entry.m_NextStep = NextStep::None;
  --m_UnsettledShards;
  if (!IsCovered)
    m_LastError = Entry.m_LastError ? Entry.m_LastError : Errc::NoTarget;
}

void ScatterGather::endCall(std::uint32_t CallIndex) {
  Call &EndedCall = m_Calls[CallIndex];
  EndedCall.m_Outstanding = false;
  Shard &Entry = m_Shards[EndedCall.m_Shard];
  for (std::size_t I = 0; I < Entry.m_OutstandingCount; ++I) {
    if (Entry.m_Outstanding[I] != CallIndex)
      continue;
    --Entry.m_OutstandingCount;
    Entry.m_Outstanding[I] = Entry.m_Outstanding[Entry.m_OutstandingCount];
    return;
  }
}

void ScatterGather::cancelOutstanding(Shard &Entry, QueryActions &Actions) {
  for (std::size_t I = 0; I < Entry.m_OutstandingCount; ++I) {
    m_Calls[Entry.m_Outstanding[I]].m_Outstanding = false;
    Actions.push_back(CancelCall{callIdAt(Entry.m_Outstanding[I])});
    m_AnyByteSent = true;
  }
  Entry.m_OutstandingCount = 0;
}

/** Ends the query without a Finish. */
QueryActions ScatterGather::cancelAll() {
  QueryActions Actions;
  if (m_Over)
    return Actions;
  m_Over = true;
  for (Shard &Entry : m_Shards)
    cancelOutstanding(Entry, Actions);
  return Actions;
}

void ScatterGather::finishIfSettled(QueryActions &Actions) {
  if (!m_Over && m_UnsettledShards == 0)
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
    Result.m_IncompleteReason = m_LastError;
  if (m_Coverage.m_ShardsAnswered == 0)
    Result.m_Verdict =
        m_AnyByteSent ? RunVerdict::MayHaveRun : RunVerdict::NotRun;
  return Result;
}

CallId ScatterGather::callIdAt(std::uint32_t CallIndex) const {
  return CallId(m_FirstId.value() + CallIndex);
}

} // namespace figturn
