/**
 * Tests of a single-run attempt: when it may send, what it replies, and what it
 * records in the platform.
 */

#include "coordination/SingleRunAttempt.h"
#include "support/FakeRecordStore.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

using Kind = RecordReply::Kind;

/** Runs one attempt against a fake store, whose replies can be overridden. */
struct Driver {
  FakeRecordStore &m_Store;
  SingleRunAttempt m_Attempt;
  TimePoint m_Now;
  std::vector<SingleRunAction> m_PendingActions; ///< Not executed yet.
  int m_Sends = 0;
  std::optional<std::string> m_Answer;
  std::optional<Refusal> m_Refusal;

  Driver(FakeRecordStore &Store, SingleRunOptions Options)
      : m_Store(Store), m_Attempt(std::move(Options)) {}

  void process(SingleRunActions Actions) {
    for (SingleRunAction &Action : Actions) {
      m_Sends += std::holds_alternative<SendOnce>(Action) ? 1 : 0;
      if (const auto *Answered = std::get_if<Answer>(&Action))
        m_Answer = Answered->m_Result;
      else if (const auto *Refused = std::get_if<Refuse>(&Action))
        m_Refusal = Refused->m_Refusal;
      else
        m_PendingActions.push_back(std::move(Action));
    }
  }

  template <typename T> T takePending() {
    BOOST_REQUIRE_EQUAL(m_PendingActions.size(), 1U);
    BOOST_REQUIRE(std::holds_alternative<T>(m_PendingActions.front()));
    T Found = std::get<T>(m_PendingActions.front());
    m_PendingActions.clear();
    return Found;
  }

  void start() { process(m_Attempt.start(m_Now)); }
  void reply(const RecordReply &Reply) {
    m_PendingActions.clear();
    process(m_Attempt.onRecordReply(Reply, m_Now));
  }
  /** Executes the pending record operation and reports \p OverrideKind, or else
   * the store's reply. */
  void executePending(std::optional<Kind> OverrideKind = std::nullopt) {
    BOOST_REQUIRE_EQUAL(m_PendingActions.size(), 1U);
    RecordReply Reply;
    if (const auto *Create =
            std::get_if<CreateRecord>(&m_PendingActions.front()))
      Reply = m_Store.create(*Create);
    else if (const auto *Update =
                 std::get_if<UpdateRecord>(&m_PendingActions.front()))
      Reply = m_Store.update(*Update);
    else
      Reply = m_Store.read(std::get<ReadRecord>(m_PendingActions.front()));
    reply(OverrideKind ? RecordReply{.m_Kind = *OverrideKind} : Reply);
  }
  void result(RunResult Result) {
    takePending<SendOnce>();
    process(m_Attempt.onRunResult(std::move(Result), m_Now));
  }
  void holderReply(HolderReply Reply) {
    takePending<AskHolder>();
    process(m_Attempt.onHolderReply(Reply, m_Now));
  }
  void advance(milliseconds Later) {
    m_Now += Later;
    process(m_Attempt.onTimer(m_Now));
  }
  void checkRefused(RunVerdict Verdict, Errc Reason) {
    BOOST_REQUIRE(m_Refusal);
    BOOST_TEST(verdictName(m_Refusal->m_Verdict) == verdictName(Verdict));
    BOOST_TEST(m_Refusal->m_Reason == Reason);
  }
};

struct Fixture {
  FakeRecordStore m_Store;
  TimePoint m_Now;

  Driver attempt(const std::string &Token, StoreRevision Known = {},
                 KeyHistory History = KeyHistory::Unknown,
                 std::uint64_t Request = 1) {
    Driver NewDriver(m_Store, {.m_Service = ServiceName("s"),
                               .m_Key = RequestKey("k"),
                               .m_Fingerprint = Fingerprint(Request),
                               .m_Token = AttemptToken(Token),
                               .m_Vm = VmName("vm-" + Token),
                               .m_Boot = BootId("boot"),
                               .m_History = History,
                               .m_Start = m_Now,
                               .m_KnownRevision = Known,
                               .m_SendBy = m_Now + milliseconds(100),
                               .m_Deadline = m_Now + milliseconds(200)});
    NewDriver.m_Now = m_Now;
    return NewDriver;
  }

