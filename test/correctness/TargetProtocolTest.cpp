#include "protocol/TargetProtocol.h"
#include "protocol/TargetServerProtocol.h"
#include "state/Errc.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

struct CallFixture {
  CallHeader m_Header{.m_Call = CallId(7),
                      .m_Origin = "vm-a#1",
                      .m_Service = ServiceName("workshop-desk"),
                      .m_Deadline = milliseconds(120)};
  SearchCall m_Search{.m_Header = m_Header,
                      .m_Version = IndexVersion(7),
                      .m_Shard = ShardId(3),
                      .m_Query = {.m_Text = "alumin\xc3\xa6", .m_Limit = 2},
                      .m_Priority = Priority::Urgent};
  LookupCall m_Lookup{.m_Header = m_Header,
                      .m_Version = IndexVersion(7),
                      .m_Shard = ShardId(3),
                      .m_Record = "B-0001"};
  RunCall m_Run{.m_Header = m_Header,
                .m_Key = RequestKey("quote-9"),
                .m_Record = "B-0001",
                .m_Body = {{"amount", 3}}};
  SearchReply m_Reply{
      .m_Version = IndexVersion(7),
      .m_Shard = ShardId(3),
      .m_Documents = 120,
      .m_Hits = {{"B-0001", 1.5, {{"mirror", "M1"}}}, {"B-0002", 0.5, {}}}};

  bool isBad(unsigned Status, const std::string &Body) const {
    return decodeReply(m_Search, Status, Body).m_Error == Errc::BadReply;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetProtocolTest, CallFixture)

BOOST_AUTO_TEST_CASE(Calls_encodedAndDecoded_areUnchanged) {
  const auto Search = decodeSearchCall(encodeCall(m_Search));
  BOOST_REQUIRE(Search.has_value());
  BOOST_TEST(Search->m_Query.m_Text == m_Search.m_Query.m_Text);
  BOOST_TEST(Search->m_Query.m_Limit == 2U);
  BOOST_TEST((Search->m_Priority == Priority::Urgent));
  BOOST_TEST((Search->m_Header.m_Deadline == milliseconds(120)));
  const auto Lookup = decodeLookupCall(encodeCall(m_Lookup));
  BOOST_REQUIRE(Lookup.has_value());
  BOOST_TEST(Lookup->m_Record == "B-0001");
  BOOST_TEST((Lookup->m_Shard == ShardId(3)));
  const auto Run = decodeRunCall(encodeCall(m_Run));
  BOOST_REQUIRE(Run.has_value());
  BOOST_TEST((Run->m_Key == m_Run.m_Key));
  BOOST_TEST((Run->m_Body == m_Run.m_Body));
}

BOOST_AUTO_TEST_CASE(Call_missingKey_isRejected) {
  BOOST_TEST(!decodeSearchCall("{}").has_value());
  BOOST_TEST(!decodeRunCall(R"({"callId":1,"vm":"a","service":"s",)"
                            R"("record":"r","body":{},"deadlineMs":1})")
                  .has_value());
}

BOOST_AUTO_TEST_CASE(Replies_encodedAndDecoded_areUnchanged) {
  const auto Search =
      decodeReply(m_Search, 200, encodeReply(CallId(7), m_Reply));
  BOOST_REQUIRE(!Search.m_Error);
  BOOST_TEST(Search.m_Value.m_Documents == 120U);
  BOOST_REQUIRE(Search.m_Value.m_Hits.size() == 2U);
  BOOST_TEST(Search.m_Value.m_Hits[0].m_Score == 1.5);
  const LookupReply Absent{.m_Version = IndexVersion(7), .m_Shard = ShardId(3)};
  const auto Lookup =
      decodeReply(m_Lookup, 200, encodeReply(CallId(7), Absent));
  BOOST_TEST(!Lookup.m_Error);
  BOOST_TEST(!Lookup.m_Value.m_Found);
  const RunReply Ran{.m_Key = m_Run.m_Key, .m_Result = QJsonObject{{"n", 1}}};
  const auto Run = decodeReply(m_Run, 200, encodeReply(CallId(7), Ran));
  BOOST_TEST(!Run.m_Error);
  BOOST_TEST((Run.m_Value.m_Result == Ran.m_Result));
}

BOOST_AUTO_TEST_CASE(Reply_ofAnotherCallVersionOrShard_isBad) {
  BOOST_TEST(isBad(200, encodeReply(CallId(8), m_Reply)));
  SearchReply Other = m_Reply;
  Other.m_Version = IndexVersion(8);
  BOOST_TEST(isBad(200, encodeReply(CallId(7), Other)));
  Other = m_Reply;
  Other.m_Shard = ShardId(4);
  BOOST_TEST(isBad(200, encodeReply(CallId(7), Other)));
  const RunReply OtherKey{.m_Key = RequestKey("quote-8"), .m_Result = 1};
  const auto Run = decodeReply(m_Run, 200, encodeReply(CallId(7), OtherKey));
  BOOST_TEST((Run.m_Error == Errc::BadReply));
}

BOOST_AUTO_TEST_CASE(Reply_incomplete_isBad) {
  const std::string Complete = encodeReply(CallId(7), m_Reply);
  BOOST_TEST(isBad(200, Complete.substr(0, Complete.size() - 1)));
  BOOST_TEST(isBad(200, ""));
  BOOST_TEST(isBad(200, R"({"callId":7,"indexVersion":7,"shard":3,)"
                        R"("documents":120,"hitCount":2,"hits":[]})"));
  BOOST_TEST(isBad(200, R"({"callId":7,"indexVersion":7,"shard":3,)"
                        R"("documents":120,"hitCount":0})"));
  BOOST_TEST(isBad(200, R"({"callId":7,"indexVersion":7,"shard":3,)"
                        R"("documents":120,"hitCount":1,"hits":[{"id":1}]})"));
}

BOOST_AUTO_TEST_CASE(Failure_matchingCall_keepsReason) {
  for (const Errc Reason :
       {Errc::VersionNotHeld, Errc::TargetShed, Errc::Cancelled,
        Errc::DeadlineExceeded, Errc::TargetFailed}) {
    const auto Own = encodeFailure(CallId(7), Reason, IndexVersion(8));
    const auto Reply = decodeReply(m_Search, Own.m_Status, Own.m_Body);
    BOOST_TEST((Reply.m_Error == Reason));
    const auto Foreign = encodeFailure(CallId(8), Reason, IndexVersion(8));
    BOOST_TEST(isBad(Foreign.m_Status, Foreign.m_Body));
  }
  const auto Failure =
      encodeFailure(CallId(7), Errc::VersionNotHeld, IndexVersion(8));
  const auto Reply = decodeReply(m_Lookup, Failure.m_Status, Failure.m_Body);
  BOOST_TEST((Reply.m_HeldVersion == IndexVersion(8)));
}

BOOST_AUTO_TEST_CASE(Failure_statusNotMatchingReason_isBad) {
  BOOST_TEST(isBad(503, R"({"callId":7,"error":"cancelled"})"));
  BOOST_TEST(isBad(418, R"({"callId":7,"error":"target-shed"})"));
}

BOOST_AUTO_TEST_SUITE_END()
