#ifndef FIGTURN_TRANSPORT_HTTPFETCHER_H
#define FIGTURN_TRANSPORT_HTTPFETCHER_H

/**
 * HTTP client over Qt's network access manager, for requests that are safe to
 * repeat. The manager sends a request again if its connection closes without a
 * reply, and opens at most six connections per address. The result counts the
 * transmissions, so that the reply to a repeated write isn't mistaken for the
 * reply to the first one.
 */

#include "state/Time.h"

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace figturn {

/** A request to send. */
struct FetchRequest {
  std::string m_Method = "GET";
  std::string m_Url;
  std::string m_Body;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  milliseconds m_Timeout{3000}; ///< From fetch() to the last reply byte.
};

/** Outcome of a request. */
struct FetchResult {
  /** No error if a complete reply was received, whatever its status;
   *  ConnectFailed if the request was not sent; otherwise ConnectionClosed,
   *  TruncatedReply or DeadlineExceeded. */
  std::error_code m_Error;
  unsigned m_Status = 0;
  std::string m_Body;
  std::string m_ETag; ///< Verbatim, including the quotes.
  /** Number of transmissions; more than one if Qt repeated the request. */
  unsigned m_SendCount = 0;
};

/** Runs on the event loop of the thread that creates it. */
class HttpFetcher {
public:
  using Handler = std::function<void(FetchResult)>;

  HttpFetcher();
  ~HttpFetcher();
  HttpFetcher(const HttpFetcher &) = delete;
  HttpFetcher &operator=(const HttpFetcher &) = delete;

  /** Sends \p Request; \p OnResult runs once, asynchronously, unless the
   *  fetcher is destroyed first. */
  void fetch(const FetchRequest &Request, Handler OnResult);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_HTTPFETCHER_H
