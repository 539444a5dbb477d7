#include "protocol/ConfigCodec.h"
#include "protocol/ConfigFolder.h"
#include "protocol/SettingsCodec.h"

#include <QDir>
#include <QFile>
#include <QTemporaryDir>
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

const std::string ValidBase =
    R"({"dataCentres":{"nz-south-a":{}},
 "services":{"workshop-desk":{}},
 "targets":{"wd-01":{"service":"workshop-desk","dataCentre":"nz-south-a",
  "host":"127.0.0.1","port":9001,"searchers":3,"connectionLimit":80}}})";

/** A directory with a valid 10-base.json and the files that a case adds. */
struct FolderFixture {
  FolderFixture() { write("10-base.json", ValidBase); }

  void write(const std::string &Name, const std::string &Text) {
    QFile File(m_Folder.filePath(QString::fromStdString(Name)));
    BOOST_REQUIRE(File.open(QIODevice::WriteOnly));
    File.write(QByteArray::fromStdString(Text));
  }

  JsonProblems problems() {
    const MergedConfig Merged = readConfigFolder(m_Folder.path().toStdString());
    if (!Merged.m_Problems.empty())
      return Merged.m_Problems;
    return decodeConfig(Merged.m_Object, Merged.m_Origins).m_Problems;
  }

  /** The problems as text, without the directory's path. */
  std::string text() {
    std::string Text = describeProblems(problems());
    const std::string Prefix = m_Folder.path().toStdString() + "/";
    for (auto Position = Text.find(Prefix); Position != std::string::npos;
         Position = Text.find(Prefix))
      Text.erase(Position, Prefix.size());
    return Text;
  }

  QTemporaryDir m_Folder;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigErrorsTest, FolderFixture)

BOOST_AUTO_TEST_CASE(Folder_valid_hasNoProblems) { BOOST_TEST(text() == ""); }

BOOST_AUTO_TEST_CASE(Folder_withoutFiles_isReported) {
  QFile::remove(m_Folder.filePath("10-base.json"));
  BOOST_TEST(text().find("at least one *.json file") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Json_invalid_isReportedWithLineAndColumn) {
  write("20-bad.json", "{\n  \"services\": {,}\n}");
  BOOST_TEST(text() == "20-bad.json:2:16: expected valid JSON (unterminated "
                       "object)\n");
}

BOOST_AUTO_TEST_CASE(Key_duplicate_isReported) {
  write("20-twice.json", "{\"services\": {\n\"a\": {},\n\"a\": {}}}");
  BOOST_TEST(text() == "20-twice.json:3:1: services.a: expected this key only "
                       "once; it is already in line 2\n");
}

BOOST_AUTO_TEST_CASE(Key_unknown_isReportedWithNearestKnownKey) {
  write("20-typo.json", R"({"targets":{"wd-01":{"coldSlot":2}}})");
  BOOST_TEST(text() ==
             "20-typo.json:1:22: targets.wd-01.coldSlot: expected a known key "
             "in place of \"coldSlot\"; did you mean \"coldSlots\"?\n");
}

BOOST_AUTO_TEST_CASE(Section_unknown_isReportedWithNearestKnownSection) {
  write("20-typo.json", R"({"datacenters":{}})");
  BOOST_TEST(text().find("did you mean \"dataCentres\"?") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Value_outOfRange_isReportedWithFilePathAndRange) {
  write("20-range.json",
        R"({"services":{"workshop-desk":{"extraLoadShare":5}}})");
  BOOST_TEST(text() ==
             "20-range.json:1:31: services.workshop-desk.extraLoadShare: found "
             "5; expected a number from 0 to 1\n");
}

BOOST_AUTO_TEST_CASE(Problems_many_areAllReported) {
  write("20-many.json", R"({"targets":{"wd-01":{"port":0,"host":"localhost",
 "placement":"away","searchers":1.5,"dataCentre":"nz-south-x"}}})");
  BOOST_TEST(problems().size() == 5U);
}

BOOST_AUTO_TEST_CASE(Key_missing_isReportedWhereObjectWasCreated) {
  write("20-new.json", R"({"targets":{"wd-02":{"service":"workshop-desk",
 "dataCentre":"nz-south-a","host":"127.0.0.2"}}})");
  const std::string Text = text();
  BOOST_TEST(Text.starts_with("20-new.json:1:13: targets.wd-02.port: "));
  BOOST_TEST(Text.find("the key is missing") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Reference_unknownService_isReportedWithNearestName) {
  write("20-ref.json", R"({"targets":{"wd-01":{"service":"workshop-dsk"}}})");
  BOOST_TEST(text().find("found \"workshop-dsk\"; expected a name in services; "
                         "did you mean \"workshop-desk\"?") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(Reference_removedByLaterFile_isReported) {
  write("20-remove.json", R"({"dataCentres":{"nz-south-a":null}})");
  BOOST_TEST(text().find("expected a name in dataCentres, which is empty") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(Address_usedByTwoTargets_isReported) {
  write("20-same.json", R"({"targets":{"wd-02":{"service":"workshop-desk",
 "dataCentre":"nz-south-a","host":"127.0.0.1","port":9001}}})");
  BOOST_TEST(
      text().find("127.0.0.1 port 9001 is already used by targets.wd-01") !=
      std::string::npos);
}

BOOST_AUTO_TEST_CASE(ColdSlots_aboveSlots_areReported) {
  write("20-cold.json", R"({"targets":{"wd-01":{"coldSlots":13}}})");
  BOOST_TEST(text().find("at most the target's 12 slots") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ConnectionLimit_withoutHeadroom_isReported) {
  write("20-few.json", R"({"targets":{"wd-01":{"connectionLimit":31}}})");
  BOOST_TEST(text().find("found 31; expected at least 32") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(DefaultDeadline_aboveMaximum_isReported) {
  write("20-late.json",
        R"({"services":{"workshop-desk":{"maxDeadlineMs":500}}})");
  BOOST_TEST(text().find("at most maxDeadlineMs, which is 500") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(Settings_invalidAddress_isReportedWithPathAndValue) {
  const SettingsResult Result = parseSettings(
      R"({"vm":"vm-a1","dataCentre":"nz-south-a","callerAddress":"localhost:1",
"peerAddress":"127.0.0.1:8101","platformUrl":"http://127.0.0.1:7000",
"vmListUrl":"http://127.0.0.1:7000","worker":2})",
      "vm-a1.json");
  BOOST_REQUIRE(Result.m_Problems.size() == 2U);
  BOOST_TEST(Result.m_Problems[0].describe() ==
             "vm-a1.json:3:37: worker: expected a known key in place of "
             "\"worker\"; did you mean \"workers\"?");
  BOOST_TEST(Result.m_Problems[1].describe() ==
             "vm-a1.json:1:41: callerAddress: found \"localhost:1\"; expected "
             "an IP address and port such as \"127.0.0.1:8001\"");
}

BOOST_AUTO_TEST_SUITE_END()
