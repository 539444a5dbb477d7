#ifndef FIGTURN_COORDINATION_LATENCYHISTOGRAM_H
#define FIGTURN_COORDINATION_LATENCYHISTOGRAM_H

/** Latency histogram in the Prometheus text format. */

#include "state/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace figturn {

/** Latency histogram with fixed bucket bounds. */
class LatencyHistogram {
public:
  /** Upper bounds of the buckets in milliseconds; the last bucket is
   *  unbounded. */
  static constexpr std::array<std::int64_t, 14> BoundsMs = {
      2, 5, 10, 20, 40, 60, 100, 150, 250, 500, 1000, 2000, 3000, 4000};

  void record(Duration Latency);
  /** The histogram \p Name with \p Labels in the Prometheus text format. */
  std::string text(const std::string &Name, const std::string &Labels) const;

private:
  std::array<std::uint64_t, BoundsMs.size() + 1> m_Counts{};
  double m_SumSeconds = 0;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_LATENCYHISTOGRAM_H
