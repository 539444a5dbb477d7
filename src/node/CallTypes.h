#ifndef FIGTURN_NODE_CALLTYPES_H
#define FIGTURN_NODE_CALLTYPES_H

/**
 * A call to a target and its result, as passed within an entry VM from the
 * query to the target's runner, and to a peer if another VM owns the slot.
 */

#include "state/Ids.h"
#include "state/Time.h"
#include "state/Verdict.h"

#include <functional>
#include <string>
#include <system_error>

namespace figturn {

/** A call to run in a slot of its target. */
struct CallRequest {
  CallId m_Call;        ///< Unique in the fleet; from CallIdAllocator.
  std::string m_Origin; ///< "vm#boot" of the VM whose caller waits for it.
  TargetName m_Target;
  std::string m_Path;
  std::string m_Body;
  TimePoint m_Deadline;
  bool m_Urgent = false;
  bool m_SingleRun = false;
  bool m_Forwarded = false; ///< Received from a peer; not forwarded again.
};

/** How a call ended. */
struct CallResult {
  std::error_code m_Error; ///< None if a complete reply arrived.
  unsigned m_Status = 0;
  std::string m_Body;
  RunVerdict m_Verdict = RunVerdict::MayHaveRun;
  BootId m_BootId;
  bool m_Crashed = false; ///< The target's process ended while it ran.
  Duration m_Latency{};
};

/** Receives the result of a call; runs once. */
using CallResultHandler = std::function<void(CallResult)>;

} // namespace figturn

#endif // FIGTURN_NODE_CALLTYPES_H
