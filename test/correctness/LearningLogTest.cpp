/** Tests of the times from the store's ack until each VM has applied a
 * change. */

#include "support/LearningLog.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace figturn::test;

namespace {

constexpr std::int64_t Ack = 1'000'000;

/** A line as VMs log it. */
struct LineFields {
  std::string m_Part = "targets";
  std::string m_Way = "watch";
  std::string m_Role = "watcher";
  std::uint64_t m_Revision = 7;
  std::uint64_t m_Config = 0;
  std::int64_t m_UnixMs = Ack;
  std::string m_Unproven = "900";
  std::string m_Era;
};

std::string makeLine(const LineFields &Fields) {
  return fmt::format(
      "2026-01-01T00:00:00.000Z info F0254 state-version-applied part={} "
      "way={}{} revision={} config={} unix_ms={} unproven_ms={} "
      "since_fresh_ms=200 role={} role_ms=4321\n",
      Fields.m_Part, Fields.m_Way, Fields.m_Era, Fields.m_Revision,
      Fields.m_Config, Fields.m_UnixMs, Fields.m_Unproven, Fields.m_Role);
}

/** A VM that has run since before the acks, and one change of targets. */
struct LearningLogFixture {
  LearningLogFixture() {
    for (const char *Part : {"targets", "config"})
      m_Log.addLine("vm-1", makeLine({.m_Part = Part,
                                      .m_Way = "start-listing",
                                      .m_Revision = 3,
                                      .m_Config = 1,
                                      .m_UnixMs = Ack - 10'000,
                                      .m_Unproven = "none"}));
    m_Log.onAck({.m_Part = "targets", .m_Revision = 7, .m_AckMs = Ack});
  }
  void add(const LineFields &Fields) {
    m_Log.addLine("vm-1", makeLine(Fields));
  }
  LearningSummary only() const {
    const auto Summaries = m_Log.summaries();
    BOOST_REQUIRE_EQUAL(Summaries.size(), 1U);
    return Summaries.begin()->second;
  }

