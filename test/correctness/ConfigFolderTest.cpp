#include "protocol/ConfigFolder.h"
#include "protocol/ConfigObject.h"

#include <QJsonDocument>
#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

struct MergeFixture {
  void merge(const std::string &File, const std::string &Text) {
    const JsonText Patch = parseJsonText(Text, File);
    BOOST_REQUIRE(Patch.m_Problems.empty());
    mergePatch(m_Merged, Patch);
  }

  std::string json() const {
    return QJsonDocument(m_Merged.m_Object)
        .toJson(QJsonDocument::Compact)
        .toStdString();
  }

  std::string fileOf(const std::string &Path) const {
    const auto Found = m_Merged.m_Origins.find(Path);
    return Found == m_Merged.m_Origins.end() ? "" : Found->second.m_File;
  }

  MergedConfig m_Merged;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigFolderTest, MergeFixture)

BOOST_AUTO_TEST_CASE(Merge_laterFile_overridesSingleValues) {
  merge("a", R"({"x":{"p":1,"q":2}})");
  merge("b", R"({"x":{"q":3}})");
  BOOST_TEST(json() == R"({"x":{"p":1,"q":3}})");
  BOOST_TEST(fileOf("x.p") == "a");
  BOOST_TEST(fileOf("x.q") == "b");
  BOOST_TEST(fileOf("x") == "a");
}

BOOST_AUTO_TEST_CASE(Merge_nullValue_removesMemberAndItsOrigins) {
  merge("a", R"({"x":{"p":1},"x-y":2})");
  merge("b", R"({"x":null})");
  BOOST_TEST(json() == R"({"x-y":2})");
  BOOST_TEST(fileOf("x.p") == "");
  BOOST_TEST(fileOf("x-y") == "a");
}

BOOST_AUTO_TEST_CASE(Merge_nonObjectOverObject_replacesWholeObject) {
  merge("a", R"({"x":{"p":1}})");
  merge("b", R"({"x":[1]})");
  BOOST_TEST(json() == R"({"x":[1]})");
  BOOST_TEST(fileOf("x.p") == "");
  merge("c", R"({"x":{"q":null}})");
  BOOST_TEST(json() == R"({"x":{}})");
  BOOST_TEST(fileOf("x") == "c");
}

BOOST_AUTO_TEST_CASE(ConfigObject_encodedAndDecoded_isUnchanged) {
  merge("a", R"({"dataCentres":{},"services":{"s":{"laterKey":1}},
                 "targets":{}})");
  const std::string Body = encodeConfigObject({.m_Merged = m_Merged.m_Object,
                                               .m_ChangeId = "c2",
                                               .m_PreviousChanges = {"c1"}});
  const auto Object = decodeConfigObject(Body);
  BOOST_REQUIRE(Object.has_value());
  BOOST_TEST((Object->m_Merged == m_Merged.m_Object));
  BOOST_TEST(
      (previousChangesAfter(*Object) == std::vector<std::string>{"c2", "c1"}));
}

BOOST_AUTO_TEST_CASE(ConfigObject_unknownKey_isAccepted) {
  const ConfigResult Result = decodeAcceptedConfig(
      R"({"changeId":"c1","dataCentres":{},"services":{"s":{"laterKey":1}},)"
      R"("targets":{}})",
      ConfigVersion(7));
  BOOST_TEST(Result.m_Problems.empty());
  BOOST_TEST((Result.m_Configuration.m_Version == ConfigVersion(7)));
  BOOST_TEST(Result.m_Configuration.m_ChangeId == "c1");
}

BOOST_AUTO_TEST_SUITE_END()
