#include "coordination/WeightedRoundRobin.h"

#include <algorithm>

namespace figturn {

std::size_t
WeightedRoundRobin::next(std::span<const WeightedService> Services) {
  if (m_Credit.size() != Services.size())
    m_Credit.assign(Services.size(), 0);
  double Total = 0;
  for (std::size_t I = 0; I < Services.size(); ++I) {
    const double Weight = std::max(0.0, Services[I].m_Weight);
    m_Credit[I] += Weight;
    Total += Weight;
  }
  std::size_t Best = 0;
  for (std::size_t I = 1; I < Services.size(); ++I) {
    const bool BestHasWeight = Services[Best].m_Weight > 0;
    if (Services[I].m_Weight > 0 &&
        (!BestHasWeight || m_Credit[I] > m_Credit[Best]))
      Best = I;
  }
  m_Credit[Best] -= Total;
  return Best;
}

} // namespace figturn
