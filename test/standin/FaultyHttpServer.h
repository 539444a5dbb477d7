#ifndef FIGTURN_STANDIN_FAULTYHTTPSERVER_H
#define FIGTURN_STANDIN_FAULTYHTTPSERVER_H

/**
 * HTTP/1.1 server for stand-ins that injects faults on the wire: truncated
 * replies, connections closed without a reply, silent connections, and refusal
 * of connections above a limit. It shares no code with figturn's server, so
 * that a test detects a fault there. Confined to one thread.
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

/** A received request. */
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

/** A reply; the server adds Content-Type and Content-Length, except to 204. */
struct StandinReply {
  unsigned m_Status = 200;
  std::string m_Body;
  std::vector<std::pair<std::string, std::string>> m_Headers;
};

/** Handle to answer one request; only one of its copies may answer. */
class StandinExchange {
public:
  /** \p Connection points to nullptr once the connection has closed. */
  StandinExchange(StandinRequest Request,
                  std::shared_ptr<FaultyConnection *> Connection);

  const StandinRequest &request() const { return *m_Request; }
  /** Sends \p Reply if the connection is still open. */
  void respond(const StandinReply &Reply) const;
  /** Writes the header and half of the body, then closes. */
  void respondTruncated(const StandinReply &Reply) const;
  /** Closes the connection without a reply. */
  void close() const;
  /** Serial number of the connection, in order of acceptance. */
  std::uint64_t connection() const { return m_ConnectionNumber; }

private:
  std::shared_ptr<const StandinRequest> m_Request;
  std::shared_ptr<FaultyConnection *> m_Connection;
  std::uint64_t m_ConnectionNumber = 0;
};

/** Open connections, and counts since the start of the server. */
struct ConnectionCounters {
  std::size_t m_Open = 0;
  std::size_t m_MaxOpen = 0;
  std::uint64_t m_Accepted = 0;
  std::uint64_t m_Violations = 0; ///< Refused above the limit.
};

/** Calls its handler on its own thread. */
class FaultyHttpServer {
public:
  using Handler = std::function<void(StandinExchange)>;

  /** A \p ConnectionLimit of 0 means no limit. */
  FaultyHttpServer(std::size_t ConnectionLimit, Handler OnRequest);
  ~FaultyHttpServer();

  /** Listens on loopback; port 0 picks a free port. False on failure. */
  bool listen(std::uint16_t Port);
  std::uint16_t port() const;
  void closeConnections();
  /** Stops answering on the connections that are open now. */
  void silenceConnections();
  const ConnectionCounters &counters() const { return m_Counters; }

private:
  friend class FaultyConnection;

  void acceptPending();
  void accept(QTcpSocket *Socket);
  std::vector<FaultyConnection *> connections() const;
  /** Connections whose peer hasn't closed; the limit applies to these. */
  std::size_t countConnected() const;

  QTcpServer m_Server;
  std::size_t m_ConnectionLimit;
  Handler m_OnRequest;
  ConnectionCounters m_Counters;
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_FAULTYHTTPSERVER_H
