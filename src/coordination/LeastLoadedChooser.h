#ifndef FIGTURN_COORDINATION_LEASTLOADEDCHOOSER_H
#define FIGTURN_COORDINATION_LEASTLOADEDCHOOSER_H

/**
 * Power-of-two-choices routing: of two random replicas the one with less
 * expected work before it. Two choices avoid the herd that follows when
 * every VM picks the same best target from stale figures.
 */

#include "coordination/ReplicaChooser.h"

#include <cstdint>
#include <random>

namespace figturn {

/** How LeastLoadedChooser treats targets in cold start. */
struct LeastLoadedOptions {
  /** One first call in so many goes to a cold replica with room although a
   *  warm one exists, so that a cold target can earn its ramp. Zero: none. */
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
