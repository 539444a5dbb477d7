#ifndef FIGTURN_TEST_SUPPORT_SCRIPTEDHTTPSERVER_H
#define FIGTURN_TEST_SUPPORT_SCRIPTEDHTTPSERVER_H

/**
 * A loopback server for tests of HTTP clients: it hands each whole request to
 * a script, which says which bytes go back, so that any fault of a reply can
 * be written down. It lives on the test's own thread and event loop.
 */

#include <QByteArray>
#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <string>

namespace figturn {

/** What the server does with one request. */
struct ScriptedReply {
  std::string m_Bytes;            ///< Written as they are; may be empty.
  bool m_CloseConnection = false; ///< Closes the connection after the bytes.
};

/** A whole reply with \p Status and \p Body; \p Headers end with CRLF each. */
inline ScriptedReply httpReply(unsigned Status, const std::string &Body,
                               const std::string &Headers = "") {
  return {.m_Bytes = "HTTP/1.1 " + std::to_string(Status) +
                     " X\r\nContent-Length: " + std::to_string(Body.size()) +
                     "\r\n" + Headers + "\r\n" + Body};
}

/** The server. */
class ScriptedHttpServer {
public:
  /** Gets head and body of a request. */
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

  /** Whole requests seen. */
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
    const qsizetype HeadEnd = Buffer.indexOf("\r\n\r\n");
    if (HeadEnd < 0)
      return;
    const QByteArray Head = Buffer.left(HeadEnd).toLower();
    const qsizetype Field = Head.indexOf("content-length:");
    const qsizetype Length =
        Field < 0 ? 0
                  : Head.mid(Field + 15, Head.indexOf('\r', Field) - Field - 15)
                        .trimmed()
                        .toLongLong();
    const qsizetype RequestSize = HeadEnd + 4 + Length;
    if (Buffer.size() < RequestSize)
      return;
    ++m_RequestCount;
    const ScriptedReply Reply = m_Script(Buffer.left(RequestSize).toStdString());
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
