#include "coordination/EpochLease.h"

#include <algorithm>
#include <functional>

namespace figturn {

namespace {

const Member *findIn(const std::vector<Member> &Members, const VmName &Vm) {
  auto Found = std::find_if(Members.begin(), Members.end(),
                            [&](const Member &One) { return One.m_Vm == Vm; });
  return Found == Members.end() ? nullptr : &*Found;
}

} // namespace

EpochLease::EpochLease(EpochLeaseOptions Options, VmName Self, BootId Boot)
    : m_Options(Options), m_Self(std::move(Self)), m_Boot(std::move(Boot)) {}

void EpochLease::onPlatformRead(const MemberList &List,
                                TimePoint RequestStarted,
                                std::optional<TimePoint> DrainedBy,
                                TimePoint Now) {
  if (!m_List || List.m_Epoch > m_List->m_Epoch)
    adopt(List, DrainedBy, Now);
  if (List.m_Epoch != m_List->m_Epoch)
    return;
  if (!m_ReadStarted || *m_ReadStarted < RequestStarted)
    m_ReadStarted = RequestStarted;
  renewLease();
}

Heartbeat EpochLease::makeHeartbeat(std::optional<TimePoint> DrainedBy,
                                    TimePoint Now) const {
  Heartbeat Sent{.m_From = m_Self, .m_Boot = m_Boot};
  if (!m_List)
    return Sent;
  Sent.m_Epoch = m_List->m_Epoch;
  Sent.m_Activated = isActivated(Now);
  Sent.m_DrainTime = drainTime(DrainedBy, Now);
  return Sent;
}

Heartbeat EpochLease::onHeartbeat(const Heartbeat &Received,
                                  std::optional<TimePoint> DrainedBy,
                                  TimePoint Now) {
  observe(Received, Now);
  Heartbeat Reply = makeHeartbeat(DrainedBy, Now);
  if (Received.m_Epoch < Reply.m_Epoch)
    Reply.m_List = m_List;
  return Reply;
}

void EpochLease::onHeartbeatReply(const Heartbeat &Reply, TimePoint SentAt,
                                  std::optional<TimePoint> DrainedBy,
                                  TimePoint Now) {
  if (Reply.m_List && (!m_List || Reply.m_List->m_Epoch > m_List->m_Epoch))
    adopt(*Reply.m_List, DrainedBy, Now);
  observe(Reply, Now);
  if (!m_List)
    return;
  // A peer that answers after this epoch was agreed on runs as the process
  // that it names; another one of that name which was listed has ended.
  const Member *Before = findIn(m_List->m_Previous, Reply.m_From);
  if (Before && Before->m_Boot != Reply.m_Boot && SentAt >= m_AdoptedAt)
    onMemberGone(Reply.m_From, Now);
  const bool Promises = Reply.m_Epoch == m_List->m_Epoch &&
                        m_List->contains(Reply.m_From, Reply.m_Boot);
  if (!Promises)
    return;
  TimePoint &Newest =
      m_Promises.try_emplace(Reply.m_From, SentAt).first->second;
  Newest = std::max(Newest, SentAt);
  renewLease();
}

void EpochLease::onMemberGone(const VmName &Vm, TimePoint Now) {
  if (!m_List || !findIn(m_List->m_Previous, Vm))
    return;
  const Duration LastCall = m_Options.m_MaxCallTime + m_Options.m_CallEndMargin;
  noteReleased(Vm, Now + withDrift(LastCall), Now);
}

std::optional<EpochRight> EpochLease::right(TimePoint Now) const {
  if (!isMember())
    return std::nullopt;
  EpochRight Right{.m_Epoch = m_List->m_Epoch,
                   .m_OnlyCarried = !isActivated(Now),
                   .m_ValidUntil = leaseEnd(Now)};
  if (!Right.validAt(Now) || (Right.m_OnlyCarried && !m_CarriesOver))
    return std::nullopt;
  return Right;
}

const MemberList *EpochLease::usableEpoch(TimePoint Now) const {
  const auto Right = right(Now);
  return Right && !Right->m_OnlyCarried ? m_List.get() : nullptr;
}

const MemberList *EpochLease::pendingEpoch(TimePoint Now) const {
  return m_List && !isActivated(Now) ? m_List.get() : nullptr;
}

bool EpochLease::isActivated(TimePoint Now) const {
  if (!m_List)
    return false;
  if (m_KnownActivated)
    return true;
  const auto At = activationTime();
  return At && *At <= Now;
}

std::vector<Member> EpochLease::peers(TimePoint Now) const {
  std::vector<Member> Peers;
  if (!m_List)
    return Peers;
  Peers = m_List->m_Members;
  if (!isActivated(Now))
    for (const Member &Before : m_List->m_Previous)
      if (!m_List->find(Before.m_Vm))
        Peers.push_back(Before);
  std::erase_if(Peers, [&](const Member &One) { return One.m_Vm == m_Self; });
  return Peers;
}

std::optional<TimePoint> EpochLease::nextWake(TimePoint Now) const {
  if (!m_List)
    return std::nullopt;
  if (!isActivated(Now))
    if (auto At = activationTime())
      return At;
  const TimePoint End = leaseEnd(Now);
  return Now < End ? std::optional(End) : std::nullopt;
}

void EpochLease::adopt(const MemberList &List,
                       std::optional<TimePoint> DrainedBy, TimePoint Now) {
  m_CarriesOver = m_List && isMember() && isActivated(Now) &&
                  List.m_Epoch.value() == m_List->m_Epoch.value() + 1 &&
                  List.m_Previous == m_List->m_Members;
  m_List = std::make_shared<const MemberList>(List);
  m_AdoptedAt = Now;
  m_KnownActivated = List.m_Previous.empty();
  m_LeaseEnd = TimePoint::min();
  m_ReadStarted.reset();
  m_Promises.clear();
  m_ReleasedAt.clear();
  m_OutnumberedAt.reset();
  const Member *Before = findIn(List.m_Previous, m_Self);
  if (!Before)
    return;
  if (Before->m_Boot == m_Boot)
    noteReleased(m_Self, Now + drainTime(DrainedBy, Now), Now);
  else
    onMemberGone(m_Self, Now);
}

void EpochLease::observe(const Heartbeat &Received, TimePoint Now) {
  if (!m_List || Received.m_Epoch < m_List->m_Epoch)
    return;
  // A later epoch is proposed only after this one was activated.
  if (Received.m_Epoch > m_List->m_Epoch || Received.m_Activated ||
      isActivated(Now))
    m_KnownActivated = true;
  const Member *Before = findIn(m_List->m_Previous, Received.m_From);
  if (!Before || Before->m_Boot != Received.m_Boot)
    return;
  noteReleased(Received.m_From, Now + withDrift(Received.m_DrainTime), Now);
}

void EpochLease::noteReleased(const VmName &Vm, TimePoint At, TimePoint Now) {
  // What comes later says nothing about the epoch before.
  if (isActivated(Now))
    return;
  TimePoint &Known = m_ReleasedAt.try_emplace(Vm, At).first->second;
  // Each report bounds the calls of the epoch before; the earliest counts.
  Known = std::min(Known, At);
  const std::size_t Count = m_List->m_Previous.size();
  const std::size_t Others = Count - m_ReleasedAt.size();
  if (!m_OutnumberedAt && Others < majoritySize(Count))
    m_OutnumberedAt = Now;
}

Duration EpochLease::withDrift(Duration Wait) const {
  return Wait + Wait / m_Options.m_DriftPart;
}

Duration EpochLease::drainTime(std::optional<TimePoint> DrainedBy,
                               TimePoint Now) const {
  if (!DrainedBy)
    return Duration();
  // A target counts a call's time on its own clock, from the call's start.
  const Duration Drift = m_Options.m_MaxCallTime / m_Options.m_DriftPart;
  return std::max(Duration(), *DrainedBy - Now) + Drift +
         m_Options.m_CallEndMargin;
}

std::optional<TimePoint> EpochLease::activationTime() const {
  TimePoint At = m_AdoptedAt;
  for (const auto &[Vm, Released] : m_ReleasedAt)
    At = std::max(At, Released);
  if (m_ReleasedAt.size() == m_List->m_Previous.size())
    return At;
  if (!m_OutnumberedAt)
    return std::nullopt;
  const Duration LastUse = m_Options.m_LeaseTime + m_Options.m_MaxCallTime +
                           m_Options.m_CallEndMargin;
  return std::max(At, *m_OutnumberedAt + withDrift(LastUse));
}

TimePoint EpochLease::leaseEnd(TimePoint Now) const {
  const bool IsMajority = majoritySize(m_List->m_Members.size()) == 1;
  return IsMajority ? Now + m_Options.m_LeaseTime : m_LeaseEnd;
}

void EpochLease::renewLease() {
  if (m_ReadStarted)
    m_LeaseEnd = std::max(m_LeaseEnd, *m_ReadStarted + m_Options.m_LeaseTime);
  const std::size_t Wanted = majoritySize(m_List->m_Members.size()) - 1;
  if (Wanted == 0 || m_Promises.size() < Wanted)
    return;
  std::vector<TimePoint> Sent;
  Sent.reserve(m_Promises.size());
  for (const auto &[Vm, At] : m_Promises)
    Sent.push_back(At);
  std::sort(Sent.begin(), Sent.end(), std::greater<>());
  m_LeaseEnd = std::max(m_LeaseEnd, Sent[Wanted - 1] + m_Options.m_LeaseTime);
}

bool EpochLease::isMember() const {
  return m_List && m_List->contains(m_Self, m_Boot);
}

} // namespace figturn
