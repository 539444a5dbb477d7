#include "cli/Commands.h"
#include "protocol/ConfigObject.h"
#include "protocol/ObjectStore.h"
#include "support/EventLoop.h"
#include "support/ScriptedHttpServer.h"

#include <QFile>
#include <QTemporaryDir>
#include <absl/flags/reflection.h>
#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

/** Simulates the platform's object `config`, with injected faults. */
struct FakePlatform {
  ScriptedReply reply(const std::string &Request) {
    if (m_Unavailable)
      return httpReply(503, "{}");
    if (Request.starts_with("GET /v1/vms"))
      return httpReply(200, R"({"vms":[]})");
    if (Request.starts_with("GET "))
      return m_Version == 0
                 ? httpReply(404, "{}")
                 : httpReply(200, m_Body,
                             "ETag: \"" + std::to_string(m_Version) + "\"\r\n");
    return write(Request);
  }

  ScriptedReply write(const std::string &Request) {
    if (m_PendingConflicts > 0) {
      --m_PendingConflicts;
      set(encodeConfigObject({.m_ChangeId = "other"}));
    }
    const std::string Condition =
        m_Version == 0 ? "If-None-Match: *"
                       : "If-Match: \"" + std::to_string(m_Version) + "\"";
    const std::string State = "{\"version\":" + std::to_string(m_Version) + "}";
    if (Request.find(Condition) == std::string::npos)
      return httpReply(412, State);
    set(Request.substr(Request.find("\r\n\r\n") + 4));
    if (m_DropsWriteReplies) {
      m_Unavailable = m_FailsAfterDroppedReply;
      return {.m_CloseConnection = true};
    }
    m_Unavailable = m_FailsAfterWrite;
    return httpReply(200, "{\"version\":" + std::to_string(m_Version) + "}");
  }

  void set(const std::string &Body) {
    ++m_Version;
    m_Body = Body;
  }

  std::string m_Body;
  ObjectVersion m_Version = 0;
  unsigned m_PendingConflicts = 0;
  bool m_Unavailable = false;
  bool m_DropsWriteReplies = false;
  bool m_FailsAfterDroppedReply = false;
  bool m_FailsAfterWrite = false;
};

/** Simulates an entry VM that accepts pushed configurations. */
struct FakeEntry {
  ScriptedReply reply(const std::string &Request) {
    if (Request.starts_with("POST /v1/config ")) {
      ++m_Pushes;
      const std::string Header = "X-Config-Version: ";
      const auto HeaderStart = Request.find(Header);
      const std::string Body = Request.substr(Request.find("\r\n\r\n") + 4);
      const bool IsComplete = HeaderStart != std::string::npos &&
                              decodeConfigObject(Body).has_value();
      if (m_AcceptsPushes && IsComplete)
        m_ActiveVersion =
            std::stoull(Request.substr(HeaderStart + Header.size()));
      return httpReply(200, "{}");
    }
    return httpReply(200, "{\"vm\":\"vm-a1\",\"configVersion\":" +
                              std::to_string(m_ActiveVersion) + "}");
  }

  std::uint64_t m_ActiveVersion = 0;
  unsigned m_Pushes = 0;
  bool m_AcceptsPushes = true;
};

struct ApplyFixture {
  ApplyFixture() { write(R"({"dataCentres":{},"services":{},"targets":{}})"); }

  void write(const std::string &Text) {
    QFile File(m_Folder.filePath("10-base.json"));
    BOOST_REQUIRE(File.open(QIODevice::WriteOnly));
    File.write(QByteArray::fromStdString(Text));
  }

  ExitCode apply(std::vector<std::string> Flags = {}) {
    absl::FlagSaver Saver;
    std::vector<std::string> Arguments = {
        "apply", m_Folder.path().toStdString(), "--platform=" + m_Server.url()};
    Arguments.insert(Arguments.end(), Flags.begin(), Flags.end());
    return runCommandLine(allSubcommands(), Arguments);
  }

  std::string entryFlag() const {
    return "--entries=" + m_EntryServer.url().substr(sizeof("http://") - 1);
  }

