#ifndef FIGTURN_TRANSPORT_KJTASKQUEUE_H
#define FIGTURN_TRANSPORT_KJTASKQUEUE_H

/**
 * Queue for running tasks from any thread on the thread of KJ's event loop.
 * kj::Executor isn't used because it either blocks the sender or requires a KJ
 * event loop on its thread, which Qt's workers don't have.
 */

#include <functional>
#include <kj/async-unix.h>
#include <mutex>
#include <vector>

namespace figturn {

/** A queue that wakes its event loop through an eventfd. */
class KjTaskQueue {
public:
  KjTaskQueue();
  ~KjTaskQueue();
  KjTaskQueue(const KjTaskQueue &) = delete;
  KjTaskQueue &operator=(const KjTaskQueue &) = delete;

  /** Runs \p Task on the KJ thread; discards it if the queue is closed. */
  void post(std::function<void()> Task);

  /** Runs tasks until close(); must be awaited on the KJ thread. */
  kj::Promise<void> run(kj::UnixEventPort &Port);

  /** Ends run() and discards pending and later tasks. */
  void close();

private:
  kj::Promise<void> runPostedTasks(kj::UnixEventPort::FdObserver &Observer);
  std::vector<std::function<void()>> takeTasks();

  int m_WakeDescriptor;
  std::mutex m_Mutex;
  std::vector<std::function<void()>> m_Tasks;
  bool m_Closed = false;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_KJTASKQUEUE_H
