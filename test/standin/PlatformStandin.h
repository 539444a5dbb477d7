#ifndef FIGTURN_STANDIN_PLATFORMSTANDIN_H
#define FIGTURN_STANDIN_PLATFORMSTANDIN_H

/**
 * The platform for tests, demo and bench: the object API and the VM list over
 * HTTP, in memory, with outages, slowness, lost answers, stale reads and
 * silent watches on demand. Counts calls as the platform does, a waiting watch
 * as one. Control requests (/control) come to the same port and are neither
 * counted nor subject to the faults.
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

/** The platform; lives on one thread with an event loop. */
class PlatformStandin {
public:
  PlatformStandin();

  /** Port 0 takes a free one; false if the port is refused. */
  bool listen(std::uint16_t Port) { return m_Server.listen(Port); }
  std::uint16_t port() const { return m_Server.port(); }
  /** Writes \p Object to \p Path as any writer would. */
  void put(const std::string &Path, const std::string &Body);
  /** Sets the list of VMs, as the array that the VM list answers. */
  void setVms(const QJsonArray &Vms) { m_Vms = Vms; }

private:
  /** A watch that waits for a later version. */
  struct Watch {
    StandinExchange m_Exchange;
    std::string m_Path;
    std::uint64_t m_After = 0;
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
  void control(const StandinExchange &Exchange);
  void applyControl(const QJsonObject &Control);
  QJsonObject countersJson() const;

  QObject m_Context; ///< Owner of timers.
  FaultyHttpServer m_Server;
  ObjectTable m_Objects;
  QJsonArray m_Vms;
  std::list<WatchPtr> m_Watches;
  Counters m_Counters;
  bool m_IsUnavailable = false; ///< Answers 503.
  bool m_IsSilent = false;      ///< Answers nothing.
  bool m_AreWatchesSilent = false;
  milliseconds m_Delay{};          ///< Before each answer.
  FaultCounter m_LostWriteReplies; ///< Writes that take effect unanswered.
  FaultCounter m_StaleReads;       ///< Reads answered with the value before.
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_PLATFORMSTANDIN_H
