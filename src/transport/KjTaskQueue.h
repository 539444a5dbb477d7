#ifndef FIGTURN_TRANSPORT_KJTASKQUEUE_H
#define FIGTURN_TRANSPORT_KJTASKQUEUE_H

/**
 * Hands tasks from any thread to the thread that runs KJ's event loop. It
 * exists because kj::Executor either blocks the sender or wants an event
 * loop of KJ's on its side, and Qt's workers have none.
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

  /** Runs \p Task on the KJ thread; dropped once the queue is closed. */
  void post(std::function<void()> Task);

  /** Runs tasks until close(); to be awaited on the KJ thread. */
  kj::Promise<void> run(kj::UnixEventPort &Port);

  /** Ends run(); later tasks are dropped. */
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
