#include "coordination/MemberProposer.h"

#include "state/RendezvousHash.h"

#include <algorithm>

namespace figturn {

namespace {

const ListedVm *findListed(const ProposalInput &Input, const VmName &Vm) {
  for (const ListedVm &Listed : Input.m_Listed)
    if (Listed.m_Vm == Vm)
      return &Listed;
  return nullptr;
}

const MemberHeartbeat *findHeartbeat(const ProposalInput &Input,
                                     const VmName &Vm) {
  for (const MemberHeartbeat &Heartbeat : Input.m_Heartbeats)
    if (Heartbeat.m_Member.m_Vm == Vm)
      return &Heartbeat;
  return nullptr;
}

} // namespace

std::optional<MemberList> MemberProposer::decide(const ProposalInput &Input,
                                                 TimePoint Now) {
  recordHeartbeats(Input, Now);
  if (Input.m_Current && !Input.m_Activated)
    return std::nullopt;
  std::vector<Member> Desired = desiredMembers(Input, Now);
  const bool IsUnchanged =
      Input.m_Current && Input.m_Current->m_Members == Desired;
  if (Desired.empty() || IsUnchanged) {
    m_ChangePendingSince.reset();
    return std::nullopt;
  }
  if (!m_ChangePendingSince)
    m_ChangePendingSince = Now;
  if (!mayPropose(Input, Now))
    return std::nullopt;
  MemberList Next{.m_Epoch = Epoch(1), .m_Members = std::move(Desired)};
  if (Input.m_Current) {
    Next.m_Epoch = Epoch(Input.m_Current->m_Epoch.value() + 1);
    Next.m_Previous = Input.m_Current->m_Members;
  }
  return Next;
}

void MemberProposer::recordHeartbeats(const ProposalInput &Input,
                                      TimePoint Now) {
  if (Input.m_Current)
    for (const Member &Entry : Input.m_Current->m_Members)
      m_LastHeartbeat.try_emplace(Entry.m_Vm, Now);
  for (const MemberHeartbeat &Heartbeat : Input.m_Heartbeats) {
    TimePoint &Last =
        m_LastHeartbeat
            .try_emplace(Heartbeat.m_Member.m_Vm, Heartbeat.m_LastHeartbeat)
            .first->second;
    Last = std::max(Last, Heartbeat.m_LastHeartbeat);
  }
  std::erase_if(m_LastHeartbeat, [&](const auto &Entry) {
    const bool IsKnown =
        findHeartbeat(Input, Entry.first) ||
        (Input.m_Current && Input.m_Current->find(Entry.first));
    return !IsKnown;
  });
}

bool MemberProposer::hasRecentHeartbeat(const VmName &Vm, TimePoint Now) const {
  auto Found = m_LastHeartbeat.find(Vm);
  return Found != m_LastHeartbeat.end() &&
         Now - Found->second < m_Options.m_RemovalDelay;
}

bool MemberProposer::shouldRemainMember(const Member &Entry,
                                        const ProposalInput &Input,
                                        bool IsHalfAlive, TimePoint Now) const {
  const MemberHeartbeat *Heartbeat = findHeartbeat(Input, Entry.m_Vm);
  const ListedVm *Listed = findListed(Input, Entry.m_Vm);
  if (Heartbeat && Heartbeat->m_Member.m_Boot != Entry.m_Boot)
    return false;
  if (Heartbeat && Heartbeat->m_Drained && Listed && Listed->m_Leaving)
    return false;
  if (hasRecentHeartbeat(Entry.m_Vm, Now))
    return true;
  const bool IsUnlisted = !Input.m_Listed.empty() && !Listed;
  return !IsUnlisted && !IsHalfAlive;
}

std::vector<Member> MemberProposer::desiredMembers(const ProposalInput &Input,
                                                   TimePoint Now) const {
  std::vector<Member> Desired;
  if (Input.m_Current) {
    const std::vector<Member> &Members = Input.m_Current->m_Members;
    const auto AliveCount = static_cast<std::size_t>(
        std::count_if(Members.begin(), Members.end(), [&](const Member &Entry) {
          return hasRecentHeartbeat(Entry.m_Vm, Now);
        }));
    const bool IsHalfAlive = AliveCount * 2 >= Members.size();
    for (const Member &Entry : Members)
      if (shouldRemainMember(Entry, Input, IsHalfAlive, Now))
        Desired.push_back(Entry);
  }
  for (const MemberHeartbeat &Heartbeat : Input.m_Heartbeats) {
    const VmName &Vm = Heartbeat.m_Member.m_Vm;
    const ListedVm *Listed = findListed(Input, Vm);
    const bool IsKnown =
        std::any_of(Desired.begin(), Desired.end(),
                    [&](const Member &Entry) { return Entry.m_Vm == Vm; });
    if (Listed && !Listed->m_Leaving && hasRecentHeartbeat(Vm, Now) && !IsKnown)
      Desired.push_back(Heartbeat.m_Member);
  }
  std::sort(Desired.begin(), Desired.end(),
            [](const Member &Left, const Member &Right) {
              return Left.m_Vm < Right.m_Vm;
            });
  return Desired;
}

bool MemberProposer::mayPropose(const ProposalInput &Input,
                                TimePoint Now) const {
  std::vector<VmName> Candidates;
  for (const MemberHeartbeat &Heartbeat : Input.m_Heartbeats) {
    const Member &Candidate = Heartbeat.m_Member;
    const bool IsMember =
        Input.m_Current &&
        Input.m_Current->contains(Candidate.m_Vm, Candidate.m_Boot);
    if (IsMember && hasRecentHeartbeat(Candidate.m_Vm, Now))
      Candidates.push_back(Candidate.m_Vm);
  }
  if (Candidates.empty())
    for (const MemberHeartbeat &Heartbeat : Input.m_Heartbeats)
      if (hasRecentHeartbeat(Heartbeat.m_Member.m_Vm, Now))
        Candidates.push_back(Heartbeat.m_Member.m_Vm);
  const std::uint64_t Key =
      Input.m_Current ? Input.m_Current->m_Epoch.value() : 0;
  const std::vector<VmName> Order = rendezvousOrder(Candidates, Key);
  const auto Position = std::find(Order.begin(), Order.end(), m_Self);
  const auto Rank = Position - Order.begin();
  return Position != Order.end() &&
         Now - *m_ChangePendingSince >= Rank * m_Options.m_RemovalDelay;
}

} // namespace figturn
