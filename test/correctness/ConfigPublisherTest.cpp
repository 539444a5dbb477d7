#include "coordination/ConfigPublisher.h"
#include "state/Errc.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using Kind = PublishStep::Kind;

namespace {

const ConfigVersion Base(17);
const ConfigVersion Next(18);
const ConfigVersion AfterNext(19);

struct PublisherFixture {
  PublishedConfig atBase() const {
    return {
        .m_Version = Base, .m_ChangeId = "base", .m_HasPreviousChanges = true};
  }

  PublishedConfig otherAt(ConfigVersion Version,
                          std::vector<std::string> Previous) const {
    return {.m_Version = Version,
            .m_ChangeId = "other",
            .m_PreviousChanges = std::move(Previous),
            .m_HasPreviousChanges = true};
  }

  // The first write is out, its answer to come.
  void writeOnce() {
    m_Publisher.start();
    const PublishStep Step = m_Publisher.onRead(atBase(), m_Now);
    BOOST_REQUIRE((Step.m_Kind == Kind::Write));
    BOOST_REQUIRE((Step.m_Base == Base));
  }

  void loseAnswer() {
    writeOnce();
    const PublishStep Step =
        m_Publisher.onWritten(Errc::OutcomeUnknown, {}, m_Now);
    BOOST_REQUIRE((Step.m_Kind == Kind::Wait));
    m_Now = Step.m_Until;
    BOOST_REQUIRE((m_Publisher.onTick(m_Now).m_Kind == Kind::Read));
  }

  static bool isDone(const PublishStep &Step, PublishOutcome Outcome) {
    return Step.m_Kind == Kind::Done && Step.m_Outcome == Outcome;
  }

