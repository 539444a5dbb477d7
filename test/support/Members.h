#ifndef FIGTURN_TEST_SUPPORT_MEMBERS_H
#define FIGTURN_TEST_SUPPORT_MEMBERS_H

/** Builds member lists and time points for tests in virtual time. */

#include "coordination/MemberList.h"
#include "state/Time.h"

#include <fmt/format.h>
#include <initializer_list>
#include <string>

namespace figturn::test {

/** The time point \p Elapsed after the start of virtual time. */
inline TimePoint at(Duration Elapsed) {
  return TimePoint(seconds(1000)) + Elapsed;
}

inline Member member(const std::string &Name) {
  return Member{.m_Vm = VmName(Name),
                .m_Boot = BootId(Name + "-1"),
                .m_DataCentre = DataCentreName("nz-south-a"),
                .m_PeerAddress = Name + ":8101",
                .m_CallerAddress = Name + ":8001"};
}

inline std::vector<Member> members(std::initializer_list<const char *> Names) {
  std::vector<Member> Result;
  Result.reserve(Names.size());
  for (const char *Name : Names)
    Result.push_back(member(Name));
  return Result;
}

/** Members named "vm-00", "vm-01" and so on. */
inline std::vector<Member> numberedMembers(int Count) {
  std::vector<Member> Result;
  Result.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Result.push_back(member(fmt::format("vm-{:02}", I)));
  return Result;
}

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_MEMBERS_H
