/**
 * Tests random histories of single-run requests
 * (support/SingleRunSimulation.h): a key runs at most once, and "not run" is
 * reported only if no attempt up to that one has run or will run.
 * FIGTURN_SEED=N runs only seed N.
 */

#include "support/SingleRunSimulation.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

BOOST_AUTO_TEST_SUITE(SingleRunRandomTest)

BOOST_AUTO_TEST_CASE(Keys_underRandomFaults_runAtMostOnceAndNotRunIsCorrect) {
  SimulationCounts Total;
  for (const unsigned Seed : Simulation::seeds(1000)) {
    SingleRunSimulation History(Seed, HighFaultRates);
    History.run();
    for (const std::string &Fault : History.violations())
      BOOST_ERROR("FIGTURN_SEED=" << Seed << ": " << Fault);
    Total.m_Answers += History.counts().m_Answers;
    Total.m_NotRun += History.counts().m_NotRun;
    Total.m_MayHaveRun += History.counts().m_MayHaveRun;
    Total.m_RunsAfterNotRun += History.counts().m_RunsAfterNotRun;
  }
  BOOST_TEST_MESSAGE("answers " << Total.m_Answers << ", not-run "
                                << Total.m_NotRun << ", may-have-run "
                                << Total.m_MayHaveRun << ", runs after not-run "
                                << Total.m_RunsAfterNotRun);
  // The histories must cover all kinds of outcomes.
  BOOST_TEST(Total.m_Answers > 0);
  BOOST_TEST(Total.m_NotRun > 0);
  BOOST_TEST(Total.m_MayHaveRun > 0);
  BOOST_TEST(Total.m_RunsAfterNotRun > 0);
}

BOOST_AUTO_TEST_CASE(Keys_withoutFaults_areAllAnswered) {
  SingleRunSimulation History(1, FaultRates{});
  History.run();
  BOOST_TEST(History.violations().empty());
  BOOST_TEST(History.counts().m_Answers == KeyCount);
  BOOST_TEST(History.counts().m_NotRun == 0);
}

BOOST_AUTO_TEST_CASE(Keys_withConnectFailures_areAllAnsweredByLaterTries) {
  SingleRunSimulation History(1, FaultRates{.m_ConnectFailure = 0.3});
  History.run();
  BOOST_TEST(History.violations().empty());
  BOOST_TEST(History.counts().m_Answers == KeyCount);
  BOOST_TEST(History.counts().m_RunsAfterNotRun > 0);
}

BOOST_AUTO_TEST_SUITE_END()
