#include "coordination/EpochLease.h"

#include <algorithm>
#include <functional>

namespace figturn {

namespace {

const Member *findIn(const std::vector<Member> &Members, const VmName &Vm) {
  auto Found =
      std::find_if(Members.begin(), Members.end(),
                   [&](const Member &Each) { return Each.m_Vm == Vm; });
  return Found == Members.end() ? nullptr : &*Found;
}

} // namespace

EpochLease::EpochLease(EpochLeaseOptions Options, VmName Self, BootId Boot)
    : m_Options(Options), m_Self(std::move(Self)), m_Boot(std::move(Boot)) {}

void EpochLease::onPlatformRead(const MemberList &List,
                                TimePoint RequestStarted,
                                std::optional<TimePoint> LastCallEndTime,
                                TimePoint Now) {
  if (!m_List || List.m_Epoch > m_List->m_Epoch)
    adopt(List, LastCallEndTime, Now);
  if (List.m_Epoch != m_List->m_Epoch)
    return;
  if (!m_ReadStarted || *m_ReadStarted < RequestStarted)
    m_ReadStarted = RequestStarted;
  renewLease();
}

Heartbeat EpochLease::makeHeartbeat(std::optional<TimePoint> LastCallEndTime,
                                    TimePoint Now) const {
  Heartbeat Message{.m_Sender = m_Self, .m_Boot = m_Boot};
  if (!m_List)
    return Message;
  Message.m_Epoch = m_List->m_Epoch;
  Message.m_Activated = isActivated(Now);
  Message.m_DrainTime = drainTime(LastCallEndTime, Now);
  return Message;
}

Heartbeat EpochLease::onHeartbeat(const Heartbeat &Received,
                                  std::optional<TimePoint> LastCallEndTime,
                                  TimePoint Now) {
  processHeartbeat(Received, Now);
  Heartbeat Reply = makeHeartbeat(LastCallEndTime, Now);
  if (Received.m_Epoch < Reply.m_Epoch)
    Reply.m_List = m_List;
  return Reply;
}

void EpochLease::onHeartbeatReply(const Heartbeat &Reply, TimePoint SentAt,
                                  std::optional<TimePoint> LastCallEndTime,
                                  TimePoint Now) {
  if (Reply.m_List && (!m_List || Reply.m_List->m_Epoch > m_List->m_Epoch))
    adopt(*Reply.m_List, LastCallEndTime, Now);
  processHeartbeat(Reply, Now);
  if (!m_List)
    return;
  // A peer that replies after this epoch was adopted runs as the process that
  // it reports; a different process listed under the same name has ended.
  const Member *Previous = findIn(m_List->m_Previous, Reply.m_Sender);
  if (Previous && Previous->m_Boot != Reply.m_Boot && SentAt >= m_AdoptedAt)
    onMemberEnded(Reply.m_Sender, Now);
  const bool IsAcknowledgement = Reply.m_Epoch == m_List->m_Epoch &&
                                 m_List->contains(Reply.m_Sender, Reply.m_Boot);
  if (!IsAcknowledgement)
    return;
  TimePoint &Newest =
      m_Acknowledgements.try_emplace(Reply.m_Sender, SentAt).first->second;
  Newest = std::max(Newest, SentAt);
  renewLease();
}

void EpochLease::onMemberEnded(const VmName &Vm, TimePoint Now) {
  if (!m_List || !findIn(m_List->m_Previous, Vm))
    return;
  const Duration MaxCall = m_Options.m_MaxCallTime + m_Options.m_CallEndMargin;
  recordRelease(Vm, Now + addDriftMargin(MaxCall), Now);
}

std::optional<EpochPermit> EpochLease::permit(TimePoint Now) const {
  if (!isMember())
    return std::nullopt;
  EpochPermit Permit{.m_Epoch = m_List->m_Epoch,
                     .m_OnlyCarried = !isActivated(Now),
                     .m_ValidUntil = leaseEnd(Now)};
  if (!Permit.validAt(Now) || (Permit.m_OnlyCarried && !m_RetainsOwnership))
    return std::nullopt;
  return Permit;
}

const MemberList *EpochLease::usableList(TimePoint Now) const {
  const auto Permit = permit(Now);
  return Permit && !Permit->m_OnlyCarried ? m_List.get() : nullptr;
}

const MemberList *EpochLease::pendingList(TimePoint Now) const {
  return m_List && !isActivated(Now) ? m_List.get() : nullptr;
}

bool EpochLease::isActivated(TimePoint Now) const {
  if (!m_List)
    return false;
  if (m_KnownActivated)
    return true;
  const auto ActivatedAt = activationTime();
  return ActivatedAt && *ActivatedAt <= Now;
}

std::vector<Member> EpochLease::peers(TimePoint Now) const {
  std::vector<Member> Peers;
  if (!m_List)
    return Peers;
  Peers = m_List->m_Members;
  if (!isActivated(Now))
    for (const Member &Previous : m_List->m_Previous)
      if (!m_List->find(Previous.m_Vm))
        Peers.push_back(Previous);
  std::erase_if(Peers, [&](const Member &Each) { return Each.m_Vm == m_Self; });
  return Peers;
}

std::optional<TimePoint> EpochLease::nextTimer(TimePoint Now) const {
  if (!m_List)
    return std::nullopt;
  if (!isActivated(Now))
    if (auto ActivatedAt = activationTime())
      return ActivatedAt;
  const TimePoint End = leaseEnd(Now);
  return Now < End ? std::optional(End) : std::nullopt;
}

void EpochLease::adopt(const MemberList &List,
                       std::optional<TimePoint> LastCallEndTime,
                       TimePoint Now) {
  m_RetainsOwnership = m_List && isMember() && isActivated(Now) &&
                       List.m_Epoch.value() == m_List->m_Epoch.value() + 1 &&
                       List.m_Previous == m_List->m_Members;
  m_List = std::make_shared<const MemberList>(List);
  m_AdoptedAt = Now;
  m_KnownActivated = List.m_Previous.empty();
  m_LeaseEnd = TimePoint::min();
  m_ReadStarted.reset();
  m_Acknowledgements.clear();
  m_ReleasedAt.clear();
  m_QuorumLostAt.reset();
  const Member *Previous = findIn(List.m_Previous, m_Self);
  if (!Previous)
    return;
  if (Previous->m_Boot == m_Boot)
    recordRelease(m_Self, Now + drainTime(LastCallEndTime, Now), Now);
  else
    onMemberEnded(m_Self, Now);
}

void EpochLease::processHeartbeat(const Heartbeat &Received, TimePoint Now) {
  if (!m_List || Received.m_Epoch < m_List->m_Epoch)
    return;
  // A later epoch is only proposed once this one has been activated.
  if (Received.m_Epoch > m_List->m_Epoch || Received.m_Activated ||
      isActivated(Now))
    m_KnownActivated = true;
  const Member *Previous = findIn(m_List->m_Previous, Received.m_Sender);
  if (!Previous || Previous->m_Boot != Received.m_Boot)
    return;
  recordRelease(Received.m_Sender, Now + addDriftMargin(Received.m_DrainTime),
                Now);
}

void EpochLease::recordRelease(const VmName &Vm, TimePoint ReleaseTime,
                               TimePoint Now) {
  // Later reports carry no information about the previous epoch.
  if (isActivated(Now))
    return;
  TimePoint &Known = m_ReleasedAt.try_emplace(Vm, ReleaseTime).first->second;
  // Each report bounds the calls of the previous epoch, so the earliest one
  // applies.
  Known = std::min(Known, ReleaseTime);
  const std::size_t Count = m_List->m_Previous.size();
  const std::size_t Unreleased = Count - m_ReleasedAt.size();
  if (!m_QuorumLostAt && Unreleased < majoritySize(Count))
    m_QuorumLostAt = Now;
}

Duration EpochLease::addDriftMargin(Duration Wait) const {
  return Wait + Wait / m_Options.m_DriftDivisor;
}

Duration EpochLease::drainTime(std::optional<TimePoint> LastCallEndTime,
                               TimePoint Now) const {
  if (!LastCallEndTime)
    return Duration();
  // A target measures the time of a call on its own clock, from the start of
  // the call.
  const Duration Drift = m_Options.m_MaxCallTime / m_Options.m_DriftDivisor;
  return std::max(Duration(), *LastCallEndTime - Now) + Drift +
         m_Options.m_CallEndMargin;
}

std::optional<TimePoint> EpochLease::activationTime() const {
  TimePoint LatestRelease = m_AdoptedAt;
  for (const auto &[Vm, Released] : m_ReleasedAt)
    LatestRelease = std::max(LatestRelease, Released);
  if (m_ReleasedAt.size() == m_List->m_Previous.size())
    return LatestRelease;
  if (!m_QuorumLostAt)
    return std::nullopt;
  const Duration MaxUse = m_Options.m_LeaseDuration + m_Options.m_MaxCallTime +
                          m_Options.m_CallEndMargin;
  return std::max(LatestRelease, *m_QuorumLostAt + addDriftMargin(MaxUse));
}

TimePoint EpochLease::leaseEnd(TimePoint Now) const {
  const bool IsMajority = majoritySize(m_List->m_Members.size()) == 1;
  return IsMajority ? Now + m_Options.m_LeaseDuration : m_LeaseEnd;
}

void EpochLease::renewLease() {
  if (m_ReadStarted)
    m_LeaseEnd =
        std::max(m_LeaseEnd, *m_ReadStarted + m_Options.m_LeaseDuration);
  const std::size_t Required = majoritySize(m_List->m_Members.size()) - 1;
  if (Required == 0 || m_Acknowledgements.size() < Required)
    return;
  std::vector<TimePoint> SendTimes;
  SendTimes.reserve(m_Acknowledgements.size());
  for (const auto &[Vm, SentAt] : m_Acknowledgements)
    SendTimes.push_back(SentAt);
  std::sort(SendTimes.begin(), SendTimes.end(), std::greater<>());
  m_LeaseEnd =
      std::max(m_LeaseEnd, SendTimes[Required - 1] + m_Options.m_LeaseDuration);
}

bool EpochLease::isMember() const {
  return m_List && m_List->contains(m_Self, m_Boot);
}

} // namespace figturn
