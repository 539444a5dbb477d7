#ifndef FIGTURN_TEST_SUPPORT_FAKETARGET_H
#define FIGTURN_TEST_SUPPORT_FAKETARGET_H

/**
 * A fake target on the test's thread. It queues requests for the test, which
 * replies, stays silent or closes the connection. Hello requests are answered
 * automatically unless the test disables that.
 */

#include "support/QtApplication.h"
#include "transport/HttpCodec.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace figturn::test {

/** Runs the event loop until \p Condition holds; throws std::runtime_error
 *  after 20 s. */
template <typename Predicate> void processEventsUntil(Predicate Condition) {
  const auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
  QTimer Wake; // Checks the timeout when there are no other events.
  Wake.start(20);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Deadline)
      throw std::runtime_error("timeout: the condition did not become true");
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    // As in an event loop, deletions follow the events posted before them.
    QCoreApplication::sendPostedEvents();
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
  }
}

class FakeTarget {
public:
  struct Connection {
    explicit Connection(QTcpSocket *Socket) : m_Socket(Socket) {}
    std::unique_ptr<QTcpSocket> m_Socket;
    HttpRequestReader m_Reader{65536, 1048576};
    std::string m_Input;
    bool m_IsSilent = false; ///< Never answers and stays connected.
    bool m_IsOpen = true;
    int m_HelloCount = 0;

    void reply(const std::string &Body, unsigned Status = 200) {
      sendBytes(serializeResponse({.m_Status = Status, .m_Body = Body}, {}));
    }
    void sendBytes(const std::string &Bytes) {
      m_Socket->write(Bytes.data(), static_cast<qint64>(Bytes.size()));
      m_Socket->flush();
    }
    /** Closes gracefully after all pending bytes have been sent. */
    void close() { m_Socket->disconnectFromHost(); }
  };

  struct Request {
    Connection *m_Connection;
    std::string m_Path;
    std::string m_Body;
  };

  FakeTarget() {
    ensureQtApplication();
    m_Server.listen(QHostAddress::LocalHost, 0);
    QObject::connect(&m_Server, &QTcpServer::newConnection, &m_Server,
                     [this] { acceptConnections(); });
  }

  std::uint16_t port() const { return m_Server.serverPort(); }

  /** Waits for and returns the next request other than a hello. */
  Request nextRequest() {
    processEventsUntil([this] { return !m_Requests.empty(); });
    Request Next = m_Requests.front();
    m_Requests.pop_front();
    return Next;
  }

  /** Silences all current connections; later ones work normally. */
  void silenceConnections() {
    for (auto &Each : m_Connections)
      Each->m_IsSilent = true;
  }

  std::size_t openConnectionCount() const {
    return static_cast<std::size_t>(
        std::count_if(m_Connections.begin(), m_Connections.end(),
                      [](const auto &Each) { return Each->m_IsOpen; }));
  }

  void stopListening() { m_Server.close(); }
  /** Accepts connections, but reads nothing from them. */
  void stopReading() { m_Server.pauseAccepting(); }

  std::string m_BootId = "boot-1";
  bool m_AnswersHellos = true;
  std::vector<std::unique_ptr<Connection>> m_Connections;
  std::deque<Request> m_Requests;

private:
  void acceptConnections() {
    while (QTcpSocket *Socket = m_Server.nextPendingConnection()) {
      Socket->setParent(nullptr);
      m_Connections.push_back(std::make_unique<Connection>(Socket));
      Connection *New = m_Connections.back().get();
      QObject::connect(Socket, &QTcpSocket::readyRead, Socket,
                       [this, New] { read(*New); });
      QObject::connect(Socket, &QTcpSocket::disconnected, Socket,
                       [New] { New->m_IsOpen = false; });
      read(*New);
    }
  }

  void read(Connection &Peer) {
    Peer.m_Input += Peer.m_Socket->readAll().toStdString();
    while (!Peer.m_IsSilent) {
      Peer.m_Input.erase(0, Peer.m_Reader.feed(Peer.m_Input));
      if (!Peer.m_Reader.isComplete())
        return;
      handle(Peer, Peer.m_Reader.takeMessage());
    }
  }

  void handle(Connection &Peer, HttpRequest Message) {
    if (Message.m_Path != "/v1/hello") {
      m_Requests.push_back({&Peer, Message.m_Path, Message.m_Body});
      return;
    }
    ++Peer.m_HelloCount;
    if (m_AnswersHellos)
      Peer.sendBytes(serializeResponse(
          {.m_Body = "{}", .m_Headers = {{"X-Boot-Id", m_BootId}}}, {}));
  }

  QTcpServer m_Server;
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_FAKETARGET_H
