#include "support/TargetPoolFixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace figturn;
using namespace figturn::test;
using Kind = TargetObservation::Kind;

BOOST_FIXTURE_TEST_SUITE(TargetPoolTest, TargetPoolFixture)

BOOST_AUTO_TEST_CASE(Call_answered_hasStatusBodyAndBootId) {
  start();
  send(call(1));
  const auto Request = m_Target.nextRequest();
  BOOST_TEST(Request.m_Path == "/v1/search");
  BOOST_TEST(Request.m_Body == "1");
  Request.m_Connection->reply("{\"callId\":1}");
  const auto Result = waitForResult(1);
  BOOST_TEST(!Result.m_Error);
  BOOST_TEST(Result.m_Status == 200);
  BOOST_TEST(Result.m_Body == "{\"callId\":1}");
  BOOST_TEST(Result.m_BootId.value() == "boot-1");
  BOOST_TEST((Result.m_Verdict == RunVerdict::Ran));
}

BOOST_AUTO_TEST_CASE(Result_ofAnExpiredCall_isNotDeliveredWithinSend) {
  start();
  send(call(1, milliseconds(-1)));
  BOOST_TEST(!hasResult(1));
  const auto Result = waitForResult(1);
  BOOST_TEST((Result.m_Error == Errc::DeadlineExceeded));
  BOOST_TEST((Result.m_Verdict == RunVerdict::NotRun));
}

BOOST_AUTO_TEST_CASE(Connection_withWaitingCalls_carriesOneAtATimeAndIsReused) {
  start({.m_MaxConnections = 1});
  send(call(1));
  send(call(2));
  const auto First = m_Target.nextRequest();
  BOOST_TEST(m_Target.m_Requests.empty());
  First.m_Connection->reply("one");
  BOOST_TEST(waitForResult(1).m_Body == "one");
  const auto Second = m_Target.nextRequest();
  BOOST_TEST(Second.m_Connection == First.m_Connection);
  Second.m_Connection->reply("two");
  BOOST_TEST(waitForResult(2).m_Body == "two");
  BOOST_TEST(m_Pool->counters().m_Opened == 1);
  BOOST_TEST(m_Pool->counters().m_Reused == 1);
}

BOOST_AUTO_TEST_CASE(Replies_inAnotherOrder_reachTheirOwnCalls) {
  start();
  send(call(1));
  send(call(2));
  const auto First = m_Target.nextRequest();
  const auto Second = m_Target.nextRequest();
  Second.m_Connection->reply("for " + Second.m_Body);
  First.m_Connection->reply("for " + First.m_Body);
  BOOST_TEST(waitForResult(1).m_Body == "for 1");
  BOOST_TEST(waitForResult(2).m_Body == "for 2");
}

BOOST_AUTO_TEST_CASE(Bytes_afterAReply_areNoReplyToTheNextCall) {
  start({.m_MaxConnections = 1});
  send(call(1));
  send(call(2));
  const auto First = m_Target.nextRequest();
  const auto Reply = serializeResponse({.m_Body = "one"}, {});
  First.m_Connection->sendBytes(Reply +
                                serializeResponse({.m_Body = "stray"}, {}));
  BOOST_TEST(waitForResult(1).m_Body == "one");
  const auto Second = m_Target.nextRequest();
  BOOST_TEST(Second.m_Connection != First.m_Connection);
  Second.m_Connection->reply("two");
  BOOST_TEST(waitForResult(2).m_Body == "two");
}

BOOST_AUTO_TEST_CASE(Connections_underManyCalls_neverExceedTheLimit) {
  start({.m_MaxConnections = 3});
  for (std::uint64_t Id = 1; Id <= 40; ++Id)
    send(call(Id));
  m_Pool->warmUp(10);
  for (std::uint64_t Id = 1; Id <= 40; ++Id) {
    const auto Request = m_Target.nextRequest();
    BOOST_TEST(m_Pool->connections() <= 3);
    BOOST_TEST(m_Target.openConnectionCount() <= 3);
    Request.m_Connection->reply("for " + Request.m_Body);
  }
  for (std::uint64_t Id = 1; Id <= 40; ++Id)
    BOOST_TEST(waitForResult(Id).m_Body == "for " + std::to_string(Id));
  BOOST_TEST(m_Target.m_Connections.size() == 3);
}

