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

// The platform's object `config` and its faults.
struct FakePlatform {
  ScriptedReply answer(const std::string &Request) {
    if (m_IsOut)
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
    if (m_RacesLeft > 0) {
      --m_RacesLeft;
      set(encodeConfigObject({.m_ChangeId = "other"}));
    }
    const std::string Condition =
        m_Version == 0 ? "If-None-Match: *"
                       : "If-Match: \"" + std::to_string(m_Version) + "\"";
    const std::string State = "{\"version\":" + std::to_string(m_Version) + "}";
    if (Request.find(Condition) == std::string::npos)
      return httpReply(412, State);
    set(Request.substr(Request.find("\r\n\r\n") + 4));
    if (m_LosesAnswers) {
      m_IsOut = m_GoesOutAfterLoss;
      return {.m_CloseConnection = true};
    }
    m_IsOut = m_GoesOutAfterWrite;
    return httpReply(200, "{\"version\":" + std::to_string(m_Version) + "}");
  }

  void set(const std::string &Body) {
    ++m_Version;
    m_Body = Body;
  }

  std::string m_Body;
  ObjectVersion m_Version = 0;
  unsigned m_RacesLeft = 0;
  bool m_IsOut = false;
  bool m_LosesAnswers = false;
  bool m_GoesOutAfterLoss = false;
  bool m_GoesOutAfterWrite = false;
};

// An entry VM that takes what it is handed.
struct FakeEntry {
  ScriptedReply answer(const std::string &Request) {
    if (Request.starts_with("POST /v1/config ")) {
      ++m_Pushes;
      const std::string Header = "X-Config-Version: ";
      const auto At = Request.find(Header);
      const std::string Body = Request.substr(Request.find("\r\n\r\n") + 4);
      const bool IsWhole =
          At != std::string::npos && decodeConfigObject(Body).has_value();
      if (m_TakesPushes && IsWhole)
        m_InForce = std::stoull(Request.substr(At + Header.size()));
      return httpReply(200, "{}");
    }
    return httpReply(200, "{\"vm\":\"vm-a1\",\"configVersion\":" +
                              std::to_string(m_InForce) + "}");
  }

  std::uint64_t m_InForce = 0;
  unsigned m_Pushes = 0;
  bool m_TakesPushes = true;
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
  ScriptedHttpServer m_Server{[this](const std::string &Request) {
    return m_Platform.answer(Request);
  }};
  ScriptedHttpServer m_EntryServer{
      [this](const std::string &Request) { return m_Entry.answer(Request); }};
};

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(figturn::ExitCode)

BOOST_FIXTURE_TEST_SUITE(ApplyCommandTest, ApplyFixture)

BOOST_AUTO_TEST_CASE(Folder_that_is_valid_is_written_with_its_change_id) {
  BOOST_TEST(apply({"--change-id=c1"}) == ExitCode::Ok);
  BOOST_TEST(m_Platform.m_Version == 1U);
  BOOST_TEST(decodeConfigObject(m_Platform.m_Body)->m_ChangeId == "c1");
  BOOST_TEST(apply({"--change-id=c2"}) == ExitCode::Ok);
  BOOST_TEST((decodeConfigObject(m_Platform.m_Body)->m_PreviousChanges ==
              std::vector<std::string>{"c1"}));
}

BOOST_AUTO_TEST_CASE(Folder_with_problems_asks_the_platform_nothing) {
  write(R"({"dataCentres":{},"services":{},"targets":{"wd-01":{}}})");
  BOOST_TEST(apply() == ExitCode::InvalidConfiguration);
  BOOST_TEST(m_Server.requests() == 0U);
}

BOOST_AUTO_TEST_CASE(Race_that_is_lost_leaves_the_winner_in_place) {
  m_Platform.m_RacesLeft = 1;
  BOOST_TEST(apply() == ExitCode::LostRace);
  BOOST_TEST(m_Platform.m_Version == 1U);
  BOOST_TEST(decodeConfigObject(m_Platform.m_Body)->m_ChangeId == "other");
}

BOOST_AUTO_TEST_CASE(Expected_version_that_passed_loses_the_race) {
  BOOST_TEST(apply() == ExitCode::Ok);
  BOOST_TEST(apply({"--expected-version=0"}) == ExitCode::LostRace);
  BOOST_TEST(m_Platform.m_Version == 1U);
}

BOOST_AUTO_TEST_CASE(Answer_that_is_lost_is_read_back_as_accepted) {
  m_Platform.m_LosesAnswers = true;
  BOOST_TEST(apply() == ExitCode::Ok);
  BOOST_TEST(m_Platform.m_Version == 1U);
}

BOOST_AUTO_TEST_CASE(Outage_of_the_platform_is_not_accepted) {
  m_Platform.m_IsOut = true;
  BOOST_TEST(apply({"--timeout-ms=0"}) == ExitCode::NotAccepted);
}

BOOST_AUTO_TEST_CASE(Answer_lost_in_an_outage_is_unknown_until_resolved) {
  m_Platform.m_LosesAnswers = true;
  m_Platform.m_GoesOutAfterLoss = true;
  BOOST_TEST(apply({"--change-id=c1", "--timeout-ms=700"}) ==
             ExitCode::OutcomeUnknown);
  const std::vector<std::string> Resolve = {
      "--change-id=c1", "--expected-version=0", "--resolve", "--timeout-ms=0"};
  BOOST_TEST(apply(Resolve) == ExitCode::OutcomeUnknown);
  m_Platform.m_IsOut = false;
  BOOST_TEST(apply(Resolve) == ExitCode::Ok);
  BOOST_TEST(m_Platform.m_Version == 1U);
}

BOOST_AUTO_TEST_CASE(Version_is_handed_to_entries_though_platform_goes_down) {
  m_Platform.m_GoesOutAfterWrite = true;
  BOOST_TEST(apply({entryFlag()}) == ExitCode::Ok);
  BOOST_TEST(m_Entry.m_InForce == 1U);
}

BOOST_AUTO_TEST_CASE(Entry_without_the_version_is_not_yet_in_force) {
  m_Entry.m_TakesPushes = false;
  BOOST_TEST(apply({entryFlag(), "--wait-ms=0"}) == ExitCode::NotYetInForce);
  BOOST_TEST(m_Platform.m_Version == 1U);
  BOOST_TEST(m_Entry.m_Pushes == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
