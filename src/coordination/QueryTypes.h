#ifndef FIGTURN_COORDINATION_QUERYTYPES_H
#define FIGTURN_COORDINATION_QUERYTYPES_H

/**
 * Typed messages between a running query and the process that carries out
 * its calls. They hold no encoding: hits carry their fields as opaque text,
 * so that the protocol layer alone knows the wire format.
 */

#include "state/Ids.h"
#include "state/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

namespace figturn {

/** One document that matched. */
struct Hit {
  std::string m_Id;
  double m_Score = 0;
  std::string m_Payload; ///< Encoded fields; never read by the query.
};

/** Why a call is sent. */
enum class CallKind {
  First,  ///< No earlier call for the shard was run by a target.
  Hedge,  ///< Sent beside a call that is slow.
  Retry,  ///< Sent after a call that may have cost a target work.
  Canary, ///< Sent alone, before all others of the query.
};

/** The kind's name in logs: first, hedge, retry or canary. */
std::string_view callKindName(CallKind Kind);

/** A whole, well-formed reply of a target. */
struct CallAnswered {
  IndexVersion m_Version;
  ShardId m_Shard;
  /** Documents searched; none if the target's protocol doesn't tell. */
  std::optional<std::uint64_t> m_Documents;
  std::vector<Hit> m_Hits;
};

/** A call that brought no usable reply. */
struct CallFailed {
  std::error_code m_Error;
  /** NotRun only if no byte of the call was handed to a socket. */
  RunVerdict m_Verdict = RunVerdict::MayHaveRun;
  /** The connection was lost and the target's boot id changed meanwhile. */
  bool m_Crashed = false;
};

/** How one call ended. */
using CallOutcome = std::variant<CallAnswered, CallFailed>;

/** How much of the pinned snapshot an answer covers. */
struct Coverage {
  std::uint32_t m_ShardsAnswered = 0;
  std::uint32_t m_ShardsTotal = 0;
  std::uint64_t m_DocumentsAnswered = 0;
  std::uint64_t m_DocumentsTotal = 0;

  bool isComplete() const { return m_ShardsAnswered == m_ShardsTotal; }
};

/** The merged answer; all of it comes from one index version. */
struct QueryAnswer {
  IndexVersion m_Version;
  Coverage m_Coverage;
  std::vector<Hit> m_Hits; ///< Best first.
  /** Last error of a shard that is not covered; none if all are. */
  std::error_code m_IncompleteReason;
  /** NotRun only if no call of the query handed a byte to a socket. */
  RunVerdict m_Verdict = RunVerdict::Ran;
};

/** Counts of one query, for metrics. */
struct QueryCounts {
  std::uint32_t m_FirstCalls = 0;
  std::uint32_t m_Hedges = 0;
  std::uint32_t m_Retries = 0;
  std::uint32_t m_LateReplies = 0; ///< Arrived after they were of use.
  std::uint32_t m_BadReplies = 0;  ///< Wrong version, shard or content.
};

/** Send one call; exactly one outcome is to be reported for it. */
struct SendCall {
  CallId m_Call;
  ShardId m_Shard;
  TargetName m_Target;
  IndexVersion m_Version;
  CallKind m_Kind = CallKind::First;
};

/** Cancel a call at its target; its outcome is ignored. */
struct CancelCall {
  CallId m_Call;
};

/** The query is over; tell the caller. */
struct Finish {
  std::variant<QueryAnswer, Refusal> m_Outcome;
};

/**
 * No replica holds the pinned version of some shard any more. Start the
 * query again at a snapshot later than m_NewerThan: either supersede() this one
 * and start another, or declineRestart().
 */
struct RestartQuery {
  IndexVersion m_NewerThan;
};

/**
 * A target crashed while it ran a call. The query sends nothing more until
 * onCanaryPermission() or onCanaryDenied() is called.
 */
struct ReportCrash {
  CallId m_Call;
  TargetName m_Target;
};

using QueryAction =
    std::variant<SendCall, CancelCall, Finish, RestartQuery, ReportCrash>;
using QueryActions = std::vector<QueryAction>;

} // namespace figturn

#endif // FIGTURN_COORDINATION_QUERYTYPES_H
