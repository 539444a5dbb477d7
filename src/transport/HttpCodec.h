#ifndef FIGTURN_TRANSPORT_HTTPCODEC_H
#define FIGTURN_TRANSPORT_HTTPCODEC_H

/**
 * HTTP/1.1 messages to and from bytes. Wraps Boost.Beast's parsers and
 * serializers, whose headers are costly to compile, so that only one source
 * includes them. The readers take bytes as they come and own no socket.
 */

#include "protocol/HttpMessage.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace figturn {

/** Reads requests from a stream of bytes, one after the other. */
class HttpRequestReader {
public:
  /** Limits are in bytes of one header block and of one body. */
  HttpRequestReader(std::size_t HeaderLimit, std::size_t BodyLimit);
  ~HttpRequestReader();

  /** Reads from \p Bytes up to the end of the request at most; returns how
   *  many were used up. Those left must be given again, with more behind. */
  std::size_t feed(std::string_view Bytes);

  /** Whether part of a request was read, or all of it. */
  bool hasStarted() const { return m_Parser != nullptr; }
  /** Whether a whole request was read. */
  bool isComplete() const;
  /** Status to refuse the request with (400, 413 or 431), or 0. */
  unsigned refusalStatus() const { return m_RefusalStatus; }
  /** The header is read, and the sender waits for leave to send the body. */
  bool wantsContinue() const;
  /** Whether the sender may use the connection for a further request. */
  bool isKeepAlive() const;
  /** The complete request; the reader is then ready for the next one. */
  HttpRequest takeMessage();

private:
  struct Parser;
  std::size_t m_HeaderLimit;
  std::size_t m_BodyLimit;
  unsigned m_RefusalStatus = 0;
  std::unique_ptr<Parser> m_Parser;
};

/** A reply as a target gave it. */
struct HttpReply {
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;
  bool m_KeepAlive = true; ///< The connection can carry a further call.

  /** Value of the header \p Name (case-insensitive), or "". */
  std::string header(std::string_view Name) const {
    return headerValue(m_Headers, Name);
  }
};

/** Reads replies from a stream of bytes, one after the other. */
class HttpReplyReader {
public:
  /** \p BodyLimit is in bytes of one body. */
  explicit HttpReplyReader(std::size_t BodyLimit);
  ~HttpReplyReader();

  /** As HttpRequestReader::feed(). */
  std::size_t feed(std::string_view Bytes);
  /** The next reply has no body, whatever its header says. */
  void expectNoBody() { m_NoBody = true; }
  /** Tells that the stream ended; may complete a reply without a length. */
  void feedEof();
  /** Whether part of a reply was read, or all of it. */
  bool hasStarted() const { return m_Parser != nullptr; }
  bool isComplete() const;
  /** What was read is no reply or passes the limit. */
  bool hasFailed() const { return m_Failed; }
  /** The complete reply; the reader is then ready for the next one. */
  HttpReply takeMessage();

private:
  struct Parser;
  std::size_t m_BodyLimit;
  bool m_Failed = false;
  bool m_NoBody = false;
  std::unique_ptr<Parser> m_Parser;
};

/** How a response ends up on the wire. */
struct ResponseFraming {
  bool m_Close = false;    ///< Says that the connection ends.
  bool m_OmitBody = false; ///< The request was a HEAD.
};

/** The bytes of \p Response. */
std::string serializeResponse(const HttpResponse &Response,
                              ResponseFraming Framing);

/** The bytes of a request with a JSON body; GETs pass an empty \p Body. */
std::string serializeRequest(std::string_view Method, std::string_view Target,
                             std::string_view Host, std::string_view Body);

} // namespace figturn

#endif // FIGTURN_TRANSPORT_HTTPCODEC_H
