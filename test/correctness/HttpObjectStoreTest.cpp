#include "transport/HttpObjectStore.h"
#include "state/Errc.h"
#include "support/EventLoop.h"
#include "support/ScriptedHttpServer.h"
#include "transport/HttpVmList.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace figturn;

namespace {

constexpr milliseconds ShortTimeout{100};
constexpr milliseconds LongTimeout{15000};

// A store whose platform is a script.
struct StoreFixture {
  explicit StoreFixture(ScriptedHttpServer::Script Script,
                        milliseconds Timeout = LongTimeout)
      : m_Server((ensureQtApplication(), std::move(Script))),
        m_Store({.m_BaseUrl = m_Server.url(), .m_Timeout = Timeout}) {}

  ObjectResult get() {
    std::optional<ObjectResult> Result;
    m_Store.get("config", [&](ObjectResult R) { Result = std::move(R); });
    BOOST_REQUIRE(runUntil([&] { return Result.has_value(); }));
    return *Result;
  }

  ObjectResult put(WriteCondition Condition = WriteCondition::ifVersion(17)) {
    std::optional<ObjectResult> Result;
    m_Store.put("config", "{}", Condition,
                [&](ObjectResult R) { Result = std::move(R); });
    BOOST_REQUIRE(runUntil([&] { return Result.has_value(); }));
    return *Result;
  }

