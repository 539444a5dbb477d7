#ifndef FIGTURN_TEST_SUPPORT_SCRIPTEDHTTPSERVER_H
#define FIGTURN_TEST_SUPPORT_SCRIPTEDHTTPSERVER_H

/**
 * A loopback server for tests of HTTP clients. It passes each complete request
 * to a callback that returns the raw bytes to send, so that a test can produce
 * any malformed reply. It runs on the test's thread and event loop.
 */

#include <QByteArray>
#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <string>

namespace figturn {

/** The server's reaction to one request. */
struct ScriptedReply {
  std::string m_Bytes;            ///< Sent unchanged; may be empty.
  bool m_CloseConnection = false; ///< After m_Bytes have been sent.
};

/** A complete reply; each line of \p Headers ends with CRLF. */
inline ScriptedReply httpReply(unsigned Status, const std::string &Body,
                               const std::string &Headers = "") {
  return {.m_Bytes = "HTTP/1.1 " + std::to_string(Status) +
                     " X\r\nContent-Length: " + std::to_string(Body.size()) +
                     "\r\n" + Headers + "\r\n" + Body};
}

class ScriptedHttpServer {
public:
  /** Receives the header section and body of a request as one string. */
  using Script = std::function<ScriptedReply(const std::string &Request)>;

  explicit ScriptedHttpServer(Script OnRequest)
      : m_Script(std::move(OnRequest)) {
    m_Server.listen(QHostAddress::LocalHost);
    QObject::connect(&m_Server, &QTcpServer::newConnection, &m_Server,
                     [this] { acceptConnections(); });
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(m_Server.serverPort());
  }

  /** Number of complete requests received. */
  unsigned requestCount() const { return m_RequestCount; }

private:
  void acceptConnections() {
    while (QTcpSocket *Socket = m_Server.nextPendingConnection()) {
      auto Buffer = std::make_shared<QByteArray>();
      QObject::connect(Socket, &QTcpSocket::readyRead, Socket,
                       [this, Socket, Buffer] {
                         *Buffer += Socket->readAll();
                         answerCompleteRequest(*Socket, *Buffer);
                       });
    }
  }

  void answerCompleteRequest(QTcpSocket &Socket, QByteArray &Buffer) {
    const qsizetype HeaderEnd = Buffer.indexOf("\r\n\r\n");
    if (HeaderEnd < 0)
      return;
    const QByteArray Header = Buffer.left(HeaderEnd).toLower();
    const qsizetype Field = Header.indexOf("content-length:");
    const qsizetype Length =
        Field < 0
            ? 0
            : Header.mid(Field + 15, Header.indexOf('\r', Field) - Field - 15)
                  .trimmed()
                  .toLongLong();
    const qsizetype RequestSize = HeaderEnd + 4 + Length;
    if (Buffer.size() < RequestSize)
      return;
    ++m_RequestCount;
    const ScriptedReply Reply =
        m_Script(Buffer.left(RequestSize).toStdString());
    Buffer.remove(0, RequestSize);
    Socket.write(QByteArray::fromStdString(Reply.m_Bytes));
    if (Reply.m_CloseConnection)
      Socket.disconnectFromHost();
  }

  QTcpServer m_Server;
  Script m_Script;
  unsigned m_RequestCount = 0;
};

} // namespace figturn

#endif // FIGTURN_TEST_SUPPORT_SCRIPTEDHTTPSERVER_H
