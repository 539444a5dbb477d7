#ifndef FIGTURN_PROTOCOL_HTTPMESSAGE_H
#define FIGTURN_PROTOCOL_HTTPMESSAGE_H

/** HTTP messages as values, apart from how they are read and written. */

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figturn {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** Whether header names are equal, without regard to case. */
bool equalHeaderNames(std::string_view Left, std::string_view Right);

/** Value of the header \p Name (case-insensitive), or "". */
std::string headerValue(const HttpHeaders &Headers, std::string_view Name);

/** Whether a header concerns one connection only and isn't passed on. */
bool isHopByHopHeader(std::string_view Name);

/** A complete request as the parser gave it. */
struct HttpRequest {
  std::string m_Method;
  std::string m_Target; ///< Path and query as they came.
  std::string m_Path;   ///< Without the query string.
  std::string m_Query;  ///< After '?', undecoded; may be empty.
  HttpHeaders m_Headers;
  std::string m_Body;

  /** Value of the header \p Name (case-insensitive), or "". */
  std::string header(std::string_view Name) const {
    return headerValue(m_Headers, Name);
  }
};

/** A response to write. Content-Length is added by the server. */
struct HttpResponse {
  unsigned m_Status = 200;
  std::string m_Body;
  std::string m_ContentType = "application/json"; ///< Empty: none.
  HttpHeaders m_Headers;
  bool m_CloseConnection = false; ///< Ends the connection once it is written.
};

} // namespace figturn

#endif // FIGTURN_PROTOCOL_HTTPMESSAGE_H