  ScriptedHttpServer m_Server;
  HttpObjectStore m_Store;
};

ScriptedHttpServer::Script always(ScriptedReply Reply) {
  return [Reply](const std::string &) { return Reply; };
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpObjectStoreTest)

BOOST_AUTO_TEST_CASE(Get_of_object_gives_body_and_version_of_etag) {
  StoreFixture Fixture(always(httpReply(200, "{\"a\":1}", "ETag: \"17\"\r\n")));
  const ObjectResult Result = Fixture.get();
  BOOST_TEST(!Result.m_Error);
  BOOST_TEST(Result.m_Version == 17U);
  BOOST_TEST(Result.m_Body == "{\"a\":1}");
}

BOOST_AUTO_TEST_CASE(Get_of_missing_object_is_object_not_found) {
  StoreFixture Fixture(always(httpReply(404, "{}")));
  BOOST_TEST(Fixture.get().m_Error == Errc::ObjectNotFound);
}

BOOST_AUTO_TEST_CASE(Get_without_version_in_reply_is_no_value) {
  StoreFixture Fixture(always(httpReply(200, "{}")));
  BOOST_TEST(Fixture.get().m_Error == Errc::PlatformUnavailable);
}

BOOST_AUTO_TEST_CASE(Get_with_truncated_body_is_no_value) {
  StoreFixture Fixture(
      always({.m_Bytes = "HTTP/1.1 200 X\r\nContent-Length: 100\r\n"
                         "ETag: \"17\"\r\n\r\n{\"half\":",
              .m_CloseConnection = true}));
  BOOST_TEST(Fixture.get().m_Error == Errc::PlatformUnavailable);
}

BOOST_AUTO_TEST_CASE(Put_with_version_sends_it_as_condition) {
  std::string Seen;
  StoreFixture Fixture([&](const std::string &Request) {
    Seen = Request;
    return httpReply(200, "{\"version\":18}");
  });
  BOOST_TEST(Fixture.put().m_Version == 18U);
  BOOST_TEST(Seen.starts_with("PUT /v1/objects/config HTTP/1.1"));
  BOOST_TEST(Seen.find("If-Match: \"17\"") != std::string::npos);
  BOOST_TEST(!Fixture.put(WriteCondition::ifAbsent()).m_Error);
  BOOST_TEST(Seen.find("If-None-Match: *") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Put_that_lost_the_race_is_version_conflict) {
  StoreFixture Fixture(always(httpReply(412, "{\"version\":19}")));
  const ObjectResult Result = Fixture.put();
  BOOST_TEST(Result.m_Error == Errc::VersionConflict);
  BOOST_TEST(Result.m_Version == 19U);
}

BOOST_AUTO_TEST_CASE(Put_in_outage_is_platform_unavailable) {
  StoreFixture Fixture(always(httpReply(503, "{}")));
  BOOST_TEST(Fixture.put().m_Error == Errc::PlatformUnavailable);
}

BOOST_AUTO_TEST_CASE(Put_that_reached_no_server_is_platform_unavailable) {
  ensureQtApplication();
  QTcpServer Closed;
  BOOST_REQUIRE(Closed.listen(QHostAddress::LocalHost));
  const std::string Url =
      "http://127.0.0.1:" + std::to_string(Closed.serverPort());
  Closed.close();
  HttpObjectStore Store({.m_BaseUrl = Url, .m_Timeout = LongTimeout});
  std::optional<ObjectResult> Result;
  Store.put("config", "{}", WriteCondition::always(),
            [&](ObjectResult R) { Result = std::move(R); });
  BOOST_REQUIRE(runUntil([&] { return Result.has_value(); }));
  BOOST_TEST(Result->m_Error == Errc::PlatformUnavailable);
}

BOOST_AUTO_TEST_CASE(Put_whose_answer_never_comes_is_outcome_unknown) {
  StoreFixture Fixture(always({}), ShortTimeout);
  BOOST_TEST(Fixture.put().m_Error == Errc::OutcomeUnknown);
}

BOOST_AUTO_TEST_CASE(Put_with_truncated_answer_is_outcome_unknown) {
  StoreFixture Fixture(always(
      {.m_Bytes = "HTTP/1.1 200 X\r\nContent-Length: 50\r\n\r\n{\"version",
       .m_CloseConnection = true}));
  BOOST_TEST(Fixture.put().m_Error == Errc::OutcomeUnknown);
}

// Qt sends the write again on its own; what the second transmission met says
// nothing about the first.
BOOST_AUTO_TEST_CASE(Put_repeated_by_qt_with_conflict_is_outcome_unknown) {
  unsigned Requests = 0;
  StoreFixture Fixture([&](const std::string &) {
    return ++Requests == 1 ? ScriptedReply{.m_CloseConnection = true}
                           : httpReply(412, "{\"version\":18}");
  });
  BOOST_TEST(Fixture.put().m_Error == Errc::OutcomeUnknown);
  BOOST_TEST(Requests == 2U);
}

BOOST_AUTO_TEST_CASE(Put_repeated_by_qt_into_outage_is_outcome_unknown) {
  unsigned Requests = 0;
  StoreFixture Fixture([&](const std::string &) {
    return ++Requests == 1 ? ScriptedReply{.m_CloseConnection = true}
                           : httpReply(503, "{}");
  });
  BOOST_TEST(Fixture.put().m_Error == Errc::OutcomeUnknown);
}

BOOST_AUTO_TEST_CASE(Watch_without_change_gives_version_waited_on) {
  StoreFixture Fixture(always({.m_Bytes = "HTTP/1.1 204 X\r\n\r\n"}));
  std::optional<ObjectResult> Result;
  Fixture.m_Store.watch("config", 17, milliseconds(10),
                        [&](ObjectResult R) { Result = std::move(R); });
  BOOST_REQUIRE(runUntil([&] { return Result.has_value(); }));
  BOOST_TEST(!Result->m_Error);
  BOOST_TEST(Result->m_Version == 17U);
}

// More watches than Qt's access manager holds connections to one host.
BOOST_AUTO_TEST_CASE(Watches_that_wait_hold_up_neither_watches_nor_reads) {
  constexpr unsigned Watches = 14;
  unsigned Waiting = 0;
  StoreFixture Fixture([&](const std::string &Request) {
    if (Request.starts_with("GET /v1/objects/"))
      return httpReply(200, "{}", "ETag: \"17\"\r\n");
    ++Waiting;
    return ScriptedReply{};
  });
  for (unsigned I = 0; I < Watches; ++I)
    Fixture.m_Store.watch("config", 17, LongTimeout,
                          [](const ObjectResult &) {});
  BOOST_TEST(runUntil([&] { return Waiting == Watches; }));
  BOOST_TEST(!Fixture.get().m_Error);
}

BOOST_AUTO_TEST_CASE(List_gives_paths_and_versions) {
  StoreFixture Fixture(
      always(httpReply(200, R"({"objects":[{"path":"runs/a","version":3}]})")));
  std::optional<ObjectListing> Listing;
  Fixture.m_Store.list("runs/",
                       [&](ObjectListing L) { Listing = std::move(L); });
  BOOST_REQUIRE(runUntil([&] { return Listing.has_value(); }));
  BOOST_REQUIRE(Listing->m_Objects.size() == 1U);
  BOOST_TEST(Listing->m_Objects[0].m_Path == "runs/a");
  BOOST_TEST(Listing->m_Objects[0].m_Version == 3U);
}

BOOST_AUTO_TEST_CASE(Vm_list_gives_names_places_and_states) {
  ensureQtApplication();
  ScriptedHttpServer Server(always(httpReply(
      200,
      R"({"vms":[{"name":"vm-a1","dataCentre":"a","address":"127.0.0.1:1",)"
      R"("role":"entry","state":"leaving"}]})")));
  HttpVmList List({.m_BaseUrl = Server.url(), .m_Timeout = LongTimeout});
  std::optional<VmListResult> Result;
  List.fetchVmList([&](VmListResult R) { Result = std::move(R); });
  BOOST_REQUIRE(runUntil([&] { return Result.has_value(); }));
  BOOST_REQUIRE(Result->m_Vms.size() == 1U);
  BOOST_TEST((Result->m_Vms[0].m_Name == VmName("vm-a1")));
  BOOST_TEST((Result->m_Vms[0].m_State == VmState::Leaving));
}

BOOST_AUTO_TEST_SUITE_END()
