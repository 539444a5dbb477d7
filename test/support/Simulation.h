#ifndef FIGTURN_TEST_SUPPORT_SIMULATION_H
#define FIGTURN_TEST_SUPPORT_SIMULATION_H

/**
 * Base of randomized simulations: an event queue in virtual time and a seeded
 * random number generator.
 */

#include "state/Time.h"

#include <cstdlib>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace figturn {

class Simulation {
public:
  explicit Simulation(unsigned Seed) : m_Random(Seed) {}

  /** Returns the seeds 1 to \p Count, or only that in the environment variable
   *  FIGTURN_SEED if set. */
  static std::vector<unsigned> seeds(unsigned Count) {
    if (const char *EnvironmentSeed = std::getenv("FIGTURN_SEED"))
      return {
          static_cast<unsigned>(std::strtoul(EnvironmentSeed, nullptr, 10))};
    std::vector<unsigned> All;
    for (unsigned Seed = 1; Seed <= Count; ++Seed)
      All.push_back(Seed);
    return All;
  }

protected:
  using Action = std::function<void()>;

  void scheduleAfter(Duration Delay, Action Callback) {
    m_Events.emplace(m_Now + Delay, std::move(Callback));
  }

  /** Runs events in time order while \p ShouldContinue returns true. */
  template <typename Predicate> void runEvents(Predicate ShouldContinue) {
    while (!m_Events.empty() && ShouldContinue()) {
      auto Next = m_Events.extract(m_Events.begin());
      m_Now = Next.key();
      Next.mapped()();
    }
  }

  bool randomBool(double Probability) {
    return std::uniform_real_distribution<>(0, 1)(m_Random) < Probability;
  }

  /** Uniformly distributed in the closed range. */
  int randomInt(int Min, int Max) {
    return std::uniform_int_distribution<>(Min, Max)(m_Random);
  }

  milliseconds randomDelay(int Min, int Max) {
    return milliseconds(randomInt(Min, Max));
  }

  TimePoint m_Now;

private:
  std::mt19937 m_Random;
  std::multimap<TimePoint, Action> m_Events;
};

} // namespace figturn

#endif // FIGTURN_TEST_SUPPORT_SIMULATION_H
