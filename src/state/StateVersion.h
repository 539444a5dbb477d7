#ifndef FIGTURN_STATE_STATEVERSION_H
#define FIGTURN_STATE_STATEVERSION_H

/** Version of a VM's copy of the platform's state. */

#include <algorithm>
#include <compare>
#include <cstdint>
#include <fmt/format.h>
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

/**
 * A revision of the platform's store. A store that returns from an older copy
 * of its data assigns revisions a second time, in a new era.
 */
struct StateRevision {
  constexpr StateRevision() = default;
  /** A revision of a store that names no era. */
  constexpr StateRevision(std::uint64_t Number) : m_Number(Number) {} // NOLINT
  constexpr StateRevision(std::uint64_t Era, std::uint64_t Number)
      : m_Era(Era), m_Number(Number) {}

  std::uint64_t m_Era = 0;
  std::uint64_t m_Number = 0;

  friend auto operator<=>(const StateRevision &,
                          const StateRevision &) = default; // NOLINT
};

/** Revisions of the platform's store up to which each part is known. */
struct StateVersion {
  StateRevision m_Config;
  StateRevision m_Targets;
  StateRevision m_Evacuations;
  /** The operator's number of the newest configuration. A store that returns
   *  from an older copy may hold an earlier one than this. */
  std::uint64_t m_ConfigNumber = 0;

  bool operator==(const StateVersion &) const = default;

  /** Whether \p Part of this version is later than in \p Other. */
  bool isNewer(StatePart Part, const StateVersion &Other) const {
    return Part == StatePart::Config ? m_Config > Other.m_Config ||
                                           m_ConfigNumber > Other.m_ConfigNumber
                                     : m_Targets > Other.m_Targets ||
                                           m_Evacuations > Other.m_Evacuations;
  }
  /** Counts revisions that name no era, as a VM of an earlier release sends
   *  them, as ones of the eras in \p Own. */
  void assumeEras(const StateVersion &Own) {
    for (const auto Field : {&StateVersion::m_Config, &StateVersion::m_Targets,
                             &StateVersion::m_Evacuations})
      if ((this->*Field).m_Era == 0)
        (this->*Field).m_Era = (Own.*Field).m_Era;
  }
  /** Raises each field that is lower than in \p Other to its value there. */
  void raiseTo(const StateVersion &Other) {
    m_Config = std::max(m_Config, Other.m_Config);
    m_Targets = std::max(m_Targets, Other.m_Targets);
    m_Evacuations = std::max(m_Evacuations, Other.m_Evacuations);
    m_ConfigNumber = std::max(m_ConfigNumber, Other.m_ConfigNumber);
  }
};

} // namespace figturn

/** Formats a revision as "ERA.NUMBER". */
template <> struct fmt::formatter<figturn::StateRevision> {
  constexpr auto parse(format_parse_context &Context) {
    return Context.begin();
  }
  template <typename FormatContext>
  auto format(const figturn::StateRevision &Revision,
              FormatContext &Context) const {
    return fmt::format_to(Context.out(), "{}.{}", Revision.m_Era,
                          Revision.m_Number);
  }
};

#endif // FIGTURN_STATE_STATEVERSION_H
