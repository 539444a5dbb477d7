#ifndef FIGTURN_COORDINATION_WEIGHTEDROUNDROBIN_H
#define FIGTURN_COORDINATION_WEIGHTEDROUNDROBIN_H

/** Distributes a route's requests over services in proportion to weights. */

#include "state/RoutingConfig.h"

#include <cstddef>
#include <span>
#include <vector>

namespace figturn {

/** Smooth weighted round robin: after each full cycle of the weights, every
 *  service has received its exact share, spread evenly over the cycle. Not
 *  thread-safe. */
class WeightedRoundRobin {
public:
  /** Returns the index of the next service. Services without a positive weight
   *  are never chosen. \p Services must not be empty. */
  std::size_t next(std::span<const WeightedService> Services);

private:
  std::vector<double> m_Credit;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_WEIGHTEDROUNDROBIN_H
