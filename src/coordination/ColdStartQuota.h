#ifndef FIGTURN_COORDINATION_COLDSTARTQUOTA_H
#define FIGTURN_COORDINATION_COLDSTARTQUOTA_H

/**
 * Bounds what one VM sends to a cold target so that all VMs together stay
 * below what the target bears, without a message between them. What a target
 * bears in any second is cut into whole requests; each VM has the same number
 * of them, and the remainder goes to the VMs that rendezvous hashing of the
 * target's name picks. Load pattern: all VMs discover a fresh replica in the
 * same moment and would each send it "only one" request.
 */

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <span>

namespace figturn {

/** What a cold target bears from the whole fleet. */
struct ColdStartAllowance {
  double m_RequestsPerSecond = 0; ///< In any second.
};

/** This VM's share. Not thread-safe. */
class ColdStartQuota {
public:
  explicit ColdStartQuota(VmName Self) : m_Self(std::move(Self)) {}

  /** Requests that this VM may send to \p Target in any second. \p Fleet
   *  names every VM that may send, this one included. */
  std::uint32_t share(const TargetName &Target, ColdStartAllowance Allowance,
                      std::span<const VmName> Fleet) const;

  /** Takes the right to send one request now; false if there is none. */
  bool tryTake(const TargetName &Target, std::uint32_t Share, TimePoint Now);

private:
  /** Rights count in any window of this length, with some time added for
   *  requests that were underway for unequal times. */
  static constexpr Duration Window = milliseconds(1100);

  VmName m_Self;
  std::map<TargetName, std::deque<TimePoint>> m_Sent;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_COLDSTARTQUOTA_H
