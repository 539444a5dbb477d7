#include "protocol/HttpMessage.h"

#include <algorithm>
#include <iterator>

namespace figturn {

namespace {

char toLower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

} // namespace

bool equalHeaderNames(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char L, char R) { return toLower(L) == toLower(R); });
}

std::string headerValue(const HttpHeaders &Headers, std::string_view Name) {
  for (const auto &[Key, Value] : Headers)
    if (equalHeaderNames(Key, Name))
      return Value;
  return {};
}

bool isHopByHopHeader(std::string_view Name) {
  constexpr std::string_view Names[] = {
      "Connection", "Keep-Alive",         "Proxy-Connection",   "TE",
      "Trailer",    "Transfer-Encoding",  "Content-Length",     "Upgrade",
      "Expect",     "Proxy-Authenticate", "Proxy-Authorization"};
  return std::any_of(
      std::begin(Names), std::end(Names),
      [Name](std::string_view Known) { return equalHeaderNames(Known, Name); });
}

std::size_t heldBytes(const HttpRequest &Request) {
  std::size_t Bytes = Request.m_Body.capacity() + 2 * Request.m_Target.size();
  for (const auto &[Name, Value] : Request.m_Headers)
    Bytes += Name.size() + Value.size() + HeaderFieldBytes;
  return Bytes;
}

std::size_t messageBytes(const HttpRequest &Request) {
  constexpr std::size_t Separators = 4; // ": " and the line break.
  std::size_t Bytes = Request.m_Body.size() + Request.m_Target.size();
  for (const auto &[Name, Value] : Request.m_Headers)
    Bytes += Name.size() + Value.size() + Separators;
  return Bytes;
}

} // namespace figturn
