#include "support/TestHttpClient.h"

#include "protocol/JsonConvert.h"
#include "support/RawClient.h"

namespace figturn::test {

std::optional<HttpReply>
TestHttpClient::exchange(const std::string &Method, const std::string &Target,
                         const std::string &Body) const {
  RawClient Client(m_Port);
  if (!Client.isOpen() ||
      !Client.send(serializeRequest(Method, Target, "127.0.0.1", Body)))
    return std::nullopt;
  return Client.receive();
}

QJsonObject TestHttpClient::getJson(const std::string &Target) const {
  const auto Reply = exchange("GET", Target);
  return Reply ? parseJsonObject(Reply->m_Body) : QJsonObject{};
}

QJsonObject TestHttpClient::postJson(const std::string &Target,
                                     const QJsonObject &Body) const {
  const auto Reply = exchange("POST", Target, toCompactJson(Body));
  return Reply ? parseJsonObject(Reply->m_Body) : QJsonObject{};
}

} // namespace figturn::test
