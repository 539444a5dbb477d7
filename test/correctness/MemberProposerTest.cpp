#include "coordination/MemberProposer.h"
#include "support/Members.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

/** Four VMs, all listed and heard, of which three are members. */
struct ProposerFixture {
  ProposalInput m_Input{.m_Current =
                            MemberList{Epoch(4), members({"a", "b", "c"}), {}},
                        .m_Activated = true};

  ProposerFixture() {
    for (const char *Name : {"a", "b", "c"}) {
      m_Input.m_Listed.push_back({VmName(Name)});
      m_Input.m_Heartbeats.push_back({member(Name), at(seconds(0))});
    }
  }
  /** What each VM would write, without nothing. */
  std::vector<MemberList> proposals(Duration Now) const {
    std::vector<MemberList> Result;
    for (const VmHeartbeat &Heard : m_Input.m_Heartbeats) {
      MemberProposer Proposer({}, Heard.m_Member.m_Vm);
      if (auto Next = Proposer.decide(m_Input, at(Now)))
        Result.push_back(*Next);
    }
    return Result;
  }
  void addD() {
    m_Input.m_Listed.push_back({VmName("d")});
    m_Input.m_Heartbeats.push_back({member("d"), at(seconds(0))});
  }
  /** "a" watches from the start and hears only \p Names from then on. */
  std::optional<MemberList>
  afterHearingOnly(std::initializer_list<const char *> Names) {
    MemberProposer Proposer({}, VmName("a"));
    Proposer.decide(m_Input, at(seconds(0)));
    m_Input.m_Heartbeats.clear();
    for (const char *Name : Names)
      m_Input.m_Heartbeats.push_back({member(Name), at(seconds(20))});
    Proposer.decide(m_Input, at(seconds(4)));
    BOOST_TEST(!Proposer.decide(m_Input, at(milliseconds(4999))).has_value());
    Proposer.decide(m_Input, at(seconds(5)));
    return Proposer.decide(m_Input, at(seconds(20)));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemberProposerTest, ProposerFixture)

BOOST_AUTO_TEST_CASE(List_that_fits_is_left_alone) {
  BOOST_TEST(proposals(seconds(0)).empty());
}

BOOST_AUTO_TEST_CASE(Change_is_proposed_by_one_member_at_first) {
  addD();
  const auto Proposals = proposals(seconds(0));
  BOOST_REQUIRE(Proposals.size() == 1U);
  BOOST_TEST(
      (Proposals[0] == MemberList{Epoch(5), members({"a", "b", "c", "d"}),
                                  members({"a", "b", "c"})}));
}

BOOST_AUTO_TEST_CASE(Change_that_stays_wanted_is_proposed_by_others_too) {
  addD();
  std::vector<MemberProposer> All;
  for (const char *Name : {"a", "b", "c"})
    All.emplace_back(MemberProposerOptions{}, VmName(Name));
  auto Count = [&](Duration Now) {
    for (VmHeartbeat &Heard : m_Input.m_Heartbeats)
      Heard.m_LastHeartbeat = at(Now);
    return std::count_if(All.begin(), All.end(), [&](MemberProposer &One) {
      return One.decide(m_Input, at(Now)).has_value();
    });
  };
  BOOST_TEST(Count(seconds(0)) == 1);
  BOOST_TEST(Count(seconds(5)) == 2);
  BOOST_TEST(Count(seconds(10)) == 3);
}

BOOST_AUTO_TEST_CASE(List_that_is_not_activated_is_not_changed) {
  addD();
  m_Input.m_Activated = false;
  BOOST_TEST(proposals(seconds(0)).empty());
}

BOOST_AUTO_TEST_CASE(First_list_holds_the_VMs_that_are_listed_and_heard) {
  m_Input.m_Current.reset();
  m_Input.m_Listed.pop_back();
  const auto Proposals = proposals(seconds(0));
  BOOST_REQUIRE(Proposals.size() == 1U);
  BOOST_TEST((Proposals[0] == MemberList{Epoch(1), members({"a", "b"}), {}}));
}

BOOST_AUTO_TEST_CASE(Leaving_member_is_removed_once_it_is_drained) {
  m_Input.m_Listed[2].m_Leaving = true;
  BOOST_TEST(proposals(seconds(0)).empty());
  m_Input.m_Heartbeats[2].m_Drained = true;
  const auto Proposals = proposals(seconds(0));
  BOOST_REQUIRE(Proposals.size() == 1U);
  BOOST_TEST((Proposals[0].m_Members == members({"a", "b"})));
}

BOOST_AUTO_TEST_CASE(Silent_member_is_removed_after_the_removal_delay) {
  const auto Next = afterHearingOnly({"a", "b"});
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST((Next->m_Members == members({"a", "b"})));
}

BOOST_AUTO_TEST_CASE(Member_that_hears_less_than_half_removes_nobody) {
  BOOST_TEST(!afterHearingOnly({"a"}).has_value());
}

BOOST_AUTO_TEST_CASE(Silent_members_that_the_VM_list_dropped_are_removed) {
  m_Input.m_Listed.resize(1);
  const auto Next = afterHearingOnly({"a"});
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST((Next->m_Members == members({"a"})));
}

BOOST_AUTO_TEST_CASE(Restarted_member_is_replaced_by_its_new_process) {
  m_Input.m_Heartbeats[1].m_Member.m_Boot = BootId("b-2");
  const auto Proposals = proposals(seconds(0));
  BOOST_REQUIRE(Proposals.size() == 1U);
  BOOST_TEST(Proposals[0].contains(VmName("b"), BootId("b-2")));
  BOOST_TEST(Proposals[0].m_Members.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