  bool m_HasApplication = (ensureQtApplication(), true);
  QTemporaryDir m_Folder;
  FakePlatform m_Platform;
  FakeEntry m_Entry;
  ScriptedHttpServer m_Server{
      [this](const std::string &Request) { return m_Platform.reply(Request); }};
  ScriptedHttpServer m_EntryServer{
      [this](const std::string &Request) { return m_Entry.reply(Request); }};
};

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(figturn::ExitCode)

BOOST_FIXTURE_TEST_SUITE(ApplyCommandTest, ApplyFixture)

BOOST_AUTO_TEST_CASE(Folder_valid_isWrittenWithItsChangeId) {
  BOOST_TEST(apply({"--change-id=c1"}) == ExitCode::Ok);
  BOOST_TEST(m_Platform.m_Version == 1U);
  BOOST_TEST(decodeConfigObject(m_Platform.m_Body)->m_ChangeId == "c1");
  BOOST_TEST(apply({"--change-id=c2"}) == ExitCode::Ok);
  BOOST_TEST((decodeConfigObject(m_Platform.m_Body)->m_PreviousChanges ==
              std::vector<std::string>{"c1"}));
}

BOOST_AUTO_TEST_CASE(Folder_withProblems_sendsNoRequestToThePlatform) {
  write(R"({"dataCentres":{},"services":{},"targets":{"wd-01":{}}})");
  BOOST_TEST(apply() == ExitCode::InvalidConfiguration);
  BOOST_TEST(m_Server.requestCount() == 0U);
}

BOOST_AUTO_TEST_CASE(Apply_afterAConcurrentChange_leavesThatChangeInPlace) {
  m_Platform.m_PendingConflicts = 1;
  BOOST_TEST(apply() == ExitCode::Conflict);
  BOOST_TEST(m_Platform.m_Version == 1U);
  BOOST_TEST(decodeConfigObject(m_Platform.m_Body)->m_ChangeId == "other");
}

BOOST_AUTO_TEST_CASE(ExpectedVersion_outdated_isAConflict) {
  BOOST_TEST(apply() == ExitCode::Ok);
  BOOST_TEST(apply({"--expected-version=0"}) == ExitCode::Conflict);
  BOOST_TEST(m_Platform.m_Version == 1U);
}

BOOST_AUTO_TEST_CASE(WriteReply_lost_isReadBackAsAccepted) {
  m_Platform.m_DropsWriteReplies = true;
  BOOST_TEST(apply() == ExitCode::Ok);
  BOOST_TEST(m_Platform.m_Version == 1U);
}

BOOST_AUTO_TEST_CASE(Platform_unavailable_isNotAccepted) {
  m_Platform.m_Unavailable = true;
  BOOST_TEST(apply({"--timeout-ms=0"}) == ExitCode::NotAccepted);
}

BOOST_AUTO_TEST_CASE(WriteReply_lostInAnOutage_isUnknownUntilResolved) {
  m_Platform.m_DropsWriteReplies = true;
  m_Platform.m_FailsAfterDroppedReply = true;
  BOOST_TEST(apply({"--change-id=c1", "--timeout-ms=700"}) ==
             ExitCode::OutcomeUnknown);
  const std::vector<std::string> Resolve = {
      "--change-id=c1", "--expected-version=0", "--resolve", "--timeout-ms=0"};
  BOOST_TEST(apply(Resolve) == ExitCode::OutcomeUnknown);
  m_Platform.m_Unavailable = false;
  BOOST_TEST(apply(Resolve) == ExitCode::Ok);
  BOOST_TEST(m_Platform.m_Version == 1U);
}

BOOST_AUTO_TEST_CASE(Version_acceptedBeforeAnOutage_isPushedToEntries) {
  m_Platform.m_FailsAfterWrite = true;
  BOOST_TEST(apply({entryFlag()}) == ExitCode::Ok);
  BOOST_TEST(m_Entry.m_ActiveVersion == 1U);
}

BOOST_AUTO_TEST_CASE(Entry_withoutTheVersion_isNotYetInForce) {
  m_Entry.m_AcceptsPushes = false;
  BOOST_TEST(apply({entryFlag(), "--wait-ms=0"}) == ExitCode::NotYetInForce);
  BOOST_TEST(m_Platform.m_Version == 1U);
  BOOST_TEST(m_Entry.m_Pushes == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
