/** Tests of the timeline built for one request from several VMs' logs. */

#include "cli/RequestTimeline.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

struct Fixture {
  std::vector<LogLine> m_Lines;

  void add(const std::string &Line, const std::string &File = "vm.log") {
    LogLine Parsed;
    BOOST_REQUIRE(parseLogLine(Line, File, Parsed));
    m_Lines.push_back(Parsed);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestTimelineTest, Fixture)

BOOST_AUTO_TEST_CASE(Lines_ofTheRequest_areInChronologicalOrder) {
  add("2026-08-04T05:50:30.500Z info F0716 routed-request-refused id=q "
      "verdict=may-have-run reason=target-shed ms=31.0 lost=s-1:target-shed");
  add("2026-08-04T05:50:30.400Z info F0711 request-placed id=q targets=t");
  add("2026-08-04T05:50:30.450Z info F0713 call-failed id=q target=t "
      "outcome=refused");
  add("2026-08-04T05:50:30.450Z info F0711 request-placed id=qq targets=t");
  const RequestTimeline Timeline = buildTimeline("q", m_Lines);
  BOOST_TEST(Timeline.m_Lines.size() == 3U);
  BOOST_TEST(Timeline.m_Lines.front().m_Event == 711U);
  BOOST_TEST(Timeline.m_Cause ==
             "Refused after 31.0 ms, may-have-run: target-shed; without an "
             "answer: s-1:target-shed. Calls that failed: refused at t.");
}

BOOST_AUTO_TEST_CASE(VmEvents_areThoseOfTheRequestsVmBeforeItsEnd) {
  add("2026-08-04T05:50:29.000Z info F0613 registry-changed missing=t", "a");
  add("2026-08-04T05:50:29.100Z info F0613 registry-changed missing=u", "b");
  add("2026-08-04T05:50:30.000Z info F0710 request-not-routed id=q "
      "reason=not-ready",
      "a");
  add("2026-08-04T05:50:31.000Z info F0250 config-in-force version=3", "a");
  const RequestTimeline Timeline = buildTimeline("q", m_Lines);
  BOOST_TEST(Timeline.m_VmEvents.size() == 1U);
  BOOST_TEST(Timeline.m_VmEvents[0].field("missing") == "t");
  BOOST_TEST(
      Timeline.m_Cause.starts_with("Refused at once, not run: not-ready"));
}

BOOST_AUTO_TEST_CASE(Line_withACollectorsPrefix_hasItsVmAsSource) {
  add("   2.2634 front-a-1 2026-08-04T05:50:30.285Z info F0101 node-started "
      "vm=x");
  BOOST_TEST(m_Lines[0].m_Source == "front-a-1");
  LogLine Ignored;
  BOOST_TEST(!parseLogLine("something else", "f", Ignored));
}

BOOST_AUTO_TEST_CASE(Request_withoutAnOutcome_isReportedAsSuch) {
  add("2026-08-04T05:50:30.400Z info F0711 request-placed id=q targets=t");
  BOOST_TEST(
      buildTimeline("q", m_Lines).m_Cause.starts_with("No outcome is logged"));
  BOOST_TEST(buildTimeline("other", m_Lines).m_Lines.empty());
}

BOOST_AUTO_TEST_SUITE_END()
