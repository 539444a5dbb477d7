#ifndef FIGTURN_COORDINATION_EPOCHPERMIT_H
#define FIGTURN_COORDINATION_EPOCHPERMIT_H

/**
 * What a VM may do at present under the newest member list that it adopted.
 * EpochLease hands it out; whoever acts on ownership checks it immediately
 * before acting, so that a VM which was paused finds it lapsed.
 */

#include "state/Ids.h"
#include "state/Time.h"

namespace figturn {

/** The right to use what an epoch assigns to this VM. */
struct EpochPermit {
  Epoch m_Epoch;
  /** True while members of the epoch before may still use what it assigned
   *  to them: then only what this VM owned in both epochs may be used. */
  bool m_OnlyCarried = false;
  TimePoint m_ValidUntil; ///< The right lapses at this moment.

  /** Whether the right may still be used at \p Now. */
  bool validAt(TimePoint Now) const { return Now < m_ValidUntil; }
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_EPOCHPERMIT_H
