/** Tests of the sequence of list and watch calls to the store. */

#include "coordination/WatchSequence.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Fixture {
  WatchSequence m_Sequence{WatchOptions{}, 1, Start};

  bool isNext(StoreCall Call) const { return m_Sequence.next().m_Call == Call; }
  Duration wait(TimePoint Now = Start) const {
    return m_Sequence.next().m_DueTime - Now;
  }
  void listAll(std::uint64_t Revision = 40) {
    m_Sequence.onPage(Revision, false, "z", Start);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WatchSequenceTest, Fixture)

BOOST_AUTO_TEST_CASE(Listing_isReadPageByPageAndWatchedFromItsFirstPage) {
  BOOST_TEST(isNext(StoreCall::List));
  m_Sequence.onPage(40, true, "m", Start);
  BOOST_TEST(isNext(StoreCall::List));
  BOOST_TEST(m_Sequence.next().m_ListAfter == "m");
  BOOST_TEST(!m_Sequence.isComplete());
  m_Sequence.onPage(45, false, "z", Start);
  BOOST_TEST(isNext(StoreCall::Watch));
  BOOST_TEST(m_Sequence.next().m_Revision == 40U);
  BOOST_TEST(m_Sequence.isComplete());
}

BOOST_AUTO_TEST_CASE(Watch_endingWithoutChanges_isRenewedAtOnce) {
  listAll();
  m_Sequence.onWatched(50, false, Start);
  BOOST_TEST(m_Sequence.next().m_Revision == 50U);
  BOOST_TEST((wait() == Duration(0)));
}

BOOST_AUTO_TEST_CASE(BurstOfChanges_causesAtMostFourCallsPerSecond) {
  listAll();
  m_Sequence.onWatched(50, true, Start);
  BOOST_TEST((wait() == milliseconds(250)));
}

BOOST_AUTO_TEST_CASE(Revision_ofALateReply_neverMovesTheWatchBack) {
  listAll(40);
  m_Sequence.onWatched(30, true, Start);
  BOOST_TEST(m_Sequence.next().m_Revision == 40U);
}

BOOST_AUTO_TEST_CASE(CompactedHistory_isFollowedByAListing) {
  listAll();
  m_Sequence.onHistoryCompacted(Start);
  BOOST_TEST(isNext(StoreCall::List));
  BOOST_TEST(m_Sequence.isComplete());
  BOOST_TEST(m_Sequence.isListing());
}

// Guards against missed changes: a store that was compacting its history
// accepted a watch at an old revision and never delivered the changes since.
BOOST_AUTO_TEST_CASE(FailedWatch_isFollowedByAListing) {
  listAll();
  m_Sequence.onFailure(Start);
  BOOST_TEST(isNext(StoreCall::List));
  BOOST_TEST(m_Sequence.next().m_ListAfter.empty());
}

BOOST_AUTO_TEST_CASE(Failures_backOffUpToTheMaximumWithJitter) {
  for (int I = 0; I < 10; ++I)
    m_Sequence.onFailure(Start);
  BOOST_TEST((wait() >= milliseconds(400)));
  BOOST_TEST((wait() <= milliseconds(800)));
  BOOST_TEST(m_Sequence.consecutiveFailures() == 10U);
  m_Sequence.makeDueNow(Start);
  BOOST_TEST((wait() == Duration(0)));
}

BOOST_AUTO_TEST_CASE(Failure_duringAListing_readsThePageAgain) {
  m_Sequence.onPage(40, true, "m", Start);
  m_Sequence.onFailure(Start);
  BOOST_TEST(m_Sequence.next().m_ListAfter == "m");
}

BOOST_AUTO_TEST_CASE(FirstListing_delayed_isReplacedByACopy) {
  m_Sequence.delayFirstListing(Start + seconds(3));
  BOOST_TEST(isNext(StoreCall::List));
  BOOST_TEST((wait() == seconds(3)));
  BOOST_TEST(m_Sequence.isFirstListingDelayed(Start));
  BOOST_TEST(!m_Sequence.isFirstListingDelayed(Start + seconds(3)));
  m_Sequence.onCopied(40, Start);
  BOOST_TEST(!m_Sequence.isFirstListingDelayed(Start));
  BOOST_TEST(isNext(StoreCall::Watch));
  BOOST_TEST(m_Sequence.next().m_Revision == 40U);
}

BOOST_AUTO_TEST_CASE(FirstListing_thatFailed_isNotReplacedByACopy) {
  m_Sequence.onFailure(Start);
  BOOST_TEST((wait() > Duration(0)));
  BOOST_TEST(!m_Sequence.isFirstListingDelayed(Start));
}

BOOST_AUTO_TEST_CASE(LaterListing_isNeverDelayed) {
  listAll();
  m_Sequence.restart(Start);
  BOOST_TEST(!m_Sequence.isFirstListingDelayed(Start - seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
