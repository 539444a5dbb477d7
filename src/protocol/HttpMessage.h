#ifndef FIGTURN_PROTOCOL_HTTPMESSAGE_H
#define FIGTURN_PROTOCOL_HTTPMESSAGE_H

/** HTTP messages as plain values, independent of parsing and writing. */

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figturn {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** Compares header names case-insensitively. */
bool equalHeaderNames(std::string_view Left, std::string_view Right);

/** Value of the first header \p Name (case-insensitive), or "". */
std::string headerValue(const HttpHeaders &Headers, std::string_view Name);

/** Whether a header must not be forwarded: it applies to one connection, or is
 *  Content-Length, which is written anew. */
bool isHopByHopHeader(std::string_view Name);

/** A complete parsed request. */
struct HttpRequest {
  std::string m_Method;
  std::string m_Target; ///< Path and query as received.
  std::string m_Path;   ///< Without the query string.
  std::string m_Query;  ///< After '?', not decoded; may be empty.
  HttpHeaders m_Headers;
  std::string m_Body;

  /** Value of the header \p Name (case-insensitive), or "". */
  std::string header(std::string_view Name) const {
    return headerValue(m_Headers, Name);
  }
};

/** Bytes that a header field takes besides its name and value, parsed and
 *  copied. */
constexpr std::size_t HeaderFieldBytes = 192;

/** Bytes that \p Request holds. */
std::size_t heldBytes(const HttpRequest &Request);

/** Bytes of \p Request when it is sent. */
std::size_t messageBytes(const HttpRequest &Request);

/** A response to send; the server adds Content-Length. */
struct HttpResponse {
  unsigned m_Status = 200;
  std::string m_Body;
  std::string m_ContentType = "application/json"; ///< Empty: no header.
  HttpHeaders m_Headers;
  bool m_CloseConnection = false; ///< Close once it is sent.
};

} // namespace figturn

#endif // FIGTURN_PROTOCOL_HTTPMESSAGE_H
