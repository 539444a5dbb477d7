#ifndef FIGTURN_PROTOCOL_CALLERAPI_H
#define FIGTURN_PROTOCOL_CALLERAPI_H

/**
 * The HTTP/JSON protocol for callers: validates and decodes requests, encodes
 * answers and refusals. A malformed request is refused before anything runs,
 * with a message that names the field.
 */

#include "coordination/QueryTypes.h"
#include "state/Ids.h"
#include "state/Time.h"
#include "state/Verdict.h"

#include <QJsonObject>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace figturn {

/** Operations that a caller can request. */
enum class RequestKind { Search, Lookup, Run };

/** A decoded request from a caller. */
struct CallerRequest {
  RequestKind m_Kind = RequestKind::Search;
  ServiceName m_Service;
  RequestKey m_Key; ///< Idempotency key; required only for Run.
  /** Time for the answer; not set: the service's default. */
  std::optional<milliseconds> m_Deadline;
  bool m_Urgent = false;
  std::string m_Text;         ///< Search: the query text.
  std::uint32_t m_Limit = 10; ///< Search: maximum number of hits.
  std::string m_Record;       ///< Lookup and Run: record name.
  QJsonObject m_Body;         ///< Run: payload for the target.

  /** Hash of the requested work: equal for equal requests, whatever their
   *  key, deadline and priority. */
  Fingerprint fingerprint() const;
};

/** A parsed request path: /v1/services/NAME/(search|lookup|run). */
struct CallerPath {
  ServiceName m_Service;
  RequestKind m_Kind = RequestKind::Search;
};

/** Parses a path; std::nullopt if it does not name a service operation. */
std::optional<CallerPath> parseCallerPath(std::string_view Path);

/** Decodes a request body; a refusal has verdict NotRun. */
std::variant<CallerRequest, Refusal> decodeCallerRequest(const CallerPath &Path,
                                                         std::string_view Body);

/** HTTP status for a refusal with reason \p Reason. */
unsigned httpStatus(std::error_code Reason);

/** Encodes the body of a refusal. */
std::string encodeRefusal(const RequestKey &Key, const Refusal &Refused);

/** Encodes the body of a search answer. */
std::string encodeSearchAnswer(const CallerRequest &Request,
                               const QueryAnswer &Answer);

/** Encodes the body of a lookup answer; \p Answer has at most one hit. */
std::string encodeLookupAnswer(const CallerRequest &Request,
                               const QueryAnswer &Answer);

/** Encodes the answer to a single-run request; \p Result is JSON text. */
std::string encodeRunAnswer(const ServiceName &Service, const RequestKey &Key,
                            std::string_view Result);

/** An entry VM to which callers can connect. */
struct EntryAddress {
  VmName m_Vm;
  DataCentreName m_DataCentre;
  std::string m_Address; ///< "ip:port".
};

/** Encodes the body of GET /v1/entries; callers may cache the list for
 *  \p Lifetime. */
std::string encodeEntries(const std::vector<EntryAddress> &Entries,
                          milliseconds Lifetime);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_CALLERAPI_H
