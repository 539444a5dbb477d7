/** Forwarded requests, classification of replies, and generated answers. */

#include "protocol/RoutedProtocol.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

struct Fixture {
  RoutedHeaders m_Names{.m_RequestId = "X-Id",
                        .m_DeadlineMs = "X-Deadline",
                        .m_ExpectTarget = "X-Expect",
                        .m_TargetSignature = "X-Stamp",
                        .m_NotExecuted = "X-Not-Run",
                        .m_RateLimit = "X-Limit",
                        .m_Leaving = "X-Leaving",
                        .m_ShardSignatures = "X-Parts",
                        .m_MissingShards = "X-Missing"};
  HttpRequest m_Request{.m_Method = "POST",
                        .m_Target = "/a/b?x=%20",
                        .m_Path = "/a/b",
                        .m_Headers = {{"Host", "h.example"},
                                      {"X-Id", "42"},
                                      {"x-deadline", "400"},
                                      {"X-Expect", "forged"},
                                      {"Connection", "close, X-Hop"},
                                      {"X-Hop", "1"},
                                      {"Transfer-Encoding", "chunked"},
                                      {"X-Custom", "kept"}},
                        .m_Body = "abc"};

  std::string encodedCall() const {
    return encodeRoutedCall(m_Request, {.m_Name = TargetName("i-1")},
                            milliseconds(250), m_Names);
  }
  CallOutcome classify(unsigned Status, const HttpHeaders &Headers) const {
    return classifyReply(Status, Headers, m_Names);
  }
};

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(RoutedProtocolTest, Fixture)

BOOST_AUTO_TEST_CASE(Call_replacesOnlyDeadlineTargetAndHopByHopHeaders) {
  const std::string Bytes = encodedCall();
  BOOST_TEST(Bytes.starts_with("POST /a/b?x=%20 HTTP/1.1\r\n"));
  BOOST_TEST(contains(Bytes, "X-Id: 42\r\n"));
  BOOST_TEST(contains(Bytes, "X-Custom: kept\r\n"));
  BOOST_TEST(contains(Bytes, "X-Deadline: 250\r\n"));
  BOOST_TEST(!contains(Bytes, "400"));
  BOOST_TEST(contains(Bytes, "X-Expect: i-1\r\n"));
  BOOST_TEST(!contains(Bytes, "forged"));
  BOOST_TEST(contains(Bytes, "Content-Length: 3\r\n"));
  BOOST_TEST(!contains(Bytes, "chunked"));
  BOOST_TEST(!contains(Bytes, "X-Hop"));
  BOOST_TEST(Bytes.ends_with("\r\n\r\nabc"));
}

BOOST_AUTO_TEST_CASE(Call_withoutBody_hasNoContentLength) {
  m_Request.m_Body.clear();
  m_Request.m_Headers = {{"Host", "h.example"}};
  BOOST_TEST(!contains(encodedCall(), "Content-Length"));
}

BOOST_AUTO_TEST_CASE(Reply_withNotExecutedHeader_isRefused) {
  BOOST_TEST((classify(503, {{"x-not-run", "1"}}) == CallOutcome::Refused));
  BOOST_TEST((classify(429, {{"X-Not-Run", "1"}}) == CallOutcome::Refused));
}

BOOST_AUTO_TEST_CASE(Reply_notRunStatusWithoutHeader_isFailed) {
  BOOST_TEST((classify(503, {}) == CallOutcome::Failed));
  BOOST_TEST((classify(429, {}) == CallOutcome::Failed));
  BOOST_TEST((classify(408, {}) == CallOutcome::Failed));
}

BOOST_AUTO_TEST_CASE(Reply_status421_isMisdirected) {
  BOOST_TEST((classify(421, {}) == CallOutcome::Misdirected));
}

BOOST_AUTO_TEST_CASE(Reply_successUnsignedOrEncoded_isFailed) {
  BOOST_TEST((classify(200, {{"X-Stamp", "s"}}) == CallOutcome::Answered));
  BOOST_TEST((classify(200, {}) == CallOutcome::Failed));
  BOOST_TEST((classify(200, {{"X-Stamp", "s"}, {"Content-Encoding", "gzip"}}) ==
              CallOutcome::Failed));
}

BOOST_AUTO_TEST_CASE(Reply_clientError_isAnswerButNotShardReply) {
  const HttpHeaders Signed{{"X-Stamp", "s"}};
  BOOST_TEST((classify(404, Signed) == CallOutcome::Answered));
  BOOST_TEST((classifyShardReply(404, Signed, m_Names) == CallOutcome::Failed));
  BOOST_TEST((classify(500, Signed) == CallOutcome::Failed));
}

BOOST_AUTO_TEST_CASE(Reply_forwarded_hasNoHopByHopHeaders) {
  const HttpResponse Forwarded = forwardReply(201,
                                              {{"X-Stamp", "s"},
                                               {"Keep-Alive", "timeout=5"},
                                               {"Content-Length", "2"},
                                               {"Content-Type", "a/b"}},
                                              "ok");
  BOOST_TEST(Forwarded.m_Status == 201U);
  BOOST_TEST(Forwarded.m_Headers.size() == 2U);
  BOOST_TEST(headerValue(Forwarded.m_Headers, "content-type") == "a/b");
  BOOST_TEST(Forwarded.m_ContentType.empty());
}

BOOST_AUTO_TEST_CASE(Search_answer_listsSignaturesAndMissingShards) {
  const HttpResponse Answer =
      searchResponse("rec", {"s1", "s2"}, 1, "42", m_Names);
  BOOST_TEST(headerValue(Answer.m_Headers, "X-Parts") == "s1, s2");
  BOOST_TEST(headerValue(Answer.m_Headers, "X-Missing") == "1");
}

