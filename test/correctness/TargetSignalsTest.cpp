/** What targets say about themselves in their replies. */

#include "coordination/TargetRegistry.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Fixture {
  TargetSignals m_Signals;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetSignalsTest, Fixture)

BOOST_AUTO_TEST_CASE(Target_withoutSignals_isNeitherLeavingNorWaiting) {
  BOOST_TEST(!m_Signals.onReply({}, Start).m_StartedLeaving);
  BOOST_TEST(!m_Signals.isLeaving());
  BOOST_TEST(!m_Signals.isWaiting(Start));
}

BOOST_AUTO_TEST_CASE(Leaving_saidOnce_isKeptWhateverLaterRepliesSay) {
  BOOST_TEST(m_Signals.onReply({.m_IsLeaving = true}, Start).m_StartedLeaving);
  BOOST_TEST(!m_Signals.onReply({.m_IsLeaving = true}, Start + seconds(1))
                  .m_StartedLeaving);
  m_Signals.onReply({}, Start + seconds(2));
  BOOST_TEST(m_Signals.isLeaving());
  BOOST_TEST((*m_Signals.leavingSince() == Start));
}

BOOST_AUTO_TEST_CASE(Wait_endsAtItsTime) {
  BOOST_TEST(
      m_Signals.onReply({.m_WaitTime = seconds(2)}, Start).m_StartedWait);
  BOOST_TEST(m_Signals.isWaiting(Start + milliseconds(1999)));
  BOOST_TEST(!m_Signals.isWaiting(Start + seconds(2)));
}

BOOST_AUTO_TEST_CASE(Wait_whileAnotherRuns_neverShortensIt) {
  m_Signals.onReply({.m_WaitTime = seconds(5)}, Start);
  BOOST_TEST(!m_Signals.onReply({.m_WaitTime = seconds(1)}, Start + seconds(1))
                  .m_StartedWait);
  BOOST_TEST((m_Signals.waitEnd() == Start + seconds(5)));
  m_Signals.onReply({.m_WaitTime = seconds(9)}, Start + seconds(1));
  BOOST_TEST((m_Signals.waitEnd() == Start + seconds(10)));
}

BOOST_AUTO_TEST_CASE(Signals_ofAProcess_endWithIt) {
  TargetRegistry Registry{TargetRegistryOptions{}};
  const ServiceName Service("desk");
  Registry.upsert(makeEntry("i-1", "desk", "nz-south-a", 1000), Start, Start);
  Registry.targets(Service)[0]->m_Signals.onReply(
      {.m_IsLeaving = true, .m_WaitTime = seconds(9)}, Start);
  // A later entry of the same process doesn't take the signals back.
  TargetEntry Later = makeEntry("i-1", "desk", "nz-south-a", 1000);
  Later.m_Slots = 9;
  Registry.upsert(Later, Start, Start);
  BOOST_TEST(Registry.targets(Service)[0]->m_Signals.isLeaving());
  Registry.upsert(makeEntry("i-1", "desk", "nz-south-a", 2000), Start, Start);
  BOOST_TEST(!Registry.targets(Service)[0]->m_Signals.isLeaving());
  BOOST_TEST(!Registry.targets(Service)[0]->m_Signals.isWaiting(Start));
}

BOOST_AUTO_TEST_SUITE_END()