BOOST_AUTO_TEST_CASE(Connection_refused_failsWaitingCallsAsNotRun) {
  m_Target.stopListening();
  start({.m_MaxConnections = 2});
  // Nothing listens on the port, so the attempt is refused at once.
  for (std::uint64_t Id = 1; Id <= 5; ++Id)
    send(call(Id));
  for (std::uint64_t Id = 1; Id <= 5; ++Id) {
    const auto Result = waitForResult(Id);
    BOOST_TEST((Result.m_Error == Errc::ConnectFailed));
    BOOST_TEST((Result.m_Verdict == RunVerdict::NotRun));
  }
  BOOST_TEST(observationCount(Kind::Refused) >= 1);
  BOOST_TEST(m_Pool->connections() == 0);
}

BOOST_AUTO_TEST_CASE(Hello_unanswered_failsTheCallAsNotRun) {
  m_Target.m_AnswersHellos = false;
  start({.m_ConnectTimeout = milliseconds(30),
         .m_ProbeTimeout = milliseconds(30)});
  send(call(1));
  const auto Result = waitForResult(1);
  BOOST_TEST((Result.m_Error == Errc::ConnectFailed));
  BOOST_TEST((Result.m_Verdict == RunVerdict::NotRun));
  BOOST_TEST(m_Target.m_Requests.empty());
}

BOOST_AUTO_TEST_CASE(Close_beforeTheSend_leavesTheCallForAnotherConnection) {
  start({.m_MaxConnections = 1});
  warmUp(1);
  auto &Closed = *m_Target.m_Connections.front();
  // The kernel has received the close before the pool's event loop handles it.
  Closed.close();
  send(call(1));
  const auto Request = m_Target.nextRequest();
  BOOST_TEST(Request.m_Connection != &Closed);
  Request.m_Connection->reply("ok");
  BOOST_TEST(waitForResult(1).m_Body == "ok");
}

BOOST_AUTO_TEST_CASE(Close_duringTheCall_isMayHaveRunAndNotResent) {
  start();
  send(call(1));
  m_Target.nextRequest().m_Connection->close();
  const auto Result = waitForResult(1);
  BOOST_TEST((Result.m_Error == Errc::ConnectionClosed));
  BOOST_TEST((Result.m_Verdict == RunVerdict::MayHaveRun));
  BOOST_TEST(Result.m_BootId.value() == "boot-1");
  BOOST_TEST(observationCount(Kind::AllLost) == 1);
  BOOST_TEST(m_Target.m_Requests.empty());
}

BOOST_AUTO_TEST_CASE(Close_afterTheReply_doesNotAffectTheCall) {
  start();
  send(call(1));
  auto *Connection = m_Target.nextRequest().m_Connection;
  Connection->reply("complete");
  Connection->close();
  BOOST_TEST(waitForResult(1).m_Body == "complete");
  processEventsUntil([&] { return observationCount(Kind::AllLost) == 1; });
  BOOST_TEST(m_Pool->connections() == 0);
}

BOOST_AUTO_TEST_CASE(Reply_cutShort_isTruncatedAndMayHaveRun) {
  const auto Complete = serializeResponse({.m_Body = "0123456789"}, {});
  const std::size_t Header = Complete.find("\r\n\r\n") + 4;
  start();
  std::uint64_t Id = 0;
  for (const std::size_t Cut : {std::size_t{9}, Header, Complete.size() - 1}) {
    send(call(++Id));
    auto *Connection = m_Target.nextRequest().m_Connection;
    Connection->sendBytes(Complete.substr(0, Cut));
    Connection->close();
    const auto Result = waitForResult(Id);
    BOOST_TEST((Result.m_Error == Errc::TruncatedReply));
    BOOST_TEST((Result.m_Verdict == RunVerdict::MayHaveRun));
    BOOST_TEST(Result.m_Body.empty());
  }
}

