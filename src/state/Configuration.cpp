#include "state/Configuration.h"

namespace figturn {

bool Configuration::acceptsNewWork(const TargetName &Target) const {
  const auto Found = m_Targets.find(Target);
  if (Found == m_Targets.end())
    return false;
  const TargetConfig &Config = Found->second;
  if (Config.m_Placement == Placement::Out)
    return false;
  const auto Centre = m_DataCentres.find(Config.m_DataCentre);
  return Centre != m_DataCentres.end() &&
         Centre->second.m_Placement == Placement::In;
}

} // namespace figturn
