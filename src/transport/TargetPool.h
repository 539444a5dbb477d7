#ifndef FIGTURN_TRANSPORT_TARGETPOOL_H
#define FIGTURN_TRANSPORT_TARGETPOOL_H

/**
 * Pool of connections from one entry VM to one target. Each connection carries
 * one HTTP/1.1 call at a time. A call is written once and never resent by the
 * pool; its result states whether the target may have run it. Silent
 * connections are probed by opening a new one and, if that works, retired
 * without counting as a failure of the target.
 *
 * Silent connections: if a call receives no reply byte within the threshold,
 * or none until its deadline, the pool probes the target by opening a new
 * connection with a handshake. At the connection limit it first closes the
 * oldest idle connection, else a silent one whose call has ended or is silent
 * for twice the threshold. If the probe succeeds, older idle connections are
 * verified by a hello request, and those that don't answer in time are
 * retired. The silent call's own connection is retired if the kernel holds
 * unacknowledged bytes, or after silence for twice the threshold. The call then
 * ends with ConnectionSilent and MayHaveRun, and the caller of the pool may
 * retry it within its budget. This also ends calls that are only slow. Calls
 * of single-run requests are exempt and wait until their deadline.
 */

#include "protocol/HttpMessage.h"
#include "state/Ids.h"
#include "state/Time.h"
#include "state/Verdict.h"
#include "transport/ReplyMemory.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace figturn {

/** Address, limits and timeouts of a pool. */
struct TargetPoolOptions {
  TargetName m_Target;
  std::string m_Host; ///< IP address.
  std::uint16_t m_Port = 0;
  /** Limit of open and opening connections, including probes. */
  std::size_t m_MaxConnections = 4;
  milliseconds m_ConnectTimeout{500};
  /** Time without a reply byte after which a call triggers a probe. */
  milliseconds m_SilenceThreshold{250};
  /** Time for the target to answer a hello request. */
  milliseconds m_ProbeTimeout{250};
  /** Time after which an idle connection is closed. */
  milliseconds m_IdleTimeout{30000};
  std::size_t m_ReplyLimit = 8388608; ///< Maximum bytes of a reply body.
  /** Bounds the incomplete replies of several pools together; null: the pool
   *  has one of its own. */
  std::shared_ptr<ReplyMemory> m_ReplyMemory;
  /** Whether the target implements figturn's protocol, with hello requests and
   *  cancellations. If not, a connection is ready as soon as it is open,
   *  closing the connection cancels a call, a successful probe retires older
   *  idle connections without verifying them, and a silent call is ended only
   *  if its bytes are unacknowledged, so that slow calls aren't ended, or to
   *  make room for a probe at the connection limit. */
  bool m_UsesFigturnProtocol = true;
  /** Reply header with the ID of the request that the reply answers. */
  std::string m_RequestIdHeader;
  /** Interval of the kernel's keep-alive probes; 0: no probes. */
  seconds m_KeepAliveInterval{};
  /** Time after which the kernel aborts a connection with unacknowledged
   *  bytes; 0: four silence thresholds. */
  milliseconds m_UnacknowledgedTimeout{};
  /** Time after the deadline of an abandoned call at which its connection is
   *  closed if the reply was not received; 0: four silence thresholds after
   *  the call was abandoned. */
  milliseconds m_ReplyGrace{};
};

/** A call to send. */
struct TargetCall {
  CallId m_Call;
  std::string m_Path;
  std::string m_Body;
  TimePoint m_Deadline;
  bool m_SingleRun = false; ///< Exempt from the handling of silent calls.
  /** Body of the POST /v1/cancel that cancels this call at the target. Empty:
   *  no cancellation is sent. */
  std::string m_CancelBody;
  /** Boot ID that the connection's handshake must have reported; if there is
   *  no such connection, the call ends with ConnectFailed and NotRun. Empty:
   *  any. */
  BootId m_RequiredBootId;
  /** Serializes the request, given the time of writing; if unset, the call is a
   *  POST of m_Body to m_Path. */
  std::function<std::string(TimePoint)> m_SerializeRequest;
  std::string m_RequestId; ///< Expected in the reply to such a request.
  bool m_IsHead = false;   ///< The reply to such a request has no body.
};

