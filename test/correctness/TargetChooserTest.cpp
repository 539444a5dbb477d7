/** Tests of the choice among replicas. */

#include "coordination/TargetChooser.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Fixture {
  std::vector<TargetPtr> m_Targets{makeTarget("home", "nz-south-a"),
                                   makeTarget("far", "nz-south-b"),
                                   makeTarget("farther", "nz-south-c")};
  std::vector<TargetPtr> m_TriedTargets;
  std::set<DataCentreName> m_DisallowedDataCentres;
  int m_ColdCallPermits = 0;
  bool m_SingleRun = false;
  std::size_t m_MaxConnections = 100;
  TargetChooser m_Chooser{ChoiceCosts{}, 1};

  Target &home() { return *m_Targets[0]; }
  std::string choose(TimePoint Now = Start) {
    const TargetPtr Chosen = m_Chooser.choose(
        {.m_Candidates = m_Targets,
         .m_TriedTargets = m_TriedTargets,
         .m_Home = DataCentreName("nz-south-a"),
         .m_SingleRun = m_SingleRun,
         .m_IsDataCentreAllowed =
             [this](const DataCentreName &DataCentre) {
               return !m_DisallowedDataCentres.contains(DataCentre);
             },
         .m_MaxConnections = m_MaxConnections,
         .m_TryAcquireColdCall =
             [this](const Target &) { return m_ColdCallPermits-- > 0; }},
        Now);
    return Chosen ? Chosen->m_Entry.m_Instance.m_Name.value() : "none";
  }
  /** How many of 100 choices select the home replica. */
  int countHomeChoices(TimePoint Now = Start) {
    int Count = 0;
    for (int I = 0; I < 100; ++I)
      Count += choose(Now) == "home" ? 1 : 0;
    return Count;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetChooserTest, Fixture)

BOOST_AUTO_TEST_CASE(LocalReplica_whileResponsive_isPreferred) {
  BOOST_TEST(countHomeChoices() == 100);
}

BOOST_AUTO_TEST_CASE(Replica_withOutstandingCalls_isAvoided) {
  for (std::uint64_t I = 0; I < 4; ++I)
    home().m_Load.begin(I, Start + seconds(1));
  BOOST_TEST(countHomeChoices() == 0);
}

BOOST_AUTO_TEST_CASE(Replica_withAnOverdueCall_isAvoidedAtOnce) {
  home().m_Load.begin(1, Start);
  BOOST_TEST(countHomeChoices() == 0);
  home().m_Load.end(1, CallOutcome::Answered, 1, Start);
  BOOST_TEST(countHomeChoices() == 100);
}

BOOST_AUTO_TEST_CASE(Replica_refusingHalfOfItsCalls_isAvoided) {
  for (std::uint64_t I = 0; I < 8; ++I) {
    home().m_Load.begin(I, Start + seconds(1));
    home().m_Load.end(
        I, I % 2 == 0 ? CallOutcome::Refused : CallOutcome::Answered, 1, Start);
  }
  BOOST_TEST(countHomeChoices() == 0);
}

BOOST_AUTO_TEST_CASE(UnreachableReplica_receivesOneProbeAtATime) {
  m_Targets.resize(1);
  home().m_Load.begin(1, Start + seconds(1));
  home().m_Load.end(1, CallOutcome::Lost, 1, Start);
  BOOST_TEST(choose(Start + milliseconds(249)) == "none");
  BOOST_TEST(choose(Start + milliseconds(250)) == "home");
  home().m_Load.begin(2, Start + seconds(1));
  BOOST_TEST(choose(Start + milliseconds(250)) == "none");
}

BOOST_AUTO_TEST_CASE(SingleRun_whileOtherReplicasWork_isNotUsedAsProbe) {
  home().m_Load.begin(1, Start + seconds(1));
  home().m_Load.end(1, CallOutcome::Lost, 1, Start);
  const TimePoint Later = Start + seconds(20);
  BOOST_TEST(countHomeChoices(Later) == 100);
  m_SingleRun = true;
  BOOST_TEST(countHomeChoices(Later) == 0);
}

