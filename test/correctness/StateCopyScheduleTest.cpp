/** When a VM requests copies of its peers' state or reads from the platform. */

#include "coordination/StateCopySchedule.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Fixture {
  StateCopySchedule m_Schedule{{.m_WatcherDelay = milliseconds(700),
                                .m_MinInterval = milliseconds(300),
                                .m_DeferredDelay = milliseconds(100),
                                .m_StoreReadDelay = milliseconds(1500),
                                .m_WatcherStoreReadDelay = milliseconds(1000)}};
  TimePoint m_Now = Start;

  CopyStep next(bool IsBehind = true, bool HasCurrentWatch = false) {
    return m_Schedule.next(IsBehind, HasCurrentWatch, m_Now);
  }
  /** Counts the steps of a VM that is behind for \p Time, while each copy ends
   *  with \p Outcome after 50 ms. */
  int countSteps(CopyStep Counted, CopyOutcome Outcome, Duration Time) {
    int Count = 0;
    for (const TimePoint End = m_Now + Time; m_Now < End;) {
      const CopyStep Step = next();
      Count += Step == Counted ? 1 : 0;
      m_Now += milliseconds(50);
      if (Step == CopyStep::AskPeer)
        m_Schedule.onEnded(Outcome, m_Now);
    }
    return Count;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StateCopyScheduleTest, Fixture)

BOOST_AUTO_TEST_CASE(VmThatIsBehind_asksOnePeerAtATime) {
  BOOST_TEST((next(false) == CopyStep::None));
  BOOST_TEST((next() == CopyStep::AskPeer));
  m_Now += milliseconds(400);
  BOOST_TEST((next() == CopyStep::None));
  m_Schedule.onEnded(CopyOutcome::Failed, m_Now);
  BOOST_TEST((next() == CopyStep::AskPeer));
}

BOOST_AUTO_TEST_CASE(DeferredRequest_isRepeatedSoon) {
  next();
  m_Schedule.onEnded(CopyOutcome::Deferred, m_Now);
  m_Now += milliseconds(99);
  BOOST_TEST((next() == CopyStep::None));
  m_Now += milliseconds(1);
  BOOST_TEST((next() == CopyStep::AskPeer));
}

BOOST_AUTO_TEST_CASE(Watcher_waitsForItsOwnWatchFirst) {
  BOOST_TEST((next(true, true) == CopyStep::None));
  m_Now += milliseconds(699);
  BOOST_TEST((next(true, true) == CopyStep::None));
  m_Now += milliseconds(1);
  BOOST_TEST((next(true, true) == CopyStep::AskPeer));
}

// With a silent watch and a frozen peer, a change took effect after 3.5 s.
BOOST_AUTO_TEST_CASE(Watcher_whosePeerIsSilent_readsTheStoreSooner) {
  int Reads = 0;
  for (const TimePoint End = m_Now + milliseconds(1000); m_Now <= End;
       m_Now += milliseconds(50))
    Reads += next(true, true) == CopyStep::ReadStore ? 1 : 0;
  BOOST_TEST(Reads == 1);
}

BOOST_AUTO_TEST_CASE(CopyThatBringsNothing_doesNotPostponeTheStoreRead) {
  BOOST_TEST(countSteps(CopyStep::ReadStore, CopyOutcome::Complete,
                        milliseconds(5000)) == 0);
  m_Schedule.next(false, false, m_Now);
  BOOST_TEST(countSteps(CopyStep::ReadStore, CopyOutcome::Unchanged,
                        milliseconds(2000)) == 1);
}

BOOST_AUTO_TEST_CASE(VmThatItsPeersDoNotServe_readsTheStore) {
  BOOST_TEST(countSteps(CopyStep::ReadStore, CopyOutcome::Failed,
                        milliseconds(1500)) == 0);
  BOOST_TEST(countSteps(CopyStep::ReadStore, CopyOutcome::Failed,
                        milliseconds(3000)) == 2);
  BOOST_TEST(countSteps(CopyStep::ReadStore, CopyOutcome::Deferred,
                        milliseconds(3000)) == 2);
}

BOOST_AUTO_TEST_CASE(VmBehindAnUnbrokenSeriesOfChanges_doesNotReadTheStore) {
  BOOST_TEST(
      countSteps(CopyStep::ReadStore, CopyOutcome::Complete, seconds(30)) == 0);
  BOOST_TEST(
      countSteps(CopyStep::AskPeer, CopyOutcome::Complete, seconds(30)) >= 90);
}

BOOST_AUTO_TEST_CASE(BulkyCopies_areLimitedAndSmallOnesAreNot) {
  BOOST_TEST(maySendCopy(800000, 1));
  BOOST_TEST(maySendCopy(800000, 3));
  BOOST_TEST(!maySendCopy(800000, 4));
  BOOST_TEST(maySendCopy(2000, 100));
}

BOOST_AUTO_TEST_SUITE_END()
