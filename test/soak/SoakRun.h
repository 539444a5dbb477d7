#ifndef FIGTURN_SOAK_SOAKRUN_H
#define FIGTURN_SOAK_SOAKRUN_H

/**
 * One seed of the soak: routed VMs as real processes, callers that keep their
 * connections, and faults from outside in random order that overlap. After
 * the faults the fleet has to serve again, and each planned end to be clean.
 */

#include "soak/FaultProxy.h"
#include "soak/SoakChecks.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace figturn::soak {

/** Size of one run. */
struct SoakOptions {
  std::uint32_t m_Seed = 1;
  std::size_t m_Vms = 4;
  std::size_t m_CallersPerVm = 3;
  std::size_t m_ReplicasPerService = 3;
  std::size_t m_Faults = 25;
  bool m_IsVerbose = false;
};

/** The run. */
class SoakRun {
public:
  explicit SoakRun(SoakOptions Options);
  ~SoakRun();

  /** Plays the faults; returns what was wrong. */
  std::vector<std::string> run();
  std::string summary() const;

private:
  struct Replica {
    std::string m_Id;
    std::string m_Service;
    std::string m_DataCentre;
    standin::SearcherStandin *m_Searcher = nullptr;
    std::unique_ptr<FaultProxy> m_Proxy;
    std::int64_t m_Started = 1785822630000;
  };
  struct Fault {
    const char *m_Name;
    void (SoakRun::*m_Inject)();
  };
  static const std::vector<Fault> &faults();

  Replica &addReplica(const std::string &Service);
  void publishReplica(const Replica &Of, const std::string &State);
  void publishConfig();
  void call(std::size_t Vm, std::size_t Caller);
  void revertAfter(std::chrono::milliseconds After, std::function<void()> Undo);
  void revertDueFaults(bool All);
  std::chrono::milliseconds randomDuration(int LeastMs, int MostMs);
  Replica &randomReplica();
  /** A VM that no other fault holds; null if there is none. */
  test::RoutedFleet::Vm *acquireVm();
  void kill(test::RoutedFleet::Vm &Of);
  void restart(test::RoutedFleet::Vm &Of);
  void expectRecovery();
  void expectCleanShutdowns();
  /** Waits for a VM that was told to stop, and checks how it ended. */
  void expectCleanShutdown(const test::RoutedFleet::Vm &Of);
  /** The last lines that \p Of logged. */
  static std::string lastLines(const test::RoutedFleet::Vm &Of,
                               const std::string &With = "");

  void freezeVm();
  void killVm();
  void killAllVms();
  void stopVm();
  void reloadVm();
  void degradeTargetConnections();
  void resetTargetConnections();
  void silenceTargetConnections();
  void crashTarget();
  void replaceTarget();
  void drainTarget();
  void evacuateDataCentre();
  void takeStoreDown();
  void suppressWatchEvents();
  void degradeStoreConnections();
  void silenceStoreConnections();
  void compactHistory();
  void changeConfig();

  SoakOptions m_Options;
  std::mt19937 m_Random;
  SoakChecks m_Checks;
  test::RoutedFleet m_Fleet;
  std::unique_ptr<FaultProxy> m_StoreProxy;
  std::vector<std::unique_ptr<Replica>> m_Replicas;
  std::vector<std::unique_ptr<Replica>>
      m_RemovedReplicas; ///< Left the registry.
  std::size_t m_ReplicasCreated = 0;
  int m_ConfigVersion = 3;
  int m_AddedRoute = 0;                       ///< Of those that changes add.
  std::map<std::string, bool> m_BusyVms;      ///< VMs by name, held by a fault.
  std::vector<std::atomic<int>> m_KillCounts; ///< By VM.
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>>
      m_Reverts;
  std::atomic<bool> m_Stopping = false;
  std::vector<std::thread> m_Callers;
};

} // namespace figturn::soak

#endif // FIGTURN_SOAK_SOAKRUN_H
