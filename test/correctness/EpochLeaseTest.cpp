#include "coordination/EpochLease.h"
#include "support/Members.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

/** VM "a" of the first epoch {a, b, c}, and lists of the epoch after it. */
struct LeaseFixture {
  MemberList m_First{Epoch(1), members({"a", "b", "c"}), {}};
  MemberList m_Joined{Epoch(2), members({"a", "b", "c", "d"}),
                      m_First.m_Members};
  EpochLease m_Lease = lease("a");

  static EpochLease lease(const std::string &Name) {
    return EpochLease({}, VmName(Name), member(Name).m_Boot);
  }
  static Heartbeat heartbeat(const std::string &Name, std::uint64_t Held,
                             Duration Drain = Duration()) {
    return {.m_From = VmName(Name),
            .m_Boot = member(Name).m_Boot,
            .m_Epoch = Epoch(Held),
            .m_DrainTime = Drain};
  }
  bool usable(Duration Now) const {
    return m_Lease.usableEpoch(at(Now)) != nullptr;
  }
  void read(const MemberList &List, Duration Started) {
    m_Lease.onPlatformRead(List, at(Started), std::nullopt, at(Started));
  }
  void hear(const Heartbeat &From, Duration Now) {
    m_Lease.onHeartbeat(From, std::nullopt, at(Now));
  }
  void reply(const Heartbeat &From, Duration Sent, Duration Now) {
    m_Lease.onHeartbeatReply(From, at(Sent), std::nullopt, at(Now));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EpochLeaseTest, LeaseFixture)

BOOST_AUTO_TEST_CASE(Lease_by_a_read_counts_from_the_start_of_the_read) {
  m_Lease.onPlatformRead(m_First, at(seconds(0)), std::nullopt, at(seconds(2)));
  BOOST_TEST(usable(milliseconds(2999)));
  BOOST_TEST(!usable(milliseconds(3000)));
}

BOOST_AUTO_TEST_CASE(Lease_of_a_paused_VM_is_lapsed_at_its_next_step) {
  read(m_First, seconds(0));
  BOOST_TEST(!m_Lease.right(at(seconds(10))).has_value());
}

BOOST_AUTO_TEST_CASE(
    Lease_by_promises_of_a_majority_counts_from_their_sending) {
  read(m_First, seconds(0));
  reply(heartbeat("b", 1), seconds(2), seconds(4));
  BOOST_TEST(usable(milliseconds(4999)));
  BOOST_TEST(!usable(milliseconds(5000)));
}

BOOST_AUTO_TEST_CASE(Lease_without_a_majority_of_promises_lapses) {
  MemberList Five{Epoch(1), members({"a", "b", "c", "d", "e"}), {}};
  read(Five, seconds(0));
  reply(heartbeat("b", 1), seconds(2), seconds(2));
  BOOST_TEST(!usable(seconds(4)));
  reply(heartbeat("c", 1), seconds(2), seconds(2));
  BOOST_TEST(usable(seconds(4)));
}

BOOST_AUTO_TEST_CASE(Promise_of_a_stranger_or_another_process_is_void) {
  read(m_First, seconds(0));
  reply(heartbeat("z", 1), seconds(2), seconds(2));
  Heartbeat Restarted = heartbeat("b", 1);
  Restarted.m_Boot = BootId("b-2");
  reply(Restarted, seconds(2), seconds(2));
  BOOST_TEST(!usable(seconds(4)));
}

BOOST_AUTO_TEST_CASE(Member_that_adopted_the_next_epoch_promises_only_it) {
  read(m_First, seconds(0));
  hear(heartbeat("b", 1), seconds(1));
  read(m_Joined, seconds(1));
  const Heartbeat Reply =
      m_Lease.onHeartbeat(heartbeat("c", 1), std::nullopt, at(seconds(1)));
  BOOST_TEST((Reply.m_Epoch == Epoch(2)));
  BOOST_REQUIRE(Reply.m_List);
  BOOST_TEST((*Reply.m_List == m_Joined));
}

BOOST_AUTO_TEST_CASE(Next_epoch_that_nobody_acknowledged_is_never_usable) {
  read(m_First, seconds(0));
  for (int Second = 1; Second < 60; ++Second) {
    read(m_Joined, seconds(Second));
    BOOST_TEST(!usable(seconds(Second)));
  }
  BOOST_TEST((m_Lease.pendingEpoch(at(seconds(59))) != nullptr));
}

BOOST_AUTO_TEST_CASE(Next_epoch_that_all_acknowledged_is_usable_once_drained) {
  read(m_First, seconds(0));
  read(m_Joined, seconds(1));
  hear(heartbeat("b", 2, milliseconds(500)), seconds(1));
  BOOST_TEST(!usable(seconds(2)));
  hear(heartbeat("c", 2), seconds(1));
  // 500 ms, and a tenth for the drift of this VM's clock.
  BOOST_TEST(!usable(milliseconds(1549)));
  BOOST_TEST(usable(milliseconds(1550)));
}

BOOST_AUTO_TEST_CASE(Next_epoch_without_a_dead_member_waits_for_its_lease) {
  read(m_First, seconds(0));
  read(m_Joined, seconds(1));
  hear(heartbeat("b", 2), seconds(2));
  read(m_Joined, seconds(8));
  // 3 s lease, 3 s longest call, 200 ms margin, and a tenth for drift.
  BOOST_TEST(!usable(milliseconds(8819)));
  BOOST_TEST(usable(milliseconds(8820)));
}

BOOST_AUTO_TEST_CASE(Acknowledgement_of_another_process_of_a_member_is_void) {
  read(m_First, seconds(0));
  read(m_Joined, seconds(1));
  Heartbeat Restarted = heartbeat("b", 2);
  Restarted.m_Boot = BootId("b-2");
  hear(Restarted, seconds(1));
  hear(heartbeat("c", 2), seconds(1));
  BOOST_TEST(!usable(seconds(1)));
}

BOOST_AUTO_TEST_CASE(Next_epoch_is_usable_when_a_peer_activated_it) {
  read(m_First, seconds(0));
  read(m_Joined, seconds(1));
  Heartbeat Activated = heartbeat("d", 2);
  Activated.m_Activated = true;
  hear(Activated, seconds(1));
  BOOST_TEST(usable(seconds(1)));
}

BOOST_AUTO_TEST_CASE(Next_epoch_is_activated_after_own_calls_have_ended) {
  MemberList Alone{Epoch(1), members({"a"}), {}};
  MemberList Next{Epoch(2), members({"a", "b"}), Alone.m_Members};
  read(Alone, seconds(0));
  m_Lease.onPlatformRead(Next, at(seconds(1)), at(seconds(2)), at(seconds(1)));
  // Peers take what this VM says for the end of its calls as well. The
  // target may end one 200 ms later, and by a tenth of 3 s for its clock.
  BOOST_TEST(
      !m_Lease.makeHeartbeat(std::nullopt, at(milliseconds(2499))).m_Activated);
  BOOST_TEST(
      m_Lease.makeHeartbeat(std::nullopt, at(milliseconds(2500))).m_Activated);
}

BOOST_AUTO_TEST_CASE(Drain_time_that_peers_are_told_has_the_margins_in_it) {
  read(m_First, seconds(0));
  const Heartbeat Busy = m_Lease.makeHeartbeat(at(seconds(1)), at(seconds(0)));
  BOOST_TEST((Busy.m_DrainTime == milliseconds(1500)));
  const Heartbeat Idle = m_Lease.makeHeartbeat(std::nullopt, at(seconds(0)));
  BOOST_TEST((Idle.m_DrainTime == Duration()));
}

BOOST_AUTO_TEST_CASE(Activated_epoch_stays_so_when_a_late_member_answers) {
  read(m_First, seconds(0));
  read(m_Joined, seconds(1));
  hear(heartbeat("b", 2), seconds(1));
  read(m_Joined, seconds(9));
  BOOST_TEST(usable(seconds(9)));
  hear(heartbeat("c", 2, seconds(3)), seconds(9));
  BOOST_TEST(usable(seconds(9)));
}

BOOST_AUTO_TEST_CASE(What_is_owned_in_both_epochs_carries_over) {
  read(m_First, seconds(0));
  read(m_Joined, seconds(1));
  const auto Right = m_Lease.right(at(seconds(1)));
  BOOST_REQUIRE(Right.has_value());
  BOOST_TEST((Right->m_Epoch == Epoch(2)));
  BOOST_TEST(Right->m_OnlyCarried);
  BOOST_TEST(!m_Lease.right(at(seconds(4))).has_value());
}

BOOST_AUTO_TEST_CASE(Nothing_carries_over_a_skipped_epoch) {
  MemberList Third{Epoch(3), members({"a", "b"}), m_Joined.m_Members};
  read(m_First, seconds(0));
  read(Third, seconds(1));
  BOOST_TEST(!m_Lease.right(at(seconds(1))).has_value());
  // Not even if the members of the skipped epochs were the same.
  MemberList Fifth{Epoch(5), Third.m_Members, Third.m_Previous};
  EpochLease Other = lease("a");
  Other.onPlatformRead({Epoch(1), Third.m_Previous, {}}, at(seconds(0)),
                       std::nullopt, at(seconds(0)));
  Other.onPlatformRead(Fifth, at(seconds(0)), std::nullopt, at(seconds(0)));
  BOOST_TEST(!Other.right(at(seconds(0))).has_value());
}

BOOST_AUTO_TEST_CASE(Restarted_member_has_no_right_under_its_former_name) {
  EpochLease Restarted({}, VmName("a"), BootId("a-2"));
  Restarted.onPlatformRead(m_First, at(seconds(0)), std::nullopt,
                           at(seconds(0)));
  BOOST_TEST(!Restarted.right(at(seconds(0))).has_value());
}

BOOST_AUTO_TEST_CASE(Answer_of_a_restarted_member_shows_that_it_ended) {
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

BOOST_AUTO_TEST_CASE(Partition_of_the_platform_gives_no_slot_to_two_VMs) {
  // "c" is cut off from the platform and from "a" and "b", who go on.
  EpochLease Cut = lease("c");
  Cut.onPlatformRead(m_First, at(seconds(0)), std::nullopt, at(seconds(0)));
  read(m_First, seconds(0));
  MemberList Without{Epoch(2), members({"a", "b"}), m_First.m_Members};
  read(Without, seconds(0));
  hear(heartbeat("b", 2), seconds(0));
  for (int Tenth = 0; Tenth < 200; ++Tenth) {
    const milliseconds Now(100 * Tenth);
    read(Without, Now);
    const bool BothUse = usable(Now) && Cut.right(at(Now)).has_value();
    BOOST_TEST(!BothUse);
  }
  BOOST_TEST(usable(seconds(20)));
}

BOOST_AUTO_TEST_SUITE_END()
