#ifndef FIGTURN_PROTOCOL_TARGETMESSAGES_H
#define FIGTURN_PROTOCOL_TARGETMESSAGES_H

/**
 * Messages between an entry VM and a target as plain structs. They are separate
 * from their codec so that the query path does not depend on JSON keys.
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

/** Fields of every call to a target. */
struct CallHeader {
  CallId m_Call;
  std::string m_Origin; ///< Calling VM and its boot ID, "vm-a#boot".
  ServiceName m_Service;
  /** Remaining time for the reply, from the call's arrival at the target. */
  milliseconds m_Deadline{};
};

/** The query of a search. */
struct SearchQuery {
  std::string m_Text;
  std::uint32_t m_Limit = 10; ///< Maximum number of hits per shard.
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

/** Runs a request that must run at most once. */
struct RunCall {
  CallHeader m_Header;
  RequestKey m_Key;
  std::string m_Record;
  QJsonObject m_Body;
};

/** Cancels a queued or running call. */
struct CancelRequest {
  std::string m_Origin;
  CallId m_Call;
};

/** One matching record. */
struct SearchHit {
  std::string m_Id;
  double m_Score = 0;
  QJsonObject m_Fields;
};

/** The complete result of one shard. */
struct SearchReply {
  IndexVersion m_Version;
  ShardId m_Shard;
  std::uint64_t m_Documents = 0; ///< Number of documents searched.
  std::vector<SearchHit> m_Hits;
};

/** The requested record, if the shard has it. */
struct LookupReply {
  IndexVersion m_Version;
  ShardId m_Shard;
  bool m_Found = false;
  QJsonObject m_Record;
};

/** The result of a request that ran. */
struct RunReply {
  RequestKey m_Key;
  QJsonValue m_Result;
};

/** Identity of the process at a target's address. */
struct HelloReply {
  TargetName m_Target;
  BootId m_BootId;
};

/** A target's report on itself. It may be outdated or wrong. */
struct HealthReply {
  enum class State { Ready, Warming, Draining };
  State m_State = State::Ready;
  double m_Load = 0; ///< Fraction of its slots in use.
};

/** A decoded reply; m_Value is valid only if m_Error is not set. */
template <typename T> struct TargetReply {
  /** VersionNotHeld, TargetShed, Cancelled, DeadlineExceeded or TargetFailed
   *  as reported by the target; BadReply if the reply does not match the call
   *  or is incomplete. */
  std::error_code m_Error;
  /** With VersionNotHeld: the version that the target holds. */
  IndexVersion m_HeldVersion;
  T m_Value{};
};

} // namespace figturn

#endif // FIGTURN_PROTOCOL_TARGETMESSAGES_H
