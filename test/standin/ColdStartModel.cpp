#include "standin/ColdStartModel.h"

#include <algorithm>

namespace figturn::standin {

ColdStartModel::ColdStartModel(ColdStartModelOptions Options, bool IsCold)
    : m_Options(Options),
      m_Level(IsCold ? Options.m_ColdSlots : Options.m_WarmSlots) {}

void ColdStartModel::resetToCold() {
  m_Level = m_Options.m_ColdSlots;
  m_ServedAtLevel = 0;
}

bool ColdStartModel::admit(std::uint32_t InFlight) {
  std::uint32_t &MaxInFlight = m_MaxInFlightByLevel[m_Level];
  MaxInFlight = std::max(MaxInFlight, InFlight);
  const bool IsWithinLimit = !isCold() || InFlight <= m_Level;
  if (!IsWithinLimit)
    ++m_CallsOverLimit;
  return IsWithinLimit;
}

void ColdStartModel::onCallServed() {
  if (!isCold() || ++m_ServedAtLevel < m_Options.m_CallsPerLevel)
    return;
  m_ServedAtLevel = 0;
  m_Level = std::min(2 * m_Level, m_Options.m_WarmSlots);
}

} // namespace figturn::standin
