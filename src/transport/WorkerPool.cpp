#include "transport/WorkerPool.h"

#include <QCoreApplication>
#include <QMetaObject>
#include <QThread>

#include <atomic>
#include <latch>
#include <mutex>
#include <utility>

namespace figturn {

namespace {

/** Pool and worker index of a thread. */
struct WorkerIdentity {
  const WorkerPool *m_Pool = nullptr;
  std::size_t m_Index = 0;
};

thread_local WorkerIdentity CurrentWorker;

/** Thread whose context object has the lifetime of its event loop, so that
 *  child objects such as sockets and timers are destroyed on that thread. */
class WorkerThread : public QThread {
public:
  explicit WorkerThread(WorkerIdentity Identity) : m_Identity(Identity) {}

  QObject *context() const { return m_Context.load(); }
  void waitUntilRunning() { m_Running.wait(); }

protected:
  void run() override {
    CurrentWorker = m_Identity;
    auto Context = std::make_unique<QObject>();
    m_Context = Context.get();
    m_Running.count_down();
    exec();
    m_Context = nullptr;
  }

private:
  WorkerIdentity m_Identity;
  std::atomic<QObject *> m_Context = nullptr;
  std::latch m_Running{1};
};

} // namespace

struct WorkerPool::Worker {
  explicit Worker(WorkerIdentity Identity) : m_Thread(Identity) {
    m_TaskReceiver.moveToThread(&m_Thread);
    m_Thread.start();
    m_Thread.waitUntilRunning();
  }

  void post(std::function<void()> Task) {
    const std::lock_guard Lock(m_Mutex);
    if (m_Stopped)
      return;
    auto Run = [this, Task = std::move(Task)] {
      if (!m_Stopped)
        Task();
    };
    QMetaObject::invokeMethod(&m_TaskReceiver, std::move(Run),
                              Qt::QueuedConnection);
  }

  void beginStop() {
    const std::lock_guard Lock(m_Mutex);
    m_Stopped = true;
    m_Thread.quit();
  }

  void finishStop() {
    m_Thread.wait();
    // Destroy the tasks that didn't run, so that threads waiting for one see a
    // broken promise.
    QCoreApplication::removePostedEvents(&m_TaskReceiver);
  }

  WorkerThread m_Thread;
  QObject m_TaskReceiver; ///< Receives posted tasks; outlives the thread.
  std::mutex m_Mutex;
  std::atomic<bool> m_Stopped = false;
};

WorkerPool::WorkerPool(std::size_t Workers) {
  for (std::size_t Index = 0; Index < Workers; ++Index)
    m_Workers.push_back(std::make_unique<Worker>(WorkerIdentity{this, Index}));
}

WorkerPool::~WorkerPool() { stop(); }

void WorkerPool::post(std::size_t Index, std::function<void()> Task) {
  m_Workers.at(Index)->post(std::move(Task));
}

std::size_t WorkerPool::currentWorker() const {
  return CurrentWorker.m_Pool == this ? CurrentWorker.m_Index : size();
}

QObject *WorkerPool::context(std::size_t Index) const {
  return m_Workers.at(Index)->m_Thread.context();
}

void WorkerPool::stop() {
  for (auto &Each : m_Workers)
    Each->beginStop();
  for (auto &Each : m_Workers)
    Each->finishStop();
}

} // namespace figturn
