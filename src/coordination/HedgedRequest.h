#ifndef FIGTURN_COORDINATION_HEDGEDREQUEST_H
#define FIGTURN_COORDINATION_HEDGEDREQUEST_H

/**
 * One request at the replicas of one service: the first send, a hedge when
 * the answer is late, retries after failures, and what may be said of the
 * request when none answered. A search runs one race for each shard; any
 * other request is a single race. The race decides only; its owner sends.
 *
 * Load pattern: a third of the searches meets a replica that pauses for
 * longer than the latency objective allows. A hedge at the usual latency's
 * upper quantile saves them, and the budget keeps hedges and retries from
 * multiplying the load when all replicas are slow.
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

/** Why a call is sent. */
enum class SendKind { First, Hedge, Retry };

/** "first", "hedge" or "retry", for logs. */
std::string_view sendKindName(SendKind Kind);

/** A call to send now. */
struct HedgedSend {
  TargetPtr m_Target;
  SendKind m_Kind = SendKind::First;
};

/** Placement and budget as a race sees them. */
class HedgedRequestContext {
public:
  virtual ~HedgedRequestContext() = default;
  /** The target for a call, or null if none may be used now. */
  virtual TargetPtr choose(const ServiceName &Service, RouteKind Kind,
                           const std::vector<TargetPtr> &Tried,
                           TimePoint Now) = 0;
  /** Takes the right to send one call beyond the first. */
  virtual bool acquireExtraCall(const ServiceName &Service, SendKind Kind) = 0;
  /** Gives that right back: the call was not sent. */
  virtual void releaseExtraCall(const ServiceName &Service) = 0;
};

/** What a race has to keep to. */
struct HedgedRequestOptions {
  ServiceName m_Service;
  RouteKind m_Kind = RouteKind::Idempotent;
  std::uint32_t m_MaxSends = 1;
  TimePoint m_HedgeTime = TimePoint::max(); ///< Never for single runs.
  /** A hedge that the budget or the lack of replicas held back is tried
   *  again after so long. */
  Duration m_HedgeRetryDelay = milliseconds(25);
  TimePoint m_LastSendTime = TimePoint::max(); ///< A later call can't end.
};

/** The race. Not thread-safe. */
class HedgedRequest {
public:
  explicit HedgedRequest(HedgedRequestOptions Options)
      : m_Options(std::move(Options)) {}

  /** Begins; no send means that the race is over. */
  std::optional<HedgedSend> start(HedgedRequestContext &World, TimePoint Now);
  /** The call to \p From ended so. Answered wins the race. \p MayRepeat is
   *  false while the request is suspected of crashing targets: a retry is
   *  then held back until sendDeferredRetry() or cancelDeferredRetry(). */
  std::optional<HedgedSend> onOutcome(const TargetPtr &From,
                                      CallOutcome Outcome,
                                      HedgedRequestContext &World,
                                      TimePoint Now, bool MayRepeat = true);
  /** The request is not suspected any more: the retry held back is sent. */
  std::optional<HedgedSend> sendDeferredRetry(HedgedRequestContext &World,
                                              TimePoint Now);
  /** Ends a race whose retry is held back. */
  void cancelDeferredRetry();
  bool hasDeferredRetry() const { return m_HasDeferredRetry; }
  /** The hedge's time came. */
  std::optional<HedgedSend> onHedgeTimer(HedgedRequestContext &World,
                                         TimePoint Now);
  /** When a hedge is due; none if none is. */
  std::optional<TimePoint> hedgeTime() const;

  bool isOver() const { return m_Answered || m_Failed; }
  bool isAnswered() const { return m_Answered; }
  /** Whether the request may have run at a target; certain once over. */
  RunVerdict verdict() const { return m_Verdict; }
  /** Why the race was lost. */
  std::error_code reason() const { return m_Reason; }
  /** Calls sent whose end is not known. */
  std::uint32_t outstanding() const { return m_Outstanding; }
  const std::vector<TargetPtr> &tried() const { return m_TriedTargets; }

private:
  /** Attempts that reach no target are free, yet not without end. */
  static constexpr std::uint32_t MaxUnsentAttempts = 3;

  std::optional<HedgedSend> send(SendKind Kind, HedgedRequestContext &World,
                                 TimePoint Now);
  std::optional<HedgedSend> retry(bool IsPaid, HedgedRequestContext &World,
                                  TimePoint Now);
  void fail(std::error_code Why);

  HedgedRequestOptions m_Options;
  std::vector<TargetPtr> m_TriedTargets;
  std::uint32_t m_Sends = 0; ///< Calls that count against the limit.
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
