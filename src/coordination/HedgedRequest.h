#ifndef FIGTURN_COORDINATION_HEDGEDREQUEST_H
#define FIGTURN_COORDINATION_HEDGEDREQUEST_H

/**
 * Sends one request to the replicas of one service: the first call, a hedge if
 * the reply is late, retries after failures, and the verdict if no call is
 * answered. A search uses one hedged request for each shard, any other request
 * a single one. This class only decides; its owner sends the calls.
 *
 * In the expected load, a third of the searches reach a replica that pauses
 * for longer than the latency objective allows. Hedging at an upper quantile of
 * the usual latency keeps these searches on time. The budget prevents hedges
 * and retries from multiplying the load when all replicas are slow.
 */

#include "coordination/TargetRegistry.h"
#include "state/Ids.h"
#include "state/RoutingConfig.h"
#include "state/Verdict.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>
#include <vector>

namespace figturn {

/** The reason why a call is sent. */
enum class SendKind { First, Hedge, Retry };

/** "first", "hedge" or "retry", for logs. */
std::string_view sendKindName(SendKind Kind);

/** A call to send now. */
struct HedgedSend {
  TargetPtr m_Target;
  SendKind m_Kind = SendKind::First;
};

/** Provides target selection and the budget for extra calls. */
class HedgedRequestContext {
public:
  virtual ~HedgedRequestContext() = default;
  /** Selects the target for a call; null if none is usable now. */
  virtual TargetPtr choose(const ServiceName &Service, RouteKind Kind,
                           const std::vector<TargetPtr> &TriedTargets,
                           TimePoint Now) = 0;
  /** Spends budget for one call beyond the first; false if there is none. */
  virtual bool acquireExtraCall(const ServiceName &Service, SendKind Kind) = 0;
  /** Returns the budget of an extra call that was not sent. */
  virtual void releaseExtraCall(const ServiceName &Service) = 0;
};

/** The limits of a hedged request. */
struct HedgedRequestOptions {
  ServiceName m_Service;
  RouteKind m_Kind = RouteKind::Idempotent;
  std::uint32_t m_MaxSends = 1;
  /** When a hedge is due; max() means never. Single runs are never hedged. */
  TimePoint m_HedgeTime = TimePoint::max();
  /** Delay before another attempt to hedge, if the budget or a lack of replicas
   *  prevented the previous one. */
  Duration m_HedgeRetryDelay = milliseconds(25);
  /** No call is sent later than this, as it could not complete in time. */
  TimePoint m_LastSendTime = TimePoint::max();
};

/** The state machine of a hedged request. Not thread-safe. */
class HedgedRequest {
public:
  explicit HedgedRequest(HedgedRequestOptions Options)
      : m_Options(std::move(Options)) {}

  /** Starts the request; it has failed if no call is returned. */
  std::optional<HedgedSend> start(HedgedRequestContext &Context, TimePoint Now);
  /** Handles the outcome of the call to \p Replica; Answered completes the
   *  request. \p MayRepeat is false while the request is suspected of crashing
   *  targets: a retry is then deferred until sendDeferredRetry() or
   *  cancelDeferredRetry() is called. */
  std::optional<HedgedSend> onOutcome(const TargetPtr &Replica,
                                      CallOutcome Outcome,
                                      HedgedRequestContext &Context,
                                      TimePoint Now, bool MayRepeat = true);
  /** Sends the deferred retry once the request is no longer suspected. */
  std::optional<HedgedSend> sendDeferredRetry(HedgedRequestContext &Context,
                                              TimePoint Now);
  /** Fails a request whose retry is deferred. */
  void cancelDeferredRetry();
  bool hasDeferredRetry() const { return m_HasDeferredRetry; }
  /** To be called at hedgeTime() or later. */
  std::optional<HedgedSend> onHedgeTimer(HedgedRequestContext &Context,
                                         TimePoint Now);
  /** The time at which a hedge is due, if any. */
  std::optional<TimePoint> hedgeTime() const;

  bool isOver() const { return m_Answered || m_Failed; }
  bool isAnswered() const { return m_Answered; }
  /** Whether the request may have run at a target; final once isOver(). */
  RunVerdict verdict() const { return m_Verdict; }
  /** Why the request failed. */
  std::error_code reason() const { return m_Reason; }
  /** Number of calls without an outcome. */
  std::uint32_t outstanding() const { return m_Outstanding; }
  const std::vector<TargetPtr> &triedTargets() const { return m_TriedTargets; }

private:
  /** Attempts that reach no target don't count as calls; with more of them than
   *  this, the request isn't retried. */
  static constexpr std::uint32_t MaxUnsentAttempts = 7;

  std::optional<HedgedSend> send(SendKind Kind, HedgedRequestContext &Context,
                                 TimePoint Now);
  std::optional<HedgedSend> retry(bool IsBudgeted,
                                  HedgedRequestContext &Context, TimePoint Now);
  void fail(std::error_code Reason);

  HedgedRequestOptions m_Options;
  std::vector<TargetPtr> m_TriedTargets;
  std::uint32_t m_Sends = 0; ///< Calls that count towards m_MaxSends.
  std::uint32_t m_UnsentAttempts = 0;
  std::uint32_t m_Outstanding = 0;
  bool m_Hedged = false;
  bool m_HasDeferredRetry = false;
  bool m_Answered = false;
  bool m_Failed = false;
  RunVerdict m_Verdict = RunVerdict::NotRun;
  std::error_code m_Reason;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_HEDGEDREQUEST_H
