#ifndef FIGTURN_PROTOCOL_PEERMESSAGES_H
#define FIGTURN_PROTOCOL_PEERMESSAGES_H

/**
 * Messages between entry VMs as plain structs, so that only the codec and the
 * peer transport depend on Cap'n Proto.
 */

#include "coordination/CanaryRegistry.h"
#include "coordination/ColdStartRamp.h"
#include "coordination/EpochLease.h"
#include "coordination/MemberList.h"
#include "coordination/SingleRunAttempt.h"
#include "state/Ids.h"
#include "state/Time.h"
#include "state/Verdict.h"

#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

namespace figturn {

/** Sent to each member at the heartbeat interval; the reply has the same
 *  form. */
struct PeerHeartbeat {
  Member m_Sender;
  Heartbeat m_Lease; ///< For the receiver's EpochLease.
  ConfigVersion m_ConfigVersion;
  std::uint64_t m_IndexDigest = 0;   ///< Hash of the index versions in use.
  bool m_Draining = false;           ///< The sender is shutting down.
  bool m_Drained = false;            ///< It has no work in flight.
  std::vector<RampReport> m_Reports; ///< For the ramp authority of each target.
  std::vector<RegressNotice> m_Regressions;
  std::vector<RampGrant> m_Grants; ///< In a reply: for the request's m_Reports.
  std::vector<CrashNotice> m_Quarantines;
};

/** A copy of a platform object from a peer. */
struct PeerDocument {
  std::string m_Path;
  std::uint64_t m_Version = 0;
  std::string m_Body;
};

/** A call to run in a slot that the receiver owns. */
struct PeerCall {
  VmName m_Origin; ///< "vm#boot" of the VM whose caller waits for the call.
  CallId m_Call;
  TargetName m_Target;
  std::string m_Path;
  std::string m_Body;
  milliseconds m_Deadline{}; ///< Remaining time.
  bool m_Urgent = false;
  bool m_SingleRun = false;
  Epoch m_Epoch;
};

/** Result of a call, as observed by the slot's owner. */
struct PeerCallResult {
  std::error_code m_Error;
  std::uint32_t m_Status = 0;
  std::string m_Body;
  RunVerdict m_Verdict = RunVerdict::MayHaveRun;
  BootId m_BootId;
  bool m_Crashed = false; ///< The target's process ended during the call.
  microseconds m_Latency{};
};

} // namespace figturn

#endif // FIGTURN_PROTOCOL_PEERMESSAGES_H
