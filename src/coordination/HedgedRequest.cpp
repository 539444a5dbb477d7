#include "coordination/HedgedRequest.h"

#include <utility>

namespace figturn {

namespace {

bool reachedTarget(CallOutcome Outcome) {
  return Outcome != CallOutcome::NotSent && Outcome != CallOutcome::Misdirected;
}

bool mayHaveRun(CallOutcome Outcome) {
  return reachedTarget(Outcome) && Outcome != CallOutcome::Refused;
}

std::error_code reasonFor(CallOutcome Outcome) {
  switch (Outcome) {
  case CallOutcome::Refused:
    return Errc::TargetShed;
  case CallOutcome::Failed:
    return Errc::TargetFailed;
  case CallOutcome::Unanswered:
    return Errc::DeadlineExceeded;
  case CallOutcome::Lost:
    return Errc::ConnectionClosed;
  case CallOutcome::Abandoned:
    return Errc::Cancelled;
  default:
    return Errc::ConnectFailed;
  }
}

} // namespace

std::string_view sendKindName(SendKind Kind) {
  switch (Kind) {
  case SendKind::First:
    return "first";
  case SendKind::Hedge:
    return "hedge";
  case SendKind::Retry:
    return "retry";
  }
  return "";
}

std::optional<HedgedSend> HedgedRequest::start(HedgedRequestContext &Context,
                                               TimePoint Now) {
  auto First = send(SendKind::First, Context, Now);
  if (!First)
    fail(Errc::NoTarget);
  return First;
}

std::optional<HedgedSend> HedgedRequest::send(SendKind Kind,
                                              HedgedRequestContext &Context,
                                              TimePoint Now) {
  if (Now > m_Options.m_LastSendTime)
    return std::nullopt;
  TargetPtr Chosen = Context.choose(m_Options.m_Service, m_Options.m_Kind,
                                    m_TriedTargets, Now);
  if (!Chosen)
    return std::nullopt;
  m_TriedTargets.push_back(Chosen);
  ++m_Sends;
  ++m_Outstanding;
  return HedgedSend{.m_Target = std::move(Chosen), .m_Kind = Kind};
}

std::optional<HedgedSend>
HedgedRequest::onOutcome(const TargetPtr &, CallOutcome Outcome,
                         HedgedRequestContext &Context, TimePoint Now,
                         bool MayRepeat) {
  --m_Outstanding;
  if (isOver())
    return std::nullopt;
  if (Outcome == CallOutcome::Answered) {
    m_Answered = true;
    m_Verdict = RunVerdict::Ran;
    return std::nullopt;
  }
  m_Reason = reasonFor(Outcome);
  if (!reachedTarget(Outcome)) {
    --m_Sends;
    ++m_UnsentAttempts;
  }
  if (mayHaveRun(Outcome))
    m_Verdict = RunVerdict::MayHaveRun;
  const bool IsRepeatable = m_Options.m_Kind == RouteKind::Idempotent ||
                            m_Verdict == RunVerdict::NotRun;
  if (IsRepeatable && !MayRepeat) {
    m_HasDeferredRetry = true;
    return std::nullopt;
  }
  std::optional<HedgedSend> Next;
  if (IsRepeatable && Outcome != CallOutcome::Abandoned)
    Next = retry(Outcome != CallOutcome::NotSent, Context, Now);
  if (!Next && m_Outstanding == 0)
    fail(m_Reason);
  return Next;
}

std::optional<HedgedSend>
HedgedRequest::sendDeferredRetry(HedgedRequestContext &Context, TimePoint Now) {
  if (isOver() || !std::exchange(m_HasDeferredRetry, false))
    return std::nullopt;
  auto Next = retry(true, Context, Now);
  if (!Next && m_Outstanding == 0)
    fail(m_Reason);
  return Next;
}

void HedgedRequest::cancelDeferredRetry() {
  if (!isOver() && std::exchange(m_HasDeferredRetry, false) &&
      m_Outstanding == 0)
    fail(m_Reason);
}

std::optional<HedgedSend> HedgedRequest::retry(bool IsBudgeted,
                                               HedgedRequestContext &Context,
                                               TimePoint Now) {
  if (m_Sends >= m_Options.m_MaxSends || m_UnsentAttempts > MaxUnsentAttempts)
    return std::nullopt;
  // A call that replaces one that was not sent is not an extra call.
  if (IsBudgeted &&
      !Context.acquireExtraCall(m_Options.m_Service, SendKind::Retry))
    return std::nullopt;
  auto Next = send(SendKind::Retry, Context, Now);
  if (!Next && IsBudgeted)
    Context.releaseExtraCall(m_Options.m_Service);
  return Next;
}

std::optional<TimePoint> HedgedRequest::hedgeTime() const {
  if (isOver() || m_Hedged || m_HasDeferredRetry ||
      m_Options.m_Kind == RouteKind::SingleRun ||
      m_Sends >= m_Options.m_MaxSends ||
      m_Options.m_HedgeTime > m_Options.m_LastSendTime ||
      m_Options.m_HedgeTime == TimePoint::max())
    return std::nullopt;
  return m_Options.m_HedgeTime;
}

std::optional<HedgedSend>
HedgedRequest::onHedgeTimer(HedgedRequestContext &Context, TimePoint Now) {
  if (!hedgeTime())
    return std::nullopt;
  m_Options.m_HedgeTime = Now + m_Options.m_HedgeRetryDelay;
  if (!Context.acquireExtraCall(m_Options.m_Service, SendKind::Hedge))
    return std::nullopt;
  auto Next = send(SendKind::Hedge, Context, Now);
  if (!Next)
    Context.releaseExtraCall(m_Options.m_Service);
  m_Hedged = Next.has_value();
  return Next;
}

void HedgedRequest::fail(std::error_code Reason) {
  m_Failed = true;
  m_Reason = Reason;
}

} // namespace figturn
