#ifndef FIGTURN_STANDIN_FAULTYHTTPSERVER_H
#define FIGTURN_STANDIN_FAULTYHTTPSERVER_H

/**
 * HTTP/1.1 server for stand-ins that can misbehave on the wire: it cuts
 * replies short, closes without one, leaves connections silent and refuses
 * those above a limit. It is independent of the product's server, so that a
 * fault in that one can't hide in a test. Lives on one thread.
 */

#include <QByteArray>
#include <QTcpServer>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace figturn::standin {

class FaultyConnection;

/** A request as it arrived. */
struct StandinRequest {
  std::string m_Method;
  std::string m_Path;
  std::string m_Query; ///< After '?'; may be empty.
  std::string m_IfMatch;
  std::string m_IfNoneMatch;
  std::string m_Body;

  /** Value of \p Name in the query string, or "". */
  std::string queryValue(const std::string &Name) const;
};

/** A reply; Content-Length is added. */
struct StandinReply {
  unsigned m_Status = 200;
  std::string m_Body;
  std::vector<std::pair<std::string, std::string>> m_Headers;
};

/** Handle to answer one request; copies share the one right to answer. */
class StandinExchange {
public:
  /** \p Connection points to nullptr once the connection has ended. */
  StandinExchange(StandinRequest Request,
                  std::shared_ptr<FaultyConnection *> Connection);

  const StandinRequest &request() const { return *m_Request; }
  /** Answers, if the connection still stands. */
  void respond(const StandinReply &Reply) const;
  /** Writes the head and half of the body, then closes. */
  void respondTruncated(const StandinReply &Reply) const;
  /** Closes the connection without a reply. */
  void close() const;
  /** Number of the connection, in the order in which they were accepted. */
  std::uint64_t connection() const { return m_ConnectionNumber; }

private:
  std::shared_ptr<const StandinRequest> m_Request;
  std::shared_ptr<FaultyConnection *> m_Connection;
  std::uint64_t m_ConnectionNumber = 0;
};

/** What the server counted since its start. */
struct ConnectionCounters {
  std::size_t m_Open = 0;
  std::size_t m_MaxOpen = 0;
  std::uint64_t m_Accepted = 0;
  std::uint64_t m_Violations = 0; ///< Closed because of the limit.
};

/** The server; the handler runs on its thread. */
class FaultyHttpServer {
public:
  using Handler = std::function<void(StandinExchange)>;

  /** \p ConnectionLimit 0 means none. */
  FaultyHttpServer(std::size_t ConnectionLimit, Handler OnRequest);
  ~FaultyHttpServer();

  /** Listens on loopback; port 0 takes a free one. False if refused. */
  bool listen(std::uint16_t Port);
  std::uint16_t port() const;
  /** Closes all connections at once. */
  void closeConnections();
  /** From now on answers nothing on the connections now open. */
  void silenceConnections();
  const ConnectionCounters &counters() const { return m_Counters; }

private:
  friend class FaultyConnection;

  void acceptPending();
  void accept(QTcpSocket *Socket);
  std::vector<FaultyConnection *> connections() const;
  /** Connections that count against the limit. */
  std::size_t countConnected() const;

  QTcpServer m_Server;
  std::size_t m_ConnectionLimit;
  Handler m_OnRequest;
  ConnectionCounters m_Counters;
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_FAULTYHTTPSERVER_H
