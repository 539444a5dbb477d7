#include "transport/HttpServer.h"

#include "state/Event.h"
#include "transport/HttpConnection.h"
#include "transport/HttpServerState.h"

#include <QHostAddress>
#include <QPointer>
#include <QTcpServer>
#include <QTimer>

#include <atomic>
#include <cerrno>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace figturn {

namespace {

/** Length of the kernel's queue of connections not yet accepted. */
constexpr int ListenBacklog = 1024;

/** The worker that owns the listening socket. */
constexpr std::size_t ListenWorker = 0;

/** The address, without the port, of the client of the socket \p Descriptor. */
std::string clientOf(qintptr Descriptor) {
  sockaddr_storage Address{};
  socklen_t Length = sizeof(Address);
  if (::getpeername(static_cast<int>(Descriptor),
                    reinterpret_cast<sockaddr *>(&Address), &Length) != 0)
    return {}; // It has disconnected already.
  return QHostAddress(reinterpret_cast<const sockaddr *>(&Address))
      .toString()
      .toStdString();
}

/** How long an accepted connection may wait for room, and the interval of the
 *  attempts. */
constexpr milliseconds MaxWaitForRoom{200};
constexpr milliseconds RetryInterval{5};

/** How long accepting pauses after an error. */
constexpr milliseconds AcceptErrorPause{50};

/** Owns an accepted socket, and its place in the budget, until a worker takes
 *  it over. */
class AcceptedSocket {
public:
  AcceptedSocket(qintptr Value, std::shared_ptr<CallerConnections> Connections)
      : m_Value(Value), m_Client(clientOf(Value)),
        m_Connections(std::move(Connections)) {}
  AcceptedSocket(const AcceptedSocket &) = delete;
  AcceptedSocket &operator=(const AcceptedSocket &) = delete;
  ~AcceptedSocket() {
    if (m_Value < 0)
      return;
    ::close(static_cast<int>(m_Value));
    if (m_Id)
      m_Connections->close(*m_Id);
  }
  /** Enters the socket in the budget, as a connection of thread \p Owner. */
  void open(std::size_t Owner, TimePoint Now) {
    m_Id = m_Connections->open(m_Client, Owner, Now);
  }
  const std::string &client() const { return m_Client; }
  CallerConnections::ConnectionId id() const { return m_Id.value(); }
  qintptr release() { return std::exchange(m_Value, -1); }

private:
  qintptr m_Value;
  std::string m_Client;
  std::shared_ptr<CallerConnections> m_Connections;
  std::optional<CallerConnections::ConnectionId> m_Id;
};

using AcceptedSocketPtr = std::shared_ptr<AcceptedSocket>;

/** Passes each accepted descriptor to a function. */
class Listener : public QTcpServer {
public:
  Listener(QObject *Parent, std::function<void(qintptr)> OnAccepted)
      : QTcpServer(Parent), m_OnAccepted(std::move(OnAccepted)) {
    setListenBacklogSize(ListenBacklog);
  }

  /** Leaves further connections in the kernel's queue, even if a batch of them
   *  is being accepted. */
  void pause() {
    setMaxPendingConnections(0);
    pauseAccepting();
  }
  void resume() {
    setMaxPendingConnections(ListenBacklog);
    resumeAccepting();
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
      if (!m_Listener)
        return;
      if (m_WaitingSocket)
        assignToWorker(std::exchange(m_WaitingSocket, nullptr), Clock::now());
      m_Listener->resume();
      m_Listener->waitForNewConnection(0);
    });
  }

  void stopListening() {
    runOnWorker(ListenWorker, [this] {
      delete m_Listener.data();
      m_WaitingSocket.reset();
    });
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
    m_Listener =
        new Listener(m_Workers.context(ListenWorker),
                     [this](qintptr Descriptor) { onAccepted(Descriptor); });
    QObject::connect(m_Listener, &QTcpServer::acceptError, m_Listener,
                     [this] { onAcceptError(); });
    if (!m_Listener->listen(Address, Options.m_Port)) {
      const auto Error = listenError(m_Listener->serverError());
      delete m_Listener.data();
      return Error;
    }
    m_Port = m_Listener->serverPort();
    return {};
  }

  void onAccepted(qintptr Descriptor) {
    const TimePoint Now = Clock::now();
    m_WaitsUntil = Now + MaxWaitForRoom;
    admit(std::make_shared<AcceptedSocket>(Descriptor, m_State->m_Connections),
          Now);
  }

  /** Takes over \p Socket, or refuses it if there is no room for it. Waits a
   *  moment for connections whose requests are not read yet, because they are
   *  not evicted before it is known what they hold. */
  void admit(AcceptedSocketPtr Socket, TimePoint Now) {
    const auto Room =
        m_State->m_Connections->makeRoom(Socket->client(), ListenWorker, Now);
    if (Room == CallerConnections::Room::Available) {
      assignToWorker(std::move(Socket), Now);
    } else if (Room == CallerConnections::Room::NotYet && Now < m_WaitsUntil) {
      m_WaitingSocket = std::move(Socket);
      m_Listener->pause();
      resumeAfter(RetryInterval);
    } else {
      logEvent(Event::ConnectionRefused, "client={} open={}", Socket->client(),
               m_State->m_OpenConnections.load());
    }
  }

  void resumeAfter(milliseconds Interval) {
    QTimer::singleShot(Interval, m_Listener, [this] {
      m_Listener->resume();
      if (m_WaitingSocket)
        admit(std::exchange(m_WaitingSocket, nullptr), Clock::now());
    });
  }

  /** Without this, accepting would end with the first error, such as the lack
   *  of a descriptor. */
  void onAcceptError() {
    logEvent(Event::AcceptFailed, "error={} open={}",
             m_Listener->errorString().toStdString(),
             m_State->m_OpenConnections.load());
    resumeAfter(AcceptErrorPause);
  }

  void assignToWorker(AcceptedSocketPtr Socket, TimePoint Now) {
    ++m_State->m_OpenConnections;
    const std::size_t Index = m_NextWorker++ % m_Workers.size();
    Socket->open(Index, Now);
    auto Take = [State = m_State, &Workers = m_Workers, Index,
                 Socket = std::move(Socket)] {
      new HttpConnection(State, Index, Socket->release(), Socket->client(),
                         Socket->id(), Workers.context(Index));
    };
    // While many connections are accepted in one go, those that have been
    // accepted must be evictable for the next.
    if (Index == ListenWorker)
      Take();
    else
      m_Workers.post(Index, std::move(Take));
  }

  // Accessed by the listening worker only.
  QPointer<Listener> m_Listener;
  AcceptedSocketPtr m_WaitingSocket; ///< Accepted, without room yet.
  TimePoint m_WaitsUntil;
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

RefusalCounts HttpServer::refusalCounts() const {
  return m_Impl->m_State->refusalCounts();
}

std::size_t HttpServer::unfinishedRequests() const {
  // A request counts as pending before it ceases to count as incomplete.
  const std::size_t Incomplete = m_Impl->m_State->m_IncompleteRequests;
  return Incomplete + pendingRequests();
}

std::size_t HttpServer::connections() const {
  return m_Impl->m_State->m_OpenConnections;
}

} // namespace figturn
