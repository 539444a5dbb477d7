#ifndef FIGTURN_COORDINATION_EPOCHPERMIT_H
#define FIGTURN_COORDINATION_EPOCHPERMIT_H

/**
 * Permission to use the ownership that the newest adopted member list assigns
 * to a VM. Issued by EpochLease. Code that acts on ownership checks it
 * immediately before acting, so that a VM which was paused finds it expired.
 */

#include "state/Ids.h"
#include "state/Time.h"

namespace figturn {

/** Permission to use what an epoch assigns to this VM. */
struct EpochPermit {
  Epoch m_Epoch;
  /** True while members of the previous epoch may still use what it assigned to
   *  them; only what this VM owned in both epochs may then be used. */
  bool m_OnlyCarried = false;
  TimePoint m_ValidUntil; ///< The permit expires at this time.

  /** Whether the permit is valid at \p Now. */
  bool validAt(TimePoint Now) const { return Now < m_ValidUntil; }
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_EPOCHPERMIT_H
