/** Quantiles of recent latencies, and the hedge delay derived from them. */

#include "coordination/LatencyWindow.h"
#include "coordination/QuantileHedgePolicy.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

struct Fixture {
  LatencyWindow m_Window{{.m_HalfLife = seconds(1), .m_MinSamples = 10}};
  TimePoint m_Now;

  void record(microseconds Latency, int Times) {
    for (int I = 0; I < Times; ++I)
      m_Window.record(Latency, m_Now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LatencyWindowTest, Fixture)

BOOST_AUTO_TEST_CASE(Quantile_ofKnownSamples_isAtMostAnEighthAbove) {
  for (int I = 1; I <= 10000; ++I)
    record(microseconds(I), 1);
  for (const double Fraction : {0.001, 0.5, 0.95, 0.99, 1.0}) {
    const double Exact = Fraction * 10000;
    const auto Estimate =
        static_cast<double>(
            std::chrono::duration_cast<std::chrono::nanoseconds>(
                *m_Window.quantile(Fraction))
                .count()) /
        1000;
    BOOST_TEST(Estimate >= Exact);
    BOOST_TEST(Estimate <= Exact * 1.125 + 1);
  }
}

BOOST_AUTO_TEST_CASE(Quantile_ofExtremeSamples_staysInRange) {
  record(microseconds(-5), 20);
  BOOST_TEST((*m_Window.quantile(1) <= microseconds(2)));
  record(std::chrono::hours(100), 20);
  BOOST_TEST((*m_Window.quantile(1) >= std::chrono::minutes(4)));
}

BOOST_AUTO_TEST_CASE(OldSamples_afterSeveralHalfLives_areOutweighedByNewOnes) {
  record(milliseconds(100), 1000);
  m_Now += seconds(10);
  record(milliseconds(1), 100);
  BOOST_TEST((*m_Window.quantile(0.95) < milliseconds(2)));
}

BOOST_AUTO_TEST_CASE(
    HedgeDelay_withFewThenEnoughSamples_isNoneThenTheQuantile) {
  const QuantileHedgePolicy Policy(m_Window, 0.95, milliseconds(5));
  record(milliseconds(20), 9);
  BOOST_TEST(!Policy.delay(m_Now));
  record(milliseconds(20), 1);
  BOOST_TEST((*Policy.delay(m_Now) >= milliseconds(20)));
  record(milliseconds(1), 10000);
  BOOST_TEST((*Policy.delay(m_Now) == milliseconds(5)));
}

BOOST_AUTO_TEST_SUITE_END()
