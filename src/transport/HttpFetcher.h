#ifndef FIGTURN_TRANSPORT_HTTPFETCHER_H
#define FIGTURN_TRANSPORT_HTTPFETCHER_H

/**
 * Single HTTP requests by Qt's network access manager, for requests that may
 * be repeated without harm: the manager sends a request a second time when
 * its connection closes without a reply, and holds at most six connections
 * to one host. The result tells how often the request was sent, so that the
 * answer to a repeated write isn't mistaken for the answer to the first.
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
  milliseconds m_Timeout{3000}; ///< From the call to the reply's last byte.
};

/** How a request ended. */
struct FetchResult {
  /** None if a whole reply arrived, whatever its status; ConnectFailed if
   *  the request was not sent; else ConnectionClosed, TruncatedReply or
   *  DeadlineExceeded. */
  std::error_code m_Error;
  unsigned m_Status = 0;
  std::string m_Body;
  std::string m_ETag; ///< As sent, with its quotes.
  /** Transmissions of the whole request; more than one if Qt repeated it. */
  unsigned m_SendCount = 0;
};

/** Sends requests on the event loop of the thread that made it. */
class HttpFetcher {
public:
  using Handler = std::function<void(FetchResult)>;

  HttpFetcher();
  ~HttpFetcher();
  HttpFetcher(const HttpFetcher &) = delete;
  HttpFetcher &operator=(const HttpFetcher &) = delete;

  /** Sends \p Request; \p OnResult runs once, later, or never if the fetcher
   *  is destroyed before. */
  void fetch(const FetchRequest &Request, Handler OnResult);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_HTTPFETCHER_H
