#ifndef FIGTURN_COORDINATION_DIRECTORYPOLICY_H
#define FIGTURN_COORDINATION_DIRECTORYPOLICY_H

/**
 * Selects the VMs that are advertised to callers. Each reply lists addresses in
 * random order, so the load on a VM is controlled by how often it is
 * advertised.
 *
 * Load pattern: a fleet of many small VMs and a few large ones, where a search
 * takes a large part of its latency objective in CPU time alone on a small VM,
 * and where VMs that run few searches have little information on the targets.
 * All callers are directed to the large VMs while these keep up. If they are
 * overloaded, too few, or all in one of several data centres, each smaller VM
 * is also advertised, with a probability in proportion to its capacity.
 */

#include "coordination/FleetView.h"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace figturn {

/** Parameters of a DirectoryPolicy. */
struct DirectoryPolicyOptions {
  /** A VM is large from this fraction of the largest VM's capacity. */
  double m_LargeCapacityRatio = 0.5;
  /** With fewer large VMs than this, the loss of one would have too much
   *  effect. */
  std::size_t m_MinLargeVms = 4;
  /** Mean event loop lag of the large VMs above which they count as overloaded.
   *  A tenth of the shortest latency objective would be 6 ms, and timers of an
   *  idle VM are 1 or 2 ms late. */
  milliseconds m_MaxMeanLag{10};
  std::size_t m_MaxAddresses = 64;
};

/** The part, from 0 to 1, of all callers' requests that \p Vm can expect while
 *  the directory advertises \p Members, which include it. What VMs share among
 *  them is divided by it: a VM that callers are not sent to needs little. */
double trafficShare(const VmRecord &Vm, const std::vector<VmRecord> &Members,
                    const DirectoryPolicyOptions &Options = {});

/** Selects the addresses of one directory reply. Not thread-safe. */
class DirectoryPolicy {
public:
  DirectoryPolicy(DirectoryPolicyOptions Options, std::uint32_t Seed)
      : m_Options(Options), m_Random(Seed) {}

  /** The addresses to advertise, out of those of \p Serving, in random
   *  order. */
  std::vector<std::string>
  selectAddresses(const std::vector<VmRecord> &Serving);

private:
  DirectoryPolicyOptions m_Options;
  std::minstd_rand m_Random;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_DIRECTORYPOLICY_H
