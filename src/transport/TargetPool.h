#ifndef FIGTURN_TRANSPORT_TARGETPOOL_H
#define FIGTURN_TRANSPORT_TARGETPOOL_H

/**
 * Connections of one entry VM to one target. Each carries one call at a time
 * over HTTP/1.1; a call is written once and never repeated by the pool, and
 * its result tells how much of it may have reached the target. A connection
 * that makes no progress is probed by a fresh one and retired with its
 * siblings if that works, without blame on the target.
 *
 * The rule for silence: a call without a byte of reply for the threshold has
 * a fresh connection opened and greeted; so has one that meets its deadline
 * without a byte. At the limit the oldest idle connection makes room, else a
 * silent one whose call has ended or passed twice the threshold. Once that
 * works, idle connections older than it are greeted too, and those that don't
 * answer in time are retired. A silent call's own connection is retired if the
 * kernel still holds unacknowledged bytes, or once it was silent for twice the
 * threshold; its call ends ConnectionSilent and MayHaveRun, for the layer above
 * to send again within its budget. A call that runs for longer than that
 * without a byte is thus cut even if it is merely slow, unless it is a single
 * run: that waits for its deadline.
 */

#include "protocol/HttpMessage.h"
#include "state/Ids.h"
#include "state/Time.h"
#include "state/Verdict.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace figturn {

/** Limits of a pool. */
struct TargetPoolOptions {
  TargetName m_Target;
  std::string m_Host; ///< IP number.
  std::uint16_t m_Port = 0;
  /** Open and opening connections, replacements and probes included. */
  std::size_t m_MaxConnections = 4;
  milliseconds m_ConnectTimeout{500};
  /** Without a byte of reply for so long a call's connection is probed. */
  milliseconds m_SilenceThreshold{250};
  /** A probe that is not answered within this time has failed. */
  milliseconds m_ProbeTimeout{250};
  /** An idle connection is closed after so long. */
  milliseconds m_IdleTimeout{30000};
  std::size_t m_ReplyLimit = 8388608; ///< Bytes of one reply body.
  /** Whether the target speaks figturn's own protocol: greetings and
   *  cancellations. Otherwise a connection is ready once it is open, a call is
   *  cancelled by closing its connection, idle connections that are older
   *  than one found silent are retired unasked, and a call is taken for
   *  silent only while its bytes are unacknowledged, not for being slow. */
  bool m_UsesFigturnProtocol = true;
  /** Header by which targets name the request that a reply answers. */
  std::string m_RequestIdHeader;
  /** Idle connections are probed by the kernel each so often; 0: never. */
  seconds m_KeepAliveInterval{};
  /** The kernel breaks a connection whose bytes stay unacknowledged for so
   *  long; 0: four silence thresholds. */
  milliseconds m_UnacknowledgedTimeout{};
  /** A call that was given up has until its deadline and this much longer to
   *  be answered before its connection is closed; 0: by the silence rule. */
  milliseconds m_ReplyGrace{};
};

/** A call to write. */
struct TargetCall {
  CallId m_Call;
  std::string m_Path;
  std::string m_Body;
  TimePoint m_Deadline;
  bool m_SingleRun = false; ///< Never waits on a connection's silence check.
  /** Body of the POST /v1/cancel that ends this call at the target. */
  std::string m_CancelBody;
  /** The call is sent only on a connection whose hello showed this boot id;
   *  without one it ends ConnectFailed and NotRun. Empty: on any. */
  BootId m_RequiredBootId;
  /** Gives the whole request's bytes when it is written at a time, instead
   *  of a POST of the body to the path. */
  std::function<std::string(TimePoint)> m_SerializeRequest;
  std::string m_RequestId; ///< What the reply to such a request names.
  bool m_IsHead = false;   ///< The reply to such a request has no body.
};

/** How a call ended; exactly one result per call. */
struct TargetResult {
  CallId m_Call;
  /** None if a whole reply arrived; ConnectFailed, ConnectionClosed,
   *  ConnectionSilent, TruncatedReply, BadReply, DeadlineExceeded or
   *  Cancelled. */
  std::error_code m_Error;
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;
  /** NotRun if and only if no byte of the call was handed to the socket; Ran
   *  if the reply's status is 200. */
  RunVerdict m_Verdict = RunVerdict::MayHaveRun;
  /** Boot id of the process that the connection reached ("" if unknown). */
  BootId m_BootId;
  Duration m_Latency{};
};

/** What the pool noticed about the target besides results of calls. */
struct TargetObservation {
  enum class Kind {
    Connected,     ///< A connection opened; m_BootId tells to which process.
    Refused,       ///< A connection attempt failed; see m_TimedOut.
    AllLost,       ///< The last open connection was closed by the target.
    SilentRetired, ///< Silent connections were replaced by fresh ones.
    LateReply      ///< The target ended the call m_Call, whose result is out.
  };
  Kind m_Kind = Kind::Connected;
  BootId m_BootId;
  CallId m_Call;
  std::size_t m_Count = 0;
  bool m_TimedOut = false; ///< With Refused: nothing answered the attempt.
};

/** What a pool did since it was made. */
struct TargetPoolCounters {
  std::uint64_t m_Opened = 0;      ///< Connections greeted by the target.
  std::uint64_t m_Reused = 0;      ///< Calls on a connection used before.
  std::uint64_t m_Retired = 0;     ///< Connections given up as silent.
  std::uint64_t m_LateReplies = 0; ///< Replies to calls that had ended.
};

/** The pool; lives on one worker, whose thread makes all calls to it. */
class TargetPool {
public:
  using ResultHandler = std::function<void(TargetResult)>;
  using ObservationHandler = std::function<void(const TargetObservation &)>;

  TargetPool(TargetPoolOptions Options, ObservationHandler OnObservation);
  /** Calls that have not ended get their result, Cancelled, from here; their
   *  handlers must not use the pool then. */
  ~TargetPool();

  /** Writes \p Call on an idle or new connection; waits for one within the
   *  deadline if all are busy. \p OnResult runs exactly once, later. */
  void send(TargetCall Call, ResultHandler OnResult);

  /** Ends a call early: its result is Cancelled. A call on the wire is told
   *  to the target on another connection, so that its own can be kept. */
  void cancel(CallId Call);

  /** Ends a call like cancel() if no byte of it was written yet; false if it
   *  is on the wire or has ended. */
  bool withdraw(CallId Call);

  /** Opens connections up to \p Count ahead of need. */
  void warmUp(std::size_t Count);

  /** Changes the limit of connections; those above it are not closed. */
  void setMaxConnections(std::size_t Most);

  std::size_t connections() const;
  /** Calls without a result, waiting ones included. */
  std::size_t callsInFlight() const;
  const TargetPoolCounters &counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_TARGETPOOL_H