BOOST_AUTO_TEST_CASE(Replica_inADisallowedDataCentre_isNeverChosen) {
  m_DisallowedDataCentres = {DataCentreName("nz-south-a"),
                             DataCentreName("nz-south-b")};
  BOOST_TEST(choose() == "farther");
  m_DisallowedDataCentres.insert(DataCentreName("nz-south-c"));
  BOOST_TEST(choose() == "none");
}

BOOST_AUTO_TEST_CASE(Replica_drainingTriedOrMisdirected_isNeverChosen) {
  home().m_Entry.m_Draining = true;
  m_Targets[1]->m_Load.end(1, CallOutcome::Misdirected, 1, Start);
  BOOST_TEST(choose() == "farther");
  m_TriedTargets = {m_Targets[2]};
  BOOST_TEST(choose() == "none");
}

BOOST_AUTO_TEST_CASE(Replica_withMissingEntry_isTheLastChoice) {
  home().m_RetainedUntil = Start + seconds(2);
  BOOST_TEST(countHomeChoices() == 0);
  m_Targets.resize(1);
  BOOST_TEST(choose() == "home");
}

BOOST_AUTO_TEST_CASE(Replica_afterItsRetention_isNotChosen) {
  home().m_RetainedUntil = Start + seconds(2);
  m_Targets.resize(1);
  BOOST_TEST(choose(Start + milliseconds(1999)) == "home");
  BOOST_TEST(choose(Start + seconds(2)) == "none");
}

BOOST_AUTO_TEST_CASE(ColdReplica_isChosenOnlyWithoutOthersAndWithPermission) {
  home().m_Entry.m_ColdUntil = Start + seconds(3);
  BOOST_TEST(countHomeChoices() == 0);
  m_Targets.resize(1);
  m_ColdCallPermits = 1;
  BOOST_TEST(choose() == "home");
  BOOST_TEST(choose() == "none");
  BOOST_TEST(choose(Start + seconds(3)) == "home");
}

BOOST_AUTO_TEST_CASE(Replica_atItsOwnLimit_isReplacedByOthers) {
  for (const TargetPtr &Each : m_Targets)
    Each->m_RateLimit.onReply({.m_RequestsPerSecond = 1, .m_SentAt = Start}, 0,
                              1, Start);
  std::set<std::string> Chosen;
  for (int I = 0; I < 3; ++I)
    Chosen.insert(choose());
  BOOST_TEST(Chosen.size() == 3U);
  BOOST_TEST(choose() == "none");
  const ChoiceQuery Query{
      .m_Candidates = m_Targets,
      .m_IsDataCentreAllowed = [](const DataCentreName &) { return true; }};
  BOOST_TEST(
      (TargetChooser::availability(Query, Start) == Availability::Limited));
  BOOST_TEST(choose(Start + seconds(2)) != "none");
}

BOOST_AUTO_TEST_CASE(Replica_thatIsLeaving_isNeverChosen) {
  home().m_Signals.onReply({.m_IsLeaving = true}, Start);
  BOOST_TEST(countHomeChoices(Start + seconds(100)) == 0);
  m_Targets.resize(1);
  BOOST_TEST(choose() == "none");
}

BOOST_AUTO_TEST_CASE(Replica_thatAskedToWait_isNotChosenUntilTheEnd) {
  home().m_Signals.onReply({.m_WaitTime = seconds(2)}, Start);
  BOOST_TEST(countHomeChoices(Start + milliseconds(1999)) == 0);
  BOOST_TEST(countHomeChoices(Start + seconds(2)) == 100);
  m_Targets.resize(1);
  const ChoiceQuery Query{
      .m_Candidates = m_Targets,
      .m_IsDataCentreAllowed = [](const DataCentreName &) { return true; }};
  BOOST_TEST(
      (TargetChooser::availability(Query, Start) == Availability::Limited));
}

BOOST_AUTO_TEST_CASE(Replica_whoseConnectionsAreBusy_isAvoidedBeforeItsSlots) {
  home().m_Load.begin(1, Start + seconds(1));
  BOOST_TEST(countHomeChoices() == 100); // One of four slots is busy.
  m_MaxConnections = 1;
  BOOST_TEST(countHomeChoices() == 0); // A call would wait for the connection.
}

BOOST_AUTO_TEST_SUITE_END()