/** Result of a call; there is exactly one per call. */
struct TargetResult {
  CallId m_Call;
  /** No error if a complete reply was received; otherwise ConnectFailed,
   *  ConnectionClosed, ConnectionSilent, TruncatedReply, BadReply,
   *  DeadlineExceeded, TargetShed, TargetLeft or Cancelled. */
  std::error_code m_Error;
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;
  /** NotRun if and only if no byte of the call was written to the socket; Ran
   *  if the reply's status is 200. */
  RunVerdict m_Verdict = RunVerdict::MayHaveRun;
  /** Boot ID of the target process, or "" if unknown. */
  BootId m_BootId;
  /** From send() to the result, including the wait for a connection. */
  Duration m_Latency{};
};

/** An event about the target other than the result of a call. */
struct TargetObservation {
  enum class Kind {
    Connected,     ///< A connection is ready; m_BootId is the process's.
    Refused,       ///< A connection attempt failed; see m_TimedOut.
    AllLost,       ///< The last ready connection was lost.
    SilentRetired, ///< m_Count silent connections were retired.
    LateReply      ///< A reply to m_Call, which had already ended.
  };
  Kind m_Kind = Kind::Connected;
  BootId m_BootId;
  CallId m_Call;
  std::size_t m_Count = 0;
  bool m_TimedOut = false; ///< With Refused: the attempt timed out.
};

/** Counters since the pool was created. */
struct TargetPoolCounters {
  std::uint64_t m_Opened = 0;      ///< Connections that became ready.
  std::uint64_t m_Reused = 0;      ///< Calls on a previously used connection.
  std::uint64_t m_Retired = 0;     ///< Connections retired as silent.
  std::uint64_t m_LateReplies = 0; ///< Replies to calls that had ended.
};

/** The pool. Runs on one worker; all functions are called on its thread.
 *
 *  Handlers run only from the event loop, never within a function of the pool
 *  or its destructor, so that they may call each of these, also while their
 *  caller walks the object that owns the pool. */
class TargetPool {
public:
  using ResultHandler = std::function<void(TargetResult)>;
  using ObservationHandler = std::function<void(const TargetObservation &)>;

  TargetPool(TargetPoolOptions Options, ObservationHandler OnObservation);
  /** Ends all remaining calls with Cancelled. Their handlers run later, after
   *  the pool is gone. */
  ~TargetPool();
  TargetPool(const TargetPool &) = delete;
  TargetPool &operator=(const TargetPool &) = delete;

  /** Writes \p Call on an idle or new connection; if all are busy, waits for
   *  one until the deadline. \p OnResult runs exactly once, asynchronously. */
  void send(TargetCall Call, ResultHandler OnResult);

  /** Ends a call with the result Cancelled. If it is already written, the
   *  cancellation is sent to the target on another connection, so that its own
   *  connection can be kept. */
  void cancel(CallId Call);

  /** Cancels a call if no byte of it was written yet; returns false if it was
   *  written or has ended. */
  bool withdraw(CallId Call);

  /** Ends all calls that no byte was written of, with TargetShed and NotRun. */
  void failUnsentCalls();

  /** Ends all calls that no byte was written of, with TargetLeft and NotRun,
   * and at \p Until those whose bytes haven't all reached the target, with
   *  TargetLeft and MayHaveRun; later calls end at once. Returns the number of
   *  the first. The earliest limit holds. */
  std::size_t limitWrites(TimePoint Until);

  /** Opens connections in advance, up to a total of \p Count. */
  void warmUp(std::size_t Count);

  /** Changes the limit of connections; those that exceed it are closed as soon
   *  as they are idle. */
  void setMaxConnections(std::size_t Limit);

  std::size_t connections() const;
  /** Number of calls without a result, including waiting ones. */
  std::size_t callsInFlight() const;
  const TargetPoolCounters &counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_TARGETPOOL_H
