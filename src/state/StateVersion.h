#ifndef FIGTURN_STATE_STATEVERSION_H
#define FIGTURN_STATE_STATEVERSION_H

/** Version of a VM's copy of the platform's state. */

#include <cstdint>

namespace figturn {

/** Revisions of the platform's store up to which each part is known. */
struct StateVersion {
  std::uint64_t m_Config = 0;
  std::uint64_t m_Targets = 0;
  std::uint64_t m_Evacuations = 0;

  bool operator==(const StateVersion &) const = default;

  /** Whether any part of this version is later than in \p Other. */
  bool hasNewerPartThan(const StateVersion &Other) const {
    return m_Config > Other.m_Config || m_Targets > Other.m_Targets ||
           m_Evacuations > Other.m_Evacuations;
  }
  /** Orders versions: one with a larger sum than another is newer in some
   *  part. */
  std::uint64_t sum() const { return m_Config + m_Targets + m_Evacuations; }
};

} // namespace figturn

#endif // FIGTURN_STATE_STATEVERSION_H
