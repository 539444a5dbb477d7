#ifndef FIGTURN_TRANSPORT_HTTPSERVER_H
#define FIGTURN_TRANSPORT_HTTPSERVER_H

/**
 * HTTP/1.1 server over QTcpServer with Boost.Beast as the codec. Qt's HTTP
 * server isn't used because it crashes if a caller disconnects before its
 * answer is written, answers pipelined requests out of order and doesn't limit
 * the size of bodies (docs/DESIGN.md, tests HttpServer*).
 */

#include "protocol/HttpMessage.h"
#include "state/Time.h"
#include "transport/CallerConnections.h"
#include "transport/WorkerPool.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace figturn {

/**
 * One request, which can be answered once. May be kept for any time and
 * answered from any thread; the answer is discarded if the caller has
 * disconnected.
 */
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest &request() const = 0;
  /** Sends the answer; only the first call has an effect. */
  virtual void respond(HttpResponse Response) = 0;
  /** Calls \p Callback on the connection's worker if the caller disconnects
   *  before the answer is written; immediately if it already has. */
  virtual void onCallerDisconnect(std::function<void()> Callback) = 0;
  /** The worker that owns the connection. */
  virtual std::size_t worker() const = 0;
  /** Charges \p Bytes that the request needs besides its own to the callers'
   *  budget, as long as this object exists. If it returns false, the request
   *  must be refused. To be called on the connection's worker. */
  virtual bool reserveMemory(std::size_t Bytes) = 0;
  /** When the request was completely read from the connection. */
  virtual TimePoint receivedAt() const = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePtr)>;

/** Address and limits of a server. */
struct HttpServerOptions {
  std::string m_Address = "127.0.0.1"; ///< IP address.
  std::uint16_t m_Port = 0;            ///< 0 selects a free port.
  std::size_t m_HeaderLimit = 16384;   ///< Maximum bytes of a header block.
  std::size_t m_BodyLimit = 1048576;   ///< Maximum bytes of a body.
  /** Budget shared with other servers of the process; if null, the server has
   *  its own, with the next two limits. */
  std::shared_ptr<CallerConnections> m_Connections;
  std::size_t m_MaxConnections = 10000;
  /** Maximum bytes of requests and unsent answers of all connections. */
  std::size_t m_MaxBytes = 268435456;
  /** Maximum unanswered requests read from one connection. */
  std::size_t m_MaxPipelined = 16;
  /** From the first byte of a request to its last. */
  milliseconds m_RequestTimeout{5000};
  /** Between accepting a connection, or an answer, and the first byte of the
   *  next request. */
  milliseconds m_IdleTimeout{60000};
  /** Whether the limits of headers and bodies are known to be those in force.
   *  If not, a request that exceeds them is refused with 503, as it may be
   *  allowed. */
  std::function<bool(TimePoint Now)> m_AreLimitsKnown = [](TimePoint) {
    return true;
  };
  /** Whether a request to the target, which is empty if it isn't known yet, may
   *  have been run by an earlier attempt. Refusals for lack of memory then
   * don't state "not-run". */
  std::function<bool(std::string_view Target)> m_MayHaveRunBefore =
      [](std::string_view) { return false; };
};

/** Numbers of refused requests, by status and reason. */
using RefusalCounts = std::map<std::pair<unsigned, std::string>, std::uint64_t>;

/** Limits that can change while a server runs. They apply to connections
 *  accepted and requests started afterwards. */
struct HttpServerLimits {
  std::size_t m_HeaderLimit = 0; ///< Maximum bytes of a header block.
  std::size_t m_BodyLimit = 0;   ///< Maximum bytes of a body.
  milliseconds m_RequestTimeout{};
  milliseconds m_IdleTimeout{};
};

/** Listens on one address and distributes connections over a worker pool. */
class HttpServer {
public:
  /** \p Handler is called on the connection's worker for each request. */
  HttpServer(HttpServerOptions Options, WorkerPool &Workers,
             HttpHandler Handler);
  ~HttpServer();

  /** Starts to listen. Returns invalid_argument if the address isn't an IP
   *  address, otherwise the error code that corresponds to Qt's. */
  std::error_code listen();
  /** The listening port; 0 before listen(). */
  std::uint16_t port() const;
  /** Changes the limits. The pool must have a single worker, and this must be
   *  called on it. */
  void setLimits(const HttpServerLimits &Limits);
  /** Closes the listening socket; open connections stay open, including those
   *  that were established but not accepted yet. */
  void stopListening();
  /** From now on, closes each connection after its last pending answer. */
  void closeAfterAnswers();
  /** Closes connections that are idle between requests. */
  void closeIdle();
  /** Number of requests read whose answers are not yet completely sent. */
  std::size_t pendingRequests() const;
  /** Number of requests that are partly read, or read and not completely
   *  answered. */
  std::size_t unfinishedRequests() const;
  std::size_t connections() const;
  /** Numbers of requests that were refused before they were read completely, by
   *  status and reason. */
  RefusalCounts refusalCounts() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_HTTPSERVER_H
