#include "transport/WorkerPool.h"
#include "support/QtApplication.h"

#include <boost/test/unit_test.hpp>

#include <QThread>
#include <QTimer>

#include <atomic>
#include <future>
#include <memory>
#include <thread>
#include <vector>

using namespace figturn;

namespace {

struct PoolFixture {
  PoolFixture() : m_Pool((test::ensureQtApplication(), 2)) {}
  WorkerPool m_Pool;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerPoolTest, PoolFixture)

BOOST_AUTO_TEST_CASE(Tasks_posted_runInOrderOnTheirWorker) {
  std::vector<int> Order;
  std::vector<std::size_t> Workers;
  std::promise<void> Done;
  for (int Number = 0; Number < 100; ++Number)
    m_Pool.post(1, [&, Number] {
      Order.push_back(Number);
      Workers.push_back(m_Pool.currentWorker());
    });
  m_Pool.post(1, [&] { Done.set_value(); });
  Done.get_future().wait();
  for (int Number = 0; Number < 100; ++Number)
    BOOST_TEST(Order.at(Number) == Number);
  BOOST_TEST(Workers == std::vector<std::size_t>(100, 1));
  BOOST_TEST(m_Pool.currentWorker() == m_Pool.size());
}

BOOST_AUTO_TEST_CASE(Timer_withAContext_firesOnItsWorker) {
  std::promise<std::size_t> Fired;
  m_Pool.post(0, [&] {
    QTimer::singleShot(0, m_Pool.context(0),
                       [&] { Fired.set_value(m_Pool.currentWorker()); });
  });
  BOOST_TEST(Fired.get_future().get() == 0);
}

BOOST_AUTO_TEST_CASE(Stop_withPendingTasks_discardsThem) {
  std::promise<void> Entered;
  std::promise<void> Leave;
  std::atomic<int> LateRuns = 0;
  m_Pool.post(0, [&] {
    Entered.set_value();
    Leave.get_future().wait();
  });
  auto CapturedValue = std::make_shared<int>(0);
  m_Pool.post(0, [&, CapturedValue] { ++LateRuns; });
  Entered.get_future().wait();
  std::thread Stopper([&] { m_Pool.stop(); });
  // A stopped worker destroys a task as soon as it is posted.
  const auto Accepts = [&] {
    const auto Token = std::make_shared<int>(0);
    m_Pool.post(0, [Token] {});
    return Token.use_count() > 1;
  };
  while (Accepts())
    std::this_thread::yield();
  Leave.set_value();
  Stopper.join();
  m_Pool.post(0, [&] { ++LateRuns; });
  BOOST_TEST(LateRuns == 0);
  BOOST_TEST(CapturedValue.use_count() == 1);
}

BOOST_AUTO_TEST_CASE(Objects_withAContextAsParent_areDestroyedOnItsThread) {
  std::atomic<bool> OnOwnThread = false;
  m_Pool.post(0, [&] {
    auto *Child = new QObject(m_Pool.context(0));
    QObject::connect(
        Child, &QObject::destroyed, Child,
        [&, Child] {
          OnOwnThread = Child->thread() == QThread::currentThread();
        },
        Qt::DirectConnection);
  });
  std::promise<void> ChildCreated;
  m_Pool.post(0, [&] { ChildCreated.set_value(); });
  ChildCreated.get_future().wait();
  m_Pool.stop();
  BOOST_TEST(OnOwnThread.load());
}

BOOST_AUTO_TEST_SUITE_END()
