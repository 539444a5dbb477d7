/**
 * Tests of repeated requests at the same VM and of queries from other VMs.
 */

#include "coordination/SingleRunTable.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

const AttemptToken First("first");
const AttemptToken Second("second");
const SingleRunOutcome Ran{.m_Phase = SingleRunPhase::Ran,
                           .m_Result = "done",
                           .m_Verdict = RunVerdict::Ran};
const SingleRunOutcome Released{.m_Phase = SingleRunPhase::Released,
                                .m_Verdict = RunVerdict::NotRun};

struct Fixture {
  SingleRunTable m_Table{{.m_Retention = seconds(60), .m_MaxEnded = 2}};
  TimePoint m_Now;

  JoinResult::Kind join(const AttemptToken &Token, const char *Key = "k",
                        std::uint64_t Request = 1) {
    return m_Table
        .join(ServiceName("s"), RequestKey(Key), Fingerprint(Request), Token,
              WaiterId(5), m_Now)
        .m_Kind;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SingleRunTableTest, Fixture)

BOOST_AUTO_TEST_CASE(SecondTry_ofARunningAttempt_joinsAndIsNotified) {
  BOOST_TEST((join(First) == JoinResult::Kind::Begin));
  BOOST_TEST((join(Second) == JoinResult::Kind::Joined));
  const std::vector<WaiterId> Notified = m_Table.end(First, Ran, m_Now);
  BOOST_REQUIRE_EQUAL(Notified.size(), 1U);
  BOOST_TEST((Notified[0] == WaiterId(5)));
  BOOST_TEST((join(Second) == JoinResult::Kind::Ended));
}

BOOST_AUTO_TEST_CASE(SecondTry_ofAReleasedAttempt_startsANewAttempt) {
  join(First);
  m_Table.end(First, Released, m_Now);
  BOOST_TEST((join(Second) == JoinResult::Kind::Begin));
  BOOST_TEST(m_Table.running() == 1U);
}

BOOST_AUTO_TEST_CASE(SecondTry_withAnotherRequest_isKeyReused) {
  join(First);
  BOOST_TEST((join(Second, "k", 2) == JoinResult::Kind::KeyReused));
}

BOOST_AUTO_TEST_CASE(Attempt_decidedByAnotherRecord_isDropped) {
  join(First);
  join(Second);
  BOOST_TEST(m_Table.end(First, std::nullopt, m_Now).size() == 1U);
  BOOST_TEST((join(Second) == JoinResult::Kind::Begin));
}

BOOST_AUTO_TEST_CASE(Peer_query_isAnsweredAtOnceOrAtTheEnd) {
  BOOST_TEST((m_Table.ask(First, WaiterId(9), m_Now)->m_Kind ==
              HolderReply::Kind::Gone));
  join(First);
  BOOST_TEST(!m_Table.ask(First, WaiterId(9), m_Now));
  BOOST_TEST(m_Table.end(First, Ran, m_Now).size() == 1U);
  BOOST_TEST(m_Table.ask(First, WaiterId(9), m_Now)->m_Outcome.m_Result ==
             "done");
}

BOOST_AUTO_TEST_CASE(ReleaseAge_isCountedFromTheRecordedRelease) {
  join(First);
  m_Table.end(First, Released, m_Now);
  m_Now += seconds(1);
  const auto Age = [this] {
    return m_Table.ask(First, WaiterId(9), m_Now)->m_ReleaseAge;
  };
  BOOST_TEST((Age() == Duration::zero()));
  m_Table.markRecorded(First, m_Now);
  m_Now += seconds(2);
  BOOST_TEST((Age() == seconds(2)));
}

BOOST_AUTO_TEST_CASE(EndedAttempts_beyondTimeOrNumber_areDropped) {
  for (const char *Key : {"a", "b", "c"}) {
    join(AttemptToken(Key), Key);
    m_Table.end(AttemptToken(Key), Ran, m_Now);
  }
  BOOST_TEST(m_Table.size() == 2U);
  BOOST_TEST((join(First, "a") == JoinResult::Kind::Begin));
  m_Table.expire(m_Now + seconds(60));
  BOOST_TEST(m_Table.size() == 1U);
  BOOST_TEST(m_Table.running() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
