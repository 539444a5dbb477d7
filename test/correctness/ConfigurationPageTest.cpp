#include "cli/ExitCode.h"
#include "protocol/ConfigCodec.h"
#include "protocol/ConfigFolder.h"
#include "protocol/ConfigSchema.h"

#include <QFile>
#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

ConfigResult readExample(const std::string &Name) {
  const MergedConfig Merged =
      readConfigFolder(std::string(FIGTURN_SOURCE_DIR "/examples/") + Name);
  BOOST_TEST(describeProblems(Merged.m_Problems) == "");
  return decodeConfig(Merged.m_Object, Merged.m_Origins);
}

std::uint32_t totalSlots(const Configuration &Config, const char *Service) {
  std::uint32_t Slots = 0;
  for (const auto &[Name, Target] : Config.m_Targets)
    if (Target.m_Service == ServiceName(Service))
      Slots += Target.warmSlots();
  return Slots;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationPageTest)

BOOST_AUTO_TEST_CASE(ConfigurationPage_schema_isUpToDate) {
  QFile Page(FIGTURN_SOURCE_DIR "/docs/CONFIGURATION.md");
  BOOST_REQUIRE(Page.open(QIODevice::ReadOnly));
  const std::string Text = Page.readAll().toStdString();
  BOOST_TEST(
      Text.ends_with("\n" + schemaMarkdown() + "\n" + exitCodesMarkdown()),
      "docs/CONFIGURATION.md is out of date; run tools/config-page");
}

BOOST_AUTO_TEST_CASE(Example_kauri_isValidWithExpectedSizes) {
  const ConfigResult Example = readExample("kauri");
  BOOST_TEST(describeProblems(Example.m_Problems) == "");
  const Configuration &Config = Example.m_Configuration;
  BOOST_TEST(Config.m_DataCentres.size() == 3U);
  BOOST_TEST(Config.m_Targets.size() == 55U);
  BOOST_TEST(totalSlots(Config, "workshop-desk") == 120U);
  BOOST_TEST(totalSlots(Config, "quote-builder") == 180U);
  BOOST_TEST(totalSlots(Config, "client-portal") == 80U);
  BOOST_TEST(totalSlots(Config, "freight-log") == 40U);
}

BOOST_AUTO_TEST_CASE(Example_rorfornyerne_isValidWithExpectedSizes) {
  const ConfigResult Example = readExample("rorfornyerne");
  BOOST_TEST(describeProblems(Example.m_Problems) == "");
  const Configuration &Config = Example.m_Configuration;
  BOOST_TEST(Config.m_DataCentres.size() == 3U);
  BOOST_TEST(Config.m_Targets.size() == 44U);
  BOOST_TEST(totalSlots(Config, "crew-portal") == 120U);
  BOOST_TEST(totalSlots(Config, "member-board") == 180U);
  BOOST_TEST(totalSlots(Config, "invoicing") == 78U);
  BOOST_TEST(totalSlots(Config, "inspection-upload") == 36U);
}

BOOST_AUTO_TEST_SUITE_END()
