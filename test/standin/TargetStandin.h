#ifndef FIGTURN_STANDIN_TARGETSTANDIN_H
#define FIGTURN_STANDIN_TARGETSTANDIN_H

/**
 * A target for tests, the demo and benchmarks. Serves the target protocol over
 * its shards of a record set, with slots, a queue, a connection limit and a
 * cold start, and counts the calls it receives. Control requests use a second
 * port, so that they aren't counted and no fault affects them.
 */

#include "protocol/TargetServerProtocol.h"
#include "standin/ColdStartModel.h"
#include "standin/FaultyHttpServer.h"
#include "standin/RecordSet.h"
#include "standin/TargetFaults.h"
#include "standin/TargetOptions.h"

#include <QObject>
#include <list>
#include <map>
#include <memory>
#include <optional>

namespace figturn::standin {

/** Exit status after a crash caused by a call or an overload. */
inline constexpr int CrashStatus = 42;

/** Confined to one thread with an event loop. */
class TargetStandin {
public:
  explicit TargetStandin(TargetOptions Options);

  /** Listens on both ports; false on failure. */
  bool listen();
  std::uint16_t port() const { return m_Server.port(); }
  std::uint16_t controlPort() const { return m_ControlServer.port(); }
  const TargetOptions &options() const { return m_Options; }

private:
  enum class CallKind { Search, Lookup, Run };

  /** A call from its arrival to its answer. */
  struct Call {
    StandinExchange m_Exchange;
    CallKind m_Kind;
    CallHeader m_Header;
    Priority m_Priority = Priority::Ordinary;
    TimePoint m_Deadline;
    bool m_IsRunning = false;
    bool m_IsDone = false;
    std::function<std::string()> m_Execute; ///< Returns the reply body.
    std::string m_CrashMarker; ///< Matched against the crash faults.
  };
  using CallPtr = std::shared_ptr<Call>;

  void handle(const StandinExchange &Exchange);
  void handleSearch(const StandinExchange &Exchange);
  void handleLookup(const StandinExchange &Exchange);
  void handleRun(const StandinExchange &Exchange);
  void handleCancel(const StandinExchange &Exchange);
  /** Returns whether this target holds \p Shard at \p Version; refuses the
   *  call if not. */
  bool holds(const StandinExchange &Exchange, CallId Id, IndexVersion Version,
             ShardId Shard);
  void admit(CallPtr Admitted);
  void startQueued(TimePoint Now);
  CallPtr selectNext();
  void start(CallPtr Started, TimePoint Now);
  void expire(const CallPtr &Expired);
  void complete(const CallPtr &Completed);
  void finish(const CallPtr &Finished);
  void fail(const CallPtr &Failed, Errc Reason);
  void writeReply(const CallPtr &Answered, const StandinReply &Reply);
  void swapReply(const StandinExchange &Exchange, const StandinReply &Reply);
  void crashIfMarked(const Call &Marked) const;
  [[noreturn]] void crash(const std::string &Cause) const;
  milliseconds nextServiceTime();
  StandinReply reply(unsigned Status, std::string Body) const;
  std::string healthBody() const;

  void handleControl(const StandinExchange &Exchange);
  void applyControl(const QJsonObject &Control);
  /** Restarts the warm-up. \p SimulatesRestart also changes the boot id, drops
   *  the calls in flight and closes all connections. */
  void resetToCold(bool SimulatesRestart);
  QJsonObject countersJson() const;

  TargetOptions m_Options;
  std::map<std::uint32_t, RecordSet> m_Shards;
  BootId m_BootId;
  ColdStartModel m_ColdStartModel;
  TargetFaults m_Faults;
  QObject m_Context; ///< Owns the timers.
  FaultyHttpServer m_Server;
  FaultyHttpServer m_ControlServer;
  std::list<CallPtr> m_Calls; ///< In flight: queued and running.
  std::optional<std::pair<StandinExchange, StandinReply>> m_ReplyToSwap;

  std::uint64_t m_CallsReceived = 0;
  std::uint64_t m_CallsStarted = 0;
  std::uint64_t m_CallsServed = 0;
  std::uint64_t m_CallsCancelled = 0;
  std::uint64_t m_CallsShed = 0;
  std::uint64_t m_CallsExpired = 0;
  std::uint64_t m_VersionsRefused = 0;
  std::uint64_t m_ShardsRefused = 0;
  std::uint32_t m_MaxInFlight = 0;
  std::map<std::string, std::uint32_t> m_RunsByKey;
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_TARGETSTANDIN_H
