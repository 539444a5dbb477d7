#ifndef FIGTURN_TEST_SUPPORT_HTTPSERVERFIXTURE_H
#define FIGTURN_TEST_SUPPORT_HTTPSERVERFIXTURE_H

/**
 * An HTTP server whose exchanges are queued until the test answers them from
 * a non-worker thread.
 */

#include "support/QtApplication.h"
#include "support/RawClient.h"
#include "transport/HttpServer.h"
#include "transport/WorkerPool.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace figturn::test {

/** Polls until \p Condition holds; throws std::runtime_error after 20 s. */
template <typename Predicate> void waitUntil(Predicate Condition) {
  const auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Deadline)
      throw std::runtime_error("timeout: the condition did not become true");
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

class HttpServerFixture {
public:
  explicit HttpServerFixture(std::size_t Workers = 2)
      : m_Workers((ensureQtApplication(), Workers)) {}

  void start(HttpServerOptions Options = {}) {
    m_Server = std::make_unique<HttpServer>(
        Options, m_Workers, [this](HttpExchangePtr Exchange) {
          const std::lock_guard Lock(m_Mutex);
          m_Exchanges.push_back(std::move(Exchange));
          ++m_HandledCount;
          m_ExchangeArrived.notify_all();
        });
    if (m_Server->listen())
      throw std::runtime_error("the HTTP server failed to listen");
  }

  /** Waits for the next request that reached the handler. */
  HttpExchangePtr nextExchange() {
    std::unique_lock Lock(m_Mutex);
    if (!m_ExchangeArrived.wait_for(Lock, std::chrono::seconds(20),
                                    [this] { return !m_Exchanges.empty(); }))
      throw std::runtime_error("timeout: no request arrived");
    auto Exchange = std::move(m_Exchanges.front());
    m_Exchanges.pop_front();
    return Exchange;
  }

  /** Number of requests that have reached the handler. */
  std::size_t handledCount() {
    const std::lock_guard Lock(m_Mutex);
    return m_HandledCount;
  }

  HttpServer &server() { return *m_Server; }
  WorkerPool &workers() { return m_Workers; }
  std::uint16_t port() const { return m_Server->port(); }

private:
  WorkerPool m_Workers;
  std::mutex m_Mutex;
  std::condition_variable m_ExchangeArrived;
  std::deque<HttpExchangePtr> m_Exchanges;
  std::size_t m_HandledCount = 0;
  std::unique_ptr<HttpServer> m_Server;
};

inline std::string serializePost(std::string_view Path, std::string_view Body) {
  return serializeRequest("POST", Path, "figturn", Body);
}

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_HTTPSERVERFIXTURE_H
