#ifndef FIGTURN_PROTOCOL_TARGETMESSAGES_H
#define FIGTURN_PROTOCOL_TARGETMESSAGES_H

/**
 * Messages between an entry VM and a target as typed values. They exist apart
 * from their codec so that the query path names no JSON key.
 */

#include "state/Ids.h"
#include "state/Priority.h"
#include "state/Time.h"

#include <QJsonObject>
#include <QJsonValue>
#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

namespace figturn {

/** What every call to a target bears. */
struct CallHeader {
  CallId m_Call;
  std::string m_Origin; ///< VM and its boot id, "vm-a#boot".
  ServiceName m_Service;
  /** Time left to answer, counted from the arrival at the target. */
  milliseconds m_Deadline{};
};

/** What to search for. */
struct SearchQuery {
  std::string m_Text;
  std::uint32_t m_Limit = 10; ///< Most hits wanted from one shard.
};

/** Searches one shard of one index version. */
struct SearchCall {
  CallHeader m_Header;
  IndexVersion m_Version;
  ShardId m_Shard;
  SearchQuery m_Query;
  Priority m_Priority = Priority::Ordinary;
};

/** Fetches one record from the shard that holds it. */
struct LookupCall {
  CallHeader m_Header;
  IndexVersion m_Version;
  ShardId m_Shard;
  std::string m_Record;
  Priority m_Priority = Priority::Ordinary;
};

/** Runs a request that must not be repeated. */
struct RunCall {
  CallHeader m_Header;
  RequestKey m_Key;
  std::string m_Record;
  QJsonObject m_Body;
};

/** Ends a call that is queued or running. */
struct CancelRequest {
  std::string m_Origin;
  CallId m_Call;
};

/** One record that matched. */
struct SearchHit {
  std::string m_Id;
  double m_Score = 0;
  QJsonObject m_Fields;
};

/** The whole answer of one shard. */
struct SearchReply {
  IndexVersion m_Version;
  ShardId m_Shard;
  std::uint64_t m_Documents = 0; ///< Documents searched.
  std::vector<SearchHit> m_Hits;
};

/** The record looked up, if the shard holds it. */
struct LookupReply {
  IndexVersion m_Version;
  ShardId m_Shard;
  bool m_Found = false;
  QJsonObject m_Record;
};

/** What the request that ran produced. */
struct RunReply {
  RequestKey m_Key;
  QJsonValue m_Result;
};

/** Who answers at a target's address. */
struct HelloReply {
  TargetName m_Target;
  BootId m_BootId;
};

/** A target's own view of itself; it lags and misleads. */
struct HealthReply {
  enum class State { Ready, Warming, Draining };
  State m_State = State::Ready;
  double m_Load = 0; ///< Share of its slots in use.
};

/** A decoded reply: \p T is valid only if m_Error is none. */
template <typename T> struct TargetReply {
  /** VersionNotHeld, TargetShed, Cancelled, DeadlineExceeded or TargetFailed
   *  as the target said; BadReply if the reply does not belong to the call or
   *  is not whole. */
  std::error_code m_Error;
  /** The version that the target holds instead, with VersionNotHeld. */
  IndexVersion m_HeldVersion;
  T m_Value{};
};

} // namespace figturn

#endif // FIGTURN_PROTOCOL_TARGETMESSAGES_H
