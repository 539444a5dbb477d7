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

  PublishedConfig otherChangeAt(ConfigVersion Version,
                                std::vector<std::string> Previous) const {
    return {.m_Version = Version,
            .m_ChangeId = "other",
            .m_PreviousChanges = std::move(Previous),
            .m_HasPreviousChanges = true};
  }

  /** Sends the first write; its reply is pending. */
  void writeOnce() {
    m_Publisher.start();
    const PublishStep Step = m_Publisher.onRead(atBase(), m_Now);
    BOOST_REQUIRE((Step.m_Kind == Kind::Write));
    BOOST_REQUIRE((Step.m_Base == Base));
  }

  void loseReply() {
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
  TimePoint m_Deadline = m_Now + seconds(10);
  ConfigPublisher m_Publisher{{.m_ChangeId = "mine", .m_Deadline = m_Deadline}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigPublisherTest, PublisherFixture)

BOOST_AUTO_TEST_CASE(Write_withReply_isAccepted) {
  writeOnce();
  const PublishStep Step = m_Publisher.onWritten({}, Next, m_Now);
  BOOST_TEST(isDone(Step, PublishOutcome::Accepted));
  BOOST_TEST((Step.m_Version == Next));
}

BOOST_AUTO_TEST_CASE(Conflict_withAnotherChange_reportsThatChange) {
  writeOnce();
  const PublishStep Read =
      m_Publisher.onWritten(Errc::VersionConflict, Next, m_Now);
  BOOST_TEST((Read.m_Kind == Kind::Read));
  const PublishStep Step =
      m_Publisher.onRead(otherChangeAt(Next, {"base"}), m_Now);
  BOOST_TEST(isDone(Step, PublishOutcome::Conflict));
  BOOST_TEST(Step.m_CurrentChange == "other");
  BOOST_TEST((Step.m_Version == Next));
}

BOOST_AUTO_TEST_CASE(Conflict_withOwnChange_isAccepted) {
  writeOnce();
  m_Publisher.onWritten(Errc::VersionConflict, Next, m_Now);
  const PublishStep Step =
      m_Publisher.onRead({.m_Version = Next, .m_ChangeId = "mine"}, m_Now);
  BOOST_TEST(isDone(Step, PublishOutcome::Accepted));
}

BOOST_AUTO_TEST_CASE(LostReply_ofAnEffectiveWrite_isReadBackAsAccepted) {
  loseReply();
  const PublishStep Step =
      m_Publisher.onRead({.m_Version = Next, .m_ChangeId = "mine"}, m_Now);
  BOOST_TEST(isDone(Step, PublishOutcome::Accepted));
  BOOST_TEST((Step.m_Version == Next));
}

BOOST_AUTO_TEST_CASE(LostReply_followedByALaterChange_isSuperseded) {
  loseReply();
  const PublishStep Step =
      m_Publisher.onRead(otherChangeAt(AfterNext, {"mine", "base"}), m_Now);
  BOOST_TEST(isDone(Step, PublishOutcome::Superseded));
}

BOOST_AUTO_TEST_CASE(LostReply_ofAWriteWithoutEffect_isWrittenAgainOnTheBase) {
  loseReply();
  const PublishStep Step = m_Publisher.onRead(atBase(), m_Now);
  BOOST_TEST((Step.m_Kind == Kind::Write));
  BOOST_TEST((Step.m_Base == Base));
}

BOOST_AUTO_TEST_CASE(LostReply_andAnotherChangeOnTheBase_isConflict) {
  loseReply();
  BOOST_TEST(isDone(m_Publisher.onRead(otherChangeAt(Next, {"base"}), m_Now),
                    PublishOutcome::Conflict));
}

// The writer of the current object kept no history, so this change may have
// been in effect before it.
BOOST_AUTO_TEST_CASE(LostReply_andAChangeWithoutHistory_isUnknown) {
  loseReply();
  BOOST_TEST(isDone(m_Publisher.onRead(
                        {.m_Version = AfterNext, .m_ChangeId = "other"}, m_Now),
                    PublishOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(Outage_beforeAnyWrite_isNotAccepted) {
  m_Publisher.start();
  BOOST_TEST((m_Publisher.onReadFailed(m_Now).m_Kind == Kind::Wait));
  BOOST_TEST(isDone(m_Publisher.onReadFailed(m_Deadline),
                    PublishOutcome::NotAccepted));
}

BOOST_AUTO_TEST_CASE(Outage_afterALostReply_isUnknown) {
  loseReply();
  BOOST_TEST((m_Publisher.onRead(atBase(), m_Now).m_Kind == Kind::Write));
  const PublishStep Step =
      m_Publisher.onWritten(Errc::PlatformUnavailable, {}, m_Deadline);
  BOOST_TEST(isDone(Step, PublishOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(Outage_afterAnEarlierUnknownRun_isUnknown) {
  ConfigPublisher Publisher({.m_ChangeId = "mine",
                             .m_Base = Base,
                             .m_IsResolvingUnknown = true,
                             .m_Deadline = m_Deadline});
  Publisher.start();
  BOOST_TEST(
      isDone(Publisher.onReadFailed(m_Deadline), PublishOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(Outage_endingBeforeTheDeadline_continuesWithTheWrite) {
  m_Publisher.start();
  m_Publisher.onReadFailed(m_Now);
  m_Publisher.onTick(m_Now + seconds(1));
  BOOST_TEST(
      (m_Publisher.onRead(atBase(), m_Now + seconds(1)).m_Kind == Kind::Write));
}

BOOST_AUTO_TEST_CASE(StaleRead_afterAConflict_isRepeated) {
  writeOnce();
  m_Publisher.onWritten(Errc::VersionConflict, Next, m_Now);
  BOOST_TEST((m_Publisher.onRead(atBase(), m_Now).m_Kind == Kind::Wait));
  const PublishStep Step = m_Publisher.onRead(atBase(), m_Deadline);
  BOOST_TEST(isDone(Step, PublishOutcome::Conflict));
  BOOST_TEST((Step.m_Version == Next));
}

BOOST_AUTO_TEST_CASE(ExpectedBase_olderThanTheObject_isConflict) {
  ConfigPublisher Publisher({.m_ChangeId = "mine",
                             .m_Base = ConfigVersion(16),
                             .m_Deadline = m_Deadline});
  Publisher.start();
  BOOST_TEST(
      isDone(Publisher.onRead(atBase(), m_Now), PublishOutcome::Conflict));
}

BOOST_AUTO_TEST_CASE(ExpectedBase_newerThanTheObject_isNotAccepted) {
  ConfigPublisher Publisher(
      {.m_ChangeId = "mine", .m_Base = AfterNext, .m_Deadline = m_Deadline});
  Publisher.start();
  BOOST_TEST((Publisher.onRead(atBase(), m_Now).m_Kind == Kind::Wait));
  const PublishStep Step = Publisher.onRead(atBase(), m_Deadline);
  BOOST_TEST(isDone(Step, PublishOutcome::NotAccepted));
  BOOST_TEST((Step.m_Version == Base));
}

BOOST_AUTO_TEST_SUITE_END()
