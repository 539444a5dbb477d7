#ifndef FIGTURN_STATE_TARGETENTRY_H
#define FIGTURN_STATE_TARGETENTRY_H

/** A target as the registry describes it. */

#include "state/Ids.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace figturn {

/** One start of a target: a name may come back with another process behind
 *  it, which then knows nothing of what the earlier one was sent. */
struct TargetInstance {
  TargetName m_Name;
  std::int64_t m_StartedMs = 0; ///< Unix time of the start, in ms.

  auto operator<=>(const TargetInstance &) const = default; // NOLINT
};

/** What the registry says of one target. */
struct TargetEntry {
  TargetInstance m_Instance;
  ServiceName m_Service;
  std::string m_Host; ///< IP number.
  std::uint16_t m_Port = 0;
  DataCentreName m_DataCentre;
  std::uint32_t m_Slots = 1; ///< Requests it runs at a time.
  bool m_Draining = false;   ///< It leaves; nothing new is sent to it.
  TimePoint m_ColdUntil;     ///< It bears little until then.

  bool operator==(const TargetEntry &) const = default;
};

} // namespace figturn

#endif // FIGTURN_STATE_TARGETENTRY_H
