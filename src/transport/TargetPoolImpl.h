#ifndef FIGTURN_TRANSPORT_TARGETPOOLIMPL_H
#define FIGTURN_TRANSPORT_TARGETPOOLIMPL_H

/**
 * Implementation of TargetPool: its connections and their states, the calls
 * without a result and the timer. TargetPoolImpl.cpp handles calls and
 * connections, TargetPoolTimeouts.cpp timeouts and silent connections.
 */

#include "transport/SilencePolicy.h"
#include "transport/TargetConnection.h"
#include "transport/TargetPool.h"

#include <QObject>
#include <QTimer>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace figturn {

/** Implements a TargetPool on the pool's thread. */
class TargetPool::Impl : public QObject, public TargetConnection::Listener {
public:
  /** State of a connection in the pool. */
  enum class ConnectionState {
    Opening,
    Idle,
    Call,
    Abandoned, ///< Its call has ended; the reply is still awaited.
    Verifying, ///< A hello request checks whether it still works.
    Cancel     ///< Sends the cancellation of another connection's call.
  };

  struct DeleteLater {
    void operator()(TargetConnection *Connection) const {
      Connection->close();
      Connection->deleteLater();
    }
  };

  /** One connection and its state. */
  struct PooledConnection {
    std::unique_ptr<TargetConnection, DeleteLater> m_Connection;
    ConnectionState m_State = ConnectionState::Opening;
    TimePoint m_OpenedAt;
    TimePoint m_StateSince; ///< When m_State was set.
    CallId m_Call;          ///< Last call written.
    bool m_WasUsed = false;
    /** Maximum idle time, from the reply's Keep-Alive header. */
    std::optional<milliseconds> m_KeepAliveTimeout;
    TimePoint m_ReplyDeadline; ///< Deadline of m_Call.
  };

  /** A call without a result. */
  struct CallRecord {
    TargetCall m_Call;
    TargetPool::ResultHandler m_OnResult;
    TimePoint m_SentAt; ///< When send() was called.
    /** Null while it waits for a connection. */
    PooledConnection *m_AssignedConnection = nullptr;
  };

  /** A cancellation that waits for a connection. */
  struct PendingCancellation {
    const TargetConnection *m_AbandonedConnection;
    TimePoint m_StateSince; ///< Of m_AbandonedConnection; identifies the call.
    std::string m_Body;
  };

  Impl(TargetPoolOptions Options, ObservationHandler OnObservation);

  /** Closes all connections and ends all calls with Cancelled; the event loop
   *  delivers the results. Observations end. */
  void shutDown();
  void send(TargetCall Call, ResultHandler OnResult);
  void cancel(CallId Id);
  void failWaitingCalls(std::error_code Error);
  std::size_t limitWrites(TimePoint Until);
  bool withdraw(CallId Id);
  void setMaxConnections(std::size_t Limit);
  void warmUp(std::size_t Count);

  void onHandshakeComplete(TargetConnection &Connection) override;
  void onReply(TargetConnection &Connection, HttpReply Reply) override;
  void onLost(TargetConnection &Connection, std::error_code Error) override;

  std::vector<std::unique_ptr<PooledConnection>> m_Connections;
  std::unordered_map<CallId, CallRecord> m_Calls;
  TargetPoolCounters m_Counters;

private:
  void processQueues();
  void sendPendingCancellations();
  const PooledConnection *
  findAbandoned(const PendingCancellation &Cancel) const;
  void startWaitingCalls();
  void openConnectionsForWaiting();
  bool openConnection();
  bool mayReachBoot(const BootId &Boot) const;
  PooledConnection *findUsableIdle(const BootId &Boot);
  void writeCall(PooledConnection &Pooled, CallRecord &Record);
  void setState(PooledConnection &Pooled, ConnectionState NewState);
  void finishCall(CallId Id, TargetResult Result);
  void failCall(CallId Id, std::error_code Error, RunVerdict Verdict);
  void endCallEarly(CallId Id, std::error_code Error);
  void reportObservation(TargetObservation Observation);
  /** Runs \p Report from the event loop, so that no handler is called from
   *  within send() or cancel(). */
  void queueReport(std::function<void()> Report);
  void deliverReports();
  /** Runs \p Handle and then the reports that it queued. */
  void handleEvent(const std::function<void()> &Handle);
  TimePoint abandonedExpiry(const PooledConnection &Pooled) const;
  void removeConnection(const PooledConnection &Removed);
  /** Closes idle connections that exceed the limit. */
  void closeSurplusConnections();
  void removeLost(const PooledConnection &Lost, std::error_code Error);
  void handleOpenFailure(bool TimedOut);

  void handleHandshake(const TargetConnection &Connection);
  void handleReply(const TargetConnection &Connection, HttpReply Reply);
  void onTimer();
  void endExpiredCalls(TimePoint Now);
  /** Ends the writes that the limit of writes doesn't allow any longer. */
  void endLateWrites(TimePoint Now);
  void closeExpiredConnections(TimePoint Now);
  void armTimer();
  TimePoint nextTimeout(const PooledConnection &Pooled) const;

  SilenceAction silenceAction(const PooledConnection &Pooled,
                              TimePoint Now) const;
  void checkSilentConnections(TimePoint Now);
  void startProbe(TimePoint Now);
  bool makeRoomForProbe(TimePoint Now);
  void checkOlderConnections(const PooledConnection &NewConnection);
  void retire(const PooledConnection &Silent);
  void reportRetired();

  PooledConnection &findPooled(const TargetConnection &Connection);
  std::size_t countInState(ConnectionState State) const;
  bool hasReadyConnection() const;

  TargetPoolOptions m_Options;
  ObservationHandler m_OnObservation;
  TargetEndpoint m_Endpoint;
  std::deque<CallId> m_WaitingCalls;
  std::deque<PendingCancellation> m_PendingCancellations;
  std::vector<std::function<void()>> m_QueuedReports;
  QTimer m_Timer;
  TimePoint m_WritesUntil = TimePoint::max(); ///< Set as the target leaves.
  TimePoint m_NextOpenAt;
  TimePoint m_NextProbeAt;
  /** When the newest connection that became ready was opened. */
  TimePoint m_LastWorkingOpenedAt;
  bool m_ProbeInProgress = false;      ///< The next handshake ends a probe.
  std::size_t m_UnreportedRetired = 0; ///< Retired, not yet reported.
  bool m_IsShutDown = false;
  bool m_HandlingEvent = false; ///< Within handleEvent().
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_TARGETPOOLIMPL_H
