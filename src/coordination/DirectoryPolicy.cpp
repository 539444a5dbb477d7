#include "coordination/DirectoryPolicy.h"

#include <algorithm>
#include <set>

namespace figturn {

namespace {

/** Traffic of a VM that is not advertised, relative to one that always is:
 *  callers that use an older directory reply. */
constexpr double UnadvertisedTraffic = 0.05;

template <typename Range, typename Function>
std::size_t countDataCentres(const Range &Vms, Function DataCentreOf) {
  std::set<DataCentreName> Names;
  for (const auto &Each : Vms)
    Names.insert(DataCentreOf(Each));
  return Names.size();
}

/** The VMs that are advertised, and how often. */
class Advertising {
public:
  Advertising(const std::vector<VmRecord> &Vms,
              const DirectoryPolicyOptions &Options)
      : m_Options(Options) {
    for (const VmRecord &Each : Vms)
      m_LargestCapacity = std::max(m_LargestCapacity, Each.m_CapacityPermille);
    m_UsesLargeOnly = areLargeVmsSufficient(Vms);
  }

  bool isLarge(const VmRecord &Vm) const {
    return Vm.m_CapacityPermille >=
           m_Options.m_LargeCapacityRatio * m_LargestCapacity;
  }
  bool usesLargeOnly() const { return m_UsesLargeOnly; }
  std::uint32_t largestCapacity() const { return m_LargestCapacity; }

  /** Requests that \p Vm can expect, relative to a VM that is always
   *  advertised. */
  double relativeTraffic(const VmRecord &Vm) const {
    if (isLarge(Vm))
      return 1;
    return m_UsesLargeOnly
               ? UnadvertisedTraffic
               : static_cast<double>(Vm.m_CapacityPermille) / m_LargestCapacity;
  }

private:
  bool areLargeVmsSufficient(const std::vector<VmRecord> &Vms) const {
    std::vector<const VmRecord *> Large;
    for (const VmRecord &Each : Vms)
      if (isLarge(Each))
        Large.push_back(&Each);
    if (Large.size() < m_Options.m_MinLargeVms)
      return false;
    const std::size_t LargeDataCentres = countDataCentres(
        Large, [](const VmRecord *Each) { return Each->m_DataCentre; });
    const std::size_t AllDataCentres = countDataCentres(
        Vms, [](const VmRecord &Each) { return Each.m_DataCentre; });
    if (LargeDataCentres < 2 && AllDataCentres >= 2)
      return false;
    std::uint64_t LagSum = 0;
    for (const VmRecord *Each : Large)
      LagSum += Each->m_LagMs;
    return LagSum <= Large.size() * static_cast<std::uint64_t>(
                                        m_Options.m_MaxMeanLag.count());
  }

  const DirectoryPolicyOptions &m_Options;
  std::uint32_t m_LargestCapacity = 0;
  bool m_UsesLargeOnly = false;
};

} // namespace

double trafficShare(const VmRecord &Vm, const std::vector<VmRecord> &Members,
                    const DirectoryPolicyOptions &Options) {
  const Advertising Advertised(Members, Options);
  double Sum = 0;
  for (const VmRecord &Each : Members)
    Sum += Advertised.relativeTraffic(Each);
  return Sum > 0 ? std::min(1.0, Advertised.relativeTraffic(Vm) / Sum) : 1;
}

std::vector<std::string>
DirectoryPolicy::selectAddresses(const std::vector<VmRecord> &Serving) {
  const Advertising Advertised(Serving, m_Options);
  std::vector<std::string> Addresses;
  for (const VmRecord &Each : Serving) {
    std::uniform_int_distribution<std::uint32_t> CapacityDraw(
        0, Advertised.largestCapacity());
    if (Advertised.isLarge(Each) ||
        (!Advertised.usesLargeOnly() &&
         CapacityDraw(m_Random) < Each.m_CapacityPermille))
      Addresses.push_back(Each.m_CallerAddress);
  }
  // With a fixed order, the limit would always omit the same VMs, and callers
  // that use only the first addresses would all use the same ones.
  std::shuffle(Addresses.begin(), Addresses.end(), m_Random);
  Addresses.resize(std::min(Addresses.size(), m_Options.m_MaxAddresses));
  return Addresses;
}

} // namespace figturn
