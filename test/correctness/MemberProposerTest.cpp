#include "coordination/MemberProposer.h"
#include "support/Members.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

/** Three members, all listed and with heartbeats; addD() adds a fourth VM. */
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
  /** The lists that the VMs with heartbeats would write. */
  std::vector<MemberList> proposals(Duration Now) const {
    std::vector<MemberList> Result;
    for (const MemberHeartbeat &Heartbeat : m_Input.m_Heartbeats) {
      MemberProposer Proposer({}, Heartbeat.m_Member.m_Vm);
      if (auto Next = Proposer.decide(m_Input, at(Now)))
        Result.push_back(*Next);
    }
    return Result;
  }
  void addD() {
    m_Input.m_Listed.push_back({VmName("d")});
    m_Input.m_Heartbeats.push_back({member("d"), at(seconds(0))});
  }
  /** Runs the proposer of "a", which receives heartbeats only from \p Names
   * after the start. */
  std::optional<MemberList>
  decideWithHeartbeatsFrom(std::initializer_list<const char *> Names) {
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

BOOST_AUTO_TEST_CASE(List_upToDate_isNotChanged) {
  BOOST_TEST(proposals(seconds(0)).empty());
}

BOOST_AUTO_TEST_CASE(Change_whenFirstNeeded_isProposedByOneMember) {
  addD();
  const auto Proposals = proposals(seconds(0));
  BOOST_REQUIRE(Proposals.size() == 1U);
  BOOST_TEST(
      (Proposals[0] == MemberList{Epoch(5), members({"a", "b", "c", "d"}),
                                  members({"a", "b", "c"})}));
}

BOOST_AUTO_TEST_CASE(Change_stillPending_isProposedByFurtherMembers) {
  addD();
  std::vector<MemberProposer> All;
  for (const char *Name : {"a", "b", "c"})
    All.emplace_back(MemberProposerOptions{}, VmName(Name));
  auto Count = [&](Duration Now) {
    for (MemberHeartbeat &Heartbeat : m_Input.m_Heartbeats)
      Heartbeat.m_LastHeartbeat = at(Now);
    return std::count_if(All.begin(), All.end(), [&](MemberProposer &Proposer) {
      return Proposer.decide(m_Input, at(Now)).has_value();
    });
  };
  BOOST_TEST(Count(seconds(0)) == 1);
  BOOST_TEST(Count(seconds(5)) == 2);
  BOOST_TEST(Count(seconds(10)) == 3);
}

BOOST_AUTO_TEST_CASE(List_notActivated_isNotChanged) {
  addD();
  m_Input.m_Activated = false;
  BOOST_TEST(proposals(seconds(0)).empty());
}

BOOST_AUTO_TEST_CASE(FirstList_containsListedVmsWithHeartbeats) {
  m_Input.m_Current.reset();
  m_Input.m_Listed.pop_back();
  const auto Proposals = proposals(seconds(0));
  BOOST_REQUIRE(Proposals.size() == 1U);
  BOOST_TEST((Proposals[0] == MemberList{Epoch(1), members({"a", "b"}), {}}));
}

BOOST_AUTO_TEST_CASE(LeavingMember_onceDrained_isRemoved) {
  m_Input.m_Listed[2].m_Leaving = true;
  BOOST_TEST(proposals(seconds(0)).empty());
  m_Input.m_Heartbeats[2].m_Drained = true;
  const auto Proposals = proposals(seconds(0));
  BOOST_REQUIRE(Proposals.size() == 1U);
  BOOST_TEST((Proposals[0].m_Members == members({"a", "b"})));
}

BOOST_AUTO_TEST_CASE(SilentMember_afterTheRemovalDelay_isRemoved) {
  const auto Next = decideWithHeartbeatsFrom({"a", "b"});
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST((Next->m_Members == members({"a", "b"})));
}

BOOST_AUTO_TEST_CASE(Proposer_withHeartbeatsFromLessThanHalf_removesNobody) {
  BOOST_TEST(!decideWithHeartbeatsFrom({"a"}).has_value());
}

BOOST_AUTO_TEST_CASE(SilentMembers_notInTheVmList_areRemoved) {
  m_Input.m_Listed.resize(1);
  const auto Next = decideWithHeartbeatsFrom({"a"});
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST((Next->m_Members == members({"a"})));
}

BOOST_AUTO_TEST_CASE(RestartedMember_isReplacedByItsNewProcess) {
  m_Input.m_Heartbeats[1].m_Member.m_Boot = BootId("b-2");
  const auto Proposals = proposals(seconds(0));
  BOOST_REQUIRE(Proposals.size() == 1U);
  BOOST_TEST(Proposals[0].contains(VmName("b"), BootId("b-2")));
  BOOST_TEST(Proposals[0].m_Members.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
