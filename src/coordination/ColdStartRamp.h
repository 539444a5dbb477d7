#ifndef FIGTURN_COORDINATION_COLDSTARTRAMP_H
#define FIGTURN_COORDINATION_COLDSTARTRAMP_H

/**
 * Limits how many slots of a target may be used while it warms up. A target in
 * cold start can handle only a few calls, so its level (the number of usable
 * slots over all VMs) starts at the cold slots and doubles after enough
 * successful calls to the target's current process instance (boot id). A health
 * report never raises the level.
 *
 * The owner of slot 0 is the target's authority. It counts the successes at the
 * current level, its own and those reported by peers, and replies to each
 * report with a grant. A VM uses slots beyond the cold ones only while it holds
 * a grant for the boot id that it received on its own connections. The lifetime
 * of a grant counts from when the report that it replies to was sent, so a
 * delayed grant, or one from an authority that failed, expires in time. Cold
 * slots need no grant, since a target can handle them in any state.
 */

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace figturn {

/** Parameters of a ColdStartRamp. */
struct ColdStartRampOptions {
  std::uint32_t m_ColdSlots = 1; ///< Slots usable in cold start, over all VMs.
  std::uint32_t m_WarmSlots = 1; ///< Slots usable when warm, over all VMs.
  /** Successes required to double the level. */
  std::uint32_t m_RampSuccesses = 20;
  Duration m_GrantLifetime = seconds(2); ///< Lifetime of a grant.
  /** Interval between reports; less than the grant lifetime, since the reply
   *  renews the grant or shows that the level was reduced. */
  Duration m_ReportInterval = milliseconds(500);
  /** A call is slow if it takes longer than this multiple of the median warm
   *  latency. */
  std::uint32_t m_SlowLatencyFactor = 4;
  /** Consecutive slow calls after which the target counts as cold. */
  std::uint32_t m_MaxConsecutiveSlow = 3;
};

/** Sign that a target is cold again. */
enum class ColdSignal {
  ConnectRefused,     ///< It refused a connection.
  AllConnectionsLost, ///< The last open connection to it was lost.
  Shed,               ///< It shed a call.
  LatencyIncrease     ///< Calls take much longer than in the warm state.
};

/** State of a target in its ramp. */
enum class RampState {
  Unknown, ///< Its boot id is not known, as after it refused a connection.
  Cold,
  Ramping,
  Warm
};

/**
 * Report from a slot owner to the authority: successes at the granted level.
 */
struct RampReport {
  TargetName m_Target;
  VmName m_Sender;
  BootId m_Boot; ///< As received on the sender's connections.
  /** Sequence of the grant that the sender holds. */
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Successes = 0; ///< Cumulative count under that sequence.
  bool m_Regressed = false; ///< The sender found that the target is cold again.
};

/** The authority's reply to a report: slots below the level may be used. */
struct RampGrant {
  TargetName m_Target;
  BootId m_Boot;
  std::uint32_t m_Level = 0;
  std::uint64_t m_Sequence = 0; ///< Increases with each change of the level.
};

/** Immediate notice to the authority that a target is cold again. */
struct RegressNotice {
  TargetName m_Target;
  VmName m_Sender;
  BootId m_Boot; ///< Last boot id received by the sender.
};

/**
 * The ramp of one target at one VM, which may be its authority or a slot owner.
 * Not thread-safe.
 */
class ColdStartRamp {
public:
  ColdStartRamp(ColdStartRampOptions Options, TargetName Target, VmName Self);

  /** Sets the owner of slot 0. A VM that becomes the authority starts cold, or
   *  at the level of an unexpired grant for the current boot id, since this
   *  process instance has reached that level. A VM that stops being the
   *  authority keeps its level as a grant until the new authority replies or
   *  the grant expires. Every VM that calls the target should send reports, so
   *  that any of them can take over the level. */
  void setAuthority(const VmName &Authority, TimePoint Now);
  bool isAuthority() const { return m_Authority == m_Self; }
  const VmName &authority() const { return m_Authority; }

  /** Handles the boot id received on a new connection. Returns a notice for the
   *  authority if it differs from the previous one and the authority is another
   *  VM. */
  std::optional<RegressNotice> onHello(const BootId &Boot);

  /** Resets the level to cold; returns the notice to send to the authority, if
   *  that is another VM. */
  std::optional<RegressNotice> onColdSignal(ColdSignal Signal, TimePoint Now);

  /** Counts a call answered by the process \p Boot. Returns a notice if its
   *  latency shows that the target is cold again. */
  std::optional<RegressNotice> onSuccess(const BootId &Boot, Duration Latency,
                                         TimePoint Now);

  /** At the authority: handles the notice of a peer that found the target
   *  cold. */
  void onRegress(const RegressNotice &Notice, TimePoint Now);

  /** The report to send to the authority now; nothing if this VM is the
   *  authority, or knows no authority or boot id. Send one every
   *  reportInterval(). */
  std::optional<RampReport> makeReport() const;
  /** At the authority: counts the report and returns the reply; nothing if this
   *  VM is not the authority or knows no boot id. */
  std::optional<RampGrant> onReport(const RampReport &Report, TimePoint Now);
  /** Handles the reply to a report sent at \p ReportSent. */
  void onGrant(const RampGrant &Grant, const VmName &Sender,
               TimePoint ReportSent, TimePoint Now);

  /** Slots with numbers below this may be used by their owners now. */
  std::uint32_t usableLevel(TimePoint Now) const;
  RampState state(TimePoint Now) const;
  /** Boot id received on the newest connection; empty if none. */
  const BootId &boot() const { return m_Boot; }
  /** Interval at which this VM should report to the authority. */
  Duration reportInterval() const { return m_Options.m_ReportInterval; }

private:
  void dropToCold(TimePoint Now);
  void setLevel(std::uint32_t Level, TimePoint Now);
  void raiseLevelIfDue(TimePoint Now);
  bool holdsGrant(TimePoint Now) const;
  bool isLatencyRegression(Duration Latency, TimePoint Now);
  std::optional<RegressNotice> notice() const;

  ColdStartRampOptions m_Options;
  TargetName m_Target;
  VmName m_Self;
  VmName m_Authority;
  BootId m_Boot;

  // State of the authority.
  std::uint32_t m_Level;
  std::uint64_t m_Sequence = 0;
  std::map<VmName, std::uint64_t> m_PeerSuccesses; ///< At the current sequence.
  std::uint64_t m_OwnSuccesses = 0;                ///< At the current sequence.

  // State of a slot owner.
  std::optional<RampGrant> m_Grant;
  TimePoint m_GrantExpires;
  std::uint64_t m_GrantSuccesses = 0; ///< At the grant's sequence.
  /** Cleared by the reply to a later report. */
  std::optional<TimePoint> m_RegressedAt;

  // Latencies in the warm state.
  std::vector<Duration> m_WarmLatencies; ///< Ring buffer of the latest ones.
  std::size_t m_NextLatency = 0;
  std::uint32_t m_ConsecutiveSlow = 0;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_COLDSTARTRAMP_H
