#ifndef FIGTURN_TRANSPORT_HTTPSERVERSTATE_H
#define FIGTURN_TRANSPORT_HTTPSERVERSTATE_H

/**
 * State shared by the connections of one HTTP server. Exchanges kept by a
 * handler may outlive the server; they hold this state, which then discards
 * the tasks that they post.
 */

#include "transport/HttpServer.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <shared_mutex>
#include <unordered_set>
#include <vector>

namespace figturn {

class HttpConnection;

/** Options, counters and connection tables of one server. */
class HttpServerState {
public:
  HttpServerState(HttpServerOptions Options, WorkerPool &Workers,
                  HttpHandler Handler);

  /** Runs \p Task on worker \p Index; discards it after detach(). */
  void post(std::size_t Index, std::function<void()> Task);

  /** Releases the worker pool, which may then be destroyed. */
  void detach();

  /** Whether the calling thread is worker \p Index. */
  bool isOnWorker(std::size_t Index) const;

  void countRefusal(unsigned Status, std::string_view Reason);
  RefusalCounts refusalCounts() const;

  HttpServerOptions m_Options;
  std::shared_ptr<CallerConnections> m_Connections; ///< Never null.
  HttpHandler m_Handler;
  std::atomic<std::size_t> m_PendingRequests = 0;    ///< Answer not yet sent.
  std::atomic<std::size_t> m_IncompleteRequests = 0; ///< Partly received.
  std::atomic<std::size_t> m_OpenConnections = 0;
  std::atomic<bool> m_CloseAfterAnswers = false;
  /** Connections by worker index; each set is accessed by its worker only. */
  std::vector<std::unordered_set<HttpConnection *>> m_ConnectionsByWorker;

private:
  mutable std::shared_mutex m_Mutex; ///< Guards the members below.
  WorkerPool *m_Workers;
  RefusalCounts m_Refusals;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_HTTPSERVERSTATE_H
