#ifndef FIGTURN_STATE_TARGETENTRY_H
#define FIGTURN_STATE_TARGETENTRY_H

/** Registry entry of a target. */

#include "state/Ids.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace figturn {

/**
 * One process instance of a target. A new process may take over a name; it then
 * has no record of what was sent to the earlier one.
 */
struct TargetInstance {
  TargetName m_Name;
  std::int64_t m_StartedMs = 0; ///< Unix time of the start, in ms.

  auto operator<=>(const TargetInstance &) const = default; // NOLINT
};

/** Registry entry of one target. */
struct TargetEntry {
  TargetInstance m_Instance;
  ServiceName m_Service;
  std::string m_Host; ///< IP address.
  std::uint16_t m_Port = 0;
  DataCentreName m_DataCentre;
  std::uint32_t m_Slots = 1; ///< Maximum number of concurrent requests.
  /** It is being removed; no new requests are sent to it. */
  bool m_Draining = false;
  /** End of its cold start, in which it can handle only a few requests. */
  TimePoint m_ColdUntil;

  bool operator==(const TargetEntry &) const = default;
};

} // namespace figturn

#endif // FIGTURN_STATE_TARGETENTRY_H
