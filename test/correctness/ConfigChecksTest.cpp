/** The checks that a deployment's play makes on configurations: what they
 * report, and what they let pass. */

#include "support/ConfigChecks.h"
#include "protocol/JsonConvert.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>

using namespace figturn::test;
using std::chrono::milliseconds;

namespace {

using Routes = std::vector<CheckedRoute>;

CheckedRoute makeRoute(const std::string &Prefix, const std::string &Service,
                       milliseconds Timeout = milliseconds(1000)) {
  return {.m_Prefix = Prefix,
          .m_Parts = {{.m_Service = Service}},
          .m_Timeout = Timeout};
}

const CheckedRoute Base = makeRoute("/base/", "first");
const CheckedRoute Moved = makeRoute("/base/", "second");
const CheckedRoute Added = makeRoute("/added/", "first");

CheckedRoute makeSplit() {
  return {.m_Prefix = "/split/",
          .m_Parts = {{.m_Service = "large", .m_Weight = 3},
                      {.m_Service = "small", .m_Weight = 1}},
          .m_IsSplit = true};
}

/** Times are milliseconds after the start. */
struct ConfigChecksFixture {
  static ConfigChecks::Time at(int Ms) {
    return ConfigChecks::Time(std::chrono::hours(1)) + milliseconds(Ms);
  }
  /** Publishes a version that is acknowledged 10 ms later. */
  void publish(int Number, const Routes &Published, int SentAt) {
    m_Checks.onPublished(Number, Published, at(SentAt));
    m_Checks.onAcknowledged(Number, at(SentAt + 10));
  }
  std::string send(const std::string &Path, int SentAt,
                   const std::string &Vm = "vm-1") {
    std::string Id = fmt::format("{}/{}", Vm, ++m_Count);
    m_Checks.onSent(Vm, Id, Path, at(SentAt));
    return Id;
  }
  /** A request that a target of \p Service answers after 20 ms. */
  void run(const std::string &Path, const std::string &Service, int SentAt,
           const std::string &Vm = "vm-1") {
    const std::string Id = send(Path, SentAt, Vm);
    m_Checks.onArrival(Id, Service, at(SentAt + 5));
    m_Checks.onAnswered(Id, 200, at(SentAt + 20));
  }
  /** A request that ends with \p Status after 20 ms and reaches no target. */
  void refuse(const std::string &Path, unsigned Status, int SentAt,
              const std::string &Vm = "vm-1") {
    m_Checks.onAnswered(send(Path, SentAt, Vm), Status, at(SentAt + 20));
  }
  std::vector<ConfigViolation> violations() const {
    return m_Checks.violations(at(1000000));
  }
  std::size_t count(ConfigFault Fault) const {
    const auto All = violations();
    return static_cast<std::size_t>(
        std::count_if(All.begin(), All.end(), [&](const auto &Each) {
          return Each.m_Rule == "CONFIG" && Each.m_Fault == Fault;
        }));
  }
  std::string firstMessage() const {
    const auto All = violations();
    return All.empty() ? "" : All.front().m_Message;
  }

