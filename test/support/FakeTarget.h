#ifndef FIGTURN_TEST_SUPPORT_FAKETARGET_H
#define FIGTURN_TEST_SUPPORT_FAKETARGET_H

/**
 * A target on the test's own thread that does to its connections what a test
 * tells it to. It answers hellos by itself unless told otherwise.
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

/** Runs the event loop until \p Condition holds; throws by a watchdog. */
template <typename Predicate> void processEventsUntil(Predicate Condition) {
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  QTimer Wake; // For the watchdog, when nothing else happens.
  Wake.start(20);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      throw std::runtime_error("watchdog: the condition never came true");
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
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
    bool m_IsSilent = false; ///< Reads, never answers, never closes.
    bool m_IsOpen = true;
    int m_HelloCount = 0;

    void reply(const std::string &Body, unsigned Status = 200) {
      sendBytes(serializeResponse({.m_Status = Status, .m_Body = Body}, {}));
    }
    void sendBytes(const std::string &Bytes) {
      m_Socket->write(Bytes.data(), static_cast<qint64>(Bytes.size()));
      m_Socket->flush();
    }
    /** Closes in order, after what was sent. */
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

  /** The next request other than a hello. */
  Request nextRequest() {
    processEventsUntil([this] { return !m_Requests.empty(); });
    Request First = m_Requests.front();
    m_Requests.pop_front();
    return First;
  }

  /** All connections of now go silent; later ones work. */
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

  void read(Connection &From) {
    From.m_Input += From.m_Socket->readAll().toStdString();
    while (!From.m_IsSilent) {
      From.m_Input.erase(0, From.m_Reader.feed(From.m_Input));
      if (!From.m_Reader.isComplete())
        return;
      handle(From, From.m_Reader.takeMessage());
    }
  }

  void handle(Connection &From, HttpRequest Got) {
    if (Got.m_Path != "/v1/hello") {
      m_Requests.push_back({&From, Got.m_Path, Got.m_Body});
      return;
    }
    ++From.m_HelloCount;
    if (m_AnswersHellos)
      From.sendBytes(serializeResponse(
          {.m_Body = "{}", .m_Headers = {{"X-Boot-Id", m_BootId}}}, {}));
  }

  QTcpServer m_Server;
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_FAKETARGET_H
