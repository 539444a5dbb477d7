#ifndef FIGTURN_SUPPORT_SIMULATION_H
#define FIGTURN_SUPPORT_SIMULATION_H

/**
 * Events in virtual time with seeded chance, a base for random histories.
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

  /** Seeds 1 to \p Count, or the one that FIGTURN_SEED names. */
  static std::vector<unsigned> seeds(unsigned Count) {
    if (const char *Given = std::getenv("FIGTURN_SEED"))
      return {static_cast<unsigned>(std::strtoul(Given, nullptr, 10))};
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

  /** Runs events in the order of time while \p ShouldContinue. */
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

#endif // FIGTURN_SUPPORT_SIMULATION_H
