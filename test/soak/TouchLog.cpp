#include "soak/TouchLog.h"

#include <algorithm>

namespace figturn::soak {

namespace {

constexpr std::chrono::milliseconds StabilityWindow{4000};

} // namespace

void TouchLog::begin(const std::string &Vm, SteadyTime Now) {
  const std::lock_guard Lock(m_Mutex);
  m_Disruptions[Vm].push_back({.m_Begin = Now});
}

void TouchLog::end(const std::string &Vm, SteadyTime Now) {
  const std::lock_guard Lock(m_Mutex);
  for (Disruption &Each : m_Disruptions[Vm])
    Each.m_End = std::min(Each.m_End, Now);
}

bool TouchLog::isInTouch(const std::string &Vm, SteadyTime Since,
                         SteadyTime Until) const {
  const std::lock_guard Lock(m_Mutex);
  return isQuiet("", Since - StabilityWindow, Until) &&
         isQuiet(Vm, Since - StabilityWindow, Until);
}

bool TouchLog::isUndisturbed(const std::string &Vm, SteadyTime Since,
                             SteadyTime Until) const {
  const std::lock_guard Lock(m_Mutex);
  return isQuiet(Vm, Since, Until);
}

bool TouchLog::isQuiet(const std::string &Name, SteadyTime Since,
                       SteadyTime Until) const {
  const auto Found = m_Disruptions.find(Name);
  return Found == m_Disruptions.end() ||
         std::none_of(Found->second.begin(), Found->second.end(),
                      [&](const Disruption &Each) {
                        return Each.m_Begin <= Until && Each.m_End >= Since;
                      });
}

} // namespace figturn::soak
