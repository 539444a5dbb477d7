/** Tests of the pools to a VM's targets: when handlers run, and what happens to
 *  calls whose pool is removed. */

#include "node/TargetConnectionPools.h"
#include "support/FakeTarget.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Fixture {
  ~Fixture() {
    m_Pools.reset();
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
  }

  static TargetPtr targetAt(const std::string &Name, const FakeTarget &At) {
    TargetPtr Made = makeTarget(Name, "nz-south-a");
    Made->m_Entry.m_Host = "127.0.0.1";
    Made->m_Entry.m_Port = At.port();
    return Made;
  }

  void send(const TargetPtr &Destination,
            TargetConnectionPools::ResultHandler OnResult) {
    m_Pools->send(
        Destination,
        {.m_SerializeRequest =
             [Number = ++m_Sent](TimePoint) {
               return fmt::format("POST /x HTTP/1.1\r\nContent-Length: 0\r\n"
                                  "X-Request-Id: {}\r\n\r\n",
                                  Number);
             },
         .m_RequestId = std::to_string(m_Sent),
         .m_Deadline = Clock::now() + seconds(15),
         .m_OverdueAt = Clock::now() + seconds(15),
         .m_TypicalLatency = milliseconds(10)},
        [](unsigned, const HttpHeaders &) { return CallOutcome::Answered; },
        std::move(OnResult));
  }

  /** Sends a call that is not yet written, fails it, and removes its pool. */
  void sendFailAndRemove(const TargetPtr &Destination,
                         TargetConnectionPools::ResultHandler OnResult) {
    send(Destination, std::move(OnResult));
    m_Pools->failUnsentCalls(*Destination);
    m_Pools->removePool(Destination);
  }

  FakeTarget m_FirstAt, m_SecondAt, m_SoundAt;
  TargetPtr m_First = targetAt("first", m_FirstAt);
  TargetPtr m_Second = targetAt("second", m_SecondAt);
  TargetPtr m_Sound = targetAt("sound", m_SoundAt);
  std::unique_ptr<TargetConnectionPools> m_Pools =
      std::make_unique<TargetConnectionPools>(
          "X-Request-Id",
          [](const TargetInstance &, const TargetObservation &) {},
          [](Target &, unsigned, const HttpHeaders &, TimePoint, TimePoint) {});
  int m_Sent = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetConnectionPoolsTest, Fixture)

BOOST_AUTO_TEST_CASE(Handler_ofARemovedPool_doesNotRunWithinSend) {
  std::vector<CallOutcome> Outcomes;
  sendFailAndRemove(m_First, [&](const PooledCallResult &Result) {
    Outcomes.push_back(Result.m_Outcome);
  });
  send(m_Sound, [](const PooledCallResult &) {});
  BOOST_TEST(Outcomes.empty());
  processEventsUntil([&] { return !Outcomes.empty(); });
  BOOST_TEST(Outcomes.size() == 1U);
  BOOST_TEST((Outcomes.front() == CallOutcome::NotSent));
}

// A VM ended by itself, as dropping a pool ran a handler that dropped pools.
BOOST_AUTO_TEST_CASE(Retries_ofCallsToRemovedPools_areAnswered) {
  int Answered = 0;
  const auto Retry = [&](const PooledCallResult &Result) {
    BOOST_TEST((Result.m_Outcome == CallOutcome::NotSent));
    send(m_Sound, [&](const PooledCallResult &Reply) {
      BOOST_TEST((Reply.m_Outcome == CallOutcome::Answered));
      ++Answered;
    });
  };
  sendFailAndRemove(m_First, Retry);
  sendFailAndRemove(m_Second, Retry);
  // Drops both drained pools.
  send(m_Sound, [&](const PooledCallResult &) { ++Answered; });
  for (int I = 0; I < 3; ++I)
    m_SoundAt.nextRequest().m_Connection->reply("ok");
  processEventsUntil([&] { return Answered == 3; });
  BOOST_TEST(m_Pools->callsInFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(Call_waitingAtTheRemovalOfItsPool_isNeverWritten) {
  std::vector<CallOutcome> Outcomes;
  send(m_First, [&](const PooledCallResult &Result) {
    Outcomes.push_back(Result.m_Outcome);
  });
  m_Pools->removePool(m_First);
  processEventsUntil([&] { return !Outcomes.empty(); });
  BOOST_TEST((Outcomes.front() == CallOutcome::NotSent));
  BOOST_TEST(m_FirstAt.m_Requests.empty());
}

BOOST_AUTO_TEST_CASE(Handler_thatRemovesItsOwnPool_leavesOtherResults) {
  int Results = 0;
  for (int I = 0; I < 3; ++I)
    send(m_First, [&](const PooledCallResult &) {
      ++Results;
      m_Pools->removePool(m_First);
      send(m_Sound, [](const PooledCallResult &) {});
    });
  m_Pools->failUnsentCalls(*m_First);
  processEventsUntil([&] { return Results == 3; });
}

BOOST_AUTO_TEST_CASE(Handlers_ofDestroyedPools_areReleasedWithoutRunning) {
  const auto Owner = std::make_shared<int>();
  bool HasRun = false;
  const auto Handler = [&HasRun, Owner](const PooledCallResult &) {
    HasRun = true;
  };
  send(m_First, Handler);
  m_FirstAt.nextRequest();
  sendFailAndRemove(m_Second, Handler);
  BOOST_TEST(Owner.use_count() == 4);
  m_Pools.reset();
  // Only the test's own copies are left, before any event is processed.
  BOOST_TEST(Owner.use_count() == 2);
  QCoreApplication::processEvents();
  BOOST_TEST(!HasRun);
}

BOOST_AUTO_TEST_SUITE_END()
