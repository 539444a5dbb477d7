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

const VmHeartbeat *findHeartbeat(const ProposalInput &Input, const VmName &Vm) {
  for (const VmHeartbeat &Heard : Input.m_Heartbeats)
    if (Heard.m_Member.m_Vm == Vm)
      return &Heard;
  return nullptr;
}

} // namespace

std::optional<MemberList> MemberProposer::decide(const ProposalInput &Input,
                                                 TimePoint Now) {
  recordHeartbeats(Input, Now);
  if (Input.m_Current && !Input.m_Activated)
    return std::nullopt;
  std::vector<Member> Wanted = desiredMembers(Input, Now);
  const bool Unchanged =
      Input.m_Current && Input.m_Current->m_Members == Wanted;
  if (Wanted.empty() || Unchanged) {
    m_ChangePendingSince.reset();
    return std::nullopt;
  }
  if (!m_ChangePendingSince)
    m_ChangePendingSince = Now;
  if (!mayPropose(Input, Now))
    return std::nullopt;
  MemberList Next{.m_Epoch = Epoch(1), .m_Members = std::move(Wanted)};
  if (Input.m_Current) {
    Next.m_Epoch = Epoch(Input.m_Current->m_Epoch.value() + 1);
    Next.m_Previous = Input.m_Current->m_Members;
  }
  return Next;
}

void MemberProposer::recordHeartbeats(const ProposalInput &Input,
                                      TimePoint Now) {
  if (Input.m_Current)
    for (const Member &One : Input.m_Current->m_Members)
      m_LastHeartbeat.try_emplace(One.m_Vm, Now);
  for (const VmHeartbeat &Heard : Input.m_Heartbeats) {
    TimePoint &Last =
        m_LastHeartbeat.try_emplace(Heard.m_Member.m_Vm, Heard.m_LastHeartbeat)
            .first->second;
    Last = std::max(Last, Heard.m_LastHeartbeat);
  }
  std::erase_if(m_LastHeartbeat, [&](const auto &Entry) {
    const bool Known = findHeartbeat(Input, Entry.first) ||
                       (Input.m_Current && Input.m_Current->find(Entry.first));
    return !Known;
  });
}

bool MemberProposer::hasRecentHeartbeat(const VmName &Vm, TimePoint Now) const {
  auto Found = m_LastHeartbeat.find(Vm);
  return Found != m_LastHeartbeat.end() &&
         Now - Found->second < m_Options.m_RemovalDelay;
}

bool MemberProposer::shouldRemainMember(const Member &One,
                                        const ProposalInput &Input,
                                        bool HearsHalf, TimePoint Now) const {
  const VmHeartbeat *Heard = findHeartbeat(Input, One.m_Vm);
  const ListedVm *Listed = findListed(Input, One.m_Vm);
  if (Heard && Heard->m_Member.m_Boot != One.m_Boot)
    return false;
  if (Heard && Heard->m_Drained && Listed && Listed->m_Leaving)
    return false;
  if (hasRecentHeartbeat(One.m_Vm, Now))
    return true;
  const bool Dropped = !Input.m_Listed.empty() && !Listed;
  return !Dropped && !HearsHalf;
}

std::vector<Member> MemberProposer::desiredMembers(const ProposalInput &Input,
                                                   TimePoint Now) const {
  std::vector<Member> Wanted;
  if (Input.m_Current) {
    const std::vector<Member> &Members = Input.m_Current->m_Members;
    const auto Heard = static_cast<std::size_t>(
        std::count_if(Members.begin(), Members.end(), [&](const Member &One) {
          return hasRecentHeartbeat(One.m_Vm, Now);
        }));
    const bool HearsHalf = Heard * 2 >= Members.size();
    for (const Member &One : Members)
      if (shouldRemainMember(One, Input, HearsHalf, Now))
        Wanted.push_back(One);
  }
  for (const VmHeartbeat &Heard : Input.m_Heartbeats) {
    const VmName &Vm = Heard.m_Member.m_Vm;
    const ListedVm *Listed = findListed(Input, Vm);
    const bool Known =
        std::any_of(Wanted.begin(), Wanted.end(),
                    [&](const Member &One) { return One.m_Vm == Vm; });
    if (Listed && !Listed->m_Leaving && hasRecentHeartbeat(Vm, Now) && !Known)
      Wanted.push_back(Heard.m_Member);
  }
  std::sort(Wanted.begin(), Wanted.end(),
            [](const Member &Left, const Member &Right) {
              return Left.m_Vm < Right.m_Vm;
            });
  return Wanted;
}

bool MemberProposer::mayPropose(const ProposalInput &Input,
                                TimePoint Now) const {
  std::vector<VmName> Candidates;
  for (const VmHeartbeat &Heard : Input.m_Heartbeats) {
    const Member &One = Heard.m_Member;
    const bool Member =
        Input.m_Current && Input.m_Current->contains(One.m_Vm, One.m_Boot);
    if (Member && hasRecentHeartbeat(One.m_Vm, Now))
      Candidates.push_back(One.m_Vm);
  }
  if (Candidates.empty())
    for (const VmHeartbeat &Heard : Input.m_Heartbeats)
      if (hasRecentHeartbeat(Heard.m_Member.m_Vm, Now))
        Candidates.push_back(Heard.m_Member.m_Vm);
  const std::uint64_t Key =
      Input.m_Current ? Input.m_Current->m_Epoch.value() : 0;
  const std::vector<VmName> Order = rendezvousOrder(Candidates, Key);
  const auto Place = std::find(Order.begin(), Order.end(), m_Self);
  const auto Rank = Place - Order.begin();
  return Place != Order.end() &&
         Now - *m_ChangePendingSince >= Rank * m_Options.m_RemovalDelay;
}

} // namespace figturn
