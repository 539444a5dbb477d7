#ifndef FIGTURN_TEST_SUPPORT_FLEETLOAD_H
#define FIGTURN_TEST_SUPPORT_FLEETLOAD_H

/** Generates concurrent requests to a fleet while a test injects faults. */

#include "support/Cluster.h"

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace figturn::test {

/** Body of a search for \p Text with a deadline of five seconds. */
inline QJsonObject searchBody(const char *Text) {
  return {{"deadlineMs", 5000},
          {"query", QJsonObject{{"text", Text}, {"limit", 5}}}};
}

/** Search path of the default service of ServiceSpec. */
inline constexpr const char *SearchPath = "/v1/services/workshop-desk/search";
/** Path for single-run requests to that service. */
inline constexpr const char *RunPath = "/v1/services/workshop-desk/run";

/** Returns whether \p Answer covers every shard. */
inline bool coversAllShards(const QJsonObject &Answer) {
  const QJsonObject Coverage = Answer["coverage"].toObject();
  return Coverage["shardsTotal"].toInteger() > 0 &&
         Coverage["shardsAnswered"] == Coverage["shardsTotal"];
}

/** Calls \p Task repeatedly, with the thread index, on each of \p Threads
 *  threads until stopped or destroyed. */
class FleetLoad {
public:
  FleetLoad(std::size_t Threads, std::function<void(std::size_t)> Task) {
    for (std::size_t I = 0; I < Threads; ++I)
      m_Threads.emplace_back([this, I, Task] {
        while (!m_Stop)
          Task(I);
      });
  }
  ~FleetLoad() { stop(); }
  FleetLoad(const FleetLoad &) = delete;
  FleetLoad &operator=(const FleetLoad &) = delete;

  void stop() {
    m_Stop = true;
    for (std::thread &Each : m_Threads)
      if (Each.joinable())
        Each.join();
  }

private:
  std::atomic<bool> m_Stop{false};
  std::vector<std::thread> m_Threads;
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_FLEETLOAD_H