  std::set<std::string> m_OutOfTouch;
  std::set<std::string> m_InOuterTouch;
  std::set<std::string> m_Slowed;
  bool m_IsSteady = true;
  int m_Count = 0;
  ConfigChecks m_Checks{
      {.m_IsInTouch = [this](const std::string &Vm, auto,
                             auto) { return !m_OutOfTouch.contains(Vm); },
       .m_IsInOuterTouch = [this](const std::string &Vm, auto,
                                  auto) { return m_InOuterTouch.contains(Vm); },
       .m_IsSlowed = [this](const std::string &Vm, auto,
                            auto) { return m_Slowed.contains(Vm); },
       .m_IsSteady = [this](const std::string &, auto,
                            auto) { return m_IsSteady; }}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigChecksTest, ConfigChecksFixture)

BOOST_AUTO_TEST_CASE(CheckedRoutes_ofAWrittenConfiguration_areItsRoutes) {
  const Routes Read = checkedRoutes(figturn::parseJsonObject(R"({"routes": [
      {"path_prefix": "/a/", "service": "s", "timeout_ms": 900},
      {"path_prefix": "/b/", "timeout_ms": 80, "traffic_split": [
        {"service": "s", "weight": 3}, {"service": "t", "weight": 1}]},
      {"path_prefix": "/c/", "gather": ["s-0", "s-1"]}]})"));
  BOOST_TEST_REQUIRE(Read.size() == 3);
  BOOST_TEST(Read[0].m_Prefix == "/a/");
  BOOST_TEST((Read[0].m_Timeout == milliseconds(900)));
  BOOST_TEST(!Read[0].m_IsSplit);
  BOOST_TEST_REQUIRE(Read[0].m_Parts.size() == 1);
  BOOST_TEST(Read[0].m_Parts[0].m_Service == "s");
  BOOST_TEST(Read[1].m_IsSplit);
  BOOST_TEST_REQUIRE(Read[1].m_Parts.size() == 2);
  BOOST_TEST(Read[1].m_Parts[0].m_Weight == 3);
  BOOST_TEST(Read[1].m_Parts[1].m_Service == "t");
  BOOST_TEST(!Read[2].m_IsSplit);
  BOOST_TEST(Read[2].m_Parts.size() == 2);
  BOOST_TEST(Read[2].m_Parts[1].m_Service == "s-1");
}

BOOST_AUTO_TEST_CASE(CheckedRoutes_ofAnUnusableDocument_areNone) {
  BOOST_TEST(
      checkedRoutes(figturn::parseJsonObject(R"({"routes": 7})")).empty());
}

// A request that an older version alone allows.

BOOST_AUTO_TEST_CASE(OldService_laterThanTheBound_isReported) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  run("/base/x", "first", 13011);
  BOOST_TEST_REQUIRE(violations().size() == 1);
  BOOST_TEST(count(ConfigFault::OutdatedVersion) == 1);
  BOOST_TEST(firstMessage() ==
             "vm-1: request vm-1/1 on /base/x was sent to first as only "
             "version 1 or older allows; version 4 is due, and it was sent "
             "3001 ms after the ack of version 4 (bound 3000 ms)");
}

BOOST_AUTO_TEST_CASE(OldService_atTheBound_isAllowed) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  run("/base/x", "first", 13010);
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(NewService_beforeTheAck_isAllowed) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  run("/base/x", "second", 10002);
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(OldService_ofVmOutOfTouch_isAllowed) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  m_OutOfTouch.insert("vm-1");
  run("/base/x", "first", 14000);
  BOOST_TEST(violations().empty());
  run("/base/x", "first", 14000, "vm-2");
  BOOST_TEST(count(ConfigFault::OutdatedVersion) == 1);
}

BOOST_AUTO_TEST_CASE(OldService_inOuterTouch_isReportedAfterTheLongerBound) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  m_OutOfTouch.insert("vm-1");
  m_InOuterTouch.insert("vm-1");
  run("/base/x", "first", 25010);
  BOOST_TEST(violations().empty());
  run("/base/x", "first", 25011);
  BOOST_TEST(count(ConfigFault::OutdatedVersion) == 1);
}

BOOST_AUTO_TEST_CASE(OldService_whileNewVersionIsNotAcknowledged_isAllowed) {
  publish(1, {Base}, 0);
  m_Checks.onPublished(4, {Moved}, at(10000));
  run("/base/x", "first", 14000);
  run("/base/x", "second", 14000, "vm-2");
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(OldService_afterALostAck_countsFromTheAckOfTheRepeat) {
  publish(1, {Base}, 0);
  m_Checks.onPublished(4, {Moved}, at(10000));
  m_Checks.onPublished(4, {Moved}, at(12000));
  m_Checks.onAcknowledged(4, at(12010));
  run("/base/x", "first", 15000);
  BOOST_TEST(violations().empty());
  run("/base/x", "first", 15100);
  BOOST_TEST(count(ConfigFault::OutdatedVersion) == 1);
}

BOOST_AUTO_TEST_CASE(OldService_afterASecondAck_countsFromTheFirst) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  m_Checks.onAcknowledged(4, at(13000));
  run("/base/x", "first", 13100);
  BOOST_TEST(count(ConfigFault::OutdatedVersion) == 1);
}

