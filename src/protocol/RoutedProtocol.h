#ifndef FIGTURN_PROTOCOL_ROUTEDPROTOCOL_H
#define FIGTURN_PROTOCOL_ROUTEDPROTOCOL_H

/**
 * Messages of the routed door: requests that are passed on unchanged, what a
 * target's reply says of the request, and the answers that figturn itself
 * makes. The names of headers are the platform's and given as a table.
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

/** Names of the headers that the door reads and writes. */
struct RoutedHeaders {
  std::string m_RequestId;       ///< Of one attempt of a caller.
  std::string m_DeadlineMs;      ///< Milliseconds that the sender waits.
  std::string m_ExpectTarget;    ///< Target that alone may run a request.
  std::string m_TargetSignature; ///< Signature of a target under its answer.
  std::string m_NotExecuted;     ///< The target did not run the request.
  std::string m_ShardSignatures; ///< Signatures of a search's parts.
  std::string m_MissingShards;   ///< Shards that a search's answer lacks.
};

/** What the door takes from a caller's request. */
struct RoutedRequest {
  std::string m_Id;
  std::string m_Host;
  /** None if the header is absent or unreadable. */
  std::optional<milliseconds> m_Deadline;
};

RoutedRequest decodeRoutedRequest(const HttpRequest &Request,
                                  const RoutedHeaders &Headers);

/** The bytes of \p Request for the target \p Target, which has \p Left. */
std::string encodeRoutedCall(const HttpRequest &Request,
                             const TargetInstance &Target, milliseconds Left,
                             const RoutedHeaders &Headers);

/** What a whole reply says of a request that goes to one target. */
CallOutcome classifyReply(unsigned Status, const HttpHeaders &ReplyHeaders,
                          const RoutedHeaders &Headers);

/** As classifyReply(), for a part of a search: only a success is an answer. */
CallOutcome classifyShardReply(unsigned Status, const HttpHeaders &ReplyHeaders,
                               const RoutedHeaders &Headers);

/** The answer that passes a target's reply on unchanged. */
HttpResponse forwardReply(unsigned Status, const HttpHeaders &ReplyHeaders,
                          std::string Body);

/** The answer to a search. */
HttpResponse searchResponse(std::string Records,
                            const std::vector<std::string> &Stamps,
                            std::size_t MissingShards,
                            const std::string &RequestId,
                            const RoutedHeaders &Headers);

/** The answer that refuses a request. Its status promises "not run" (503)
 *  only if \p Refused says so. \p RetryAfter, if any, tells when to return. */
HttpResponse refusalResponse(const Refusal &Refused,
                             const std::string &RequestId,
                             std::optional<milliseconds> RetryAfter,
                             const RoutedHeaders &Headers);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_ROUTEDPROTOCOL_H
