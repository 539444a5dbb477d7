/** Limits that targets name, divided among the VMs without communication. */

#include "coordination/TargetRateLimit.h"
#include "support/RoutedTargets.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <vector>

using namespace figturn;
using namespace figturn::test;

namespace {

/** Window and tolerance of the platform's rule. */
constexpr seconds LimitWindow{4};
double allowedRequests(double Limit) {
  return 1.5 * Limit * LimitWindow.count() + 5;
}

/** VMs with equal shares of one target, which they all know to be limited. */
class LimitedFleet {
public:
  LimitedFleet(std::size_t VmCount, double Limit, unsigned Seed)
      : m_Vms(VmCount) {
    std::minstd_rand Random(Seed);
    std::uniform_real_distribution<> Phase;
    for (TargetRateLimit &Each : m_Vms)
      Each.onReply({.m_RequestsPerSecond = Limit, .m_SentAt = m_Now},
                   Phase(Random), share(), m_Now);
  }

  void idle(Duration Time) { m_Now += Time; }

  /** Every VM sends as much as it may. */
  void saturate(Duration Time) {
    const TimePoint End = m_Now + Time;
    for (; m_Now < End; m_Now += milliseconds(20))
      for (TargetRateLimit &Each : m_Vms)
        while (Each.tryAcquire(share(), m_Now))
          m_Sent.push_back(m_Now);
  }

  std::size_t sent() const { return m_Sent.size(); }

  /** The most requests in any window. */
  std::size_t mostInWindow() const {
    std::size_t Most = 0;
    std::deque<TimePoint> Recent;
    for (const TimePoint Each : m_Sent) {
      Recent.push_back(Each);
      while (Each - Recent.front() >= LimitWindow)
        Recent.pop_front();
      Most = std::max(Most, Recent.size());
    }
    return Most;
  }

  double share() const { return 1 / static_cast<double>(m_Vms.size()); }

private:
  std::vector<TargetRateLimit> m_Vms;
  TimePoint m_Now = Start;
  std::vector<TimePoint> m_Sent;
};

struct Fixture {
  bool report(std::optional<double> Limit, Duration SentAgo = {}) {
    return m_Limit.onReply(
        {.m_RequestsPerSecond = Limit, .m_SentAt = m_Now - SentAgo}, 0.5, 1,
        m_Now);
  }

  TargetRateLimit m_Limit;
  TimePoint m_Now = Start;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetRateLimitTest, Fixture)

BOOST_AUTO_TEST_CASE(Fleet_burstingAfterIdleTime_staysWithinTheLimit) {
  for (const std::size_t VmCount : {3U, 15U, 126U, 430U})
    for (const double Limit : {0.0, 0.5, 2.0, 20.0, 36.0, 400.0})
      for (unsigned Seed = 1; Seed <= 20; ++Seed) {
        LimitedFleet Fleet(VmCount, Limit, Seed);
        for (int I = 0; I < 3; ++I) {
          Fleet.idle(seconds(17));
          Fleet.saturate(seconds(6));
        }
        BOOST_TEST_INFO("VMs " << VmCount << ", limit " << Limit << ", seed "
                               << Seed);
        BOOST_TEST(static_cast<double>(Fleet.mostInWindow()) <=
                   allowedRequests(Limit));
      }
}

BOOST_AUTO_TEST_CASE(Fleet_withEnoughLoad_usesMostOfTheLimit) {
  for (const std::size_t VmCount : {3U, 15U, 126U, 430U})
    for (const double Limit : {2.0, 20.0, 36.0, 400.0}) {
      LimitedFleet Fleet(VmCount, Limit, 1);
      Fleet.saturate(seconds(400));
      BOOST_TEST_INFO("VMs " << VmCount << ", limit " << Limit);
      BOOST_TEST(static_cast<double>(Fleet.sent()) >= 0.85 * Limit * 400);
    }
}

BOOST_AUTO_TEST_CASE(Target_withoutLimit_getsAnyRequest) {
  for (int I = 0; I < 1000; ++I)
    BOOST_TEST(m_Limit.tryAcquire(0.01, m_Now));
}

BOOST_AUTO_TEST_CASE(Limit_noLongerNamed_ends) {
  BOOST_TEST(report(1.0));
  m_Now += seconds(2);
  BOOST_TEST(report(std::nullopt));
  for (int I = 0; I < 10; ++I)
    BOOST_TEST(m_Limit.tryAcquire(1, m_Now));
}

BOOST_AUTO_TEST_CASE(Limit_missingFromReplyToEarlierCall_remains) {
  BOOST_TEST(report(1.0));
  m_Now += milliseconds(50);
  BOOST_TEST(!report(std::nullopt, milliseconds(200)));
  BOOST_TEST(m_Limit.requestsPerSecond().has_value());
}

BOOST_AUTO_TEST_CASE(Limit_raised_takesEffectAtOnce) {
  report(0.01);
  report(100.0);
  m_Now += milliseconds(20);
  BOOST_TEST(m_Limit.maySend(1, m_Now));
}

// Otherwise a VM whose requests have stopped would never learn that the target
// names no limit any more.
BOOST_AUTO_TEST_CASE(Target_withLimitZero_isTriedFromTimeToTime) {
  report(0.0);
  int Sent = 0;
  for (int I = 0; I < 100; ++I, m_Now += seconds(1))
    Sent += m_Limit.tryAcquire(1, m_Now) ? 1 : 0;
  BOOST_TEST(Sent >= 20);
  BOOST_TEST(Sent <= 25);
}

BOOST_AUTO_TEST_SUITE_END()
