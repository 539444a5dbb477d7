#include "state/RoutingConfig.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace figturn {

namespace {

/** Host names are compared without case and port. */
std::string normalizeHost(std::string_view Host) {
  std::string Name(Host.substr(0, Host.rfind(':')));
  std::transform(Name.begin(), Name.end(), Name.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Name;
}

} // namespace

RoutingConfig::RoutingConfig(ConfigVersion Version, std::vector<Route> Routes,
                             std::map<ServiceName, ServicePolicy> Services,
                             CallerLimits Limits)
    : m_Version(Version), m_Routes(std::move(Routes)),
      m_Services(std::move(Services)), m_Limits(Limits) {
  for (std::size_t I = 0; I < m_Routes.size(); ++I)
    m_ByHost[normalizeHost(m_Routes[I].m_Host)].push_back(I);
  for (auto &[Host, Indices] : m_ByHost)
    std::stable_sort(Indices.begin(), Indices.end(),
                     [this](std::size_t Left, std::size_t Right) {
                       return m_Routes[Left].m_PathPrefix.size() >
                              m_Routes[Right].m_PathPrefix.size();
                     });
}

const Route *RoutingConfig::match(std::string_view Host,
                                  std::string_view Path) const {
  const auto Found = m_ByHost.find(normalizeHost(Host));
  if (Found == m_ByHost.end())
    return nullptr;
  for (const std::size_t Index : Found->second)
    if (Path.starts_with(m_Routes[Index].m_PathPrefix))
      return &m_Routes[Index];
  return nullptr;
}

ServicePolicy RoutingConfig::policy(const ServiceName &Service) const {
  const auto Found = m_Services.find(Service);
  return Found == m_Services.end() ? ServicePolicy{} : Found->second;
}

} // namespace figturn
