#include "protocol/RoutedProtocol.h"

#include "protocol/JsonConvert.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace figturn {

namespace {

constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned FirstServerError = 500;

bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }

/** Longer deadlines are treated as invalid. */
constexpr std::int64_t MaxDeadlineMs = 86400000;

std::optional<milliseconds> parseMilliseconds(const std::string &Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Value < 0 || Value > MaxDeadlineMs)
    return std::nullopt;
  // A fraction is dropped: the sender waits at least for the integer part.
  if (Parsed.ptr != End && *Parsed.ptr != '.')
    return std::nullopt;
  return milliseconds(Value);
}

/** Higher limits are treated as invalid. */
constexpr double MaxRequestsPerSecond = 1e6;

/** Longer waits are treated as invalid. */
constexpr double MaxWaitSeconds = 86400;

/** Reads a decimal number from 0 to \p Max. */
std::optional<double> parseNumber(const std::string &Text, double Max) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed =
      std::from_chars(Text.data(), End, Value, std::chars_format::fixed);
  const bool IsValid = Parsed.ec == std::errc() && Parsed.ptr == End &&
                       Value >= 0 && Value <= Max;
  return IsValid ? std::optional(Value) : std::nullopt;
}

/** A header with one number. */
struct NumberHeader {
  bool m_IsPresent = false;
  std::optional<double> m_Value; ///< None if it is invalid or repeated.
};

NumberHeader findNumber(const HttpHeaders &Headers, std::string_view Name,
                        double Max) {
  NumberHeader Result;
  for (const auto &[EachName, Value] : Headers) {
    if (!equalHeaderNames(EachName, Name))
      continue;
    // Several values contradict one another, so none of them counts.
    Result.m_Value =
        Result.m_IsPresent ? std::nullopt : parseNumber(Value, Max);
    Result.m_IsPresent = true;
  }
  return Result;
}

/** Whether \p Name is one of the comma-separated tokens of \p List. */
bool containsToken(std::string_view List, std::string_view Name) {
  while (!List.empty()) {
    const std::size_t Comma = std::min(List.find(','), List.size());
    std::string_view Token = List.substr(0, Comma);
    while (!Token.empty() && (Token.front() == ' ' || Token.front() == '\t'))
      Token.remove_prefix(1);
    while (!Token.empty() && (Token.back() == ' ' || Token.back() == '\t'))
      Token.remove_suffix(1);
    if (equalHeaderNames(Token, Name))
      return true;
    List.remove_prefix(std::min(Comma + 1, List.size()));
  }
  return false;
}

unsigned refusalStatus(const Refusal &Refused) {
  if (Refused.m_Reason == Errc::UnknownRoute)
    return StatusNotFound;
  if (Refused.m_Verdict == RunVerdict::NotRun)
    return StatusUnavailable;
  return Refused.m_Reason == Errc::DeadlineExceeded ? StatusGatewayTimeout
                                                    : StatusBadGateway;
}

} // namespace

RoutedRequest decodeRoutedRequest(const HttpRequest &Request,
                                  const RoutedHeaders &Headers) {
  return {.m_Id = Request.header(Headers.m_RequestId),
          .m_Host = Request.header("Host"),
          .m_Deadline =
              parseMilliseconds(Request.header(Headers.m_DeadlineMs))};
}

std::string encodeRoutedCall(const HttpRequest &Request,
                             const TargetInstance &Target, milliseconds Timeout,
                             const RoutedHeaders &Headers) {
  std::string Bytes;
  Bytes.reserve(512 + Request.m_Body.size());
  const auto Append = [&Bytes](std::string_view Name, std::string_view Value) {
    Bytes.append(Name).append(": ").append(Value).append("\r\n");
  };
  Bytes.append(Request.m_Method).append(" ").append(Request.m_Target);
  Bytes.append(" HTTP/1.1\r\n");
  // Headers listed in the Connection header are hop-by-hop too (RFC 9110).
  const std::string HopByHop = Request.header("Connection");
  for (const auto &[Name, Value] : Request.m_Headers) {
    const bool IsReplaced = equalHeaderNames(Name, Headers.m_DeadlineMs) ||
                            equalHeaderNames(Name, Headers.m_ExpectTarget);
    if (!IsReplaced && !isHopByHopHeader(Name) &&
        !containsToken(HopByHop, Name))
      Append(Name, Value);
  }
  Append(Headers.m_DeadlineMs, fmt::format("{}", Timeout.count()));
  Append(Headers.m_ExpectTarget, Target.m_Name.value());
  const bool HasBody = !Request.m_Body.empty() ||
                       !Request.header("Content-Length").empty() ||
                       !Request.header("Transfer-Encoding").empty();
  if (HasBody)
    Append("Content-Length", fmt::format("{}", Request.m_Body.size()));
  Bytes.append("\r\n").append(Request.m_Body);
  return Bytes;
}

