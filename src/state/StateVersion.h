#ifndef FIGTURN_STATE_STATEVERSION_H
#define FIGTURN_STATE_STATEVERSION_H

/** Version of a VM's copy of the platform's state. */

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace figturn {

/** Parts of the state that VMs copy from one another independently. */
enum class StatePart : std::uint8_t {
  Registry, ///< Targets and evacuations: small and urgent.
  Config    ///< The configuration: up to a megabyte.
};

/** "registry" or "config". */
constexpr std::string_view statePartName(StatePart Part) {
  return Part == StatePart::Registry ? "registry" : "config";
}

/** Revisions of the platform's store up to which each part is known. */
struct StateVersion {
  std::uint64_t m_Config = 0;
  std::uint64_t m_Targets = 0;
  std::uint64_t m_Evacuations = 0;

  bool operator==(const StateVersion &) const = default;

  /** Whether \p Part of this version is later than in \p Other. */
  bool isNewer(StatePart Part, const StateVersion &Other) const {
    return Part == StatePart::Config ? m_Config > Other.m_Config
                                     : m_Targets > Other.m_Targets ||
                                           m_Evacuations > Other.m_Evacuations;
  }
  /** Raises each field that is lower than in \p Other to its value there. */
  void raiseTo(const StateVersion &Other) {
    m_Config = std::max(m_Config, Other.m_Config);
    m_Targets = std::max(m_Targets, Other.m_Targets);
    m_Evacuations = std::max(m_Evacuations, Other.m_Evacuations);
  }
};

} // namespace figturn

#endif // FIGTURN_STATE_STATEVERSION_H