BOOST_AUTO_TEST_CASE(Refusal_status503_onlyIfNotRun) {
  const auto Refuse = [this](RunVerdict Verdict, Errc Reason) {
    return refusalResponse({.m_Verdict = Verdict, .m_Reason = Reason}, "42",
                           milliseconds(125), m_Names);
  };
  const HttpResponse NotRun = Refuse(RunVerdict::NotRun, Errc::NoTarget);
  BOOST_TEST(NotRun.m_Status == 503U);
  BOOST_TEST(headerValue(NotRun.m_Headers, "Retry-After") == "0.125");
  const HttpResponse MayHaveRun =
      Refuse(RunVerdict::MayHaveRun, Errc::ConnectionClosed);
  BOOST_TEST(MayHaveRun.m_Status == 502U);
  BOOST_TEST(headerValue(MayHaveRun.m_Headers, "Retry-After").empty());
  BOOST_TEST(Refuse(RunVerdict::MayHaveRun, Errc::DeadlineExceeded).m_Status ==
             504U);
  BOOST_TEST(Refuse(RunVerdict::NotRun, Errc::UnknownRoute).m_Status == 404U);
}

BOOST_AUTO_TEST_CASE(Deadline_invalid_isNotSet) {
  const auto Read = [this](const std::string &Value) {
    m_Request.m_Headers = {{"X-Deadline", Value}};
    return decodeRoutedRequest(m_Request, m_Names).m_Deadline;
  };
  BOOST_TEST((Read("400") == milliseconds(400)));
  BOOST_TEST((Read("400.9") == milliseconds(400)));
  for (const char *Invalid : {"", "-1", "4e9x", "soon", "99999999999999999999"})
    BOOST_TEST(!Read(Invalid).has_value());
}

BOOST_AUTO_TEST_CASE(RateLimit_inReply_isRead) {
  for (const auto &[Text, Value] : std::vector<std::pair<std::string, double>>{
           {"36", 36}, {"28.4", 28.4}, {"0", 0}, {"0.25", 0.25}}) {
    const NamedRateLimit Limit = decodeRateLimit({{"x-limit", Text}}, m_Names);
    BOOST_TEST(Limit.m_IsPresent);
    BOOST_REQUIRE(Limit.m_RequestsPerSecond);
    BOOST_TEST(*Limit.m_RequestsPerSecond == Value);
  }
  BOOST_TEST(!decodeRateLimit({{"X-Other", "3"}}, m_Names).m_IsPresent);
}

BOOST_AUTO_TEST_CASE(RateLimit_thatIsNoRate_isPresentWithoutValue) {
  for (const std::string &Text :
       {std::string(), std::string("-1"), std::string("nan"),
        std::string("inf"), std::string("3 a second"), std::string("1e3"),
        std::string("1e999"), std::string("2000000"), std::string(", 3"),
        std::string(5000, '9')}) {
    const NamedRateLimit Limit = decodeRateLimit({{"X-Limit", Text}}, m_Names);
    BOOST_TEST(Limit.m_IsPresent);
    BOOST_TEST(!Limit.m_RequestsPerSecond, Text.substr(0, 20));
  }
  const NamedRateLimit Twice =
      decodeRateLimit({{"X-Limit", "3"}, {"X-Limit", "4"}}, m_Names);
  BOOST_TEST(Twice.m_IsPresent);
  BOOST_TEST(!Twice.m_RequestsPerSecond);
}

BOOST_AUTO_TEST_CASE(Wait_inRefusal_isRead) {
  for (const auto &[Text, Time] : std::vector<std::pair<std::string, Duration>>{
           {"2", seconds(2)},
           {"0.25", milliseconds(250)},
           {"0", Duration(0)}}) {
    const NamedWait Wait = decodeWait(503, {{"retry-after", Text}});
    BOOST_TEST(Wait.m_IsPresent);
    BOOST_REQUIRE(Wait.m_Time);
    BOOST_TEST((*Wait.m_Time == Time));
  }
  BOOST_TEST(!decodeWait(503, {{"X-Other", "3"}}).m_IsPresent);
  BOOST_TEST(!decodeWait(200, {{"Retry-After", "3"}}).m_IsPresent);
}

BOOST_AUTO_TEST_CASE(Wait_thatIsNoTime_isPresentWithoutValue) {
  for (const std::string &Text :
       {std::string(), std::string("-1"), std::string("nan"),
        std::string("Wed, 21 Oct 2026 07:28:00 GMT"), std::string("86401"),
        std::string("1e1"), std::string(5000, '9')}) {
    const NamedWait Wait = decodeWait(503, {{"Retry-After", Text}});
    BOOST_TEST(Wait.m_IsPresent);
    BOOST_TEST(!Wait.m_Time, Text.substr(0, 20));
  }
  BOOST_TEST(
      !decodeWait(503, {{"Retry-After", "3"}, {"Retry-After", "4"}}).m_Time);
}

BOOST_AUTO_TEST_CASE(Leaving_inReply_isRead) {
  BOOST_TEST(decodeLeaving({{"x-leaving", "1"}}, m_Names));
  BOOST_TEST(!decodeLeaving({{"X-Leaving", "0"}}, m_Names));
  BOOST_TEST(!decodeLeaving({{"X-Other", "1"}}, m_Names));
}

BOOST_AUTO_TEST_SUITE_END()
