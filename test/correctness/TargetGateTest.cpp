#include "coordination/TargetGate.h"
#include "support/Members.h"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace figturn;
using namespace figturn::test;

namespace {

const TargetName Desk("wd-01");
const BootId Boot("boot-1");
constexpr std::uint32_t Slots = 12;

/** One VM that owns all slots of a target, warm unless said otherwise. */
struct GateFixture {
  ColdRampOptions m_Ramp{
      .m_ColdSlots = 2, .m_AllSlots = 2, .m_RampSuccesses = 1};
  TargetGate m_Gate{TargetGateOptions{.m_QueueLimit = 3}, m_Ramp, Desk,
                    VmName("vm-a")};
  MemberList m_List{Epoch(1), members({"vm-a"}), {}};
  EpochRight m_Right{.m_Epoch = Epoch(1), .m_ValidUntil = at(seconds(60))};

  GateFixture() {
    m_Gate.setSlots(assignSlots(m_List, Desk, 2, VmName("vm-a"), false),
                    at(seconds(0)));
    m_Gate.ramp().onHello(Boot);
  }
  SlotDecision ask(std::uint64_t Call, Duration Deadline = seconds(1),
                   Priority Rank = Priority::Ordinary,
                   Duration Now = seconds(0)) {
    return m_Gate.tryAcquire({CallId(Call), Rank, at(Deadline)}, m_Right,
                             at(Now));
  }
  GateActions release(std::uint32_t Slot, Duration Now = seconds(0)) {
    return m_Gate.release(Slot, SlotOutcome::Succeeded, milliseconds(5),
                          m_Right, at(Now));
  }
};

template <typename T> bool is(const SlotDecision &Decision) {
  return std::holds_alternative<T>(Decision);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetGateTest, GateFixture)

BOOST_AUTO_TEST_CASE(Fleet_on_a_cold_target_gets_its_cold_slots_only) {
  const MemberList Fleet{Epoch(1), manyMembers(15), {}};
  const ColdRampOptions Ramp{.m_ColdSlots = 1, .m_AllSlots = Slots};
  int Granted = 0;
  int Forwarded = 0;
  for (const Member &Vm : Fleet.m_Members) {
    TargetGate Gate({}, Ramp, Desk, Vm.m_Vm);
    Gate.setSlots(assignSlots(Fleet, Desk, Slots, Vm.m_Vm, false),
                  at(seconds(0)));
    Gate.ramp().onHello(Boot);
    const SlotDecision Decision = Gate.tryAcquire(
        {CallId(1), Priority::Urgent, at(seconds(1))}, m_Right, at(seconds(0)));
    Granted += is<SlotGranted>(Decision);
    Forwarded += is<SlotForwarded>(Decision);
  }
  BOOST_TEST(Granted == 1);
  BOOST_TEST(Forwarded == 14);
}

BOOST_AUTO_TEST_CASE(Call_without_a_valid_right_gets_no_slot) {
  m_Right.m_ValidUntil = at(milliseconds(500));
  BOOST_TEST(is<SlotRefused>(ask(1, seconds(9), Priority::Urgent, seconds(1))));
  m_Right = {.m_Epoch = Epoch(2), .m_ValidUntil = at(seconds(60))};
  BOOST_TEST(is<SlotRefused>(ask(2)));
  m_Right = {Epoch(1), true, at(seconds(60))};
  BOOST_TEST(is<SlotRefused>(ask(3)));
  BOOST_TEST(m_Gate.inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(Call_that_waited_across_a_lapse_of_the_right_not_started) {
  ask(1);
  ask(2);
  BOOST_TEST(is<SlotQueued>(ask(3)));
  m_Right.m_ValidUntil = at(milliseconds(100));
  BOOST_TEST(release(0, milliseconds(200)).m_Started.empty());
}

BOOST_AUTO_TEST_CASE(Slot_in_use_over_an_epoch_change_stays_counted) {
  BOOST_TEST(is<SlotGranted>(ask(1)));
  MemberList Next{Epoch(2), m_List.m_Members, m_List.m_Members};
  m_Gate.setSlots(assignSlots(Next, Desk, 2, VmName("vm-a"), false),
                  at(seconds(0)));
  m_Right.m_Epoch = Epoch(2);
  BOOST_TEST((ask(2) == SlotDecision(SlotGranted{1, Boot, at(seconds(1))})));
  BOOST_TEST(is<SlotQueued>(ask(3)));
}

BOOST_AUTO_TEST_CASE(Slot_use_ends_at_deadline_or_longest_call_time) {
  BOOST_TEST((std::get<SlotGranted>(ask(1, seconds(1))).m_HardDeadline ==
              at(seconds(1))));
  BOOST_TEST((std::get<SlotGranted>(ask(2, seconds(60))).m_HardDeadline ==
              at(seconds(3))));
  BOOST_TEST((m_Gate.lastCallEndTime() == at(seconds(3))));
}

BOOST_AUTO_TEST_CASE(Slot_of_a_lost_call_is_in_use_until_the_call_has_ended) {
  ask(1, seconds(1));
  ask(2, seconds(5));
  BOOST_TEST(is<SlotQueued>(ask(3, seconds(5))));
  m_Gate.release(0, SlotOutcome::Lost, Duration(), m_Right, at(seconds(0)));
  BOOST_TEST((m_Gate.nextWake() == at(milliseconds(1500))));
  const Duration Early = milliseconds(1499);
  BOOST_TEST(m_Gate.poll(m_Right, at(Early)).m_Started.empty());
  BOOST_TEST(m_Gate.poll(m_Right, at(seconds(2))).m_Started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Slot_of_a_lost_call_is_free_once_the_target_restarted) {
  ask(1);
  ask(2);
  ask(3);
  m_Gate.release(0, SlotOutcome::Lost, Duration(), m_Right, at(seconds(0)));
  BOOST_TEST(m_Gate.poll(m_Right, at(seconds(0))).m_Started.empty());
  m_Gate.ramp().onHello(BootId("boot-2"));
  BOOST_TEST(m_Gate.poll(m_Right, at(seconds(0))).m_Started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Queue_starts_urgent_first_then_by_deadline) {
  ask(1);
  ask(2);
  ask(3, seconds(2));
  ask(4, seconds(1));
  ask(5, seconds(3), Priority::Urgent);
  std::vector<std::uint64_t> Order;
  Order.reserve(3);
  for (int I = 0; I < 3; ++I)
    Order.push_back(release(0).m_Started.at(0).m_Call.value());
  const std::vector<std::uint64_t> Expected{5, 4, 3};
  BOOST_TEST(Order == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(Queue_that_is_full_sheds_the_last_for_a_more_urgent) {
  ask(1);
  ask(2);
  ask(3, seconds(2));
  ask(4, seconds(1));
  ask(5, seconds(3));
  BOOST_TEST(
      (ask(6, seconds(4)) == SlotDecision(SlotRefused{Errc::Overloaded})));
  BOOST_TEST(is<SlotQueued>(ask(7, seconds(4), Priority::Urgent)));
  const GateActions Actions = m_Gate.poll(m_Right, at(seconds(0)));
  BOOST_REQUIRE(Actions.m_Shed.size() == 1U);
  BOOST_TEST((Actions.m_Shed[0].m_Call == CallId(5)));
}

BOOST_AUTO_TEST_CASE(Call_that_expires_in_the_queue_is_shed_not_started) {
  ask(1, seconds(2));
  ask(2, seconds(2));
  ask(3, milliseconds(100));
  const GateActions Actions = release(0, milliseconds(100));
  BOOST_TEST(Actions.m_Started.empty());
  BOOST_REQUIRE(Actions.m_Shed.size() == 1U);
  BOOST_TEST((Actions.m_Shed[0].m_Reason == Errc::DeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(Forwarded_call_at_a_VM_without_slots_is_not_sent_on) {
  const MemberList Fleet{Epoch(1), members({"vm-a", "vm-b"}), {}};
  TargetSlots Table = assignSlots(Fleet, Desk, 2, VmName("vm-c"), false);
  m_Gate.setSlots(Table, at(seconds(0)));
  BOOST_TEST(is<SlotForwarded>(ask(1)));
  const SlotDecision Decision =
      m_Gate.tryAcquire({CallId(2), Priority::Urgent, at(seconds(1)), true},
                        m_Right, at(seconds(0)));
  BOOST_TEST((Decision == SlotDecision(SlotRefused{Errc::SlotNotOwned})));
}

BOOST_AUTO_TEST_SUITE_END()
