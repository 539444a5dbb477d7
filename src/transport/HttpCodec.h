#ifndef FIGTURN_TRANSPORT_HTTPCODEC_H
#define FIGTURN_TRANSPORT_HTTPCODEC_H

/**
 * Parses and serializes HTTP/1.1 messages. Wraps Boost.Beast, whose headers
 * are slow to compile, so that only one source file includes them. The readers
 * are incremental and do no I/O.
 */

#include "protocol/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace figturn {

/** Why a request can't be read. */
enum class RequestDefect : std::uint8_t {
  None,
  BadRequestLine,
  BadHeader,
  BadBodyLength, ///< Content-Length or Transfer-Encoding.
  UnknownCoding, ///< A transfer coding other than `chunked`.
  BadChunk,
  HeaderTooLarge,
  BodyPartTooLarge, ///< A chunk's first line, or trailers.
  BodyTooLarge
};

/** Name of \p Defect in logs and metrics, for example "bad-chunk". */
std::string_view requestDefectName(RequestDefect Defect);

/** Status with which to refuse a request with \p Defect; 0 for None. */
unsigned requestDefectStatus(RequestDefect Defect);

/** Whether only the limits in force make the request unreadable. */
inline bool isLimitDefect(RequestDefect Defect) {
  return Defect == RequestDefect::HeaderTooLarge ||
         Defect == RequestDefect::BodyPartTooLarge ||
         Defect == RequestDefect::BodyTooLarge;
}

/** Parses consecutive requests from a byte stream. */
class HttpRequestReader {
public:
  /** \p HeaderLimit is the maximum size in bytes of a header block,
   *  \p BodyLimit that of a body. */
  HttpRequestReader(std::size_t HeaderLimit, std::size_t BodyLimit);
  ~HttpRequestReader();

  /** Changes the limits; called between requests. */
  void setLimits(std::size_t HeaderLimit, std::size_t BodyLimit) {
    m_HeaderLimit = HeaderLimit;
    m_BodyLimit = BodyLimit;
  }

  /** Parses \p Bytes, at most up to the end of the request, and returns the
   *  number of bytes consumed. The caller passes the remaining bytes again,
   *  followed by further input. */
  std::size_t feed(std::string_view Bytes);

  /** Whether any byte of the current request was parsed. */
  bool hasStarted() const { return m_Parser != nullptr; }
  /** Whether a complete request was parsed. */
  bool isComplete() const;
  /** Why the request must be refused; None if the input is valid so far. */
  RequestDefect defect() const { return m_Defect; }
  /** Whether the header is complete and asks for "100 Continue" before the
   *  body is sent. */
  bool wantsContinue() const;
  /** Bytes that the current request holds, including the cost of its parts. */
  std::size_t heldBytes() const;
  /** Path and query of the current request; "" before its header is complete.
   */
  std::string target() const;
  /** Discards the current request. */
  void discard();
  /** Whether the connection stays open for another request. */
  bool isKeepAlive() const;
  /** Returns the complete request and prepares for the next one. */
  HttpRequest takeMessage();

private:
  struct Parser;
  std::size_t m_PartCount = 0; ///< Parts of the current request.
  std::size_t m_HeaderLimit;
  std::size_t m_BodyLimit;
  RequestDefect m_Defect = RequestDefect::None;
  std::unique_ptr<Parser> m_Parser;
};

/** A reply received by a client. */
struct HttpReply {
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;
  bool m_KeepAlive = true; ///< The connection can be reused.

  /** Value of the header \p Name (case-insensitive), or "". */
  std::string header(std::string_view Name) const {
    return headerValue(m_Headers, Name);
  }
};

/** Parses consecutive replies from a byte stream. */
class HttpReplyReader {
public:
  /** \p BodyLimit is the maximum size of a body in bytes. */
  explicit HttpReplyReader(std::size_t BodyLimit);
  ~HttpReplyReader();

  /** Like HttpRequestReader::feed(), but parses a reply. */
  std::size_t feed(std::string_view Bytes);
  /** Parses the next reply as one without a body, as for a HEAD request. */
  void expectNoBody() { m_NoBody = true; }
  /** Signals the end of the stream, which completes a reply without a
   *  Content-Length. */
  void feedEof();
  /** Whether any byte of the current reply was parsed. */
  bool hasStarted() const { return m_Parser != nullptr; }
  bool isComplete() const;
  /** Whether the input is malformed, truncated or exceeds a size limit. */
  bool hasFailed() const { return m_Failed; }
  /** Number of body bytes of the current reply that are held. */
  std::size_t bodySize() const;
  /** Returns the complete reply and prepares for the next one. */
  HttpReply takeMessage();

private:
  struct Parser;
  std::size_t m_BodyLimit;
  bool m_Failed = false;
  bool m_NoBody = false;
  std::unique_ptr<Parser> m_Parser;
};

/** Options for serializing a response. */
struct ResponseFraming {
  bool m_Close = false;    ///< Adds "Connection: close".
  bool m_OmitBody = false; ///< The request was a HEAD.
};

/** Serializes \p Response. */
std::string serializeResponse(const HttpResponse &Response,
                              ResponseFraming Framing);

/** Serializes a request with a JSON body; \p Body is empty for a GET. */
std::string serializeRequest(std::string_view Method, std::string_view Target,
                             std::string_view Host, std::string_view Body);

} // namespace figturn

#endif // FIGTURN_TRANSPORT_HTTPCODEC_H
