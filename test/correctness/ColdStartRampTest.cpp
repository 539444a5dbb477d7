#include "coordination/ColdStartRamp.h"
#include "support/Members.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

const BootId Boot("boot-1");
const BootId NextBoot("boot-2");
constexpr Duration FastLatency = milliseconds(10);

/** A target with 12 slots, its authority and one other slot owner. */
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
      Ramp.onSuccess(Boot, FastLatency, Now);
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

BOOST_AUTO_TEST_CASE(Level_afterEnoughSuccesses_doubles) {
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

BOOST_AUTO_TEST_CASE(Level_afterANewBootId_isCold) {
  warmAuthority(at(seconds(0)));
  m_Authority.onHello(NextBoot);
  BOOST_TEST(m_Authority.usableLevel(at(seconds(0))) == 1U);
}

BOOST_AUTO_TEST_CASE(Success_ofThePreviousProcess_doesNotRaiseTheLevel) {
  m_Authority.onHello(NextBoot);
  succeed(m_Authority, 100, at(seconds(0)));
  BOOST_TEST(m_Authority.usableLevel(at(seconds(0))) == 1U);
}

BOOST_AUTO_TEST_CASE(Level_afterAnyColdSignal_isCold) {
  for (ColdSignal Signal :
       {ColdSignal::ConnectRefused, ColdSignal::AllConnectionsLost,
        ColdSignal::Shed, ColdSignal::LatencyIncrease}) {
    m_Authority.onHello(Boot);
    warmAuthority(at(seconds(0)));
    m_Authority.onColdSignal(Signal, at(seconds(0)));
    BOOST_TEST(m_Authority.usableLevel(at(seconds(0))) == 1U);
  }
}

BOOST_AUTO_TEST_CASE(Level_afterThreeConsecutiveSlowCalls_isCold) {
  const TimePoint Now = at(seconds(0));
  warmAuthority(Now);
  succeed(m_Authority, 40, Now);
  for (int Slow = 0; Slow < 2; ++Slow)
    m_Authority.onSuccess(Boot, FastLatency * 5, Now);
  succeed(m_Authority, 1, Now);
  for (int Slow = 0; Slow < 2; ++Slow)
    m_Authority.onSuccess(Boot, FastLatency * 5, Now);
  BOOST_TEST(m_Authority.usableLevel(Now) == 12U);
  m_Authority.onSuccess(Boot, FastLatency * 5, Now);
  BOOST_TEST(m_Authority.usableLevel(Now) == 1U);
}

BOOST_AUTO_TEST_CASE(Owner_withoutGrant_usesOnlyColdSlots) {
  succeed(m_Owner, 100, at(seconds(0)));
  BOOST_TEST(m_Owner.usableLevel(at(seconds(0))) == 1U);
}

BOOST_AUTO_TEST_CASE(Owner_withGrant_usesItsLevelUntilItExpires) {
  warmAuthority(at(seconds(0)));
  exchange(at(seconds(0)), at(milliseconds(10)));
  BOOST_TEST(m_Owner.usableLevel(at(milliseconds(1999))) == 12U);
  BOOST_TEST(m_Owner.usableLevel(at(milliseconds(2000))) == 1U);
}

BOOST_AUTO_TEST_CASE(Grant_delayedBeyondItsLifetime_isIgnored) {
  warmAuthority(at(seconds(0)));
  exchange(at(seconds(0)), at(seconds(3)));
  BOOST_TEST(m_Owner.usableLevel(at(seconds(3))) == 1U);
}

BOOST_AUTO_TEST_CASE(Grant_forAnotherBootId_allowsOnlyColdSlots) {
  warmAuthority(at(seconds(0)));
  m_Owner.onHello(NextBoot);
  exchange(at(seconds(0)), at(seconds(0)));
  BOOST_TEST(m_Owner.usableLevel(at(seconds(0))) == 1U);
}

BOOST_AUTO_TEST_CASE(Report_receivedRepeatedly_countsOnce) {
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

BOOST_AUTO_TEST_CASE(Owner_afterAColdSignal_ignoresAnEarlierGrant) {
  warmAuthority(at(seconds(0)));
  const auto Late = m_Authority.onReport(*m_Owner.makeReport(), at(seconds(0)));
  m_Owner.onColdSignal(ColdSignal::Shed, at(milliseconds(5)));
  m_Owner.onGrant(*Late, VmName("vm-a"), at(seconds(0)), at(milliseconds(10)));
  BOOST_TEST(m_Owner.usableLevel(at(milliseconds(10))) == 1U);
}

BOOST_AUTO_TEST_CASE(Authority_whenTheNoticeIsLost_dropsToColdByTheReport) {
  warmAuthority(at(seconds(0)));
  BOOST_TEST(
      m_Owner.onColdSignal(ColdSignal::Shed, at(milliseconds(5))).has_value());
  exchange(at(milliseconds(10)), at(milliseconds(20)));
  BOOST_TEST(m_Authority.usableLevel(at(milliseconds(20))) == 1U);
  BOOST_TEST(!m_Owner.makeReport()->m_Regressed);
}

BOOST_AUTO_TEST_CASE(Level_afterAChangeOfAuthority_isKeptOnlyByAGrant) {
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
