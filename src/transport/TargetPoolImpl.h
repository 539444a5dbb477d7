#ifndef FIGTURN_TRANSPORT_TARGETPOOLIMPL_H
#define FIGTURN_TRANSPORT_TARGETPOOLIMPL_H

/**
 * Inside of TargetPool: its connections, what each is used for, the calls
 * without a result and the timer. TargetPoolImpl.cpp moves calls and
 * connections; TargetPoolTimes.cpp has what happens with time and silence.
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

/** Does the work of a TargetPool on the pool's thread. */
class TargetPool::Impl : public QObject, public TargetConnection::Listener {
public:
  /** What a connection is busy with. */
  enum class ConnectionState {
    Opening,
    Idle,
    Call,
    Abandoned, ///< Its call has ended; the reply is still to come.
    Verifying, ///< A greeting shows whether it still works.
    Cancel     ///< Tells the target that another connection's call ended.
  };

  struct DeleteLater {
    void operator()(TargetConnection *Connection) const {
      Connection->close();
      Connection->deleteLater();
    }
  };

  /** One connection and its use. */
  struct PooledConnection {
    std::unique_ptr<TargetConnection, DeleteLater> m_Connection;
    ConnectionState m_State = ConnectionState::Opening;
    TimePoint m_OpenedAt;
    TimePoint m_StateSince; ///< When the present use began.
    CallId m_Call;          ///< With Use::Call.
    bool m_WasUsed = false;
    /** How long the target keeps it open while idle. */
    std::optional<milliseconds> m_KeepAliveTimeout;
    TimePoint m_ReplyDeadline; ///< Deadline of the call that began last.
  };

  /** A call without a result. */
  struct CallRecord {
    TargetCall m_Call;
    TargetPool::ResultHandler m_OnResult;
    TimePoint m_SentAt;
    PooledConnection *m_AssignedConnection =
        nullptr; ///< Null while it waits for a connection.
  };

  /** A cancellation that waits for a connection. */
  struct PendingCancellation {
    const TargetConnection *m_AbandonedConnection;
    TimePoint m_StateSince;
    std::string m_Body;
  };

  Impl(TargetPoolOptions Options, ObservationHandler OnObservation);
  ~Impl() override;

  void send(TargetCall Call, ResultHandler OnResult);
  void cancel(CallId Id);
  bool withdraw(CallId Id);
  void setMaxConnections(std::size_t Most);
  void warmUp(std::size_t Count);

  void onHandshakeComplete(TargetConnection &From) override;
  void onReply(TargetConnection &From, HttpReply Reply) override;
  void onLost(TargetConnection &From, std::error_code Why) override;

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
  void writeCall(PooledConnection &On, CallRecord &Record);
  void setState(PooledConnection &Of, ConnectionState NewState);
  void finishCall(CallId Id, TargetResult Result);
  void failCall(CallId Id, std::error_code Why, RunVerdict Verdict);
  void failWaitingCalls(std::error_code Why);
  void endCallEarly(CallId Id, std::error_code Why);
  void reportObservation(TargetObservation What);
  /** Runs \p Report from the event loop, so that no handler is called from
   *  within send() or cancel(). */
  void queueReport(std::function<void()> Report);
  void deliverReports();
  /** Runs \p Handle and then the reports that it led to. */
  void handleEvent(const std::function<void()> &Handle);
  TimePoint abandonedExpiry(const PooledConnection &Of) const;
  void removeConnection(const PooledConnection &Old);
  void removeLost(const PooledConnection &Lost, std::error_code Why);
  void handleOpenFailure(bool TimedOut);

  void handleHandshake(const TargetConnection &From);
  void handleReply(const TargetConnection &From, HttpReply Reply);
  void onTimer();
  void endExpiredCalls(TimePoint Now);
  void closeExpiredConnections(TimePoint Now);
  void armTimer();
  TimePoint nextTimeout(const PooledConnection &Of) const;

  SilenceAction silenceAction(const PooledConnection &Of, TimePoint Now) const;
  void checkSilentConnections(TimePoint Now);
  void startProbe(TimePoint Now);
  bool makeRoomForProbe(TimePoint Now);
  void checkOlderConnections(const PooledConnection &Fresh);
  void retire(const PooledConnection &Silent);
  void reportRetired();

  PooledConnection &findPooled(const TargetConnection &Connection);
  std::size_t countInState(ConnectionState Wanted) const;
  bool hasReadyConnection() const;

  TargetPoolOptions m_Options;
  ObservationHandler m_OnObservation;
  TargetEndpoint m_Endpoint;
  std::deque<CallId> m_WaitingCalls;
  std::deque<PendingCancellation> m_PendingCancellations;
  std::vector<std::function<void()>> m_QueuedReports;
  QTimer m_Timer;
  TimePoint m_NextOpenAt;
  TimePoint m_NextProbeAt;
  TimePoint m_LastWorkingOpenedAt; ///< Opening of the latest that was greeted.
  bool m_ProbeInProgress = false;  ///< The next greeting answers a suspicion.
  std::size_t m_UnreportedRetired = 0; ///< Not yet observed.
  bool m_Destroying = false;
  bool m_HandlingEvent =
      false; ///< Called from the event loop, not by the owner.
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_TARGETPOOLIMPL_H