bool impliesNotRun(unsigned Status) {
  return Status == StatusRequestTimeout || Status == StatusMisdirected ||
         Status == StatusTooManyRequests || Status == StatusUnavailable;
}

CallOutcome classifyReply(unsigned Status, const HttpHeaders &ReplyHeaders,
                          const RoutedHeaders &Headers) {
  if (Status == StatusMisdirected)
    return CallOutcome::Misdirected;
  if (!headerValue(ReplyHeaders, Headers.m_NotExecuted).empty())
    return CallOutcome::Refused;
  // A reply without the target's signature, or a successful one with a content
  // encoding, was modified or sent by something other than the target's
  // service. Callers would take a 3xx or 4xx for the VM's own.
  if (headerValue(ReplyHeaders, Headers.m_TargetSignature).empty() ||
      (isSuccess(Status) &&
       !headerValue(ReplyHeaders, "Content-Encoding").empty()))
    return CallOutcome::Failed;
  // Only the header above is proof that the request did not run.
  return Status >= FirstServerError || impliesNotRun(Status)
             ? CallOutcome::Failed
             : CallOutcome::Answered;
}

CallOutcome classifyShardReply(unsigned Status, const HttpHeaders &ReplyHeaders,
                               const RoutedHeaders &Headers) {
  const CallOutcome Outcome = classifyReply(Status, ReplyHeaders, Headers);
  return Outcome == CallOutcome::Answered && !isSuccess(Status)
             ? CallOutcome::Failed
             : Outcome;
}

NamedRateLimit decodeRateLimit(const HttpHeaders &ReplyHeaders,
                               const RoutedHeaders &Headers) {
  const NumberHeader Found =
      findNumber(ReplyHeaders, Headers.m_RateLimit, MaxRequestsPerSecond);
  return {.m_IsPresent = Found.m_IsPresent,
          .m_RequestsPerSecond = Found.m_Value};
}

NamedWait decodeWait(unsigned Status, const HttpHeaders &ReplyHeaders) {
  if (Status != StatusUnavailable)
    return {};
  const NumberHeader Found =
      findNumber(ReplyHeaders, "Retry-After", MaxWaitSeconds);
  NamedWait Result{.m_IsPresent = Found.m_IsPresent};
  if (Found.m_Value)
    Result.m_Time = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(*Found.m_Value));
  return Result;
}

bool decodeLeaving(const HttpHeaders &ReplyHeaders,
                   const RoutedHeaders &Headers) {
  return headerValue(ReplyHeaders, Headers.m_Leaving) == "1";
}

HttpResponse forwardReply(unsigned Status, const HttpHeaders &ReplyHeaders,
                          std::string Body) {
  HttpResponse Response{
      .m_Status = Status, .m_Body = std::move(Body), .m_ContentType = ""};
  for (const auto &[Name, Value] : ReplyHeaders)
    if (!isHopByHopHeader(Name))
      Response.m_Headers.emplace_back(Name, Value);
  return Response;
}

HttpResponse searchResponse(std::string Records,
                            const std::vector<std::string> &Signatures,
                            std::size_t MissingShards,
                            const std::string &RequestId,
                            const RoutedHeaders &Headers) {
  HttpResponse Response{.m_Body = std::move(Records),
                        .m_ContentType = "application/octet-stream"};
  Response.m_Headers = {
      {Headers.m_RequestId, RequestId},
      {Headers.m_ShardSignatures,
       fmt::format("{}", fmt::join(Signatures, ", "))},
      {Headers.m_MissingShards, fmt::format("{}", MissingShards)}};
  return Response;
}

HttpResponse refusalResponse(const Refusal &Refused,
                             const std::string &RequestId,
                             std::optional<milliseconds> RetryAfter,
                             const RoutedHeaders &Headers) {
  HttpResponse Response{.m_Status = refusalStatus(Refused)};
  Response.m_Body =
      toCompactJson({{"requestId", toQt(RequestId)},
                     {"verdict", toQt(verdictName(Refused.m_Verdict))},
                     {"reason", toQt(Refused.m_Reason.message())},
                     {"message", toQt(Refused.m_Message)}});
  if (!RequestId.empty())
    Response.m_Headers.emplace_back(Headers.m_RequestId, RequestId);
  if (RetryAfter && Response.m_Status == StatusUnavailable)
    Response.m_Headers.emplace_back(
        "Retry-After",
        fmt::format("{:.3f}",
                    std::chrono::duration<double>(*RetryAfter).count()));
  return Response;
}

} // namespace figturn