BOOST_AUTO_TEST_CASE(OldService_ofAVersionSentAgain_countsFromItsFirstAck) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  m_Checks.onPublished(4, {Moved}, at(12000));
  run("/base/x", "first", 13100);
  BOOST_TEST(count(ConfigFault::OutdatedVersion) == 1);
}

// An unacknowledged version that may be in force again allows it.
BOOST_AUTO_TEST_CASE(OldService_namedAgainByAVersionSentLater_isAllowed) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  m_Checks.onPublished(6, {Base}, at(14000));
  run("/base/x", "first", 14100);
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(OldService_namedAgainOnlyAfterTheArrival_isReported) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  run("/base/x", "first", 14000);
  m_Checks.onPublished(6, {Base}, at(14100));
  BOOST_TEST(count(ConfigFault::OutdatedVersion) == 1);
}

BOOST_AUTO_TEST_CASE(DroppedRoute_thatIsRunLaterThanTheBound_isReported) {
  publish(1, {Base, Added}, 0);
  publish(4, {Base}, 10000);
  run("/added/x", "first", 13000);
  BOOST_TEST(violations().empty());
  run("/added/x", "first", 13100);
  BOOST_TEST(count(ConfigFault::OutdatedVersion) == 1);
}

BOOST_AUTO_TEST_CASE(AddedRoute_thatIsRefusedLaterThanTheBound_isReported) {
  publish(1, {Base}, 0);
  publish(4, {Base, Added}, 10000);
  refuse("/added/x", 404, 13000);
  BOOST_TEST(violations().empty());
  refuse("/added/x", 404, 13100);
  BOOST_TEST_REQUIRE(violations().size() == 1);
  BOOST_TEST(firstMessage() ==
             "vm-1: request vm-1/2 on /added/x was refused with 404 as only "
             "version 1 or older allows; version 4 is due, and it was sent "
             "3090 ms after the ack of version 4 (bound 3000 ms)");
}

