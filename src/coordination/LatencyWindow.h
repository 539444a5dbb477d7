#ifndef FIGTURN_COORDINATION_LATENCYWINDOW_H
#define FIGTURN_COORDINATION_LATENCYWINDOW_H

/**
 * Quantiles of recent call latencies in constant space: a histogram with
 * logarithmic buckets whose counts are halved once per half-life, so that old
 * samples decay without being stored.
 */

#include "state/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace figturn {

/** Parameters of a LatencyWindow. */
struct LatencyWindowOptions {
  /** Time after which the weight of a sample is halved. */
  Duration m_HalfLife = seconds(10);
  /** Minimum total weight for a quantile. */
  std::uint32_t m_MinSamples = 32;
};

/** Decaying latency histogram of one service or target. Not thread-safe. */
class LatencyWindow {
public:
  explicit LatencyWindow(LatencyWindowOptions Options = {});

  /** Adds the latency of one call. */
  void record(Duration Latency, TimePoint Now);

  /** Upper bound of the bucket that contains the quantile \p Fraction (0..1),
   *  at most an eighth above the true value. None with too few samples. */
  std::optional<Duration> quantile(double Fraction) const;

  /** Total weight of all samples. */
  std::uint64_t samples() const { return m_Total; }

private:
  static constexpr std::size_t StepsPerOctave = 8;
  static constexpr std::size_t Octaves = 28; ///< 1 us to over 4 minutes.
  static constexpr std::size_t Buckets = StepsPerOctave * Octaves;

  static std::size_t bucketOf(Duration Latency);
  static Duration upperBound(std::size_t Bucket);
  void decay(TimePoint Now);
  void halve();

  LatencyWindowOptions m_Options;
  std::array<std::uint32_t, Buckets> m_Counts{};
  std::uint64_t m_Total = 0;
  std::optional<TimePoint> m_NextDecay;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_LATENCYWINDOW_H
