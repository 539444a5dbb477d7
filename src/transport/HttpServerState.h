#ifndef FIGTURN_TRANSPORT_HTTPSERVERSTATE_H
#define FIGTURN_TRANSPORT_HTTPSERVERSTATE_H

/**
 * What the connections of one HTTP server share. Exchanges that a handler
 * keeps may outlive the server; they hold this state, which then drops what
 * they post.
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

  /** Runs \p Task on worker \p Index; drops it once detach() was called. */
  void post(std::size_t Index, std::function<void()> Task);

  /** Forgets the worker pool, which may be destroyed from then on. */
  void detach();

  /** Whether this thread is worker \p Index. */
  bool isOnWorker(std::size_t Index) const;

  HttpServerOptions m_Options;
  HttpHandler m_Handler;
  std::atomic<std::size_t> m_PendingRequests =
      0; ///< Requests not yet answered.
  std::atomic<std::size_t> m_OpenConnections = 0; ///< Open connections.
  std::atomic<bool> m_CloseAfterAnswers = false;
  /** Connections by worker; an entry is touched by its worker only. */
  std::vector<std::unordered_set<HttpConnection *>> m_ConnectionsByWorker;

private:
  mutable std::shared_mutex m_Mutex; ///< Guards the pointer.
  WorkerPool *m_Workers;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_HTTPSERVERSTATE_H