// A target in trouble sends an answer whose status is 000.
BOOST_AUTO_TEST_CASE(Reply_withStatus000_isABadReply) {
  start();
  std::uint64_t Id = 0;
  for (const char *Rest :
       {" OK\r\nContent-Length: 2\r\n\r\n{}", "\r\n\r\n",
        " \r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
    send(call(++Id));
    m_Target.nextRequest().m_Connection->sendBytes(std::string("HTTP/1.1 000") +
                                                   Rest);
    const auto Result = waitForResult(Id);
    BOOST_TEST((Result.m_Error == Errc::BadReply));
    BOOST_TEST((Result.m_Verdict == RunVerdict::MayHaveRun));
    BOOST_TEST(Result.m_Body.empty());
  }
}

BOOST_AUTO_TEST_CASE(Reply_malformedOrOversize_isABadReply) {
  start({.m_ReplyLimit = 100});
  std::uint64_t Id = 0;
  for (const std::string &Bytes :
       {std::string("what is this\r\n\r\n"),
        std::string("HTTP/1.1 020 OK\r\nContent-Length: 0\r\n\r\n"),
        serializeResponse({.m_Body = std::string(101, 'x')}, {})}) {
    send(call(++Id));
    m_Target.nextRequest().m_Connection->sendBytes(Bytes);
    const auto Result = waitForResult(Id);
    BOOST_TEST((Result.m_Error == Errc::BadReply));
    BOOST_TEST((Result.m_Verdict == RunVerdict::MayHaveRun));
  }
}

BOOST_AUTO_TEST_CASE(WaitingCall_pastItsDeadline_isNotRun) {
  start({.m_MaxConnections = 1});
  send(call(1));
  const auto First = m_Target.nextRequest();
  send(call(2, milliseconds(20)));
  const auto Result = waitForResult(2);
  BOOST_TEST((Result.m_Error == Errc::DeadlineExceeded));
  BOOST_TEST((Result.m_Verdict == RunVerdict::NotRun));
  First.m_Connection->reply("ok");
  BOOST_TEST(waitForResult(1).m_Body == "ok");
  BOOST_TEST(m_Target.m_Requests.empty());
}

BOOST_AUTO_TEST_CASE(Cancel_ofAWrittenCall_isSentAndKeepsTheConnection) {
  start({.m_MaxConnections = 2});
  send(call(1));
  const auto Request = m_Target.nextRequest();
  m_Pool->cancel(CallId(1));
  const auto Result = waitForResult(1);
  BOOST_TEST((Result.m_Error == Errc::Cancelled));
  BOOST_TEST((Result.m_Verdict == RunVerdict::MayHaveRun));
  const auto Cancel = m_Target.nextRequest();
  BOOST_TEST(Cancel.m_Path == "/v1/cancel");
  BOOST_TEST(Cancel.m_Body == "cancel 1");
  BOOST_TEST(Cancel.m_Connection != Request.m_Connection);
  Cancel.m_Connection->reply("{}");
  Request.m_Connection->reply("late", 499);
  processEventsUntil([&] { return m_Pool->counters().m_LateReplies == 1; });
  std::set<FakeTarget::Connection *> Used;
  for (const std::uint64_t Id : {2, 3})
    send(call(Id));
  for (int Number = 0; Number < 2; ++Number) {
    const auto Next = m_Target.nextRequest();
    Used.insert(Next.m_Connection);
    Next.m_Connection->reply("for " + Next.m_Body);
  }
  BOOST_TEST(waitForResult(2).m_Body == "for 2");
  BOOST_TEST(waitForResult(3).m_Body == "for 3");
  BOOST_TEST(Used.count(Request.m_Connection) == 1);
  BOOST_TEST(m_Target.m_Connections.size() == 2);
}

BOOST_AUTO_TEST_CASE(LateReply_toAnExpiredCall_isDiscardedAndCounted) {
  start({.m_MaxConnections = 2, .m_SilenceThreshold = milliseconds(5000)});
  send(call(1, milliseconds(30)));
  const auto Request = m_Target.nextRequest();
  const auto Result = waitForResult(1);
  BOOST_TEST((Result.m_Error == Errc::DeadlineExceeded));
  BOOST_TEST((Result.m_Verdict == RunVerdict::MayHaveRun));
  const auto Cancel = m_Target.nextRequest();
  BOOST_TEST(Cancel.m_Body == "cancel 1");
  Cancel.m_Connection->reply("{}");
  Request.m_Connection->reply("late");
  processEventsUntil([&] { return m_Pool->counters().m_LateReplies == 1; });
  // Both connections are idle again; one of the two calls uses the first.
  std::set<FakeTarget::Connection *> Used;
  for (const std::uint64_t Id : {2, 3})
    send(call(Id));
  for (int Number = 0; Number < 2; ++Number) {
    const auto Next = m_Target.nextRequest();
    Used.insert(Next.m_Connection);
    Next.m_Connection->reply("for " + Next.m_Body);
  }
  BOOST_TEST(waitForResult(2).m_Body == "for 2");
  BOOST_TEST(waitForResult(3).m_Body == "for 3");
  BOOST_TEST(Used.count(Request.m_Connection) == 1);
  BOOST_TEST(waitForResult(1).m_Body.empty());
}

BOOST_AUTO_TEST_CASE(Cancel_atTheConnectionLimit_closesTheConnection) {
  start({.m_MaxConnections = 1});
  send(call(1));
  m_Target.nextRequest();
  m_Pool->cancel(CallId(1));
  processEventsUntil([&] { return m_Target.openConnectionCount() == 0; });
  BOOST_TEST((waitForResult(1).m_Verdict == RunVerdict::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(Cancel_ofAWaitingCall_isNotRun) {
  start({.m_MaxConnections = 1});
  send(call(1));
  send(call(2));
  m_Target.nextRequest();
  m_Pool->cancel(CallId(2));
  const auto Result = waitForResult(2);
  BOOST_TEST((Result.m_Error == Errc::Cancelled));
  BOOST_TEST((Result.m_Verdict == RunVerdict::NotRun));
}

BOOST_AUTO_TEST_CASE(Call_forAnotherBoot_isNotRun) {
  start();
  auto Wrong = call(1);
  Wrong.m_RequiredBootId = BootId("boot-0");
  send(Wrong);
  auto Right = call(2);
  Right.m_RequiredBootId = BootId("boot-1");
  send(Right);
  const auto Result = waitForResult(1);
  BOOST_TEST((Result.m_Error == Errc::ConnectFailed));
  BOOST_TEST((Result.m_Verdict == RunVerdict::NotRun));
  const auto Request = m_Target.nextRequest();
  BOOST_TEST(Request.m_Body == "2");
  Request.m_Connection->reply("ok");
  BOOST_TEST(waitForResult(2).m_Body == "ok");
}

BOOST_AUTO_TEST_CASE(Connection_idle_isClosedAfterItsTimeout) {
  start({.m_IdleTimeout = milliseconds(20)});
  warmUp(2);
  processEventsUntil([&] { return m_Target.openConnectionCount() == 0; });
  BOOST_TEST(m_Pool->connections() == 0);
  BOOST_TEST(observationCount(Kind::AllLost) == 0);
}

BOOST_AUTO_TEST_CASE(Pool_destroyed_runsNoHandlerWithinItsDestructor) {
  start({.m_MaxConnections = 1});
  send(call(1));
  send(call(2));
  m_Target.nextRequest();
  send(call(3));
  m_Pool->failUnsentCalls();
  m_Pool.reset();
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    BOOST_TEST(!hasResult(Id));
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    waitForResult(Id);
}

BOOST_AUTO_TEST_CASE(Handler_thatDestroysThePool_leavesOtherResults) {
  start({.m_MaxConnections = 1});
  int Results = 0;
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    m_Pool->send(call(Id), [&](const TargetResult &) {
      ++Results;
      m_Pool.reset();
    });
  m_Target.nextRequest().m_Connection->reply("ok");
  processEventsUntil([&] { return Results == 3; });
}

BOOST_AUTO_TEST_CASE(Pool_destroyed_deliversAResultForEachCall) {
  start({.m_MaxConnections = 1});
  send(call(1));
  send(call(2));
  m_Target.nextRequest();
  m_Pool.reset();
  BOOST_TEST((waitForResult(1).m_Verdict == RunVerdict::MayHaveRun));
  BOOST_TEST((waitForResult(2).m_Verdict == RunVerdict::NotRun));
}

BOOST_AUTO_TEST_CASE(Calls_waitingForALeavingTarget_endAsNotSent) {
  start({.m_MaxConnections = 1});
  send(call(1));
  auto Request = m_Target.nextRequest();
  send(call(2));
  BOOST_TEST(m_Pool->limitWrites(Clock::now() + seconds(10)) == 1U);
  const auto Moved = waitForResult(2);
  BOOST_TEST((Moved.m_Error == Errc::TargetLeft));
  BOOST_TEST((Moved.m_Verdict == RunVerdict::NotRun));
  Request.m_Connection->reply("ok");
  BOOST_TEST(waitForResult(1).m_Body == "ok");
}

// The rest of a long request was written to its target however long the target
// had been leaving.
BOOST_AUTO_TEST_CASE(Call_partlyWrittenToALeavingTarget_endsAtTheLimit) {
  m_Target.stopReading();
  start({.m_UsesFigturnProtocol = false});
  auto Long = call(1);
  const std::string Part(8388608, 'x');
  Long.m_Body = Part + Part + Part + Part;
  send(std::move(Long));
  processEventsUntil([&] { return observationCount(Kind::Connected) == 1; });
  m_Pool->limitWrites(Clock::now() + milliseconds(50));
  const auto Result = waitForResult(1);
  BOOST_TEST((Result.m_Error == Errc::TargetLeft));
  BOOST_TEST((Result.m_Verdict == RunVerdict::MayHaveRun));
  BOOST_TEST(m_Pool->connections() == 0U);
  send(call(2));
  BOOST_TEST((waitForResult(2).m_Error == Errc::TargetLeft));
}

BOOST_AUTO_TEST_SUITE_END()
