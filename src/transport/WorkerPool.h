#ifndef FIGTURN_TRANSPORT_WORKERPOOL_H
#define FIGTURN_TRANSPORT_WORKERPOOL_H

/**
 * Fixed pool of threads, each with a Qt event loop. A socket or query stays on
 * one worker for its whole lifetime; workers share only tables whose locks are
 * ordered by LockRank.
 */

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

class QObject;
class QThread;

namespace figturn {

/** Runs posted tasks on its threads, in the order of posting per thread. */
class WorkerPool {
public:
  explicit WorkerPool(std::size_t Workers);
  ~WorkerPool();
  WorkerPool(const WorkerPool &) = delete;
  WorkerPool &operator=(const WorkerPool &) = delete;

  std::size_t size() const { return m_Workers.size(); }

  /** Runs \p Task on worker \p Index; callable from any thread. */
  void post(std::size_t Index, std::function<void()> Task);

  /** Index of the calling worker thread; size() on any other thread. */
  std::size_t currentWorker() const;

  /** Object on the thread of worker \p Index, as a context for Qt timers. */
  QObject *context(std::size_t Index) const;

  /** Discards pending and later tasks and joins the threads. */
  void stop();

private:
  struct Worker;
  std::vector<std::unique_ptr<Worker>> m_Workers;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_WORKERPOOL_H
