#ifndef FIGTURN_COORDINATION_QUERYTYPES_H
#define FIGTURN_COORDINATION_QUERYTYPES_H

/**
 * Types exchanged between a running query and the code that executes its calls.
 * They are independent of any encoding: the fields of a hit are opaque text,
 * so only the protocol layer depends on the wire format.
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

/** A matching document. */
struct Hit {
  std::string m_Id;
  double m_Score = 0;
  std::string m_Payload; ///< Encoded fields, opaque to the query.
};

/** The reason why a call is sent. */
enum class CallKind {
  First,  ///< No target has run an earlier call for the shard.
  Hedge,  ///< Sent in parallel to a slow call.
  Retry,  ///< Sent after a failed call that a target may have run.
  Canary, ///< Sent alone, before all other calls of the query.
};

/** The name in logs: first, hedge, retry or canary. */
std::string_view callKindName(CallKind Kind);

/** A complete, well-formed reply from a target. */
struct CallAnswered {
  IndexVersion m_Version;
  ShardId m_Shard;
  /** Number of documents searched, if the target's protocol reports it. */
  std::optional<std::uint64_t> m_Documents;
  std::vector<Hit> m_Hits;
};

/** A call without a usable reply. */
struct CallFailed {
  std::error_code m_Error;
  /** NotRun only if no byte of the call was written to a socket. */
  RunVerdict m_Verdict = RunVerdict::MayHaveRun;
  /** The connection was lost, and the target then refused connections or had
   *  another boot id. */
  bool m_Crashed = false;
};

/** The outcome of one call. */
using QueryCallOutcome = std::variant<CallAnswered, CallFailed>;

/** The part of the pinned snapshot that an answer covers. */
struct Coverage {
  std::uint32_t m_ShardsAnswered = 0;
  std::uint32_t m_ShardsTotal = 0;
  std::uint64_t m_DocumentsAnswered = 0;
  std::uint64_t m_DocumentsTotal = 0;

  bool isComplete() const { return m_ShardsAnswered == m_ShardsTotal; }
};

/** The merged answer, from a single index version. */
struct QueryAnswer {
  IndexVersion m_Version;
  Coverage m_Coverage;
  std::vector<Hit> m_Hits; ///< Best first.
  /** The last error of an uncovered shard, or why the query has no shards; none
   *  if all are covered. */
  std::error_code m_IncompleteReason;
  /** NotRun only if no byte of any call was written to a socket. */
  RunVerdict m_Verdict = RunVerdict::Ran;
};

/** Counters of one query, for metrics. */
struct QueryCounts {
  std::uint32_t m_FirstCalls = 0;
  std::uint32_t m_Hedges = 0;
  std::uint32_t m_Retries = 0;
  std::uint32_t m_LateReplies = 0; ///< Arrived after they were needed.
  std::uint32_t m_BadReplies = 0;  ///< Wrong version, shard or content.
};

/** Send one call. Exactly one outcome must be reported for it. */
struct SendCall {
  CallId m_Call;
  ShardId m_Shard;
  TargetName m_Target;
  IndexVersion m_Version;
  CallKind m_Kind = CallKind::First;
};

/** Cancel a call at its target. Its outcome is ignored. */
struct CancelCall {
  CallId m_Call;
};

/** The query has ended; reply to the caller. */
struct Finish {
  std::variant<QueryAnswer, Refusal> m_Outcome;
};

/**
 * No replica holds the pinned version of some shard any more. Requests a
 * restart with a snapshot newer than m_NewerThan: either call supersede() and
 * start another query, or call declineRestart().
 */
struct RestartQuery {
  IndexVersion m_NewerThan;
};

/**
 * A target crashed while it ran a call. The query sends no further calls until
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
