#ifndef FIGTURN_TRANSPORT_HTTPSERVER_H
#define FIGTURN_TRANSPORT_HTTPSERVER_H

/**
 * HTTP/1.1 server over QTcpServer with Boost.Beast as the codec. It exists
 * beside Qt's HTTP server because that one crashes when a caller leaves
 * before its answer is written, swaps answers of pipelined requests and has
 * no limit for bodies (docs/DESIGN.md, tests HttpServer*).
 */

#include "protocol/HttpMessage.h"
#include "state/Time.h"
#include "transport/WorkerPool.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace figturn {

/**
 * One request and the right to answer it once. May be kept as long as wanted
 * and answered from any thread; if the caller has gone the answer is dropped.
 */
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest &request() const = 0;
  /** Answers; only the first call has an effect. */
  virtual void respond(HttpResponse Response) = 0;
  /** Calls \p Callback on the connection's worker if the caller leaves
   *  before the answer is written; at once if it has already left. */
  virtual void onCallerDisconnect(std::function<void()> Callback) = 0;
  /** The worker that owns the connection. */
  virtual std::size_t worker() const = 0;
  /** When the last byte of the request arrived. */
  virtual TimePoint receivedAt() const = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePtr)>;

/** Limits of a server. */
struct HttpServerOptions {
  std::string m_Address = "127.0.0.1"; ///< IP number.
  std::uint16_t m_Port = 0;            ///< 0 takes a free port.
  std::size_t m_HeaderLimit = 16384;   ///< Bytes of one header block.
  std::size_t m_BodyLimit = 1048576;   ///< Bytes of one body.
  std::size_t m_MaxConnections = 10000;
  /** Requests read ahead of their answers on one connection. */
  std::size_t m_MaxPipelined = 16;
  /** From the first byte of a request to its last. */
  milliseconds m_RequestTimeout{5000};
  /** Between an answer and the next request's first byte. */
  milliseconds m_IdleTimeout{60000};
};

/** Limits that may change while a server runs; in force for connections
 *  accepted and requests begun from then on. */
struct HttpServerLimits {
  std::size_t m_HeaderLimit = 0; ///< Bytes of one header block.
  std::size_t m_BodyLimit = 0;   ///< Bytes of one body.
  milliseconds m_RequestTimeout{};
  milliseconds m_IdleTimeout{};
};

/** Listens on one address and spreads connections over a worker pool. */
class HttpServer {
public:
  /** \p Handler is called on the connection's worker for each request. */
  HttpServer(HttpServerOptions Options, WorkerPool &Workers,
             HttpHandler Handler);
  ~HttpServer();

  /** Starts to listen; an error names what the system refused. */
  std::error_code listen();
  /** The port listened on; 0 before listen(). */
  std::uint16_t port() const;
  /** Changes the limits; called on the only worker of the pool. */
  void setLimits(const HttpServerLimits &Limits);
  /** Closes the listening socket; open connections go on. */
  void stopListening();
  /** From now on each answer ends its connection. */
  void closeAfterAnswers();
  /** Closes connections that wait for a next request. */
  void closeIdle();
  /** Requests read and not yet answered. */
  std::size_t pendingRequests() const;
  std::size_t connections() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_HTTPSERVER_H