BOOST_AUTO_TEST_CASE(DroppedRoute_thatIsRefused_isAllowed) {
  publish(1, {Base, Added}, 0);
  publish(4, {Base}, 10000);
  refuse("/added/x", 404, 10005);
  refuse("/added/x", 404, 14000);
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(AddedRoute_thatIsAnswered503_isAllowed) {
  publish(1, {Base}, 0);
  publish(4, {Base, Added}, 10000);
  refuse("/added/x", 503, 14000);
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(LongerPrefix_thatIsAdded_ownsThePath) {
  publish(1, {Base}, 0);
  publish(4, {Base, makeRoute("/base/new/", "second")}, 10000);
  run("/base/new/x", "second", 14000);
  run("/base/old", "first", 14000);
  BOOST_TEST(violations().empty());
  run("/base/new/x", "first", 14000, "vm-2");
  BOOST_TEST(count(ConfigFault::OutdatedVersion) == 1);
}

BOOST_AUTO_TEST_CASE(Lateness_ofAVmThatMissedSeveral_countsFromTheFirst) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  publish(6, {Moved, Added}, 11000);
  run("/base/x", "first", 15010);
  BOOST_TEST(firstMessage().ends_with(
      "version 6 is due, and it was sent 5000 ms after the ack of version 4 "
      "(bound 3000 ms)"));
}

BOOST_AUTO_TEST_CASE(Lateness_ofAVmThatMissedAnUnacknowledged_countsFromAnAck) {
  publish(1, {Base}, 0);
  m_Checks.onPublished(4, {Moved}, at(10000));
  publish(6, {Moved, Added}, 11000);
  run("/base/x", "first", 15010);
  BOOST_TEST(firstMessage().ends_with(
      "version 6 is due, and it was sent 4000 ms after the ack of version 6 "
      "(bound 3000 ms)"));
}

// Such a run breaks rule ROUTE.
BOOST_AUTO_TEST_CASE(Service_thatNoVersionNames_isNotReported) {
  publish(1, {Base}, 0);
  run("/base/x", "other", 14000);
  BOOST_TEST(violations().empty());
}

// Documents of another writer.

BOOST_AUTO_TEST_CASE(ForeignDocument_thatTakesEffect_isReported) {
  publish(4, {Base}, 0);
  m_Checks.onForeignPublished(4, {Moved}, at(5000));
  run("/base/x", "first", 5100);
  BOOST_TEST(violations().empty());
  m_OutOfTouch.insert("vm-1");
  run("/base/x", "second", 5100);
  BOOST_TEST(count(ConfigFault::ForbiddenVersion) == 1);
  BOOST_TEST(firstMessage() ==
             "vm-1: request vm-1/2 on /base/x was sent to second as only "
             "another writer's document with version 4 allows, 105 ms after it "
             "was sent");
}

BOOST_AUTO_TEST_CASE(ForeignDocument_withoutARoute_isReportedByItsRefusals) {
  publish(4, {Base, Added}, 0);
  m_Checks.onForeignPublished(4, {Base}, at(5000));
  refuse("/added/x", 404, 5100);
  BOOST_TEST(count(ConfigFault::ForbiddenVersion) == 1);
}

BOOST_AUTO_TEST_CASE(ForeignDocument_thatAllowsWhatAVersionDoes_isNotReported) {
  publish(4, {Base}, 0);
  m_Checks.onForeignPublished(4, {Moved}, at(5000));
  publish(5, {Moved}, 6000);
  run("/base/x", "second", 6100);
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(ForeignDocument_sentAfterTheArrival_isNotReported) {
  publish(4, {Base}, 0);
  run("/base/x", "second", 5000);
  m_Checks.onForeignPublished(4, {Moved}, at(5100));
  BOOST_TEST(violations().empty());
}

// Regression in one boot.

BOOST_AUTO_TEST_CASE(OldService_afterTheNewOneWasSeen_isReported) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  run("/base/x", "second", 10100);
  run("/base/x", "first", 10356);
  BOOST_TEST_REQUIRE(violations().size() == 1);
  BOOST_TEST(count(ConfigFault::Regression) == 1);
  BOOST_TEST(firstMessage() ==
             "vm-1: request vm-1/2 on /base/x was sent to first as only "
             "version 1 or older allows, in the same boot as version 4; it was "
             "sent 251 ms after a target saw the effect of version 4 (bound "
             "250 ms)");
}

BOOST_AUTO_TEST_CASE(OldService_withinTheRollbackSlack_isAllowed) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  run("/base/x", "second", 10100);
  run("/base/x", "first", 10355);
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(OldService_ofAnotherVmOrBoot_isAllowed) {
  m_Checks.onVmStarted("vm-1", at(-100));
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  run("/base/x", "second", 10100);
  run("/base/x", "first", 11000, "vm-2");
  m_Checks.onVmStarted("vm-1", at(11000));
  run("/base/x", "first", 11500);
  BOOST_TEST(violations().empty());
  run("/base/x", "second", 11600);
  run("/base/x", "first", 12000);
  BOOST_TEST(count(ConfigFault::Regression) == 1);
}

// The rule on regressions asks neither for touch nor for an ack.
BOOST_AUTO_TEST_CASE(
    Regression_ofAnUnacknowledgedVersionOutOfTouch_isReported) {
  m_OutOfTouch.insert("vm-1");
  publish(1, {Base}, 0);
  m_Checks.onPublished(4, {Moved}, at(10000));
  run("/base/x", "second", 10100);
  run("/base/x", "first", 11000);
  BOOST_TEST(count(ConfigFault::Regression) == 1);
}

BOOST_AUTO_TEST_CASE(Regression_ofSlowedVm_isReportedAfterEightTimesTheSlack) {
  m_Slowed.insert("vm-1");
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  run("/base/x", "second", 10100);
  run("/base/x", "first", 12105);
  BOOST_TEST(violations().empty());
  run("/base/x", "first", 12106);
  BOOST_TEST(count(ConfigFault::Regression) == 1);
}

BOOST_AUTO_TEST_CASE(Regression_seenByARefusal_isReported) {
  publish(1, {Base}, 0);
  publish(4, {Base, Added}, 10000);
  run("/added/x", "first", 10100);
  refuse("/added/x", 404, 10400);
  BOOST_TEST(count(ConfigFault::Regression) == 1);
}

BOOST_AUTO_TEST_CASE(Regression_afterAnOldActWithinTheSlack_isReported) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  run("/base/x", "second", 10100);
  run("/base/x", "first", 10200);
  BOOST_TEST(violations().empty());
  run("/base/x", "first", 10500);
  BOOST_TEST(count(ConfigFault::Regression) == 1);
}

