#include "coordination/MemberList.h"

#include <algorithm>

namespace figturn {

namespace {

std::vector<VmName> memberNames(const std::vector<Member> &Members) {
  std::vector<VmName> Names;
  Names.reserve(Members.size());
  for (const Member &Entry : Members)
    Names.push_back(Entry.m_Vm);
  return Names;
}

} // namespace

const Member *MemberList::find(const VmName &Vm) const {
  auto Found =
      std::find_if(m_Members.begin(), m_Members.end(),
                   [&](const Member &Entry) { return Entry.m_Vm == Vm; });
  return Found == m_Members.end() ? nullptr : &*Found;
}

bool MemberList::contains(const VmName &Vm, const BootId &Boot) const {
  const Member *Found = find(Vm);
  return Found && Found->m_Boot == Boot;
}

std::vector<VmName> MemberList::names() const { return memberNames(m_Members); }

std::vector<VmName> MemberList::previousNames() const {
  return memberNames(m_Previous);
}

std::size_t majoritySize(std::size_t Count) { return Count / 2 + 1; }

} // namespace figturn
