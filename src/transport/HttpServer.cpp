#include "transport/HttpServer.h"

#include "state/Event.h"
#include "transport/HttpConnection.h"
#include "transport/HttpServerState.h"

#include <QHostAddress>
#include <QPointer>
#include <QTcpServer>

#include <atomic>
#include <cerrno>
#include <functional>
#include <future>
#include <unistd.h>
#include <utility>

namespace figturn {

namespace {

/** Length of the kernel's queue of connections not yet accepted. */
constexpr int ListenBacklog = 1024;

/** The worker that owns the listening socket. */
constexpr std::size_t ListenWorker = 0;

/** Owns an accepted socket until a worker takes it over. */
class AcceptedSocket {
public:
  explicit AcceptedSocket(qintptr Value) : m_Value(Value) {}
  AcceptedSocket(const AcceptedSocket &) = delete;
  AcceptedSocket &operator=(const AcceptedSocket &) = delete;
  ~AcceptedSocket() {
    if (m_Value >= 0)
      ::close(static_cast<int>(m_Value));
  }
  qintptr release() { return std::exchange(m_Value, -1); }

private:
  qintptr m_Value;
};

/** Passes each accepted descriptor to a function. */
class Listener : public QTcpServer {
public:
  Listener(QObject *Parent, std::function<void(qintptr)> OnAccepted)
      : QTcpServer(Parent), m_OnAccepted(std::move(OnAccepted)) {
    setListenBacklogSize(ListenBacklog);
  }

protected:
  void incomingConnection(qintptr Descriptor) override {
    m_OnAccepted(Descriptor);
  }

private:
  std::function<void(qintptr)> m_OnAccepted;
};

std::error_code listenError(QAbstractSocket::SocketError Error) {
  switch (Error) {
  case QAbstractSocket::AddressInUseError:
    return std::make_error_code(std::errc::address_in_use);
  case QAbstractSocket::SocketAddressNotAvailableError:
    return std::make_error_code(std::errc::address_not_available);
  case QAbstractSocket::SocketAccessError:
    return std::make_error_code(std::errc::permission_denied);
  case QAbstractSocket::SocketResourceError:
    return std::make_error_code(std::errc::too_many_files_open);
  default:
    return std::make_error_code(std::errc::io_error);
  }
}

} // namespace

class HttpServer::Impl {
public:
  Impl(HttpServerOptions Options, WorkerPool &Workers, HttpHandler Handler)
      : m_Workers(Workers),
        m_State(std::make_shared<HttpServerState>(std::move(Options), Workers,
                                                  std::move(Handler))) {}

  std::error_code listen() {
    std::error_code Error = std::make_error_code(std::errc::io_error);
    runOnWorker(ListenWorker, [&] { Error = listenOnWorker(); });
    return Error;
  }

  /** Takes over the connections that the kernel has established. They would be
   *  reset with the listening socket, with their requests unanswered. */
  void acceptPending() {
    runOnWorker(ListenWorker, [this] {
      if (m_Listener)
        m_Listener->waitForNewConnection(0);
    });
  }

  void stopListening() {
    runOnWorker(ListenWorker, [this] { delete m_Listener.data(); });
  }

  void closeIdle() {
    for (std::size_t Index = 0; Index < m_Workers.size(); ++Index)
      m_State->post(Index, [State = m_State, Index] {
        const auto Connections = State->m_ConnectionsByWorker[Index];
        for (HttpConnection *Each : Connections)
          Each->closeIfIdle();
      });
  }

  /** Closes all connections; the handler isn't called afterwards. */
  void close() {
    stopListening();
    for (std::size_t Index = 0; Index < m_Workers.size(); ++Index)
      runOnWorker(Index, [&] {
        const auto Connections = m_State->m_ConnectionsByWorker[Index];
        for (HttpConnection *Each : Connections)
          delete Each;
      });
    m_State->detach();
    m_State->m_Handler = nullptr;
  }

  WorkerPool &m_Workers;
  std::shared_ptr<HttpServerState> m_State;
  std::atomic<std::uint16_t> m_Port = 0;

private:
  /** Runs \p Task on a worker and waits for it; returns without running it if
   *  the pool has stopped. */
  void runOnWorker(std::size_t Index, const std::function<void()> &Task) {
    if (m_Workers.currentWorker() == Index) {
      Task();
      return;
    }
    auto Done = std::make_shared<std::promise<void>>();
    auto Waiting = Done->get_future();
    m_State->post(Index, [&Task, Done = std::move(Done)] {
      Task();
      Done->set_value();
    });
    Waiting.wait();
  }

  std::error_code listenOnWorker() {
    const auto &Options = m_State->m_Options;
    const QHostAddress Address(QString::fromStdString(Options.m_Address));
    if (Address.isNull())
      return std::make_error_code(std::errc::invalid_argument);
    // A child of the context, so that it is always destroyed on this thread.
    m_Listener = new Listener(
        m_Workers.context(ListenWorker),
        [this](qintptr Descriptor) { assignToWorker(Descriptor); });
    if (!m_Listener->listen(Address, Options.m_Port)) {
      const auto Error = listenError(m_Listener->serverError());
      delete m_Listener.data();
      return Error;
    }
    m_Port = m_Listener->serverPort();
    return {};
  }

  void assignToWorker(qintptr Descriptor) {
    auto Socket = std::make_shared<AcceptedSocket>(Descriptor);
    if (m_State->m_OpenConnections >= m_State->m_Options.m_MaxConnections) {
      logEvent(Event::ConnectionRefused, "limit={}",
               m_State->m_Options.m_MaxConnections);
      return;
    }
    ++m_State->m_OpenConnections;
    const std::size_t Index = m_NextWorker++ % m_Workers.size();
    m_Workers.post(Index, [State = m_State, &Workers = m_Workers, Index,
                           Socket = std::move(Socket)] {
      new HttpConnection(State, Index, Socket->release(),
                         Workers.context(Index));
    });
  }

  QPointer<Listener> m_Listener; ///< Accessed by its worker only.
  std::size_t m_NextWorker = 0;
};

HttpServer::HttpServer(HttpServerOptions Options, WorkerPool &Workers,
                       HttpHandler Handler)
    : m_Impl(std::make_shared<Impl>(std::move(Options), Workers,
                                    std::move(Handler))) {}

HttpServer::~HttpServer() { m_Impl->close(); }

std::error_code HttpServer::listen() { return m_Impl->listen(); }

std::uint16_t HttpServer::port() const { return m_Impl->m_Port; }

void HttpServer::stopListening() {
  m_Impl->acceptPending();
  m_Impl->stopListening();
}

void HttpServer::setLimits(const HttpServerLimits &Limits) {
  HttpServerOptions &Options = m_Impl->m_State->m_Options;
  Options.m_HeaderLimit = Limits.m_HeaderLimit;
  Options.m_BodyLimit = Limits.m_BodyLimit;
  Options.m_RequestTimeout = Limits.m_RequestTimeout;
  Options.m_IdleTimeout = Limits.m_IdleTimeout;
}

void HttpServer::closeAfterAnswers() {
  m_Impl->m_State->m_CloseAfterAnswers = true;
}

void HttpServer::closeIdle() { m_Impl->closeIdle(); }

std::size_t HttpServer::pendingRequests() const {
  return m_Impl->m_State->m_PendingRequests;
}

std::size_t HttpServer::connections() const {
  return m_Impl->m_State->m_OpenConnections;
}

} // namespace figturn
