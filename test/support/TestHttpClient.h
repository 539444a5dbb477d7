#ifndef FIGTURN_TEST_SUPPORT_TESTHTTPCLIENT_H
#define FIGTURN_TEST_SUPPORT_TESTHTTPCLIENT_H

/** A blocking HTTP client for tests that opens a connection per exchange. */

#include "transport/HttpCodec.h"

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>

namespace figturn::test {

/** Sends requests to one loopback port. */
class TestHttpClient {
public:
  explicit TestHttpClient(std::uint16_t Port) : m_Port(Port) {}

  /** Sends a request and waits for the reply; returns none if the connection
   *  fails, closes or times out before the reply is complete. */
  std::optional<HttpReply> exchange(const std::string &Method,
                                    const std::string &Path,
                                    const std::string &Body = "") const;
  /** Sends GET \p Path; returns the JSON object in the reply's body, or an
   *  empty one if there is none. */
  QJsonObject getJson(const std::string &Path) const;
  /** Sends POST \p Path; returns the JSON object in the reply's body, or an
   *  empty one if there is none. */
  QJsonObject postJson(const std::string &Path, const QJsonObject &Body) const;

private:
  std::uint16_t m_Port;
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_TESTHTTPCLIENT_H
