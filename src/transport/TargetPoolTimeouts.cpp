#include "state/Errc.h"
#include "state/Event.h"
#include "transport/TargetPoolImpl.h"

#include <algorithm>
#include <utility>

namespace figturn {

namespace {

/** Time to wait for a late reply or for the reply to a cancellation, in silence
 *  thresholds. */
constexpr int LateReplyFactor = 4;

} // namespace

// Timeouts.

void TargetPool::Impl::onTimer() {
  const TimePoint Now = Clock::now();
  endExpiredCalls(Now);
  endLateWrites(Now);
  closeExpiredConnections(Now);
  checkSilentConnections(Now);
  processQueues();
}

void TargetPool::Impl::endExpiredCalls(TimePoint Now) {
  std::vector<CallId> Expired;
  for (const auto &[Id, Record] : m_Calls)
    if (Record.m_Call.m_Deadline <= Now)
      Expired.push_back(Id);
  bool ShouldProbe = false;
  for (const CallId Id : Expired) {
    const PooledConnection *Pooled = m_Calls.at(Id).m_AssignedConnection;
    // Deadlines may be shorter than the threshold. Probing on an expired
    // deadline detects the silence before further calls fail.
    ShouldProbe =
        ShouldProbe ||
        (Pooled && !Pooled->m_Connection->hasPartialReply() &&
         m_LastWorkingOpenedAt <= Pooled->m_Connection->lastProgress());
    endCallEarly(Id, Errc::DeadlineExceeded);
  }
  if (ShouldProbe)
    startProbe(Now);
}

void TargetPool::Impl::endLateWrites(TimePoint Now) {
  if (Now < m_WritesUntil)
    return;
  std::vector<PooledConnection *> Unwritten;
  for (const auto &Each : m_Connections)
    if (Each->m_Connection->isConnected() &&
        Each->m_Connection->hasUnsentBytes())
      Unwritten.push_back(Each.get());
  for (PooledConnection *Each : Unwritten) {
    if (Each->m_State == ConnectionState::Call)
      failCall(Each->m_Call, Errc::TargetLeft, RunVerdict::MayHaveRun);
    Each->m_Connection->reset();
    removeConnection(*Each);
  }
}

void TargetPool::Impl::closeExpiredConnections(TimePoint Now) {
  std::vector<PooledConnection *> Expired;
  for (const auto &Each : m_Connections)
    if (nextTimeout(*Each) <= Now)
      Expired.push_back(Each.get());
  for (PooledConnection *Each : Expired) {
    const ConnectionState PreviousState = Each->m_State;
    if (PreviousState == ConnectionState::Verifying) {
      retire(*Each);
      continue;
    }
    removeConnection(*Each);
    if (PreviousState == ConnectionState::Opening)
      handleOpenFailure(true);
  }
}

TimePoint TargetPool::Impl::nextTimeout(const PooledConnection &Pooled) const {
  switch (Pooled.m_State) {
  case ConnectionState::Opening:
    return Pooled.m_StateSince + m_Options.m_ConnectTimeout +
           (Pooled.m_Connection->isConnected() ? m_Options.m_ProbeTimeout
                                               : milliseconds(0));
  case ConnectionState::Idle:
    return Pooled.m_StateSince +
           std::min(m_Options.m_IdleTimeout, Pooled.m_KeepAliveTimeout.value_or(
                                                 m_Options.m_IdleTimeout));
  case ConnectionState::Abandoned:
    return abandonedExpiry(Pooled);
  case ConnectionState::Cancel:
    return Pooled.m_StateSince + LateReplyFactor * m_Options.m_SilenceThreshold;
  case ConnectionState::Verifying:
    return Pooled.m_StateSince + m_Options.m_ProbeTimeout;
  case ConnectionState::Call:
    break;
  }
  return TimePoint::max();
}

TimePoint
TargetPool::Impl::abandonedExpiry(const PooledConnection &Pooled) const {
  if (m_Options.m_ReplyGrace.count() == 0)
    return Pooled.m_StateSince + LateReplyFactor * m_Options.m_SilenceThreshold;
  return std::max(Pooled.m_ReplyDeadline, Pooled.m_StateSince) +
         m_Options.m_ReplyGrace;
}

void TargetPool::Impl::armTimer() {
  const TimePoint Now = Clock::now();
  TimePoint NextTimeout = TimePoint::max();
  const auto Consider = [&](TimePoint Time) {
    NextTimeout = std::min(NextTimeout, Time);
  };
  for (const auto &[Id, Record] : m_Calls)
    Consider(Record.m_Call.m_Deadline);
  for (const auto &Each : m_Connections) {
    Consider(nextTimeout(*Each));
    if (Each->m_State == ConnectionState::Opening ||
        Each->m_State == ConnectionState::Idle)
      continue;
    const TimePoint LastProgress = Each->m_Connection->lastProgress();
    const auto Threshold = m_Options.m_SilenceThreshold;
    for (const TimePoint Time :
         {LastProgress + Threshold, LastProgress + 2 * Threshold,
          Each->m_StateSince + Threshold, m_NextProbeAt})
      if (Time > Now)
        Consider(Time);
  }
  if (!m_WaitingCalls.empty() && m_NextOpenAt > Now)
    Consider(m_NextOpenAt);
  if (m_WritesUntil > Now)
    Consider(m_WritesUntil);
  if (NextTimeout == TimePoint::max()) {
    m_Timer.stop();
    return;
  }
  const auto Delay = std::chrono::ceil<milliseconds>(NextTimeout - Now);
  m_Timer.start(std::clamp(Delay, milliseconds(0), milliseconds(60000)));
}

// Silent connections.

SilenceAction TargetPool::Impl::silenceAction(const PooledConnection &Pooled,
                                              TimePoint Now) const {
  const bool AwaitsReply = Pooled.m_State == ConnectionState::Call ||
                           Pooled.m_State == ConnectionState::Abandoned ||
                           Pooled.m_State == ConnectionState::Cancel;
  if (!AwaitsReply || (Pooled.m_State == ConnectionState::Call &&
                       m_Calls.at(Pooled.m_Call).m_Call.m_SingleRun))
    return SilenceAction::None;
  SilenceEvidence Evidence{.m_LastProgress =
                               Pooled.m_Connection->lastProgress(),
                           .m_LastWorkingOpenedAt = m_LastWorkingOpenedAt};
  const auto Threshold = m_Options.m_SilenceThreshold;
  const SilenceAction Action = chooseSilenceAction(Evidence, Threshold, Now);
  if (Action == SilenceAction::None || Action == SilenceAction::Probe)
    return Action;
  Evidence.m_HasUnacknowledgedBytes =
      Pooled.m_Connection->hasUnacknowledgedBytes();
  if (!m_Options.m_UsesFigturnProtocol && !Evidence.m_HasUnacknowledgedBytes)
    return SilenceAction::Wait;
  return chooseSilenceAction(Evidence, Threshold, Now);
}

void TargetPool::Impl::checkSilentConnections(TimePoint Now) {
  bool WantsProbe = false;
  std::vector<PooledConnection *> Silent;
  for (const auto &Each : m_Connections) {
    const SilenceAction Action = silenceAction(*Each, Now);
    WantsProbe = WantsProbe || Action == SilenceAction::Probe;
    if (Action == SilenceAction::Retire)
      Silent.push_back(Each.get());
  }
  for (const PooledConnection *Each : Silent)
    retire(*Each);
  if (WantsProbe)
    startProbe(Now);
}

void TargetPool::Impl::startProbe(TimePoint Now) {
  if (m_ProbeInProgress || Now < m_NextProbeAt)
    return;
  if (m_Connections.size() >= m_Options.m_MaxConnections &&
      !makeRoomForProbe(Now))
    return;
  m_NextProbeAt = Now + m_Options.m_SilenceThreshold;
  m_ProbeInProgress = openConnection();
}

bool TargetPool::Impl::makeRoomForProbe(TimePoint Now) {
  const PooledConnection *Idle = nullptr;
  const PooledConnection *Silent = nullptr;
  for (const auto &Each : m_Connections) {
    // Connections are in order of opening, so the first match is the oldest.
    if (Each->m_State == ConnectionState::Idle && !Idle)
      Idle = Each.get();
    if (silenceAction(*Each, Now) != SilenceAction::Probe)
      continue;
    const auto Silence = Now - Each->m_Connection->lastProgress();
    const bool HasCall = Each->m_State == ConnectionState::Call;
    if (HasCall && Silence < 2 * m_Options.m_SilenceThreshold)
      continue;
    if (!Silent || (Silent->m_State == ConnectionState::Call && !HasCall))
      Silent = Each.get();
  }
  if (Idle)
    removeConnection(*Idle);
  else if (Silent)
    retire(*Silent);
  return Idle || Silent;
}

void TargetPool::Impl::checkOlderConnections(
    const PooledConnection &NewConnection) {
  if (!m_Options.m_UsesFigturnProtocol) {
    std::vector<PooledConnection *> Older;
    for (const auto &Each : m_Connections)
      if (Each->m_State == ConnectionState::Idle &&
          Each->m_OpenedAt < NewConnection.m_OpenedAt)
        Older.push_back(Each.get());
    for (const PooledConnection *Each : Older)
      retire(*Each);
    return;
  }
  for (const auto &Each : m_Connections) {
    if (Each->m_State != ConnectionState::Idle ||
        Each->m_OpenedAt >= NewConnection.m_OpenedAt)
      continue;
    setState(*Each, ConnectionState::Verifying);
    Each->m_Connection->sendHello();
  }
}

void TargetPool::Impl::retire(const PooledConnection &Silent) {
  if (Silent.m_State == ConnectionState::Call)
    failCall(Silent.m_Call, Errc::ConnectionSilent, RunVerdict::MayHaveRun);
  ++m_Counters.m_Retired;
  ++m_UnreportedRetired;
  removeConnection(Silent);
}

void TargetPool::Impl::reportRetired() {
  if (m_UnreportedRetired == 0)
    return;
  logEvent(Event::SilentConnectionsRetired, "target={} connections={}",
           m_Options.m_Target, m_UnreportedRetired);
  reportObservation({.m_Kind = TargetObservation::Kind::SilentRetired,
                     .m_Count = std::exchange(m_UnreportedRetired, 0)});
}

} // namespace figturn