  LearningLog m_Log;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LearningLogTest, LearningLogFixture)

BOOST_AUTO_TEST_CASE(Change_appliedByAWatch_countsFromItsAck) {
  add({.m_UnixMs = Ack + 40});
  BOOST_TEST(only().m_WorstMs == 40);
  BOOST_TEST(only().m_Count == 1U);
  BOOST_TEST(only().m_LateCount == 0U);
  BOOST_TEST(only().m_RoleMs == 4321);
  BOOST_TEST(only().m_UnprovenMs == 900);
  BOOST_TEST(m_Log.unlearnedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(Change_appliedWithALaterOne_countsFromItsOwnAck) {
  m_Log.onAck({.m_Part = "targets", .m_Revision = 9, .m_AckMs = Ack + 500});
  add({.m_Revision = 9, .m_UnixMs = Ack + 600});
  BOOST_TEST(only().m_Count == 2U);
  BOOST_TEST(only().m_WorstMs == 600);
  BOOST_TEST(only().m_WorstChange.m_Revision == 7U);
}

BOOST_AUTO_TEST_CASE(Change_olderLineFirst_countsUntilTheLineThatHoldsIt) {
  add({.m_Revision = 6, .m_UnixMs = Ack + 10});
  add({.m_UnixMs = Ack + 3001});
  BOOST_TEST(only().m_WorstMs == 3001);
  BOOST_TEST(only().m_LateCount == 1U);
}

BOOST_AUTO_TEST_CASE(Change_linesOfOtherPartsAndEvents_dontCount) {
  add({.m_Part = "config", .m_Config = 9, .m_UnixMs = Ack + 5});
  m_Log.addLine("vm-1", "2026-01-01T00:00:00.000Z info F0250 config-in-force "
                        "version=9\n");
  BOOST_TEST(m_Log.summaries().empty());
  BOOST_TEST(m_Log.unlearnedCount() == 1U);
}

BOOST_AUTO_TEST_CASE(ConfigVersion_lowerRevision_countsByVersion) {
  LearningLog Log;
  Log.addLine("vm-1", makeLine({.m_Part = "config", .m_UnixMs = Ack - 1}));
  Log.onAck({.m_Part = "config", .m_ConfigVersion = 5, .m_AckMs = Ack});
  Log.addLine("vm-1", makeLine({.m_Part = "config",
                                .m_Revision = 2,
                                .m_Config = 5,
                                .m_UnixMs = Ack + 70}));
  BOOST_TEST(Log.summaries().begin()->second.m_WorstMs == 70);
}

BOOST_AUTO_TEST_CASE(Change_vmStartsAfterTheAck_isNotCounted) {
  m_Log.addLine("vm-2",
                makeLine({.m_UnixMs = Ack + 9000, .m_Unproven = "none"}));
  add({.m_UnixMs = Ack + 40});
  BOOST_TEST(only().m_Count == 1U);
  BOOST_TEST(m_Log.unlearnedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(Change_vmRestartsBeforeItLearns_isNotCounted) {
  add({.m_Way = "start-listing", .m_UnixMs = Ack + 5000, .m_Unproven = "none"});
  BOOST_TEST(m_Log.summaries().empty());
  BOOST_TEST(m_Log.unlearnedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(Change_ofANewEra_isNotHeldByTheOldErasRevisions) {
  LearningLog Log;
  Log.addLine("vm-1", makeLine({.m_UnixMs = Ack - 1, .m_Era = " era=1"}));
  Log.onAck({.m_Part = "targets", .m_Era = 2, .m_Revision = 5, .m_AckMs = Ack});
  Log.addLine(
      "vm-1",
      makeLine({.m_Revision = 90, .m_UnixMs = Ack + 10, .m_Era = " era=1"}));
  Log.addLine(
      "vm-1",
      makeLine({.m_Revision = 5, .m_UnixMs = Ack + 800, .m_Era = " era=2"}));
  BOOST_TEST(Log.summaries().begin()->second.m_WorstMs == 800);
}

BOOST_AUTO_TEST_CASE(Change_ofADisturbedVm_isCountedApart) {
  std::int64_t Until = 0;
  LearningLog Log([&Until](const std::string &, std::int64_t,
                           std::int64_t End) { return End <= Until; });
  Log.addLine("vm-1", makeLine({.m_Revision = 3,
                                .m_UnixMs = Ack - 10'000,
                                .m_Unproven = "none"}));
  Log.onAck({.m_Part = "targets", .m_Revision = 7, .m_AckMs = Ack});
  Until = Ack + LearningLog::BoundMs;
  BOOST_TEST(Log.unlearnedCount() == 1U);
  --Until;
  BOOST_TEST(Log.unlearnedCount() == 0U);
  Log.addLine("vm-1", makeLine({.m_UnixMs = Ack + 5000}));
  BOOST_REQUIRE_EQUAL(Log.summaries().size(), 1U);
  BOOST_TEST(!Log.summaries().begin()->first.m_IsInTouch);
  Until = Ack + 5000;
  BOOST_TEST(Log.summaries().begin()->first.m_IsInTouch);
}

BOOST_AUTO_TEST_CASE(Report_severalGroups_namesTheWorstOfEachBesideTheBound) {
  add({.m_UnixMs = Ack + 40});
  m_Log.onAck({.m_Part = "targets", .m_Revision = 8, .m_AckMs = Ack + 100});
  add({.m_Way = "copy",
       .m_Role = "follower",
       .m_Revision = 8,
       .m_UnixMs = Ack + 3400});
  m_Log.onAck({.m_Part = "targets", .m_Revision = 11, .m_AckMs = Ack + 5000});
  BOOST_TEST(
      m_Log.report() ==
      "learned targets by copy as follower, in touch: worst 3300 of 3000 ms, 1 "
      "late of 1 "
      "(vm-1, revision 8, config 0, 4321 ms in this role, unproven 900 ms)\n"
      "learned targets by watch as watcher, in touch: worst 40 of 3000 ms, 0 "
      "late of 1 "
      "(vm-1, revision 7, config 0, 4321 ms in this role, unproven 900 ms)\n"
      "not learned: 1\n");
}

BOOST_AUTO_TEST_SUITE_END()