  SingleRunRecord stored() {
    return m_Store.read({singleRunPath(ServiceName("s"), RequestKey("k"))})
        .m_Record;
  }

  /** Attempt "a" claims the record and releases it. */
  void release() {
    Driver First = attempt("a");
    First.start();
    First.executePending();
    First.result(
        {.m_Verdict = RunVerdict::NotRun, .m_Error = Errc::ConnectFailed});
    First.executePending();
    BOOST_REQUIRE(stored().m_Phase == SingleRunPhase::Released);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SingleRunAttemptTest, Fixture)

BOOST_AUTO_TEST_CASE(Attempt_recordedAndRun_answersAndStoresTheResult) {
  Driver Attempt = attempt("a");
  Attempt.start();
  BOOST_TEST(Attempt.m_Sends == 0);
  Attempt.executePending();
  Attempt.result({.m_Verdict = RunVerdict::Ran, .m_Result = "done"});
  BOOST_TEST(Attempt.m_Answer.value_or("") == "done");
  Attempt.executePending();
  BOOST_TEST(Attempt.m_Attempt.isOver());
  BOOST_TEST(stored().m_Result == "done");

  Driver Second = attempt("b");
  Second.start();
  Second.executePending();
  Second.executePending();
  BOOST_TEST(Second.m_Answer.value_or("") == "done");
  BOOST_TEST(Second.m_Sends == 0);
}

BOOST_AUTO_TEST_CASE(Create_withLostReply_sendsOnlyAfterReadBack) {
  Driver Attempt = attempt("a");
  Attempt.start();
  Attempt.executePending(Kind::Unknown);
  BOOST_TEST(Attempt.m_Sends == 0);
  Attempt.executePending();
  BOOST_TEST(Attempt.m_Sends == 1);
}

BOOST_AUTO_TEST_CASE(Create_withoutEffect_isRepeatedBeforeTheSend) {
  Driver Attempt = attempt("a");
  Attempt.start();
  Attempt.reply({.m_Kind = Kind::Unknown});
  Attempt.executePending();
  Attempt.takePending<CreateRecord>();
  BOOST_TEST(Attempt.m_Sends == 0);
}

BOOST_AUTO_TEST_CASE(Record_knownOnlyAfterSendBy_isReleasedUnsent) {
  Driver Attempt = attempt("a");
  Attempt.start();
  Attempt.m_Now += milliseconds(100);
  Attempt.executePending();
  Attempt.executePending();
  BOOST_TEST(Attempt.m_Sends == 0);
  Attempt.checkRefused(RunVerdict::NotRun, Errc::DeadlineExceeded);
  BOOST_TEST(phaseName(stored().m_Phase) == "released");
}

BOOST_AUTO_TEST_CASE(Pause_beforeTheRecordIsKnown_neverSends) {
  Driver Attempt = attempt("a");
  Attempt.start();
  Attempt.process(Attempt.m_Attempt.onPause(Attempt.m_Now));
  Attempt.checkRefused(RunVerdict::MayHaveRun, Errc::DeadlineExceeded);
  Attempt.executePending();
  Attempt.executePending();
  BOOST_TEST(Attempt.m_Sends == 0);
  BOOST_TEST(phaseName(stored().m_Phase) == "released");
}

BOOST_AUTO_TEST_CASE(Call_closedAfterItsFirstByte_isNeverSentAgain) {
  Driver Attempt = attempt("a");
  Attempt.start();
  Attempt.executePending();
  Attempt.result({.m_Error = Errc::ConnectionClosed});
  Attempt.checkRefused(RunVerdict::MayHaveRun, Errc::ConnectionClosed);
  Attempt.executePending();
  BOOST_TEST(Attempt.m_Sends == 1);
  BOOST_TEST(phaseName(stored().m_Phase) == "unknown");

  Driver Second = attempt("b");
  Second.start();
  Second.executePending();
  Second.executePending();
  Second.checkRefused(RunVerdict::MayHaveRun, Errc::AttemptLost);
}

BOOST_AUTO_TEST_CASE(Call_withoutAByteSent_isReleasedBeforeNotRunIsReported) {
  Driver Attempt = attempt("a");
  Attempt.start();
  Attempt.executePending();
  Attempt.result(
      {.m_Verdict = RunVerdict::NotRun, .m_Error = Errc::ConnectFailed});
  BOOST_TEST(!Attempt.m_Refusal);
  // Later requests no longer join this attempt.
  BOOST_TEST(Attempt.m_Attempt.outcome().has_value());
  Attempt.executePending();
  Attempt.checkRefused(RunVerdict::NotRun, Errc::ConnectFailed);
}

BOOST_AUTO_TEST_CASE(Call_slowerThanTheDeadline_keepsItsResultForLaterTries) {
  Driver Attempt = attempt("a");
  Attempt.start();
  Attempt.executePending();
  Attempt.advance(milliseconds(200));
  Attempt.checkRefused(RunVerdict::MayHaveRun, Errc::DeadlineExceeded);
  Attempt.result({.m_Verdict = RunVerdict::Ran, .m_Result = "late"});
  BOOST_TEST(!Attempt.m_Answer);
  Attempt.executePending();
  BOOST_TEST(stored().m_Result == "late");
}

BOOST_AUTO_TEST_CASE(Result_withFailedWrite_isWrittenAgainAfterTheAnswer) {
  Driver Attempt = attempt("a");
  Attempt.start();
  Attempt.executePending();
  Attempt.result({.m_Verdict = RunVerdict::Ran, .m_Result = "done"});
  BOOST_TEST(Attempt.m_Answer.has_value());
  Attempt.reply({.m_Kind = Kind::Unavailable});
  Attempt.advance(milliseconds(100));
  Attempt.executePending(); // Reads the phase "intent".
  Attempt.executePending();
  BOOST_TEST(stored().m_Result == "done");
}

BOOST_AUTO_TEST_CASE(Result_neverWritable_isTriedABoundedNumberOfTimes) {
  Driver Attempt = attempt("a");
  Attempt.start();
  Attempt.executePending();
  Attempt.result({.m_Verdict = RunVerdict::Ran, .m_Result = "done"});
  int Tries = 0;
  while (!Attempt.m_Attempt.isOver() && Tries < 100) {
    Attempt.reply({.m_Kind = Kind::Unavailable});
    Attempt.advance(seconds(10));
    ++Tries;
  }
  BOOST_TEST(Tries == 8);
}

BOOST_AUTO_TEST_CASE(SecondTry_ofAHeldRecord_reportsTheHoldersOutcome) {
  Driver First = attempt("a");
  First.start();
  First.executePending();

  Driver Second = attempt("b");
  Second.start();
  Second.executePending();
  Second.executePending();
  Second.holderReply(
      {.m_Kind = HolderReply::Kind::Settled,
       .m_Outcome = {.m_Phase = SingleRunPhase::Ran, .m_Result = "done"}});
  BOOST_TEST(Second.m_Answer.value_or("") == "done");

  Driver Third = attempt("c");
  Third.start();
  Third.executePending();
  Third.executePending();
  Third.holderReply({.m_Kind = HolderReply::Kind::Gone});
  Third.executePending();
  Third.checkRefused(RunVerdict::MayHaveRun, Errc::AttemptLost);
  BOOST_TEST(Second.m_Sends + Third.m_Sends == 0);
}

BOOST_AUTO_TEST_CASE(SecondTry_withAnotherRequest_isRefusedAsKeyReused) {
  release();
  Driver Attempt = attempt("b", StoreRevision(9), KeyHistory::Unknown, 2);
  Attempt.start();
  Attempt.executePending();
  Attempt.executePending();
  Attempt.checkRefused(RunVerdict::MayHaveRun, Errc::KeyReused);
  BOOST_TEST(Attempt.m_Sends == 0);
}

BOOST_AUTO_TEST_CASE(Release_knownBeforeTheStart_isTakenOverByUpdate) {
  release();
  Driver Attempt = attempt("b", StoreRevision(2));
  Attempt.start();
  Attempt.executePending();
  Attempt.executePending();
  BOOST_TEST(Attempt.m_Sends == 0);
  Attempt.executePending();
  BOOST_TEST(Attempt.m_Sends == 1);
  BOOST_TEST(stored().m_Token.value() == "b");
}

BOOST_AUTO_TEST_CASE(Release_reportedAsOlderThanTheAttempt_isTakenOver) {
  release();
  Driver Attempt = attempt("b");
  Attempt.start();
  Attempt.executePending();
  Attempt.executePending();
  Attempt.m_Now += milliseconds(10);
  Attempt.holderReply({.m_Kind = HolderReply::Kind::Settled,
                       .m_Outcome = {.m_Phase = SingleRunPhase::Released},
                       .m_ReleaseAge = milliseconds(11)});
  Attempt.executePending();
  Attempt.executePending();
  BOOST_TEST(Attempt.m_Sends == 1);
}

BOOST_AUTO_TEST_CASE(Release_possiblyAfterTheStart_isRewrittenBeforeNotRun) {
  release();
  // This attempt knows of the release, but it is slow and its caller has
  // disconnected.
  Driver Abandoned = attempt("b", StoreRevision(2));
  Abandoned.start();
  Abandoned.executePending();
  Abandoned.executePending();
  Driver Attempt = attempt("c");
  Attempt.start();
  Attempt.executePending();
  Attempt.executePending();
  Attempt.m_Now += milliseconds(10);
  Attempt.holderReply({.m_Kind = HolderReply::Kind::Settled,
                       .m_Outcome = {.m_Phase = SingleRunPhase::Released},
                       .m_ReleaseAge = milliseconds(10)});
  BOOST_TEST(!Attempt.m_Refusal);
  Attempt.executePending();
  Attempt.checkRefused(RunVerdict::NotRun, Errc::AttemptInProgress);
  // The abandoned attempt's update now conflicts, and the new release is later
  // than its start.
  Abandoned.executePending();
  Abandoned.executePending();
  Abandoned.takePending<AskHolder>();
  BOOST_TEST(Abandoned.m_Sends == 0);
}

BOOST_AUTO_TEST_CASE(PlatformOutage_yieldsNotRunForAFreshKeyOnly) {
  for (const KeyHistory History : {KeyHistory::Fresh, KeyHistory::Unknown}) {
    Driver Attempt = attempt("a", {}, History);
    Attempt.start();
    Attempt.reply({.m_Kind = Kind::Unavailable});
    Attempt.advance(milliseconds(200));
    Attempt.checkRefused(History == KeyHistory::Fresh ? RunVerdict::NotRun
                                                      : RunVerdict::MayHaveRun,
                         Errc::PlatformUnavailable);
    BOOST_TEST(Attempt.m_Sends == 0);
  }
}

BOOST_AUTO_TEST_CASE(FreshKey_withAnExistingRecord_isNotGuaranteed) {
  Driver First = attempt("a");
  First.start();
  First.executePending();
  Driver Attempt = attempt("b", {}, KeyHistory::Fresh);
  Attempt.start();
  Attempt.executePending();
  Attempt.reply({.m_Kind = Kind::Unavailable});
  Attempt.advance(milliseconds(200));
  Attempt.checkRefused(RunVerdict::MayHaveRun, Errc::PlatformUnavailable);
}

BOOST_AUTO_TEST_CASE(Create_arrivingAfterTheRefusal_isReleasedInBackground) {
  Driver Attempt = attempt("a");
  Attempt.start();
  Attempt.advance(milliseconds(200));
  Attempt.checkRefused(RunVerdict::MayHaveRun, Errc::PlatformUnavailable);
  Attempt.executePending();
  BOOST_TEST(phaseName(stored().m_Phase) == "intent");
  Attempt.executePending();
  BOOST_TEST(phaseName(stored().m_Phase) == "released");
  BOOST_TEST(Attempt.m_Attempt.isOver());
  BOOST_TEST(Attempt.m_Sends == 0);
}

BOOST_AUTO_TEST_SUITE_END()
