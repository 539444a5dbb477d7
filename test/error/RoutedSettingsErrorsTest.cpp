/** Error messages for invalid settings of a VM in routed mode. */

#include "protocol/RoutedSettings.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

const std::string Valid = R"({"door": "routed", "vm": "vm-1",
  "dataCentre": "dc-a", "callerAddress": "127.0.0.1:1",
  "readinessAddress": "127.0.0.1:2", "directoryAddress": "127.0.0.1:3",
  "controlAddress": "127.0.0.1:4", "gossipAddress": "127.0.0.1:5",
  "storeAddress": "127.0.0.1:6", "seeds": "10.0.0.1:4,10.0.0.2:4",
  "graceSeconds": 6, "retrySlack": 116})";

std::string problemsOf(std::string Text, const std::string &Old,
                       const std::string &New) {
  Text.replace(Text.find(Old), Old.size(), New);
  return describeProblems(parseRoutedSettings(Text, "s.json").m_Problems);
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedSettingsErrorsTest)

BOOST_AUTO_TEST_CASE(Settings_valid_areDecoded) {
  const auto Result = parseRoutedSettings(Valid, "s.json");
  BOOST_TEST(Result.m_Problems.empty());
  BOOST_TEST(Result.m_Settings.m_RetrySlack == 116);
  const auto Seeds = seedGossipAddresses(Result.m_Settings);
  BOOST_TEST(Seeds == (std::vector<std::string>{"10.0.0.1:5", "10.0.0.2:5"}));
}

BOOST_AUTO_TEST_CASE(Key_missingOrUnknown_isReported) {
  BOOST_TEST(contains(problemsOf(Valid, "\"vm\": \"vm-1\",", ""), "vm"));
  BOOST_TEST(
      contains(problemsOf(Valid, "retrySlack", "retrySlak"), "retrySlack"));
}

BOOST_AUTO_TEST_CASE(Value_invalid_isReportedWithExpectation) {
  BOOST_TEST(contains(problemsOf(Valid, "127.0.0.1:2", "here"), "IP address"));
  BOOST_TEST(contains(problemsOf(Valid, "10.0.0.2:4", "x"), "comma-separated"));
  BOOST_TEST(contains(problemsOf(Valid, "116", "-1"), "from 0"));
  BOOST_TEST(contains(problemsOf(Valid, "\"routed\"", "\"other\""), "routed"));
}

BOOST_AUTO_TEST_SUITE_END()
