#ifndef FIGTURN_STANDIN_PLATFORMSTANDIN_H
#define FIGTURN_STANDIN_PLATFORMSTANDIN_H

/**
 * In-memory platform for tests, the demo and benchmarks. Serves the object API
 * and the VM list over HTTP and injects outages, delays, lost replies, stale
 * reads and silent watches on request. Counts calls as the platform does: a
 * watch counts as one call however long it waits. Control requests (/control)
 * use the same port; they aren't counted and no fault affects them.
 */

#include "standin/FaultyHttpServer.h"
#include "standin/ObjectTable.h"
#include "standin/TargetFaults.h"
#include "state/Time.h"

#include <QJsonArray>
#include <QJsonObject>
#include <QObject>
#include <list>
#include <memory>

namespace figturn::standin {

/** Confined to one thread with an event loop. */
class PlatformStandin {
public:
  PlatformStandin();

  /** Listens on \p Port, or on a free port if 0. False on failure. */
  bool listen(std::uint16_t Port) { return m_Server.listen(Port); }
  std::uint16_t port() const { return m_Server.port(); }
  /** Writes \p Body to \p Path unconditionally. */
  void put(const std::string &Path, const std::string &Body);
  /** Sets the array that the VM list returns. */
  void setVms(const QJsonArray &Vms) { m_Vms = Vms; }

private:
  /** A request that waits for a version later than m_AfterVersion. */
  struct Watch {
    StandinExchange m_Exchange;
    std::string m_Path;
    std::uint64_t m_AfterVersion = 0;
  };
  using WatchPtr = std::shared_ptr<Watch>;

  /** Calls since the start, by kind. */
  struct Counters {
    std::uint64_t m_Reads = 0;
    std::uint64_t m_Writes = 0;
    std::uint64_t m_Conflicts = 0;
    std::uint64_t m_Lists = 0;
    std::uint64_t m_Watches = 0;
    std::uint64_t m_VmLists = 0;
    std::uint64_t m_Refused = 0;
    std::size_t m_MaxWaitingWatches = 0;
  };

  void handle(const StandinExchange &Exchange);
  void serve(const StandinExchange &Exchange);
  void serveObject(const StandinExchange &Exchange, const std::string &Path);
  void read(const StandinExchange &Exchange, const std::string &Path);
  void write(const StandinExchange &Exchange, const std::string &Path);
  void startWatch(const StandinExchange &Exchange, const std::string &Path);
  void list(const StandinExchange &Exchange);
  void answerDueWatches(const std::string &Path);
  void handleControl(const StandinExchange &Exchange);
  void applyControl(const QJsonObject &Control);
  QJsonObject countersJson() const;

  QObject m_Context; ///< Owns the timers.
  FaultyHttpServer m_Server;
  ObjectTable m_Objects;
  QJsonArray m_Vms;
  std::list<WatchPtr> m_Watches;
  Counters m_Counters;
  bool m_IsUnavailable = false; ///< Answers 503.
  bool m_IsSilent = false;      ///< Sends no reply.
  bool m_AreWatchesSilent = false;
  milliseconds m_Delay{};          ///< Before each reply.
  milliseconds m_IndexDelay{};     ///< Before each reply with an index.
  FaultCounter m_LostWriteReplies; ///< Writes applied without a reply.
  FaultCounter m_StaleReads;       ///< Reads that return the previous value.
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_PLATFORMSTANDIN_H
