#ifndef FIGTURN_COORDINATION_TARGETGATE_H
#define FIGTURN_COORDINATION_TARGETGATE_H

/**
 * Admission control of one VM for calls to one target: decides whether a call
 * is sent now, queued, or forwarded to another VM that owns a usable slot. It
 * combines the slots that the VM owns, the target's ramp and the VM's epoch
 * permit: each granted call holds one owned slot whose number is below the
 * ramp's level.
 *
 * Safety across epoch changes: a granted call has a hard deadline, at most
 * m_MaxCallTime after its grant, at which its sender cancels it and the target
 * drops it. A slot counts as used until release(), in any epoch, and longer if
 * the call was lost. lastCallEndTime() returns when the last call will have
 * ended. A VM sends this time when it acknowledges an epoch, and a new owner
 * uses a slot only after it, or, if the VM does not reply, after that VM's
 * lease and m_MaxCallTime have expired.
 */

#include "coordination/ColdStartRamp.h"
#include "coordination/EpochPermit.h"
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

/** A call that requests a slot. */
struct SlotRequest {
  CallId m_Call;
  Priority m_Priority = Priority::Ordinary;
  TimePoint m_Deadline;
  /** Forwarded by another VM to use this VM's slots; not forwarded again. */
  bool m_Forwarded = false;
};

/** The call may be sent now. */
struct SlotGranted {
  std::uint32_t m_Slot = 0;
  /** Send only on a connection to the process with this boot id, or on any if
   * it is empty. Without such a connection, release the slot as NotSent. */
  BootId m_Boot;
  /** The sender cancels the call at this time; the deadline sent to the target
   * is no later. */
  TimePoint m_HardDeadline;

  bool operator==(const SlotGranted &) const = default;
};

/** The call is queued; release() or poll() will return it. */
struct SlotQueued {
  bool operator==(const SlotQueued &) const = default;
};

/** Forward the call to this VM. */
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

/** The outcome of a granted call. */
enum class SlotOutcome {
  Succeeded,
  Failed, ///< The target replied with an error or that it cancelled the call.
  Lost,   ///< No reply; the target may run the call until its hard deadline.
  Shed,   ///< The target refused the call because of overload.
  NotSent ///< The call was never sent.
};

/** A queued call that may be sent now. */
struct StartedCall {
  CallId m_Call;
  SlotGranted m_Grant;
};

/** A queued call that is refused; no byte of it was sent. */
struct ShedCall {
  CallId m_Call;
  Errc m_Reason = Errc::Overloaded;
};

/** The result of a release or a poll. */
struct GateActions {
  std::vector<StartedCall> m_Started;
  std::vector<ShedCall> m_Shed;
  /** Must be sent to the ramp's authority. */
  std::optional<RegressNotice> m_Regress;
};

/** Limits of a TargetGate. */
struct TargetGateOptions {
  /** Maximum time that a call may hold a slot. */
  Duration m_MaxCallTime = seconds(3);
  /** Time after its hard deadline at which a lost call has certainly ended at
   *  the target. */
  Duration m_LostCallMargin = milliseconds(500);
  /** Maximum number of queued calls. */
  std::size_t m_QueueLimit = 64;
  /** Maximum queued calls per usable slot before calls are forwarded. */
  std::size_t m_QueuePerSlot = 2;
};

/** Admission to one target at one VM. Not thread-safe. */
class TargetGate {
public:
  TargetGate(TargetGateOptions Options, ColdStartRampOptions Ramp,
             TargetName Target, VmName Self);

  /** Installs the slot table of another epoch; calls in flight stay counted. */
  void setSlots(const TargetSlots &Slots, TimePoint Now);

  /** The target's ramp, which receives messages and signals directly. */
  ColdStartRamp &ramp() { return m_Ramp; }
  const ColdStartRamp &ramp() const { return m_Ramp; }

  /** Decides on a new call. \p Permit is the VM's epoch permit at \p Now; it
   *  grants slots only if it is for the epoch of the slot table. Calls that are
   *  evicted from the queue for a more urgent one are returned by the next
   *  poll() or release(). */
  SlotDecision tryAcquire(const SlotRequest &Request,
                          const std::optional<EpochPermit> &Permit,
                          TimePoint Now);

  /** Frees the slot of a call that ended and starts queued calls. The slot of a
   *  lost call stays in use until the call has certainly ended at the target:
   *  after its hard deadline, or once the target has a different boot id. */
  GateActions release(std::uint32_t Slot, SlotOutcome Outcome, Duration Latency,
                      const std::optional<EpochPermit> &Permit, TimePoint Now);

  /** Sheds queued calls whose deadline has passed and starts those that may run
   *  now. Call it after ramp grants, hellos and epoch changes, and at
   *  nextTimer(). */
  GateActions poll(const std::optional<EpochPermit> &Permit, TimePoint Now);

  /** Removes a queued call, for example one that its caller cancelled. Returns
   *  false if it isn't queued. */
  bool withdraw(CallId Call);

  /** When poll() is due next if no event occurs before. */
  std::optional<TimePoint> nextTimer() const;
  /** When the last call in flight will have ended; none if there is none. */
  std::optional<TimePoint> lastCallEndTime() const;
  std::size_t inFlight() const { return m_InUse.size(); }
  std::size_t queued() const { return m_Queue.size(); }
  /** Number of owned slots usable now, including those in use. */
  std::size_t usableSlots(const std::optional<EpochPermit> &Permit,
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

  bool mayUse(const std::optional<EpochPermit> &Permit, TimePoint Now) const;
  std::optional<SlotGranted> acquireFreeSlot(TimePoint Deadline,
                                             const std::optional<EpochPermit> &,
                                             TimePoint Now);
  std::optional<VmName> chooseOtherOwner(TimePoint Now);
  SlotDecision enqueue(const SlotRequest &Request);
  void shedExpired(TimePoint Now);
  void freeLostCalls(TimePoint Now);

  TargetGateOptions m_Options;
  VmName m_Self;
  ColdStartRamp m_Ramp;
  TargetSlots m_Slots;
  std::map<std::uint32_t, SlotUse> m_InUse;
  std::set<QueuedCall> m_Queue; ///< Ordered by priority, then by deadline.
  std::vector<ShedCall> m_Shed; ///< Returned by the next poll().
  std::size_t m_NextOwner = 0;  ///< Distributes forwarded calls over owners.
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_TARGETGATE_H
