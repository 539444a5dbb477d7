#ifndef FIGTURN_COORDINATION_WEIGHTEDROUNDROBIN_H
#define FIGTURN_COORDINATION_WEIGHTEDROUNDROBIN_H

/** Spreads a route's requests over services in proportion to weights. */

#include "state/RoutingConfig.h"

#include <cstddef>
#include <span>
#include <vector>

namespace figturn {

/** Smooth weighted round robin: after each whole cycle of the weights every
 *  service had its exact share, with its turns spread evenly. */
class WeightedRoundRobin {
public:
  /** The index of the next service; weights that are not positive get none.
   *  \p Services is not empty. */
  std::size_t next(std::span<const WeightedService> Services);

private:
  std::vector<double> m_Credit;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_WEIGHTEDROUNDROBIN_H
