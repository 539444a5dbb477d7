#include "support/TestHttpClient.h"

#include "protocol/JsonConvert.h"
#include "support/RawClient.h"

namespace figturn::test {

std::optional<HttpReply>
TestHttpClient::exchange(const std::string &Method, const std::string &Path,
                         const std::string &Body) const {
  RawClient Client(m_Port);
  if (!Client.hasConnected() ||
      !Client.send(serializeRequest(Method, Path, "127.0.0.1", Body)))
    return std::nullopt;
  return Client.receive();
}

QJsonObject TestHttpClient::getJson(const std::string &Path) const {
  const auto Reply = exchange("GET", Path);
  return Reply ? parseJsonObject(Reply->m_Body) : QJsonObject{};
}

QJsonObject TestHttpClient::postJson(const std::string &Path,
                                     const QJsonObject &Body) const {
  const auto Reply = exchange("POST", Path, toCompactJson(Body));
  return Reply ? parseJsonObject(Reply->m_Body) : QJsonObject{};
}

} // namespace figturn::test
