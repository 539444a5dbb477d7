#include "coordination/ColdStartRamp.h"
#include "support/Members.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

const BootId Boot("boot-1");
const BootId NextBoot("boot-2");
constexpr Duration Quick = milliseconds(10);

/** A target of 12 slots with an authority and one other owner. */
struct RampFixture {
  ColdStartRampOptions m_Options{
      .m_ColdSlots = 1, .m_WarmSlots = 12, .m_RampSuccesses = 5};
  ColdStartRamp m_Authority{m_Options, TargetName("wd-01"), VmName("vm-a")};
  ColdStartRamp m_Owner{m_Options, TargetName("wd-01"), VmName("vm-b")};

  RampFixture() {
    for (ColdStartRamp *Ramp : {&m_Authority, &m_Owner}) {
      Ramp->setAuthority(VmName("vm-a"), at(seconds(0)));
      Ramp->onHello(Boot);
    }
  }
  void succeed(ColdStartRamp &Ramp, int Count, TimePoint Now) {
    for (int I = 0; I < Count; ++I)
      Ramp.onSuccess(Boot, Quick, Now);
  }
  void warmAuthority(TimePoint Now) {
    succeed(m_Authority, 20, Now);
    BOOST_REQUIRE(m_Authority.usableLevel(Now) == 12U);
  }
  void exchange(TimePoint Sent, TimePoint Answered) {
    const auto Grant = m_Authority.onReport(*m_Owner.makeReport(), Sent);
    m_Owner.onGrant(*Grant, VmName("vm-a"), Sent, Answered);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ColdStartRampTest, RampFixture)

BOOST_AUTO_TEST_CASE(Level_rises_only_by_successes_and_doubles) {
  const TimePoint Now = at(seconds(0));
  std::vector<std::uint32_t> Levels;
  for (int I = 0; I < 5; ++I) {
    Levels.push_back(m_Authority.usableLevel(Now));
    succeed(m_Authority, 4, Now);
    BOOST_TEST(m_Authority.usableLevel(Now) == Levels.back());
    succeed(m_Authority, 1, Now);
  }
  const std::vector<std::uint32_t> Expected{1, 2, 4, 8, 12};
  BOOST_TEST(Levels == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(Level_after_new_boot_id_is_cold) {
  warmAuthority(at(seconds(0)));
  m_Authority.onHello(NextBoot);
  BOOST_TEST(m_Authority.usableLevel(at(seconds(0))) == 1U);
}

BOOST_AUTO_TEST_CASE(Success_of_the_process_before_raises_nothing) {
  m_Authority.onHello(NextBoot);
  succeed(m_Authority, 100, at(seconds(0)));
  BOOST_TEST(m_Authority.usableLevel(at(seconds(0))) == 1U);
}

BOOST_AUTO_TEST_CASE(Level_after_each_cold_signal_is_cold) {
  for (ColdSignal Signal :
       {ColdSignal::ConnectRefused, ColdSignal::AllConnectionsLost,
        ColdSignal::Shed, ColdSignal::LatencyIncrease}) {
    m_Authority.onHello(Boot);
    warmAuthority(at(seconds(0)));
    m_Authority.onColdSignal(Signal, at(seconds(0)));
    BOOST_TEST(m_Authority.usableLevel(at(seconds(0))) == 1U);
  }
}

BOOST_AUTO_TEST_CASE(Level_after_three_slow_calls_in_a_row_is_cold) {
  const TimePoint Now = at(seconds(0));
  warmAuthority(Now);
  succeed(m_Authority, 40, Now);
  for (int Slow = 0; Slow < 2; ++Slow)
    m_Authority.onSuccess(Boot, Quick * 5, Now);
  succeed(m_Authority, 1, Now);
  for (int Slow = 0; Slow < 2; ++Slow)
    m_Authority.onSuccess(Boot, Quick * 5, Now);
  BOOST_TEST(m_Authority.usableLevel(Now) == 12U);
  m_Authority.onSuccess(Boot, Quick * 5, Now);
  BOOST_TEST(m_Authority.usableLevel(Now) == 1U);
}

BOOST_AUTO_TEST_CASE(Owner_without_grant_uses_only_cold_slots) {
  succeed(m_Owner, 100, at(seconds(0)));
  BOOST_TEST(m_Owner.usableLevel(at(seconds(0))) == 1U);
}

BOOST_AUTO_TEST_CASE(Owner_with_grant_uses_its_level_until_it_lapses) {
  warmAuthority(at(seconds(0)));
  exchange(at(seconds(0)), at(milliseconds(10)));
  BOOST_TEST(m_Owner.usableLevel(at(milliseconds(1999))) == 12U);
  BOOST_TEST(m_Owner.usableLevel(at(milliseconds(2000))) == 1U);
}

BOOST_AUTO_TEST_CASE(Grant_that_was_long_on_its_way_is_void) {
  warmAuthority(at(seconds(0)));
  exchange(at(seconds(0)), at(seconds(3)));
  BOOST_TEST(m_Owner.usableLevel(at(seconds(3))) == 1U);
}

BOOST_AUTO_TEST_CASE(Grant_for_another_boot_id_gives_only_cold_slots) {
  warmAuthority(at(seconds(0)));
  m_Owner.onHello(NextBoot);
  exchange(at(seconds(0)), at(seconds(0)));
  BOOST_TEST(m_Owner.usableLevel(at(seconds(0))) == 1U);
}

BOOST_AUTO_TEST_CASE(Report_that_comes_twice_counts_once) {
  succeed(m_Authority, 5, at(seconds(0)));
  exchange(at(seconds(0)), at(seconds(0)));
  succeed(m_Owner, 4, at(seconds(0)));
  for (int Copy = 0; Copy < 5; ++Copy)
    m_Authority.onReport(*m_Owner.makeReport(), at(seconds(0)));
  BOOST_TEST(m_Authority.usableLevel(at(seconds(0))) == 2U);
  succeed(m_Owner, 1, at(seconds(0)));
  m_Authority.onReport(*m_Owner.makeReport(), at(seconds(0)));
  BOOST_TEST(m_Authority.usableLevel(at(seconds(0))) == 4U);
}

BOOST_AUTO_TEST_CASE(Owner_that_saw_cold_takes_no_grant_from_before) {
  warmAuthority(at(seconds(0)));
  const auto Late = m_Authority.onReport(*m_Owner.makeReport(), at(seconds(0)));
  m_Owner.onColdSignal(ColdSignal::Shed, at(milliseconds(5)));
  m_Owner.onGrant(*Late, VmName("vm-a"), at(seconds(0)), at(milliseconds(10)));
  BOOST_TEST(m_Owner.usableLevel(at(milliseconds(10))) == 1U);
}

BOOST_AUTO_TEST_CASE(Authority_learns_of_cold_though_the_notice_was_lost) {
  warmAuthority(at(seconds(0)));
  BOOST_TEST(
      m_Owner.onColdSignal(ColdSignal::Shed, at(milliseconds(5))).has_value());
  exchange(at(milliseconds(10)), at(milliseconds(20)));
  BOOST_TEST(m_Authority.usableLevel(at(milliseconds(20))) == 1U);
  BOOST_TEST(!m_Owner.makeReport()->m_Regressed);
}

BOOST_AUTO_TEST_CASE(Authority_that_changes_keeps_the_level_only_by_a_grant) {
  warmAuthority(at(seconds(0)));
  exchange(at(seconds(0)), at(seconds(0)));
  m_Owner.setAuthority(VmName("vm-b"), at(seconds(1)));
  BOOST_TEST(m_Owner.usableLevel(at(seconds(9))) == 12U);
  m_Authority.setAuthority(VmName("vm-b"), at(seconds(1)));
  BOOST_TEST(m_Authority.usableLevel(at(milliseconds(2999))) == 12U);
  BOOST_TEST(m_Authority.usableLevel(at(seconds(3))) == 1U);
  m_Authority.setAuthority(VmName("vm-a"), at(seconds(3)));
  BOOST_TEST(m_Authority.usableLevel(at(seconds(3))) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
