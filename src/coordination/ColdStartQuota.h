#ifndef FIGTURN_COORDINATION_COLDSTARTQUOTA_H
#define FIGTURN_COORDINATION_COLDSTARTQUOTA_H

/**
 * Limits the requests that one VM sends to a target in cold start, so that all
 * VMs together stay within the rate that the target can handle, without any
 * communication among them. Each VM gets an equal integer share of the allowed
 * requests per second, and the VMs that rank first by rendezvous hashing of the
 * target's name get one more each until the remainder is used up.
 *
 * Load pattern: all VMs discover a new replica at the same time, and each of
 * them would send it a single request.
 */

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <span>

namespace figturn {

/** Request rate that a cold target can handle, over all VMs. */
struct ColdStartAllowance {
  double m_RequestsPerSecond = 0; ///< In any interval of one second.
};

/** One VM's share of the allowances. Not thread-safe. */
class ColdStartQuota {
public:
  explicit ColdStartQuota(VmName Self) : m_Self(std::move(Self)) {}

  /** Requests that this VM may send to \p Target in any second. \p Fleet lists
   *  every VM that may send, including this one. */
  std::uint32_t share(const TargetName &Target, ColdStartAllowance Allowance,
                      std::span<const VmName> Fleet) const;

  /** Acquires permission to send one request now; false if \p Share is used
   *  up. */
  bool tryReserve(const TargetName &Target, std::uint32_t Share, TimePoint Now);

private:
  /** Requests are counted over a sliding window of this length: one second and
   *  a margin for requests whose transit times differ. */
  static constexpr Duration Window = milliseconds(1100);

  VmName m_Self;
  std::map<TargetName, std::deque<TimePoint>> m_Sent;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_COLDSTARTQUOTA_H
