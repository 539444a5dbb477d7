#ifndef FIGTURN_COORDINATION_LEASTLOADEDCHOOSER_H
#define FIGTURN_COORDINATION_LEASTLOADEDCHOOSER_H

/**
 * Power-of-two-choices routing: chooses the replica with the shorter expected
 * response time out of two random ones. This avoids the load spikes that occur
 * when every VM picks the same best target from stale statistics.
 */

#include "coordination/ReplicaChooser.h"

#include <cstdint>
#include <random>

namespace figturn {

/** Handling of targets in cold start. */
struct LeastLoadedOptions {
  /** Of the first calls for which both a warm replica and a cold one with free
   * capacity exist, one in this many goes to a cold one, so that it can warm
   * up; 0: none. */
  std::uint32_t m_ColdProbeInterval = 16;
};

/** The default chooser. */
class LeastLoadedChooser final : public ReplicaChooser {
public:
  LeastLoadedChooser(ReplicaTable &Table, LeastLoadedOptions Options,
                     std::uint32_t Seed);

  std::optional<std::size_t> choose(const ShardInfo &Shard,
                                    const ReplicaMask &Excluded, CallKind Kind,
                                    TimePoint Now) override;

private:
  bool isColdProbeDue();

  ReplicaTable &m_Table;
  LeastLoadedOptions m_Options;
  std::minstd_rand m_Random;
  std::uint32_t m_CallsSinceColdProbe = 0;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_LEASTLOADEDCHOOSER_H
