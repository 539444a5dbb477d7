#ifndef FIGTURN_SOAK_SOAKRUN_H
#define FIGTURN_SOAK_SOAKRUN_H

/**
 * One seed of the soak: routed VMs as real processes, callers with persistent
 * connections, and overlapping external faults in random order. After the
 * faults the fleet must serve again, and each VM that gets SIGTERM must exit
 * with status 0.
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

/** Parameters of one run. */
struct SoakOptions {
  std::uint32_t m_Seed = 1;
  std::size_t m_VmCount = 4;
  std::size_t m_CallersPerVm = 3;
  std::size_t m_ReplicasPerService = 3;
  std::size_t m_FaultCount = 25;
  bool m_IsVerbose = false;
};

class SoakRun {
public:
  explicit SoakRun(SoakOptions Options);
  ~SoakRun();

  /** Injects the faults; returns the violations. */
  std::vector<std::string> run();
  /** Counts of the answers by status, for the report. */
  std::string summary() const;

private:
  struct Replica {
    std::string m_Id;
    std::string m_Service;
    std::string m_DataCentre;
    standin::SearcherStandin *m_Searcher = nullptr;
    std::unique_ptr<FaultProxy> m_Proxy;
    std::int64_t m_StartedMs = 1785822630000;
    bool m_IsDraining = false; ///< Will be removed by drainTarget().
  };
  struct Fault {
    const char *m_Name;
    void (SoakRun::*m_Inject)();
  };
  static const std::vector<Fault> &faults();

  Replica &addReplica(const std::string &Service);
  void publishReplica(const Replica &Published, const std::string &State);
  void publishConfig();
  void runCaller(std::size_t VmIndex, std::size_t Caller);
  void revertAfter(std::chrono::milliseconds Delay,
                   std::function<void()> Revert);
  /** Reverts the faults that are due; with \p WaitForAll, waits until all
   *  others are due and reverts them, too. */
  void revertDueFaults(bool WaitForAll);
  std::chrono::milliseconds randomDuration(int MinMs, int MaxMs);
  Replica &randomReplica();
  /** Picks a random VM and marks it busy; null if a fault already uses it. */
  test::RoutedFleet::Vm *acquireVm();
  void kill(test::RoutedFleet::Vm &Vm);
  void restart(test::RoutedFleet::Vm &Vm);
  void expectRecovery();
  void expectCleanShutdowns();
  /** Waits for a VM that was sent SIGTERM and checks its exit status. */
  void expectCleanShutdown(const test::RoutedFleet::Vm &Vm);
  /** The last log lines of \p Vm that contain \p Filter. */
  static std::string lastLines(const test::RoutedFleet::Vm &Vm,
                               const std::string &Filter = "");

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
      m_RemovedReplicas; ///< No longer in the store.
  std::size_t m_ReplicasCreated = 0;
  int m_ConfigVersion = 3;
  int m_AddedRoute = 0;                  ///< Number of the latest added route.
  std::map<std::string, bool> m_BusyVms; ///< By name; in use by a fault.
  std::vector<std::atomic<int>> m_KillCounts; ///< By index of the VM.
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>>
      m_Reverts;
  std::atomic<bool> m_Stopping = false;
  std::vector<std::thread> m_Callers;
};

} // namespace figturn::soak

#endif // FIGTURN_SOAK_SOAKRUN_H
