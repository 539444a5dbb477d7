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

/** A store connected to a scripted platform. */
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

ScriptedHttpServer::Script alwaysReply(ScriptedReply Reply) {
  return [Reply](const std::string &) { return Reply; };
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpObjectStoreTest)

BOOST_AUTO_TEST_CASE(Get_ofAnObject_returnsBodyAndVersionFromETag) {
  StoreFixture Fixture(
      alwaysReply(httpReply(200, "{\"a\":1}", "ETag: \"17\"\r\n")));
  const ObjectResult Result = Fixture.get();
  BOOST_TEST(!Result.m_Error);
  BOOST_TEST(Result.m_Version == 17U);
  BOOST_TEST(Result.m_Body == "{\"a\":1}");
}

BOOST_AUTO_TEST_CASE(Get_ofAMissingObject_isObjectNotFound) {
  StoreFixture Fixture(alwaysReply(httpReply(404, "{}")));
  BOOST_TEST(Fixture.get().m_Error == Errc::ObjectNotFound);
}

BOOST_AUTO_TEST_CASE(Get_withoutAnETag_isPlatformUnavailable) {
  StoreFixture Fixture(alwaysReply(httpReply(200, "{}")));
  BOOST_TEST(Fixture.get().m_Error == Errc::PlatformUnavailable);
}

BOOST_AUTO_TEST_CASE(Get_withATruncatedBody_isPlatformUnavailable) {
  StoreFixture Fixture(
      alwaysReply({.m_Bytes = "HTTP/1.1 200 X\r\nContent-Length: 100\r\n"
                              "ETag: \"17\"\r\n\r\n{\"half\":",
                   .m_CloseConnection = true}));
  BOOST_TEST(Fixture.get().m_Error == Errc::PlatformUnavailable);
}

BOOST_AUTO_TEST_CASE(Put_withAVersion_sendsItAsCondition) {
  std::string LastRequest;
  StoreFixture Fixture([&](const std::string &Request) {
    LastRequest = Request;
    return httpReply(200, "{\"version\":18}");
  });
  BOOST_TEST(Fixture.put().m_Version == 18U);
  BOOST_TEST(LastRequest.starts_with("PUT /v1/objects/config HTTP/1.1"));
  BOOST_TEST(LastRequest.find("If-Match: \"17\"") != std::string::npos);
  BOOST_TEST(!Fixture.put(WriteCondition::ifAbsent()).m_Error);
  BOOST_TEST(LastRequest.find("If-None-Match: *") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Put_withAnOutdatedVersion_isVersionConflict) {
  StoreFixture Fixture(alwaysReply(httpReply(412, "{\"version\":19}")));
  const ObjectResult Result = Fixture.put();
  BOOST_TEST(Result.m_Error == Errc::VersionConflict);
  BOOST_TEST(Result.m_Version == 19U);
}

BOOST_AUTO_TEST_CASE(Put_duringAnOutage_isPlatformUnavailable) {
  StoreFixture Fixture(alwaysReply(httpReply(503, "{}")));
  BOOST_TEST(Fixture.put().m_Error == Errc::PlatformUnavailable);
}

BOOST_AUTO_TEST_CASE(Put_withARefusedConnection_isPlatformUnavailable) {
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

BOOST_AUTO_TEST_CASE(Put_withoutAReply_isOutcomeUnknown) {
  StoreFixture Fixture(alwaysReply({}), ShortTimeout);
  BOOST_TEST(Fixture.put().m_Error == Errc::OutcomeUnknown);
}

BOOST_AUTO_TEST_CASE(Put_withATruncatedReply_isOutcomeUnknown) {
  StoreFixture Fixture(alwaysReply(
      {.m_Bytes = "HTTP/1.1 200 X\r\nContent-Length: 50\r\n\r\n{\"version",
       .m_CloseConnection = true}));
  BOOST_TEST(Fixture.put().m_Error == Errc::OutcomeUnknown);
}

// Qt resends the write if its connection closes. The reply to the second
// transmission doesn't show whether the first took effect.
BOOST_AUTO_TEST_CASE(Put_repeatedByQtWithAConflict_isOutcomeUnknown) {
  unsigned Requests = 0;
  StoreFixture Fixture([&](const std::string &) {
    return ++Requests == 1 ? ScriptedReply{.m_CloseConnection = true}
                           : httpReply(412, "{\"version\":18}");
  });
  BOOST_TEST(Fixture.put().m_Error == Errc::OutcomeUnknown);
  BOOST_TEST(Requests == 2U);
}

BOOST_AUTO_TEST_CASE(Put_repeatedByQtIntoAnOutage_isOutcomeUnknown) {
  unsigned Requests = 0;
  StoreFixture Fixture([&](const std::string &) {
    return ++Requests == 1 ? ScriptedReply{.m_CloseConnection = true}
                           : httpReply(503, "{}");
  });
  BOOST_TEST(Fixture.put().m_Error == Errc::OutcomeUnknown);
}

BOOST_AUTO_TEST_CASE(Watch_withoutAChange_returnsTheVersionWaitedOn) {
  StoreFixture Fixture(alwaysReply({.m_Bytes = "HTTP/1.1 204 X\r\n\r\n"}));
  std::optional<ObjectResult> Result;
  Fixture.m_Store.watch("config", 17, milliseconds(10),
                        [&](ObjectResult R) { Result = std::move(R); });
  BOOST_REQUIRE(runUntil([&] { return Result.has_value(); }));
  BOOST_TEST(!Result->m_Error);
  BOOST_TEST(Result->m_Version == 17U);
}

// Uses more watches than Qt's access manager opens connections per address, so
// that they would block each other and reads on a shared manager.
BOOST_AUTO_TEST_CASE(Watches_pending_delayNeitherWatchesNorReads) {
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

BOOST_AUTO_TEST_CASE(List_ofObjects_returnsPathsAndVersions) {
  StoreFixture Fixture(alwaysReply(
      httpReply(200, R"({"objects":[{"path":"runs/a","version":3}]})")));
  std::optional<ObjectListing> Listing;
  Fixture.m_Store.list("runs/",
                       [&](ObjectListing L) { Listing = std::move(L); });
  BOOST_REQUIRE(runUntil([&] { return Listing.has_value(); }));
  BOOST_REQUIRE(Listing->m_Objects.size() == 1U);
  BOOST_TEST(Listing->m_Objects[0].m_Path == "runs/a");
  BOOST_TEST(Listing->m_Objects[0].m_Version == 3U);
}

BOOST_AUTO_TEST_CASE(VmList_fetched_returnsNamesAndStates) {
  ensureQtApplication();
  ScriptedHttpServer Server(alwaysReply(httpReply(
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