// Only what a target saw counts.
BOOST_AUTO_TEST_CASE(DroppedRoute_runAfterARefusal_isAllowed) {
  publish(1, {Base, Added}, 0);
  publish(4, {Base}, 10000);
  refuse("/added/x", 404, 10100);
  run("/added/x", "first", 11000);
  BOOST_TEST(violations().empty());
}

// The target's receipt of what older versions allow, too, shows no effect.
BOOST_AUTO_TEST_CASE(EffectOfAllVersions_beforeAnOldOne_isAllowed) {
  publish(1, {Base, Added}, 0);
  publish(4, {Base, makeRoute("/added/", "second")}, 10000);
  run("/base/x", "first", 10100);
  run("/added/x", "first", 11000);
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(Service_namedOnlyByAVersionSentLater_showsNoEffect) {
  publish(1, {Base}, 0);
  run("/base/x", "second", 5000);
  run("/base/x", "first", 6000);
  publish(4, {Moved}, 10000);
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(EventsReportedLate_areJudgedByTheirTimes) {
  run("/base/x", "first", 10400);
  run("/base/x", "first", 10400);
  run("/base/x", "second", 10100);
  publish(4, {Moved}, 10000);
  publish(1, {Base}, 0);
  BOOST_TEST(count(ConfigFault::Regression) == 2);
}

// Routes that were added later.

struct AddedRoutesCase {
  int m_AddedServed;
  int m_AddedTotal;
  int m_FirstServed;
  bool m_IsReported;
};

BOOST_AUTO_TEST_CASE(AddedRoutes_servedLessThanAQuarterAsOften_areReported) {
  for (const AddedRoutesCase &Each :
       {AddedRoutesCase{4, 20, 100, true}, AddedRoutesCase{5, 20, 100, false},
        AddedRoutesCase{0, 19, 100, false}, AddedRoutesCase{3, 20, 60, false},
        AddedRoutesCase{2, 20, 60, true}, AddedRoutesCase{0, 20, 0, false}}) {
    ConfigChecksFixture Play;
    Play.publish(1, {Base}, 0);
    Play.publish(4, {Base, Added}, 1000);
    for (int I = 0; I < 100; ++I)
      if (I < Each.m_FirstServed)
        Play.run("/base/x", "first", 5000 + 10 * I);
      else
        Play.refuse("/base/x", 503, 5000 + 10 * I);
    for (int I = 0; I < Each.m_AddedTotal; ++I)
      if (I < Each.m_AddedServed)
        Play.run("/added/x", "first", 5000 + 10 * I);
      else
        Play.refuse("/added/x", 503, 5000 + 10 * I);
    BOOST_TEST_CONTEXT(Each.m_AddedServed << " of " << Each.m_AddedTotal) {
      BOOST_TEST(Play.count(ConfigFault::UnservedRoutes) ==
                 (Each.m_IsReported ? 1U : 0U));
      BOOST_TEST(Play.violations().size() == (Each.m_IsReported ? 1U : 0U));
    }
    Play.m_IsSteady = false;
    BOOST_TEST(Play.violations().empty());
    Play.m_IsSteady = true;
    Play.m_OutOfTouch.insert("vm-1");
    BOOST_TEST(Play.violations().empty());
  }
}

BOOST_AUTO_TEST_CASE(AddedRoutes_whileTheirVersionIsNotDue_areNotCounted) {
  publish(1, {Base}, 0);
  publish(4, {Base, Added}, 10000);
  for (int I = 0; I < 100; ++I) {
    run("/base/x", "first", 5000 + 10 * I);
    refuse("/added/x", 503, 10010 + 30 * I);
  }
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(AddedRoutes_whileANewerVersionMayHold_areNotCounted) {
  publish(1, {Base}, 0);
  publish(4, {Base, Added}, 1000);
  m_Checks.onPublished(5, {Base}, at(10000));
  for (int I = 0; I < 100; ++I) {
    run("/base/x", "first", 5000 + 10 * I);
    refuse("/added/x", 503, 10010 + 30 * I);
  }
  BOOST_TEST(violations().empty());
}

// Time-outs.

struct TimeoutCase {
  int m_InTime;   ///< Answered within half a second after the time-out.
  int m_Late;     ///< Answered later.
  bool m_IsMost;  ///< Over half are late.
  bool m_AreMany; ///< Eight or more, and over a quarter, are late.
};

BOOST_AUTO_TEST_CASE(OverlongRequests_withoutAnswer_areReported) {
  for (const TimeoutCase &Each :
       {TimeoutCase{0, 1, true, false}, TimeoutCase{1, 1, false, false},
        TimeoutCase{1, 2, true, false}, TimeoutCase{23, 8, false, true},
        TimeoutCase{24, 8, false, false}, TimeoutCase{7, 7, false, false},
        TimeoutCase{7, 8, true, true}, TimeoutCase{5, 0, false, false}}) {
    ConfigChecksFixture Play;
    Play.publish(1, {Base}, 0);
    for (int I = 0; I < Each.m_InTime + Each.m_Late; ++I) {
      const std::string Id = Play.send("/base/x", 5000);
      Play.m_Checks.onAnswered(Id, 504,
                               Play.at(I < Each.m_InTime ? 6500 : 6501));
    }
    BOOST_TEST_CONTEXT(Each.m_Late << " late, " << Each.m_InTime << " not") {
      BOOST_TEST(Play.count(ConfigFault::MostlyUnanswered) ==
                 (Each.m_IsMost ? 1U : 0U));
      BOOST_TEST(Play.count(ConfigFault::OftenUnanswered) ==
                 (Each.m_AreMany ? 1U : 0U));
    }
    Play.m_OutOfTouch.insert("vm-1");
    BOOST_TEST(Play.violations().empty());
  }
}

BOOST_AUTO_TEST_CASE(OverlongRequest_reportsVmRequestRouteVersionAndLateness) {
  publish(7, {Base}, 0);
  m_Checks.onAnswered(send("/base/x", 5000), 504, at(6900));
  BOOST_TEST(firstMessage() ==
             "1 of 1 requests that were unanswered at their time-out had no "
             "answer 500 ms later; vm-1: request vm-1/1 on /base/x by version "
             "7 (1000 ms) was answered 900 ms after its time-out");
}

BOOST_AUTO_TEST_CASE(RequestsThatEndByTheirTimeout_areNotOverlong) {
  publish(1, {Base}, 0);
  for (int I = 0; I < 20; ++I) {
    m_Checks.onAnswered(send("/base/x", 5000), 200, at(6000));
    m_Checks.onClosed(send("/base/x", 5000), at(5900));
    m_Checks.onAbandoned(send("/base/x", 5000), at(5900));
  }
  BOOST_TEST(violations().empty());
  m_Checks.onAnswered(send("/base/x", 5000), 504, at(6600));
  BOOST_TEST(firstMessage().starts_with("1 of 1 requests"));
}

// An answer in time doesn't hide a request that stays open.
BOOST_AUTO_TEST_CASE(OpenRequest_isJudgedOnceItsTimeIsOver) {
  publish(1, {Base}, 0);
  send("/base/x", 5000);
  BOOST_TEST(m_Checks.violations(at(6499)).empty());
  BOOST_TEST(m_Checks.violations(at(6500)).size() == 1);
}

BOOST_AUTO_TEST_CASE(OverlongRequest_thatTheVmCloses_hasNoAnswer) {
  publish(1, {Base}, 0);
  m_Checks.onClosed(send("/base/x", 5000), at(6100));
  BOOST_TEST(count(ConfigFault::MostlyUnanswered) == 1);
}

BOOST_AUTO_TEST_CASE(OverlongRequest_thatItsCallerGivesUp_isNotCounted) {
  publish(1, {Base}, 0);
  m_Checks.onAbandoned(send("/base/x", 5000), at(6400));
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(
    AnsweredRequest_whoseConnectionIsClosedLater_hasItsAnswer) {
  publish(1, {Base}, 0);
  const std::string Id = send("/base/x", 5000);
  m_Checks.onAnswered(Id, 200, at(5500));
  m_Checks.onClosed(Id, at(7000));
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(Timeout_whileTwoMayHold_isTheLongerOne) {
  publish(1, {makeRoute("/base/", "first", milliseconds(3000))}, 0);
  publish(4, {Base}, 10000);
  m_Checks.onAnswered(send("/base/x", 12000), 504, at(15100));
  BOOST_TEST(violations().empty());
  m_Checks.onAnswered(send("/base/x", 14000), 504, at(17100));
  BOOST_TEST(count(ConfigFault::MostlyUnanswered) == 0);
  m_Checks.onAnswered(send("/base/x", 14000), 504, at(17100));
  BOOST_TEST(count(ConfigFault::MostlyUnanswered) == 1);
}

BOOST_AUTO_TEST_CASE(Timeout_ofAVersionSentWithinIt_isTheLongerOne) {
  publish(1, {Base}, 0);
  m_Checks.onPublished(4, {makeRoute("/base/", "first", milliseconds(3000))},
                       at(5900));
  m_Checks.onAnswered(send("/base/x", 5000), 504, at(8100));
  BOOST_TEST(violations().empty());
  for (int I = 0; I < 2; ++I)
    m_Checks.onAnswered(send("/base/x", 4800), 504, at(8100));
  BOOST_TEST(count(ConfigFault::MostlyUnanswered) == 1);
}

// Shares of a split; the parts' weights are 3 and 1.

struct ShareCase {
  int m_Large;
  int m_Small;
  int m_Rejected;
  std::size_t m_Reported; ///< Parts.
};

BOOST_AUTO_TEST_CASE(Shares_farFromTheWeights_areReported) {
  for (const ShareCase &Each :
       {ShareCase{150, 50, 0, 0}, ShareCase{110, 90, 0, 0},
        ShareCase{109, 91, 0, 2}, ShareCase{190, 10, 0, 0},
        ShareCase{200, 0, 0, 2}, ShareCase{0, 199, 0, 0},
        // The large part has no room: the rest is rejected, not moved.
        ShareCase{0, 50, 150, 0}, ShareCase{0, 90, 110, 0},
        ShareCase{0, 91, 109, 2}}) {
    ConfigChecksFixture Play;
    Play.publish(1, {makeSplit()}, 0);
    int SentAt = 5000;
    for (int I = 0; I < Each.m_Large; ++I)
      Play.run("/split/x", "large", SentAt += 5);
    for (int I = 0; I < Each.m_Small; ++I)
      Play.run("/split/x", "small", SentAt += 5);
    for (int I = 0; I < Each.m_Rejected; ++I)
      Play.refuse("/split/x", 503, SentAt += 5);
    BOOST_TEST_CONTEXT(Each.m_Large << " large, " << Each.m_Small << " small, "
                                    << Each.m_Rejected << " rejected") {
      BOOST_TEST(Play.count(ConfigFault::SplitShare) == Each.m_Reported);
    }
    Play.m_OutOfTouch.insert("vm-1");
    BOOST_TEST(Play.violations().empty());
    Play.m_OutOfTouch.clear();
    Play.m_IsSteady = false;
    BOOST_TEST(Play.violations().empty());
  }
}

BOOST_AUTO_TEST_CASE(Shares_wrongForTwoHundredRequests_areNotHiddenByOthers) {
  publish(1, {makeSplit()}, 0);
  for (int I = 0; I < 1000; ++I)
    run("/split/x", I % 4 == 0 ? "small" : "large", 5000 + I);
  BOOST_TEST(violations().empty());
  for (int I = 0; I < 200; ++I)
    run("/split/x", "large", 6000 + I);
  BOOST_TEST(count(ConfigFault::SplitShare) == 2);
}

BOOST_AUTO_TEST_CASE(Shares_ofOtherWeights_areCountedApart) {
  CheckedRoute Turned = makeSplit();
  std::swap(Turned.m_Parts[0].m_Weight, Turned.m_Parts[1].m_Weight);
  publish(1, {makeSplit()}, 0);
  publish(2, {Turned}, 9000);
  for (int I = 0; I < 400; ++I) {
    run("/split/x", I % 4 == 0 ? "small" : "large", 5000 + I);
    run("/split/x", I % 4 == 0 ? "large" : "small", 15000 + I);
  }
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(Shares_areCountedInTheOrderOfSending) {
  publish(1, {makeSplit()}, 0);
  for (int I = 0; I < 300; ++I)
    run("/split/x", "large", 5000 + 10 * I);
  for (int I = 0; I < 100; ++I)
    run("/split/x", "small", 5000 + 30 * I);
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(Request_thatMovesToAnotherPart_countsAtBoth) {
  publish(1, {makeSplit()}, 0);
  for (int I = 0; I < 200; ++I) {
    const std::string Id = send("/split/x", 5000 + I);
    m_Checks.onArrival(Id, I % 4 == 0 ? "small" : "large", at(5005 + I));
    if (I % 3 == 0)
      m_Checks.onArrival(Id, "small", at(5010 + I));
    m_Checks.onAnswered(Id, 200, at(5020 + I));
  }
  BOOST_TEST(count(ConfigFault::SplitShare) == 1);
}

BOOST_AUTO_TEST_CASE(Shares_whileAVersionIsNotAcknowledged_areNotReported) {
  publish(1, {makeSplit()}, 0);
  m_Checks.onPublished(2, {makeSplit(), Base}, at(4000));
  for (int I = 0; I < 300; ++I)
    run("/split/x", "small", 5000 + I);
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(Shares_ofARouteWithHomesOrASearch_areNotReported) {
  CheckedRoute Home = makeSplit();
  Home.m_HasHomes = true;
  CheckedRoute Search = makeSplit();
  Search.m_Prefix = "/search/";
  Search.m_IsSplit = false;
  publish(1, {Home, Search}, 0);
  for (int I = 0; I < 300; ++I) {
    run("/split/x", "small", 5000 + I);
    run("/search/x", "small", 5000 + I);
  }
  BOOST_TEST(violations().empty());
}

// The last act on an older configuration.

BOOST_AUTO_TEST_CASE(LastOldActs_areKeptByVmVersionAndTouch) {
  publish(1, {Base}, 0);
  publish(4, {Moved}, 10000);
  publish(6, {Moved, Added}, 11000);
  run("/base/x", "first", 11210);
  run("/base/x", "first", 10510);
  run("/base/x", "second", 11900);
  m_OutOfTouch.insert("vm-2");
  refuse("/added/x", 404, 19010, "vm-2");
  run("/base/x", "second", 12000, "vm-3");
  const auto All = m_Checks.lastOldActs();
  BOOST_TEST_REQUIRE(All.size() == 3);
  BOOST_TEST(All[0].m_Vm == "vm-1");
  BOOST_TEST(All[0].m_Version == 4);
  BOOST_TEST(All[0].m_RequestId == "vm-1/1");
  BOOST_TEST((All[0].m_Lateness == milliseconds(1200)));
  BOOST_TEST(All[0].m_WasInTouch);
  BOOST_TEST(All[1].m_Version == 6);
  BOOST_TEST((All[1].m_Lateness == milliseconds(200)));
  BOOST_TEST(All[2].m_Vm == "vm-2");
  BOOST_TEST((All[2].m_Lateness == milliseconds(8000)));
  BOOST_TEST(!All[2].m_WasInTouch);
  BOOST_TEST(m_Checks.summary() ==
             "last act on an older configuration, in touch: 1200 ms (vm-1, "
             "version 4, vm-1/1), bound 3000 ms; out of touch: 8000 ms (vm-2, "
             "version 6, vm-2/4); by VM: vm-1 1200 ms vm-2 0 ms vm-3 0 ms");
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(LastOldActs_beforeTheAck_areNone) {
  publish(1, {Base}, 0);
  m_Checks.onPublished(4, {Moved}, at(10000));
  run("/base/x", "first", 14000);
  m_Checks.onAcknowledged(4, at(14000));
  BOOST_TEST(m_Checks.lastOldActs().empty());
  BOOST_TEST(m_Checks.summary() ==
             "last act on an older configuration, in touch: none, bound 3000 "
             "ms; out of touch: none; by VM: vm-1 0 ms");
}

BOOST_AUTO_TEST_SUITE_END()
