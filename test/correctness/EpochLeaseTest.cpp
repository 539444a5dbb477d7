#include "coordination/EpochLease.h"
#include "support/Members.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

/** VM "a" of the first epoch {a, b, c}, and a list of the next epoch. */
struct LeaseFixture {
  MemberList m_First{Epoch(1), members({"a", "b", "c"}), {}};
  MemberList m_Joined{Epoch(2), members({"a", "b", "c", "d"}),
                      m_First.m_Members};
  EpochLease m_Lease = lease("a");

  static EpochLease lease(const std::string &Name) {
    return EpochLease({}, VmName(Name), member(Name).m_Boot);
  }
  static Heartbeat heartbeat(const std::string &Name,
                             std::uint64_t AdoptedEpoch,
                             Duration DrainTime = Duration()) {
    return {.m_Sender = VmName(Name),
            .m_Boot = member(Name).m_Boot,
            .m_Epoch = Epoch(AdoptedEpoch),
            .m_DrainTime = DrainTime};
  }
  bool usable(Duration Now) const {
    return m_Lease.usableList(at(Now)) != nullptr;
  }
  void read(const MemberList &List, Duration Started) {
    m_Lease.onPlatformRead(List, at(Started), std::nullopt, at(Started));
  }
  void receive(const Heartbeat &Message, Duration Now) {
    m_Lease.onHeartbeat(Message, std::nullopt, at(Now));
  }
  void reply(const Heartbeat &Message, Duration Sent, Duration Now) {
    m_Lease.onHeartbeatReply(Message, at(Sent), std::nullopt, at(Now));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EpochLeaseTest, LeaseFixture)

BOOST_AUTO_TEST_CASE(Lease_renewedByARead_countsFromTheStartOfTheRead) {
  m_Lease.onPlatformRead(m_First, at(seconds(0)), std::nullopt, at(seconds(2)));
  BOOST_TEST(usable(milliseconds(2999)));
  BOOST_TEST(!usable(milliseconds(3000)));
}

BOOST_AUTO_TEST_CASE(Lease_ofAPausedVm_isExpiredWhenItResumes) {
  read(m_First, seconds(0));
  BOOST_TEST(!m_Lease.permit(at(seconds(10))).has_value());
}

BOOST_AUTO_TEST_CASE(Lease_renewedByAMajority_countsFromTheSendTimes) {
  read(m_First, seconds(0));
  reply(heartbeat("b", 1), seconds(2), seconds(4));
  BOOST_TEST(usable(milliseconds(4999)));
  BOOST_TEST(!usable(milliseconds(5000)));
}

BOOST_AUTO_TEST_CASE(Lease_withoutAMajority_expires) {
  MemberList Five{Epoch(1), members({"a", "b", "c", "d", "e"}), {}};
  read(Five, seconds(0));
  reply(heartbeat("b", 1), seconds(2), seconds(2));
  BOOST_TEST(!usable(seconds(4)));
  reply(heartbeat("c", 1), seconds(2), seconds(2));
  BOOST_TEST(usable(seconds(4)));
}

BOOST_AUTO_TEST_CASE(Acknowledgement_ofANonMemberOrAnotherProcess_isIgnored) {
  read(m_First, seconds(0));
  reply(heartbeat("z", 1), seconds(2), seconds(2));
  Heartbeat Restarted = heartbeat("b", 1);
  Restarted.m_Boot = BootId("b-2");
  reply(Restarted, seconds(2), seconds(2));
  BOOST_TEST(!usable(seconds(4)));
}

BOOST_AUTO_TEST_CASE(Member_withTheNextEpoch_acknowledgesOnlyThatEpoch) {
  read(m_First, seconds(0));
  receive(heartbeat("b", 1), seconds(1));
  read(m_Joined, seconds(1));
  const Heartbeat Reply =
      m_Lease.onHeartbeat(heartbeat("c", 1), std::nullopt, at(seconds(1)));
  BOOST_TEST((Reply.m_Epoch == Epoch(2)));
  BOOST_REQUIRE(Reply.m_List);
  BOOST_TEST((*Reply.m_List == m_Joined));
}

BOOST_AUTO_TEST_CASE(NextEpoch_withoutAcknowledgements_isNeverUsable) {
  read(m_First, seconds(0));
  for (int Second = 1; Second < 60; ++Second) {
    read(m_Joined, seconds(Second));
    BOOST_TEST(!usable(seconds(Second)));
  }
  BOOST_TEST((m_Lease.pendingList(at(seconds(59))) != nullptr));
}

BOOST_AUTO_TEST_CASE(NextEpoch_acknowledgedByAll_isUsableOnceDrained) {
  read(m_First, seconds(0));
  read(m_Joined, seconds(1));
  receive(heartbeat("b", 2, milliseconds(500)), seconds(1));
  BOOST_TEST(!usable(seconds(2)));
  receive(heartbeat("c", 2), seconds(1));
  // 500 ms plus a tenth for clock drift.
  BOOST_TEST(!usable(milliseconds(1549)));
  BOOST_TEST(usable(milliseconds(1550)));
}

BOOST_AUTO_TEST_CASE(
    NextEpoch_notAcknowledgedByAFailedMember_waitsForItsLease) {
  read(m_First, seconds(0));
  read(m_Joined, seconds(1));
  receive(heartbeat("b", 2), seconds(2));
  read(m_Joined, seconds(8));
  // 3 s lease, 3 s maximum call time, 200 ms margin, plus a tenth for drift.
  BOOST_TEST(!usable(milliseconds(8819)));
  BOOST_TEST(usable(milliseconds(8820)));
}

BOOST_AUTO_TEST_CASE(Acknowledgement_ofARestartedMember_isIgnored) {
  read(m_First, seconds(0));
  read(m_Joined, seconds(1));
  Heartbeat Restarted = heartbeat("b", 2);
  Restarted.m_Boot = BootId("b-2");
  receive(Restarted, seconds(1));
  receive(heartbeat("c", 2), seconds(1));
  BOOST_TEST(!usable(seconds(1)));
}

BOOST_AUTO_TEST_CASE(NextEpoch_activatedByAPeer_isUsable) {
  read(m_First, seconds(0));
  read(m_Joined, seconds(1));
  Heartbeat Activated = heartbeat("d", 2);
  Activated.m_Activated = true;
  receive(Activated, seconds(1));
  BOOST_TEST(usable(seconds(1)));
}

BOOST_AUTO_TEST_CASE(NextEpoch_afterOwnCallsHaveEnded_isActivated) {
  MemberList Alone{Epoch(1), members({"a"}), {}};
  MemberList Next{Epoch(2), members({"a", "b"}), Alone.m_Members};
  read(Alone, seconds(0));
  m_Lease.onPlatformRead(Next, at(seconds(1)), at(seconds(2)), at(seconds(1)));
  // The activation includes the margins on which peers rely: the target may end
  // a call 200 ms late, and its clock may drift by a tenth of 3 s.
  BOOST_TEST(
      !m_Lease.makeHeartbeat(std::nullopt, at(milliseconds(2499))).m_Activated);
  BOOST_TEST(
      m_Lease.makeHeartbeat(std::nullopt, at(milliseconds(2500))).m_Activated);
}

BOOST_AUTO_TEST_CASE(DrainTime_inAHeartbeat_includesTheMargins) {
  read(m_First, seconds(0));
  const Heartbeat Busy = m_Lease.makeHeartbeat(at(seconds(1)), at(seconds(0)));
  BOOST_TEST((Busy.m_DrainTime == milliseconds(1500)));
  const Heartbeat Idle = m_Lease.makeHeartbeat(std::nullopt, at(seconds(0)));
  BOOST_TEST((Idle.m_DrainTime == Duration()));
}

BOOST_AUTO_TEST_CASE(ActivatedEpoch_afterALateReport_staysActivated) {
  read(m_First, seconds(0));
  read(m_Joined, seconds(1));
  receive(heartbeat("b", 2), seconds(1));
  read(m_Joined, seconds(9));
  BOOST_TEST(usable(seconds(9)));
  receive(heartbeat("c", 2, seconds(3)), seconds(9));
  BOOST_TEST(usable(seconds(9)));
}

BOOST_AUTO_TEST_CASE(
    Permit_beforeActivation_coversOnlyWhatIsOwnedInBothEpochs) {
  read(m_First, seconds(0));
  read(m_Joined, seconds(1));
  const auto Permit = m_Lease.permit(at(seconds(1)));
  BOOST_REQUIRE(Permit.has_value());
  BOOST_TEST((Permit->m_Epoch == Epoch(2)));
  BOOST_TEST(Permit->m_OnlyCarried);
  BOOST_TEST(!m_Lease.permit(at(seconds(4))).has_value());
}

BOOST_AUTO_TEST_CASE(Permit_afterASkippedEpoch_isNotIssued) {
  MemberList Third{Epoch(3), members({"a", "b"}), m_Joined.m_Members};
  read(m_First, seconds(0));
  read(Third, seconds(1));
  BOOST_TEST(!m_Lease.permit(at(seconds(1))).has_value());
  // The same holds if the last skipped epoch had the members of epoch 1.
  MemberList Fifth{Epoch(5), Third.m_Members, Third.m_Previous};
  EpochLease Other = lease("a");
  Other.onPlatformRead({Epoch(1), Third.m_Previous, {}}, at(seconds(0)),
                       std::nullopt, at(seconds(0)));
  Other.onPlatformRead(Fifth, at(seconds(0)), std::nullopt, at(seconds(0)));
  BOOST_TEST(!Other.permit(at(seconds(0))).has_value());
}

BOOST_AUTO_TEST_CASE(RestartedMember_underItsFormerName_hasNoPermit) {
  EpochLease Restarted({}, VmName("a"), BootId("a-2"));
  Restarted.onPlatformRead(m_First, at(seconds(0)), std::nullopt,
                           at(seconds(0)));
  BOOST_TEST(!Restarted.permit(at(seconds(0))).has_value());
}

BOOST_AUTO_TEST_CASE(Reply_ofARestartedMember_showsThatItsProcessEnded) {
  const std::vector<Member> Pair = members({"a", "b"});
  MemberList Next{Epoch(2), members({"a"}), Pair};
  read({Epoch(1), Pair, {}}, seconds(0));
  read(Next, seconds(1));
  Heartbeat Restarted = heartbeat("b", 1);
  Restarted.m_Boot = BootId("b-2");
  reply(Restarted, seconds(0), seconds(1));
  BOOST_TEST(!usable(seconds(5)));
  reply(Restarted, seconds(1), seconds(1));
  BOOST_TEST(usable(seconds(5)));
}

BOOST_AUTO_TEST_CASE(Partition_fromThePlatform_neverGivesASlotToTwoVms) {
  // "c" is partitioned from the platform and from "a" and "b", which continue.
  EpochLease Partitioned = lease("c");
  Partitioned.onPlatformRead(m_First, at(seconds(0)), std::nullopt,
                             at(seconds(0)));
  read(m_First, seconds(0));
  MemberList Without{Epoch(2), members({"a", "b"}), m_First.m_Members};
  read(Without, seconds(0));
  receive(heartbeat("b", 2), seconds(0));
  for (int Tenth = 0; Tenth < 200; ++Tenth) {
    const milliseconds Now(100 * Tenth);
    read(Without, Now);
    const bool BothUse = usable(Now) && Partitioned.permit(at(Now)).has_value();
    BOOST_TEST(!BothUse);
  }
  BOOST_TEST(usable(seconds(20)));
}

BOOST_AUTO_TEST_SUITE_END()
