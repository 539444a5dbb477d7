#ifndef FIGTURN_COORDINATION_COLDSTARTRAMP_H
#define FIGTURN_COORDINATION_COLDSTARTRAMP_H

/**
 * How much of one target may be used now, as one VM sees it. A target in cold
 * start bears only a few calls, so its level (the number of slots in use over
 * all VMs) starts at the cold slots and doubles after enough successes of the
 * process instance (boot id) that served them. A health report never raises
 * the level.
 *
 * The owner of slot 0 is the target's authority: it counts the successes at
 * the present level, its own and those that peers report, and answers each
 * report with a grant. A VM uses slots beyond the cold ones only while it
 * holds a grant for the boot id that its own connections showed. A grant's
 * age counts from when the report that it answers was sent, so a grant that
 * was delayed, or whose authority died, lapses in time. Cold slots need no
 * grant: a target bears them in any state.
 */

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace figturn {

/** Limits of one target's ramp. */
struct ColdStartRampOptions {
  std::uint32_t m_ColdSlots = 1;         ///< Borne in cold start, fleet-wide.
  std::uint32_t m_WarmSlots = 1;         ///< Borne when warm, fleet-wide.
  std::uint32_t m_RampSuccesses = 20;    ///< Successes before a level doubles.
  Duration m_GrantLifetime = seconds(2); ///< How long a grant holds.
  /** How often a VM reports, and with it renews its grant or learns that it
   *  was revoked. Less than the grant time. */
  Duration m_ReportInterval = milliseconds(500);
  /** Latency above this many warm medians counts as slow. */
  std::uint32_t m_SlowLatencyFactor = 4;
  /** Slow calls in a row that mean cold again. */
  std::uint32_t m_MaxConsecutiveSlow = 3;
};

/** What shows that a target is cold again. */
enum class ColdSignal {
  ConnectRefused,     ///< It refused a connection.
  AllConnectionsLost, ///< The last open connection to it was lost.
  Shed,               ///< It shed a call.
  LatencyIncrease     ///< Calls take much longer than in the warm state.
};

/** Where a target stands in its ramp. */
enum class RampState {
  Unknown, ///< No connection has shown its boot id yet.
  Cold,
  Ramping,
  Warm
};

/** Owner of a slot to the authority: successes at the granted level. */
struct RampReport {
  TargetName m_Target;
  VmName m_From;
  BootId m_Boot;                 ///< As the sender's connections showed it.
  std::uint64_t m_Sequence = 0;  ///< Of the grant that the sender holds.
  std::uint64_t m_Successes = 0; ///< All so far under that sequence.
  bool m_Regressed = false;      ///< The sender saw that it is cold again.
};

/** Authority's answer to a report: slots below the level may be used. */
struct RampGrant {
  TargetName m_Target;
  BootId m_Boot;
  std::uint32_t m_Level = 0;
  std::uint64_t m_Sequence = 0; ///< Rises with each change of the level.
};

/** Tells the authority at once that a target is cold again. */
struct RegressNotice {
  TargetName m_Target;
  VmName m_From;
  BootId m_Boot; ///< The boot id that the sender saw last.
};

/** The ramp of one target at one VM, in both parts: authority and owner. */
class ColdStartRamp {
public:
  ColdStartRamp(ColdStartRampOptions Options, TargetName Target, VmName Self);

  /**
   * Names the owner of slot 0. A VM that becomes the authority starts cold,
   * or at the level of a grant that it holds unlapsed for the present boot
   * id: that level was reached by this process instance. A VM that was the
   * authority keeps its level as a grant, until the new one answers or the
   * grant lapses. Each VM that calls the target should report, so that any
   * can take the level over.
   */
  void setAuthority(const VmName &Authority, TimePoint Now);
  bool isAuthority() const { return m_Authority == m_Self; }
  const VmName &authority() const { return m_Authority; }

  /** Takes the boot id that a new connection showed. Returns a notice for
   *  the authority if it differs from the one before. */
  std::optional<RegressNotice> onHello(const BootId &Boot);

  /** Drops to cold; returns the notice to send to the authority. */
  std::optional<RegressNotice> onColdSignal(ColdSignal Signal, TimePoint Now);

  /** Counts a call that the process \p Boot answered. Returns a notice if
   *  its latency shows that the target is cold again. */
  std::optional<RegressNotice> onSuccess(const BootId &Boot, Duration Latency,
                                         TimePoint Now);

  /** At the authority: a peer saw the target cold. */
  void onRegress(const RegressNotice &Notice, TimePoint Now);

  /** The report to send to the authority now, or nothing if this VM is the
   *  authority, or knows no authority or boot id. Send one each
   *  reportInterval(). */
  std::optional<RampReport> makeReport() const;
  /** At the authority: counts the report and gives the answer to it; nothing
   *  if this VM is not the authority or knows no boot id. */
  std::optional<RampGrant> onReport(const RampReport &Report, TimePoint Now);
  /** Takes the answer to a report that was sent at \p ReportSent. */
  void onGrant(const RampGrant &Grant, const VmName &From, TimePoint ReportSent,
               TimePoint Now);

  /** Slots numbered below this may be used by their owners now. */
  std::uint32_t usableLevel(TimePoint Now) const;
  RampState state(TimePoint Now) const;
  /** Boot id that the newest connection showed; empty if none. */
  const BootId &boot() const { return m_Boot; }
  /** How often this VM should report to the authority. */
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

  // As the authority.
  std::uint32_t m_Level;
  std::uint64_t m_Sequence = 0;
  std::map<VmName, std::uint64_t> m_PeerSuccesses; ///< At this sequence.
  std::uint64_t m_OwnSuccesses = 0;                ///< At this sequence.

  // As an owner of a slot.
  std::optional<RampGrant> m_Grant;
  TimePoint m_GrantExpires;
  std::uint64_t m_GrantSuccesses = 0;     ///< At the grant's sequence.
  std::optional<TimePoint> m_RegressedAt; ///< Until the authority knows.

  // Latency in the warm state.
  std::vector<Duration> m_WarmLatencies; ///< Ring of the latest.
  std::size_t m_NextLatency = 0;
  std::uint32_t m_ConsecutiveSlow = 0;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_COLDSTARTRAMP_H
