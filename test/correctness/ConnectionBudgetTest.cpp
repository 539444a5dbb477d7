#include "coordination/ConnectionBudget.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace figturn;

namespace {

constexpr std::size_t Thread = 0;
constexpr std::size_t OtherThread = 1;
constexpr std::size_t MaxBytes = 1000000;

struct Fixture {
  using Id = ConnectionBudget::ConnectionId;
  using Ids = ConnectionBudget::ConnectionIds;

  Id open(const std::string &Client, std::size_t Owner = Thread) {
    return m_Budget.open(Client, Owner, m_Now);
  }
  ConnectionBudget::Verdict
  hold(Id Connection, std::size_t Bytes,
       ConnectionPhase Phase = ConnectionPhase::Receiving) {
    return m_Budget.update(Connection, {Phase, Bytes}, true, m_Now);
  }

  ConnectionBudget m_Budget{{.m_MaxBytes = MaxBytes, .m_MaxConnections = 8}};
  TimePoint m_Now{std::chrono::hours(1)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionBudgetTest, Fixture)

BOOST_AUTO_TEST_CASE(Bytes_beyondTheLimit_areReleasedByTheLongestStalled) {
  const Id Stalled = open("a");
  hold(Stalled, 300000);
  m_Now += seconds(1);
  const Id Active = open("a");
  hold(Active, 600000);
  const Id New = open("a");
  const auto Verdict = hold(New, 200000);
  BOOST_TEST(Verdict.m_IsAccepted);
  BOOST_TEST((Verdict.m_Evicted == Ids{Stalled}));
  BOOST_TEST(Verdict.m_IsNewlyFull);
  BOOST_TEST(m_Budget.heldBytes() == 800000U);
}

BOOST_AUTO_TEST_CASE(Bytes_ofACrowd_areReleasedBeforeThoseOfOtherClients) {
  const Id Other = open("b");
  hold(Other, 250000);
  m_Now += seconds(5);
  Ids Crowd;
  for (int I = 0; I < 7; ++I)
    Crowd.push_back(open("a"));
  for (const Id Each : Crowd)
    for (const Id Released : hold(Each, 300000).m_Evicted)
      BOOST_TEST(Released != Other);
  BOOST_TEST(m_Budget.heldBytes() <= MaxBytes);
}

BOOST_AUTO_TEST_CASE(Bytes_ofTheLargestHolder_areNotAccepted) {
  const Id Small = open("a");
  hold(Small, 10);
  const Id Large = open("b");
  BOOST_TEST(!hold(Large, MaxBytes + 1).m_IsAccepted);
  BOOST_TEST(m_Budget.heldBytes() == 10U);
}

BOOST_AUTO_TEST_CASE(Bytes_ofOtherThreads_countUntilTheyAreReleased) {
  const Id Remote = open("a", OtherThread);
  hold(Remote, 900000);
  m_Now += seconds(1);
  const Id Local = open("a");
  BOOST_TEST((hold(Local, 300000).m_Evicted == Ids{Remote}));
  BOOST_TEST(m_Budget.heldBytes() == 1200000U);
  // Beyond the tolerance, the local one has to give way.
  BOOST_TEST(!hold(Local, 400000).m_IsAccepted);
  m_Budget.close(Remote);
  BOOST_TEST(m_Budget.heldBytes() == 0U);
  BOOST_TEST(hold(Local, 400000).m_IsAccepted);
}

BOOST_AUTO_TEST_CASE(Requests_ofACrowd_leaveRoomForSmallOnesAndOtherClients) {
  std::size_t Accepted = 0;
  while (m_Budget.chargeRequest("a", Thread, 0, 100000, m_Now).m_IsAccepted)
    ++Accepted;
  BOOST_TEST(Accepted == 5U); // Half of the limit.
  BOOST_TEST(m_Budget.chargeRequest("a", Thread, 0, 5000, m_Now).m_IsAccepted);
  BOOST_TEST(
      m_Budget.chargeRequest("b", Thread, 0, 100000, m_Now).m_IsAccepted);
  while (m_Budget.chargeRequest("a", Thread, 0, 5000, m_Now).m_IsAccepted)
    ;
  BOOST_TEST(m_Budget.chargeRequest("b", Thread, 0, 5000, m_Now).m_IsAccepted);
}

BOOST_AUTO_TEST_CASE(Request_alone_isAcceptedWhateverItsSize) {
  BOOST_TEST(
      m_Budget.chargeRequest("a", Thread, 0, 100000, m_Now).m_IsAccepted);
  BOOST_TEST(m_Budget.chargeRequest("a", Thread, 100000, MaxBytes, m_Now)
                 .m_IsAccepted);
  m_Budget.releaseRequest("a", MaxBytes + 100000);
  BOOST_TEST(
      m_Budget.chargeRequest("a", Thread, 0, 2 * MaxBytes, m_Now).m_IsAccepted);
  BOOST_TEST(
      !m_Budget.chargeRequest("a", Thread, 0, 100000, m_Now).m_IsAccepted);
  m_Budget.releaseRequest("a", 2 * MaxBytes);
  BOOST_TEST(
      m_Budget.chargeRequest("a", Thread, 0, 100000, m_Now).m_IsAccepted);
}

// Regression: a request that was accepted because it was alone kept out small
// requests, and those still being received.
BOOST_AUTO_TEST_CASE(Request_beyondItsShare_leavesRoomForSmallOnes) {
  for (const std::size_t Bytes : {MaxBytes / 5 * 4, MaxBytes, 2 * MaxBytes}) {
    BOOST_TEST_CONTEXT(Bytes) {
      // Charged in two steps, as the second depends on the number of calls.
      const std::size_t First = 100000;
      BOOST_TEST(
          m_Budget.chargeRequest("a", Thread, 0, First, m_Now).m_IsAccepted);
      BOOST_TEST(
          m_Budget.chargeRequest("a", Thread, First, Bytes - First, m_Now)
              .m_IsAccepted);
      for (const char *Client : {"a", "b"}) {
        const Id Receiving = open(Client);
        BOOST_TEST(hold(Receiving, 60000).m_IsAccepted, Client);
        m_Budget.close(Receiving);
        BOOST_TEST(
            m_Budget.chargeRequest(Client, Thread, 0, 5000, m_Now).m_IsAccepted,
            Client);
      }
      m_Budget.releaseRequest("a", 5000);
      m_Budget.releaseRequest("b", 5000);
      m_Budget.releaseRequest("a", Bytes);
      BOOST_TEST(m_Budget.heldBytes() == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(SmallRequests_thatGrow_takeNoneOfTheSmallOnesRoom) {
  const auto AcceptSmallOnes = [this](const char *Client) {
    std::size_t Accepted = 0;
    while (m_Budget.chargeRequest(Client, Thread, 0, 5000, m_Now).m_IsAccepted)
      BOOST_TEST_REQUIRE(++Accepted <= MaxBytes / 5000);
    return Accepted;
  };
  for (int Round = 0; Round < 3; ++Round) {
    BOOST_TEST(
        m_Budget.chargeRequest("a", Thread, 0, 5000, m_Now).m_IsAccepted);
    BOOST_TEST(m_Budget.chargeRequest("a", Thread, 5000, 2 * MaxBytes, m_Now)
                   .m_IsAccepted);
    // A quarter of the limit, of which one client may have three quarters.
    const std::size_t OfOneClient = AcceptSmallOnes("a");
    const std::size_t OfAnother = AcceptSmallOnes("b");
    BOOST_TEST(OfOneClient == 37U);
    BOOST_TEST(OfAnother == 13U);
    for (std::size_t I = 0; I < OfOneClient; ++I)
      m_Budget.releaseRequest("a", 5000);
    for (std::size_t I = 0; I < OfAnother; ++I)
      m_Budget.releaseRequest("b", 5000);
    m_Budget.releaseRequest("a", 2 * MaxBytes + 5000);
    BOOST_TEST(m_Budget.heldBytes() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(Bytes_ofSmallHolders_areNotReleasedForLargeRequests) {
  const Id Small = open("a");
  hold(Small, 4000);
  const auto Verdict =
      m_Budget.chargeRequest("b", Thread, 0, 2 * MaxBytes, m_Now);
  BOOST_TEST(Verdict.m_IsAccepted);
  BOOST_TEST(Verdict.m_Evicted.empty());
}

BOOST_AUTO_TEST_CASE(Connection_atTheLimit_replacesIdleOnesFirst) {
  Ids All;
  for (int I = 0; I < 8; ++I)
    All.push_back(open(I % 2 == 0 ? "a" : "b"));
  hold(All[0], 0, ConnectionPhase::Pending);
  hold(All[1], 10, ConnectionPhase::Receiving);
  for (int I = 2; I < 8; ++I) {
    m_Now += seconds(1);
    hold(All[I], 0, ConnectionPhase::Idle);
  }
  const auto Admission = m_Budget.admit("c", Thread, m_Now);
  BOOST_TEST(!Admission.m_HasRoom);
  BOOST_TEST((Admission.m_Candidates ==
              Ids{All[2], All[3], All[4], All[5], All[6], All[7], All[1]}));
  m_Budget.close(All[3]);
  BOOST_TEST(m_Budget.admit("c", Thread, m_Now).m_HasRoom);
}

BOOST_AUTO_TEST_CASE(Connection_sendingAnAnswer_isReplacedWhenStalled) {
  for (int I = 0; I < 8; ++I)
    hold(open(I % 2 == 0 ? "a" : "b"), 10, ConnectionPhase::Sending);
  BOOST_TEST(m_Budget.admit("c", Thread, m_Now).m_Candidates.empty());
  m_Now += seconds(1);
  BOOST_TEST(m_Budget.admit("c", Thread, m_Now).m_Candidates.size() == 8U);
}

BOOST_AUTO_TEST_CASE(Connection_ofAClientAtItsShare_replacesItsOwn) {
  Ids Crowd;
  for (int I = 0; I < 6; ++I)
    Crowd.push_back(open("a"));
  const Id Other = open("b");
  const auto Admission = m_Budget.admit("a", Thread, m_Now);
  BOOST_TEST(!Admission.m_HasRoom);
  BOOST_TEST((Admission.m_Candidates == Crowd));
  BOOST_TEST(m_Budget.admit("b", Thread, m_Now).m_HasRoom);
  BOOST_TEST(Other != 0U);
}

BOOST_AUTO_TEST_CASE(Bytes_afterRandomChanges_areAllReturned) {
  std::minstd_rand Random(7);
  std::vector<Id> Open;
  std::vector<std::pair<std::string, std::size_t>> Requests;
  const std::vector<std::string> Clients{"a", "b", "c"};
  for (int I = 0; I < 20000; ++I) {
    m_Now += milliseconds(Random() % 50);
    const std::string &Client = Clients[Random() % Clients.size()];
    if (Random() % 4 == 0 && Open.size() < 20)
      Open.push_back(open(Client, Random() % 2));
    if (!Open.empty())
      hold(Open[Random() % Open.size()], Random() % 300000,
           static_cast<ConnectionPhase>(Random() % 5));
    if (const std::size_t Bytes = Random() % 90000;
        m_Budget.chargeRequest(Client, Random() % 2, 0, Bytes, m_Now)
            .m_IsAccepted)
      Requests.emplace_back(Client, Bytes);
    if (Random() % 5 == 0 && !Open.empty()) {
      m_Budget.close(Open.back());
      Open.pop_back();
    }
    if (Random() % 2 == 0 && !Requests.empty()) {
      m_Budget.releaseRequest(Requests.back().first, Requests.back().second);
      Requests.pop_back();
    }
  }
  for (const Id Each : Open)
    m_Budget.close(Each);
  for (const auto &[Client, Bytes] : Requests)
    m_Budget.releaseRequest(Client, Bytes);
  BOOST_TEST(m_Budget.heldBytes() == 0U);
  BOOST_TEST(m_Budget.connections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
