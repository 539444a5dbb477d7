#ifndef FIGTURN_NODE_TARGETRUNNER_H
#define FIGTURN_NODE_TARGETRUNNER_H

/**
 * Runs calls at one target: acquires a slot from its gate, sends the call over
 * the target's connections or forwards it to the peer that owns a slot, and
 * reports the outcome to the gate and the ramp. Confined to one worker.
 */

#include "coordination/ReplicaChooser.h"
#include "coordination/TargetGate.h"
#include "node/CallTypes.h"
#include "node/MembershipTable.h"
#include "node/TargetStatusTable.h"
#include "state/Configuration.h"
#include "transport/PeerNetwork.h"
#include "transport/TargetPool.h"

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace figturn {

/** Parts of the VM that a runner uses; all outlive it. */
struct TargetRunnerContext {
  VmName m_Self;
  MembershipTable &m_Membership;
  TargetStatusTable &m_Status;
  PeerNetwork &m_Peers;
  std::shared_ptr<ReplyMemory> m_ReplyMemory; ///< Shared by all runners.
  /** Notifies the authority immediately that a target is cold. */
  std::function<void(const VmName &Authority, RegressNotice)>
      m_SendRegressNotice;
  /** Posts to the runner's own worker from any thread. */
  std::function<void(std::function<void()>)> m_Post;
};

/** Runs the calls of this VM to one target. */
class TargetRunner : public QObject {
public:
  TargetRunner(TargetName Target, const TargetConfig &Config,
               TargetRunnerContext Context);

  /** Runs \p Request; \p OnResult runs once, on this worker. */
  void run(CallRequest Request, CallResultHandler OnResult);
  /** Cancels a call; its result is Cancelled. */
  void cancel(CallId Call);

  /** Applies the current member list and epoch permit; starts waiting
   *  calls. */
  void onMembership();
  /** The report for the ramp's authority, if that is another VM. */
  std::optional<RampReport> makeReport();
  const VmName &authority() const { return m_Gate.ramp().authority(); }
  std::optional<RampGrant> onReport(const RampReport &Report);
  void onGrant(const RampGrant &Grant, const VmName &Sender, TimePoint SentAt);
  void onRegressNotice(const RegressNotice &Notice);
  /** Latest time at which a call in flight ends, if there is one. */
  std::optional<TimePoint> lastCallEndTime() const {
    return m_Gate.lastCallEndTime();
  }
  /** Ends the calls that were not written, as not run, and deletes this runner
   *  once the others have ended. */
  void deleteWhenIdle();
  /** Whether the target's address or limits differ from \p Config. */
  bool differsFrom(const TargetConfig &Config) const;

private:
  struct PendingCall {
    CallRequest m_Request;
    CallResultHandler m_OnResult;
    std::uint32_t m_Slot = 0;
    TimePoint m_HardDeadline;
    PeerCallHandle m_PeerCall = 0;
    int m_Forwards = 0;
    enum class State {
      Queued,
      Deferred, ///< No VM may use a slot; requests one again later.
      Sent,
      Forwarded,
      CheckingCrash
    } m_State = State::Queued;
    TargetResult m_LostResult; ///< Set while CheckingCrash.
  };

  /** Slot of a call that ended without a reply from the target. */
  struct LostSlot {
    std::uint32_t m_Slot = 0;
    TimePoint m_HardDeadline; ///< The gate frees the slot at this time.
  };

  void requestSlot(CallId Call, bool MayForward);
  void send(CallId Call, const SlotGranted &Grant);
  void forward(CallId Call, const VmName &Owner);
  void onForwarded(CallId Call, std::error_code Error, PeerCallResult Result);
  void onResult(TargetResult Result);
  void releaseSlot(const PendingCall &Released, const TargetResult &Result);
  /** Frees the slot of \p Call early, because the target no longer runs it. */
  void freeLostSlot(CallId Call);
  void finish(CallId Call, CallResult Result);
  void defer(CallId Call);
  void retryDeferredCalls(TimePoint Now);
  void refuse(CallId Call, Errc Reason);
  void onObservation(const TargetObservation &Observation);
  void resolveCrashChecks(bool Refused, const BootId &Boot);
  void apply(GateActions Actions);
  void sendRegressNotice(const std::optional<RegressNotice> &Notice);
  void poll();
  void publishStatus();

  TargetName m_Target;
  TargetConfig m_Config;
  TargetRunnerContext m_Context;
  SlotOwnership m_Ownership;
  MemberListPtr m_Members;
  bool m_OnlyCarried = false;
  TargetGate m_Gate;
  TargetPool m_Pool;
  std::unordered_map<CallId, PendingCall> m_Calls;
  std::unordered_map<CallId, LostSlot> m_LostSlots;
  std::vector<CallId> m_CrashChecks;
  std::vector<CallId> m_DeferredCalls;
  QTimer m_DeferTimer;
  QTimer m_PollTimer;
  bool m_DeleteWhenIdle = false;
  bool m_IsColdLogged = false; ///< Reset once the target ramps up.
};

} // namespace figturn

#endif // FIGTURN_NODE_TARGETRUNNER_H
