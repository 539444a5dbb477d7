#include "coordination/TargetGate.h"
#include "support/Members.h"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace figturn;
using namespace figturn::test;

namespace {

const TargetName TestTarget("wd-01");
const BootId Boot("boot-1");
constexpr std::uint32_t Slots = 12;

/** One VM that owns all slots of a target, which is warm by default. */
struct GateFixture {
  ColdStartRampOptions m_Ramp{
      .m_ColdSlots = 2, .m_WarmSlots = 2, .m_RampSuccesses = 1};
  TargetGate m_Gate{TargetGateOptions{.m_QueueLimit = 3}, m_Ramp, TestTarget,
                    VmName("vm-a")};
  MemberList m_List{Epoch(1), members({"vm-a"}), {}};
  EpochPermit m_Permit{.m_Epoch = Epoch(1), .m_ValidUntil = at(seconds(60))};

  GateFixture() {
    m_Gate.setSlots(assignSlots(m_List, TestTarget, 2, VmName("vm-a"), false),
                    at(seconds(0)));
    m_Gate.ramp().onHello(Boot);
  }
  SlotDecision acquire(std::uint64_t Call, Duration Deadline = seconds(1),
                       Priority Level = Priority::Ordinary,
                       Duration Now = seconds(0)) {
    return m_Gate.tryAcquire({CallId(Call), Level, at(Deadline)}, m_Permit,
                             at(Now));
  }
  GateActions release(std::uint32_t Slot, Duration Now = seconds(0)) {
    return m_Gate.release(Slot, SlotOutcome::Succeeded, milliseconds(5),
                          m_Permit, at(Now));
  }
};

template <typename T> bool is(const SlotDecision &Decision) {
  return std::holds_alternative<T>(Decision);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetGateTest, GateFixture)

BOOST_AUTO_TEST_CASE(Fleet_onAColdTarget_usesOnlyItsColdSlots) {
  const MemberList Fleet{Epoch(1), numberedMembers(15), {}};
  const ColdStartRampOptions Ramp{.m_ColdSlots = 1, .m_WarmSlots = Slots};
  int Granted = 0;
  int Forwarded = 0;
  for (const Member &Vm : Fleet.m_Members) {
    TargetGate Gate({}, Ramp, TestTarget, Vm.m_Vm);
    Gate.setSlots(assignSlots(Fleet, TestTarget, Slots, Vm.m_Vm, false),
                  at(seconds(0)));
    Gate.ramp().onHello(Boot);
    const SlotDecision Decision =
        Gate.tryAcquire({CallId(1), Priority::Urgent, at(seconds(1))}, m_Permit,
                        at(seconds(0)));
    Granted += is<SlotGranted>(Decision);
    Forwarded += is<SlotForwarded>(Decision);
  }
  BOOST_TEST(Granted == 1);
  BOOST_TEST(Forwarded == 14);
}

BOOST_AUTO_TEST_CASE(Call_withoutAValidPermit_getsNoSlot) {
  m_Permit.m_ValidUntil = at(milliseconds(500));
  BOOST_TEST(
      is<SlotRefused>(acquire(1, seconds(9), Priority::Urgent, seconds(1))));
  m_Permit = {.m_Epoch = Epoch(2), .m_ValidUntil = at(seconds(60))};
  BOOST_TEST(is<SlotRefused>(acquire(2)));
  m_Permit = {Epoch(1), true, at(seconds(60))};
  BOOST_TEST(is<SlotRefused>(acquire(3)));
  BOOST_TEST(m_Gate.inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(QueuedCall_afterThePermitExpired_isNotStarted) {
  acquire(1);
  acquire(2);
  BOOST_TEST(is<SlotQueued>(acquire(3)));
  m_Permit.m_ValidUntil = at(milliseconds(100));
  BOOST_TEST(release(0, milliseconds(200)).m_Started.empty());
}

BOOST_AUTO_TEST_CASE(SlotInUse_acrossAnEpochChange_staysCounted) {
  BOOST_TEST(is<SlotGranted>(acquire(1)));
  MemberList Next{Epoch(2), m_List.m_Members, m_List.m_Members};
  m_Gate.setSlots(assignSlots(Next, TestTarget, 2, VmName("vm-a"), false),
                  at(seconds(0)));
  m_Permit.m_Epoch = Epoch(2);
  BOOST_TEST(
      (acquire(2) == SlotDecision(SlotGranted{1, Boot, at(seconds(1))})));
  BOOST_TEST(is<SlotQueued>(acquire(3)));
}

BOOST_AUTO_TEST_CASE(SlotUse_endsAtTheDeadlineOrMaximumCallTime) {
  BOOST_TEST((std::get<SlotGranted>(acquire(1, seconds(1))).m_HardDeadline ==
              at(seconds(1))));
  BOOST_TEST((std::get<SlotGranted>(acquire(2, seconds(60))).m_HardDeadline ==
              at(seconds(3))));
  BOOST_TEST((m_Gate.lastCallEndTime() == at(seconds(3))));
}

BOOST_AUTO_TEST_CASE(SlotOfALostCall_untilTheCallHasEnded_isInUse) {
  acquire(1, seconds(1));
  acquire(2, seconds(5));
  BOOST_TEST(is<SlotQueued>(acquire(3, seconds(5))));
  m_Gate.release(0, SlotOutcome::Lost, Duration(), m_Permit, at(seconds(0)));
  BOOST_TEST((m_Gate.nextTimer() == at(milliseconds(1500))));
  const Duration Early = milliseconds(1499);
  BOOST_TEST(m_Gate.poll(m_Permit, at(Early)).m_Started.empty());
  BOOST_TEST(m_Gate.poll(m_Permit, at(seconds(2))).m_Started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(SlotOfALostCall_onceTheTargetRestarted_isFree) {
  acquire(1);
  acquire(2);
  acquire(3);
  m_Gate.release(0, SlotOutcome::Lost, Duration(), m_Permit, at(seconds(0)));
  BOOST_TEST(m_Gate.poll(m_Permit, at(seconds(0))).m_Started.empty());
  m_Gate.ramp().onHello(BootId("boot-2"));
  BOOST_TEST(m_Gate.poll(m_Permit, at(seconds(0))).m_Started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Queue_startsUrgentCallsFirstThenByDeadline) {
  acquire(1);
  acquire(2);
  acquire(3, seconds(2));
  acquire(4, seconds(1));
  acquire(5, seconds(3), Priority::Urgent);
  std::vector<std::uint64_t> Order;
  Order.reserve(3);
  for (int I = 0; I < 3; ++I)
    Order.push_back(release(0).m_Started.at(0).m_Call.value());
  const std::vector<std::uint64_t> Expected{5, 4, 3};
  BOOST_TEST(Order == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(FullQueue_shedsTheLastCallForAMoreUrgentOne) {
  acquire(1);
  acquire(2);
  acquire(3, seconds(2));
  acquire(4, seconds(1));
  acquire(5, seconds(3));
  BOOST_TEST(
      (acquire(6, seconds(4)) == SlotDecision(SlotRefused{Errc::Overloaded})));
  BOOST_TEST(is<SlotQueued>(acquire(7, seconds(4), Priority::Urgent)));
  const GateActions Actions = m_Gate.poll(m_Permit, at(seconds(0)));
  BOOST_REQUIRE(Actions.m_Shed.size() == 1U);
  BOOST_TEST((Actions.m_Shed[0].m_Call == CallId(5)));
}

BOOST_AUTO_TEST_CASE(QueuedCall_pastItsDeadline_isShed) {
  acquire(1, seconds(2));
  acquire(2, seconds(2));
  acquire(3, milliseconds(100));
  const GateActions Actions = release(0, milliseconds(100));
  BOOST_TEST(Actions.m_Started.empty());
  BOOST_REQUIRE(Actions.m_Shed.size() == 1U);
  BOOST_TEST((Actions.m_Shed[0].m_Reason == Errc::DeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(ForwardedCall_atAVmWithoutSlots_isNotForwardedAgain) {
  const MemberList Fleet{Epoch(1), members({"vm-a", "vm-b"}), {}};
  TargetSlots Table = assignSlots(Fleet, TestTarget, 2, VmName("vm-c"), false);
  m_Gate.setSlots(Table, at(seconds(0)));
  BOOST_TEST(is<SlotForwarded>(acquire(1)));
  const SlotDecision Decision =
      m_Gate.tryAcquire({CallId(2), Priority::Urgent, at(seconds(1)), true},
                        m_Permit, at(seconds(0)));
  BOOST_TEST((Decision == SlotDecision(SlotRefused{Errc::SlotNotOwned})));
}

BOOST_AUTO_TEST_SUITE_END()
