#ifndef FIGTURN_PROTOCOL_ROUTEDPROTOCOL_H
#define FIGTURN_PROTOCOL_ROUTEDPROTOCOL_H

/**
 * Messages of routed mode: encodes requests that are forwarded to targets,
 * classifies replies, and builds the answers that figturn generates itself.
 * The platform defines the header names; they are passed in as a table.
 */

#include "coordination/TargetLoad.h"
#include "protocol/HttpMessage.h"
#include "state/RoutingConfig.h"
#include "state/TargetEntry.h"
#include "state/Verdict.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace figturn {

/** Names of the headers that routed mode reads and writes. */
struct RoutedHeaders {
  std::string m_RequestId;       ///< Identifies one attempt of a caller.
  std::string m_DeadlineMs;      ///< Sender's timeout in milliseconds.
  std::string m_ExpectTarget;    ///< The only target that may run a request.
  std::string m_TargetSignature; ///< A target's signature of its reply.
  std::string m_NotExecuted;     ///< Set if the target did not run the request.
  std::string m_RateLimit;       ///< A target's limit for all VMs together.
  std::string m_Leaving;         ///< Set if the target is leaving.
  std::string m_ShardSignatures; ///< Signatures of the shards' replies.
  std::string m_MissingShards;   ///< Number of shards missing from an answer.
};

/** The header values that are read from a caller's request. */
struct RoutedRequest {
  std::string m_Id;
  std::string m_Host;
  /** Not set if the header is absent or invalid. */
  std::optional<milliseconds> m_Deadline;
};

RoutedRequest decodeRoutedRequest(const HttpRequest &Request,
                                  const RoutedHeaders &Headers);

/** Serializes \p Request for \p Target, which gets the deadline \p Timeout.
 *  Drops hop-by-hop headers, replaces the deadline and the expected target, and
 *  keeps all other headers. */
std::string encodeRoutedCall(const HttpRequest &Request,
                             const TargetInstance &Target, milliseconds Timeout,
                             const RoutedHeaders &Headers);

/** Whether callers take a reply with \p Status as a promise that the request
 *  did not run. A target's reply is no proof of it. */
bool impliesNotRun(unsigned Status);

/** Classifies a complete reply to a request that goes to one target. */
CallOutcome classifyReply(unsigned Status, const HttpHeaders &ReplyHeaders,
                          const RoutedHeaders &Headers);

/** Classifies one shard's reply to a search. Unlike in classifyReply(), only a
 *  successful reply counts as answered. */
CallOutcome classifyShardReply(unsigned Status, const HttpHeaders &ReplyHeaders,
                               const RoutedHeaders &Headers);

/** The limit that a target's reply names. */
struct NamedRateLimit {
  bool m_IsPresent = false; ///< The reply has the header.
  /** None if the header is absent, or its value isn't a rate. */
  std::optional<double> m_RequestsPerSecond;
};

NamedRateLimit decodeRateLimit(const HttpHeaders &ReplyHeaders,
                               const RoutedHeaders &Headers);

/** For how long a target wants no requests from this VM. */
struct NamedWait {
  bool m_IsPresent = false; ///< The reply refuses the request with a wait.
  /** None if the header is absent, or its value isn't a time in seconds. */
  std::optional<Duration> m_Time;
};

/** Reads the Retry-After header of a reply with status 503. */
NamedWait decodeWait(unsigned Status, const HttpHeaders &ReplyHeaders);

/** Whether a reply says that its target is leaving. */
bool decodeLeaving(const HttpHeaders &ReplyHeaders,
                   const RoutedHeaders &Headers);

/** Builds the answer that forwards a target's reply without its hop-by-hop
 *  headers. */
HttpResponse forwardReply(unsigned Status, const HttpHeaders &ReplyHeaders,
                          std::string Body);

/** Builds the answer to a search. */
HttpResponse searchResponse(std::string Records,
                            const std::vector<std::string> &Signatures,
                            std::size_t MissingShards,
                            const std::string &RequestId,
                            const RoutedHeaders &Headers);

/** Builds the answer that refuses a request. Its status is 503, which means
 *  "not run", only if the verdict of \p Refused is NotRun; then \p RetryAfter
 *  becomes the Retry-After header. */
HttpResponse refusalResponse(const Refusal &Refused,
                             const std::string &RequestId,
                             std::optional<milliseconds> RetryAfter,
                             const RoutedHeaders &Headers);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_ROUTEDPROTOCOL_H
