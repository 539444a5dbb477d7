#ifndef FIGTURN_COORDINATION_TARGETGATE_H
#define FIGTURN_COORDINATION_TARGETGATE_H

/**
 * Decides for one target at one VM whether a call may be sent now, waits, or
 * goes to another VM that owns a usable slot. It combines the slots that the
 * VM owns, the target's ramp and the VM's epoch right: each granted call
 * holds one owned slot whose number is below the ramp's level.
 *
 * Safety over an epoch change: a granted call has a hard end, at most
 * MaxCallTime after its grant, at which its sender cancels it and the target
 * drops it. Each slot stays counted until release(), in any epoch.
 * lastCallEndTime() says when the last call will have ended; a VM that
 * acknowledges an epoch says so with it, and a new owner uses a slot only after
 * that, or after the lease and MaxCallTime of a VM that does not answer.
 */

#include "coordination/ColdRamp.h"
#include "coordination/EpochRight.h"
#include "coordination/SlotOwnership.h"
#include "state/Errc.h"
#include "state/Ids.h"
#include "state/Priority.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace figturn {

/** A call that asks for a slot. */
struct SlotRequest {
  CallId m_Call;
  Priority m_Priority = Priority::Ordinary;
  TimePoint m_Deadline;
  /** Another VM sent it here to use this VM's slots; it isn't sent on. */
  bool m_Forwarded = false;
};

/** The call may be sent now. */
struct SlotGranted {
  std::uint32_t m_Slot = 0;
  /** Send only on a connection that showed this boot id; if it is empty, on
   *  any. Without such a connection release the slot as NotSent. */
  BootId m_Boot;
  /** The sender cancels the call at this moment, and the target is told a
   *  deadline no later. */
  TimePoint m_HardDeadline;

  bool operator==(const SlotGranted &) const = default;
};

/** The call waits at this gate; release() or poll() will name it. */
struct SlotQueued {
  bool operator==(const SlotQueued &) const = default;
};

/** Ask this VM to run the call. */
struct SlotForwarded {
  VmName m_Vm;
  bool operator==(const SlotForwarded &) const = default;
};

/** No byte of the call was sent, so its verdict is NotRun. */
struct SlotRefused {
  Errc m_Reason = Errc::Overloaded;
  bool operator==(const SlotRefused &) const = default;
};

using SlotDecision =
    std::variant<SlotGranted, SlotQueued, SlotForwarded, SlotRefused>;

/** How a granted call ended. */
enum class SlotOutcome {
  Succeeded,
  Failed, ///< The target answered with an error or that it cancelled it.
  Lost,   ///< No answer came; the target may run it until its hard end.
  Shed,   ///< The target refused it for load.
  NotSent ///< It was never sent.
};

/** A call that waited and may be sent now. */
struct StartedCall {
  CallId m_Call;
  SlotGranted m_Grant;
};

/** A call that waited and is refused; no byte of it was sent. */
struct ShedCall {
  CallId m_Call;
  Errc m_Reason = Errc::Overloaded;
};

/** What follows from a release or a poll. */
struct GateActions {
  std::vector<StartedCall> m_Started;
  std::vector<ShedCall> m_Shed;
  std::optional<RegressNotice> m_Regress; ///< To send to the authority.
};

/** Limits of one gate. */
struct TargetGateOptions {
  /** Longest time that a call may hold a slot. */
  Duration m_MaxCallTime = seconds(3);
  /** Time after its hard end by which a lost call has ended at the target. */
  Duration m_LostCallMargin = milliseconds(500);
  /** Calls that may wait at this VM for this target. */
  std::size_t m_QueueLimit = 64;
  /** Calls that may wait for each owned slot before others are asked. */
  std::size_t m_QueuePerSlot = 2;
};

/** Admission to one target at one VM. Not thread-safe. */
class TargetGate {
public:
  TargetGate(TargetGateOptions Options, ColdRampOptions Ramp, TargetName Target,
             VmName Self);

  /** Takes the slot table of another epoch; calls in flight stay counted. */
  void setSlots(const TargetSlots &Slots, TimePoint Now);

  /** The target's ramp, for its messages and signals. */
  ColdRamp &ramp() { return m_Ramp; }
  const ColdRamp &ramp() const { return m_Ramp; }

  /** Decides on a new call. \p Right is the VM's right at \p Now; a right of
   *  another epoch than the slot table's gives no slot. Calls evicted from
   *  the queue for a more urgent one come out of the next poll(). */
  SlotDecision tryAcquire(const SlotRequest &Request,
                          const std::optional<EpochRight> &Right,
                          TimePoint Now);

  /** Frees a slot whose call ended, and starts calls that wait. The slot of a
   *  lost call stays in use until the call has ended at the target for
   *  certain: by its hard end, or since the target has another boot id. */
  GateActions release(std::uint32_t Slot, SlotOutcome Outcome, Duration Latency,
                      const std::optional<EpochRight> &Right, TimePoint Now);

  /** Sheds calls whose deadline passed and starts those that may run now;
   *  call it after grants, hellos and epoch changes, and at nextWake(). */
  GateActions poll(const std::optional<EpochRight> &Right, TimePoint Now);

  /** Drops a call that waits, for example one that its caller cancelled.
   *  False if it doesn't wait here. */
  bool withdraw(CallId Call);

  /** When poll() has work by the passing of time alone. */
  std::optional<TimePoint> nextWake() const;
  /** When the last call in flight will have ended; nothing if none is. */
  std::optional<TimePoint> lastCallEndTime() const;
  std::size_t inFlight() const { return m_InUse.size(); }
  std::size_t queued() const { return m_Queue.size(); }
  /** Owned slots that could be used now, in use or not. */
  std::size_t usableSlots(const std::optional<EpochRight> &Right,
                          TimePoint Now) const;

private:
  struct QueuedCall {
    Priority m_Priority;
    TimePoint m_Deadline;
    CallId m_Call;
    auto operator<=>(const QueuedCall &) const = default; // NOLINT: synthesised
  };
  struct SlotUse {
    TimePoint m_HardDeadline;
    BootId m_Boot;
    bool m_Lost = false;
  };

  bool mayUse(const std::optional<EpochRight> &Right, TimePoint Now) const;
  std::optional<SlotGranted> acquireFreeSlot(TimePoint Deadline,
                                             const std::optional<EpochRight> &,
                                             TimePoint Now);
  std::optional<VmName> chooseOtherOwner(TimePoint Now);
  SlotDecision enqueue(const SlotRequest &Request);
  void shedExpired(TimePoint Now);
  void freeLostCalls(TimePoint Now);

  TargetGateOptions m_Options;
  VmName m_Self;
  ColdRamp m_Ramp;
  TargetSlots m_Slots;
  std::map<std::uint32_t, SlotUse> m_InUse;
  std::set<QueuedCall> m_Queue; ///< Urgent first, then by deadline.
  std::vector<ShedCall> m_Shed; ///< Not yet handed out.
  std::size_t m_NextOwner = 0;  ///< Spreads forwarded calls.
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_TARGETGATE_H
