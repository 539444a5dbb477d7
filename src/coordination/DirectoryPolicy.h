#ifndef FIGTURN_COORDINATION_DIRECTORYPOLICY_H
#define FIGTURN_COORDINATION_DIRECTORYPOLICY_H

/**
 * Which VMs callers are sent to. Callers pick an address at random, so what a
 * VM can bear is expressed by how often it is named. Load pattern: a fleet of
 * many small VMs and a few large ones, where a search costs a small VM a
 * large part of the latency objective in processor time alone, and where VMs
 * that see few searches know little of the targets. As long as the large VMs
 * keep up they get all callers; when they are strained, or too few are left,
 * each VM is named in proportion to its capacity.
 */

#include "coordination/FleetView.h"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace figturn {

/** Parameters of a DirectoryPolicy. */
struct DirectoryPolicyOptions {
  /** A VM counts as large from this part of the largest one's capacity. */
  double m_LargeCapacityRatio = 0.5;
  /** With fewer large VMs than this a lost one would be missed too much. */
  std::size_t m_MinLargeVms = 4;
  /** Mean lag of the large VMs' event loops beyond which they are strained;
   *  a tenth of the shortest latency objective would be 6 ms, and timers of
   *  an idle VM are late by 1 or 2. */
  milliseconds m_MaxMeanLag{10};
  std::size_t m_MaxAddresses = 64;
};

/** Chooses the addresses of one answer. Not thread-safe. */
class DirectoryPolicy {
public:
  DirectoryPolicy(DirectoryPolicyOptions Options, std::uint32_t Seed)
      : m_Options(Options), m_Random(Seed) {}

  /** The addresses to name out of \p Serving. */
  std::vector<std::string>
  selectAddresses(const std::vector<VmRecord> &Serving);

private:
  bool areLargeVmsSufficient(const std::vector<const VmRecord *> &Large,
                             const std::vector<VmRecord> &Serving) const;

  DirectoryPolicyOptions m_Options;
  std::minstd_rand m_Random;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_DIRECTORYPOLICY_H
