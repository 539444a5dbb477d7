#include "coordination/DirectoryPolicy.h"

#include <algorithm>
#include <set>

namespace figturn {

namespace {

template <typename Range, typename Function>
std::size_t countDataCentres(const Range &Vms, Function DataCentreOf) {
  std::set<DataCentreName> Names;
  for (const auto &Each : Vms)
    Names.insert(DataCentreOf(Each));
  return Names.size();
}

} // namespace

bool DirectoryPolicy::areLargeVmsSufficient(
    const std::vector<const VmRecord *> &Large,
    const std::vector<VmRecord> &Serving) const {
  if (Large.size() < m_Options.m_MinLargeVms)
    return false;
  const std::size_t LargeDataCentres = countDataCentres(
      Large, [](const VmRecord *Each) { return Each->m_DataCentre; });
  const std::size_t AllDataCentres = countDataCentres(
      Serving, [](const VmRecord &Each) { return Each.m_DataCentre; });
  if (LargeDataCentres < 2 && AllDataCentres >= 2)
    return false;
  std::uint64_t LagSum = 0;
  for (const VmRecord *Each : Large)
    LagSum += Each->m_LagMs;
  return LagSum <= Large.size() * static_cast<std::uint64_t>(
                                      m_Options.m_MaxMeanLag.count());
}

std::vector<std::string>
DirectoryPolicy::selectAddresses(const std::vector<VmRecord> &Serving) {
  std::uint32_t Largest = 0;
  for (const VmRecord &Each : Serving)
    Largest = std::max(Largest, Each.m_CapacityPermille);
  std::vector<const VmRecord *> Large;
  for (const VmRecord &Each : Serving)
    if (Each.m_CapacityPermille >= m_Options.m_LargeCapacityRatio * Largest)
      Large.push_back(&Each);
  const bool UsesLargeOnly = areLargeVmsSufficient(Large, Serving);
  std::vector<std::string> Addresses;
  for (const VmRecord &Each : Serving) {
    const bool IsLarge =
        Each.m_CapacityPermille >= m_Options.m_LargeCapacityRatio * Largest;
    std::uniform_int_distribution<std::uint32_t> CapacityDraw(0, Largest);
    if (IsLarge ||
        (!UsesLargeOnly && CapacityDraw(m_Random) < Each.m_CapacityPermille))
      Addresses.push_back(Each.m_CallerAddress);
  }
  // With a fixed order, the limit would always omit the same VMs, and callers
  // that use only the first addresses would all use the same ones.
  std::shuffle(Addresses.begin(), Addresses.end(), m_Random);
  Addresses.resize(std::min(Addresses.size(), m_Options.m_MaxAddresses));
  return Addresses;
}

} // namespace figturn