  TimePoint m_Now{seconds(100)};
  TimePoint m_GiveUpAt = m_Now + seconds(10);
  ConfigPublisher m_Publisher{{.m_ChangeId = "mine", .m_GiveUpAt = m_GiveUpAt}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigPublisherTest, PublisherFixture)

BOOST_AUTO_TEST_CASE(Write_that_is_answered_is_accepted) {
  writeOnce();
  const PublishStep Step = m_Publisher.onWritten({}, Next, m_Now);
  BOOST_TEST(isDone(Step, PublishOutcome::Accepted));
  BOOST_TEST((Step.m_Version == Next));
}

BOOST_AUTO_TEST_CASE(Conflict_names_the_change_that_won) {
  writeOnce();
  const PublishStep Read =
      m_Publisher.onWritten(Errc::VersionConflict, Next, m_Now);
  BOOST_TEST((Read.m_Kind == Kind::Read));
  const PublishStep Step = m_Publisher.onRead(otherAt(Next, {"base"}), m_Now);
  BOOST_TEST(isDone(Step, PublishOutcome::LostRace));
  BOOST_TEST(Step.m_HoldingChange == "other");
  BOOST_TEST((Step.m_Version == Next));
}

BOOST_AUTO_TEST_CASE(Conflict_with_own_change_is_accepted) {
  writeOnce();
  m_Publisher.onWritten(Errc::VersionConflict, Next, m_Now);
  const PublishStep Step =
      m_Publisher.onRead({.m_Version = Next, .m_ChangeId = "mine"}, m_Now);
  BOOST_TEST(isDone(Step, PublishOutcome::Accepted));
}

BOOST_AUTO_TEST_CASE(Lost_answer_of_effective_write_is_accepted_by_read) {
  loseAnswer();
  const PublishStep Step =
      m_Publisher.onRead({.m_Version = Next, .m_ChangeId = "mine"}, m_Now);
  BOOST_TEST(isDone(Step, PublishOutcome::Accepted));
  BOOST_TEST((Step.m_Version == Next));
}

BOOST_AUTO_TEST_CASE(Lost_answer_with_later_change_on_top_is_superseded) {
  loseAnswer();
  const PublishStep Step =
      m_Publisher.onRead(otherAt(AfterNext, {"mine", "base"}), m_Now);
  BOOST_TEST(isDone(Step, PublishOutcome::Superseded));
}

BOOST_AUTO_TEST_CASE(Lost_answer_without_effect_is_written_again_on_base) {
  loseAnswer();
  const PublishStep Step = m_Publisher.onRead(atBase(), m_Now);
  BOOST_TEST((Step.m_Kind == Kind::Write));
  BOOST_TEST((Step.m_Base == Base));
}

BOOST_AUTO_TEST_CASE(Lost_answer_and_other_change_on_base_is_lost_race) {
  loseAnswer();
  BOOST_TEST(isDone(m_Publisher.onRead(otherAt(Next, {"base"}), m_Now),
                    PublishOutcome::LostRace));
}

// The writer of the present object kept no history: this change may have
// held before it.
BOOST_AUTO_TEST_CASE(Lost_answer_and_change_without_history_is_unknown) {
  loseAnswer();
  BOOST_TEST(isDone(m_Publisher.onRead(
                        {.m_Version = AfterNext, .m_ChangeId = "other"}, m_Now),
                    PublishOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(Outage_before_any_write_is_not_accepted) {
  m_Publisher.start();
  BOOST_TEST((m_Publisher.onReadFailed(m_Now).m_Kind == Kind::Wait));
  BOOST_TEST(isDone(m_Publisher.onReadFailed(m_GiveUpAt),
                    PublishOutcome::NotAccepted));
}

BOOST_AUTO_TEST_CASE(Outage_after_lost_answer_is_unknown) {
  loseAnswer();
  BOOST_TEST((m_Publisher.onRead(atBase(), m_Now).m_Kind == Kind::Write));
  const PublishStep Step =
      m_Publisher.onWritten(Errc::PlatformUnavailable, {}, m_GiveUpAt);
  BOOST_TEST(isDone(Step, PublishOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(Outage_while_an_earlier_run_is_in_doubt_is_unknown) {
  ConfigPublisher Publisher({.m_ChangeId = "mine",
                             .m_Base = Base,
                             .m_Resolves = true,
                             .m_GiveUpAt = m_GiveUpAt});
  Publisher.start();
  BOOST_TEST(
      isDone(Publisher.onReadFailed(m_GiveUpAt), PublishOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(Outage_that_ends_in_time_goes_on_to_write) {
  m_Publisher.start();
  m_Publisher.onReadFailed(m_Now);
  m_Publisher.onTick(m_Now + seconds(1));
  BOOST_TEST(
      (m_Publisher.onRead(atBase(), m_Now + seconds(1)).m_Kind == Kind::Write));
}

BOOST_AUTO_TEST_CASE(Stale_read_after_conflict_is_read_again) {
  writeOnce();
  m_Publisher.onWritten(Errc::VersionConflict, Next, m_Now);
  BOOST_TEST((m_Publisher.onRead(atBase(), m_Now).m_Kind == Kind::Wait));
  const PublishStep Step = m_Publisher.onRead(atBase(), m_GiveUpAt);
  BOOST_TEST(isDone(Step, PublishOutcome::LostRace));
  BOOST_TEST((Step.m_Version == Next));
}

BOOST_AUTO_TEST_CASE(Base_that_operator_expects_guards_against_later_change) {
  ConfigPublisher Publisher({.m_ChangeId = "mine",
                             .m_Base = ConfigVersion(16),
                             .m_GiveUpAt = m_GiveUpAt});
  Publisher.start();
  BOOST_TEST(
      isDone(Publisher.onRead(atBase(), m_Now), PublishOutcome::LostRace));
}

BOOST_AUTO_TEST_CASE(Base_that_the_platform_never_shows_is_not_accepted) {
  ConfigPublisher Publisher(
      {.m_ChangeId = "mine", .m_Base = AfterNext, .m_GiveUpAt = m_GiveUpAt});
  Publisher.start();
  BOOST_TEST((Publisher.onRead(atBase(), m_Now).m_Kind == Kind::Wait));
  const PublishStep Step = Publisher.onRead(atBase(), m_GiveUpAt);
  BOOST_TEST(isDone(Step, PublishOutcome::NotAccepted));
  BOOST_TEST((Step.m_Version == Base));
}

BOOST_AUTO_TEST_SUITE_END()
