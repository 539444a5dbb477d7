#include "transport/HttpServerState.h"

#include <mutex>
#include <utility>

namespace figturn {

HttpServerState::HttpServerState(HttpServerOptions Options, WorkerPool &Workers,
                                 HttpHandler Handler)
    : m_Options(std::move(Options)),
      m_Connections(
          m_Options.m_Connections
              ? m_Options.m_Connections
              : std::make_shared<CallerConnections>(ConnectionBudgetOptions{
                    .m_MaxBytes = m_Options.m_MaxBytes,
                    .m_MaxConnections = m_Options.m_MaxConnections})),
      m_Handler(std::move(Handler)), m_ConnectionsByWorker(Workers.size()),
      m_Workers(&Workers) {}

void HttpServerState::post(std::size_t Index, std::function<void()> Task) {
  const std::shared_lock Lock(m_Mutex);
  if (m_Workers)
    m_Workers->post(Index, std::move(Task));
}

void HttpServerState::detach() {
  const std::unique_lock Lock(m_Mutex);
  m_Workers = nullptr;
}

bool HttpServerState::isOnWorker(std::size_t Index) const {
  const std::shared_lock Lock(m_Mutex);
  return m_Workers && m_Workers->currentWorker() == Index;
}

void HttpServerState::countRefusal(unsigned Status, std::string_view Reason) {
  const std::unique_lock Lock(m_Mutex);
  ++m_Refusals[{Status, std::string(Reason)}];
}

RefusalCounts HttpServerState::refusalCounts() const {
  const std::shared_lock Lock(m_Mutex);
  return m_Refusals;
}

} // namespace figturn
