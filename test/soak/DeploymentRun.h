#ifndef FIGTURN_SOAK_DEPLOYMENTRUN_H
#define FIGTURN_SOAK_DEPLOYMENTRUN_H

/**
 * Plays one deployment as real processes: its numbers of VMs, shards and
 * targets, their slots and times of work, callers that keep their connections,
 * and its kinds of planned work and disruptions, as far apart as on a day. It
 * checks the rules whose bounds count only for VMs in touch: proper requests
 * aren't denied, and a leaving target gets no request after its drain time.
 */

#include "soak/FaultProxy.h"
#include "soak/TouchLog.h"
#include "support/ConfigChecks.h"
#include "support/LearningLog.h"
#include "support/RoutedFleet.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace figturn::soak {

/** Parameters of one run. */
struct DeploymentOptions {
  std::uint32_t m_Seed = 1;
  std::size_t m_VmCount = 12;
  std::size_t m_SpareVmCount = 6;
  std::size_t m_ShardCount = 10;
  std::size_t m_CallerCount = 60;
  std::chrono::seconds m_Length{40};
  std::string m_Binary;    ///< Program of the VMs; empty: this build's.
  std::string m_LogFolder; ///< The VMs' output is kept here; empty: nowhere.
  bool m_IsVerbose = false;
  int m_ReturnsWeight = 1;  ///< Of the step that returns the store.
  int m_SilentVmWeight = 0; ///< Of the step that silences one VM.
  double m_CpuShare = 1;    ///< Of the time, in which each VM runs.
  bool m_HasGossip = true;  ///< VMs are told of one another.
};

class DeploymentRun {
public:
  explicit DeploymentRun(DeploymentOptions Options);
  ~DeploymentRun();

  /** Plays the deployment; returns the violations. */
  std::vector<std::string> run();
  /** Counts of the answers by status, for the report. */
  std::string summary() const;

private:
  struct Vm {
    std::string m_Name;
    test::RoutedFleet::Vm *m_Process = nullptr;
    std::unique_ptr<FaultProxy> m_Store; ///< Its way to the store.
    bool m_IsBusy = false;               ///< Disrupted at present.
    bool m_IsShared = false; ///< Runs in slices; guarded by m_Mutex.
    bool m_Runs = true;      ///< In its slice; guarded by m_Mutex.
  };
  /** One target; used on the stand-ins' thread. */
  struct Target {
    std::string m_Id;
    std::string m_Service;
    standin::SearcherStandin *m_Searcher = nullptr;
    std::size_t m_Slots = 4;
    std::size_t m_Working = 0;
    double m_Slowness = 1;
    bool m_NamesLeaving = false; ///< Its answers say that it leaves.
    bool m_IsLeaving = false;
    bool m_WritesEntry = true; ///< Sends heartbeats, unless it is down.
    SteadyTime m_NextHeartbeat;
    SteadyTime m_DownUntil; ///< Crashed until then.
    SteadyTime m_ColdUntil;
    SteadyTime m_LapsesAt; ///< Its entry, without another heartbeat.
    SteadyTime m_PausePhase;
    std::deque<std::function<void()>> m_Queue;
    SteadyTime m_LeftAt = SteadyTime::max(); ///< Acknowledged by the store.
    bool m_LeftWhileStable = false;
    /** When the target first told a VM that it leaves. */
    std::map<std::string, SteadyTime> m_ToldAt;
  };
  /** A route beside the first ones; it may be dropped and added again. */
  struct AddedRoute {
    SteadyTime m_AddedAt = SteadyTime::max(); ///< Acknowledged by the store.
    SteadyTime m_RemovedFrom = SteadyTime::max(); ///< Sent to the store.
    SteadyTime m_RemovedAt = SteadyTime::max();   ///< Acknowledged.
    int m_Version = 0; ///< That changed the route last.
  };
  struct Sent {
    std::string m_Vm;
    SteadyTime m_At;
  };
  struct Step {
    const char *m_Name;
    int m_Weight;
    void (DeploymentRun::*m_Run)();
    int DeploymentOptions::*m_WeightOption = nullptr; ///< Replaces m_Weight.
  };
  static const std::vector<Step> &steps();

  void startVm();
  /** Writes the heartbeats that are due and removes entries that lapse. */
  void writeHeartbeats(SteadyTime Now);
  void writeEntry(Target &Writer, SteadyTime Now);
  /** Removes the entry for good: the target writes no further heartbeats. */
  void removeEntry(Target &Removed);
  Target &addTarget(const std::string &Service);
  void publishConfig();
  /** Adds and drops routes in one version. */
  void changeRoutes(const std::vector<int> &Added,
                    const std::vector<int> &Dropped);
  /** A random one of the routes that are in force, or that are dropped. */
  std::optional<int> randomRoute(bool IsLive);
  /** Checks the answer to a request on an added route; returns whether the
   *  route has been in force for long enough. */
  bool checkAddedRoute(const std::string &VmName, const std::string &Id,
                       const std::string &Path, SteadyTime SentAt,
                       SteadyTime Now, unsigned Status,
                       const std::string &Body);
  void runCaller(std::size_t Number);
  /** Sends requests on the routes added last to one VM. */
  void runProbe(std::size_t VmIndex);
  /** Sends a request, in parts of a body as callers do, and checks the answer.
   *  Returns whether the connection can be used again. */
  bool exchange(test::RawClient &Client, const std::string &VmName,
                const std::string &Id, const std::string &Path,
                const std::string &Body, bool InChunks, std::mt19937 &Random);
  void onArrival(Target &Receiver, const standin::SimpleHttpRequest &Request,
                 const standin::SimpleHttpResponder &Reply);
  void startWork(Target &Worker, const standin::SimpleHttpRequest &Request,
                 const standin::SimpleHttpResponder &Reply);
  void checkDrain(const Target &Receiver, const std::string &Id,
                  SteadyTime Now);
  void fail(const std::string &Rule, const std::string &Message);
  /** Prints \p Text with the time of day if the run is verbose. */
  void note(const std::string &Text) const;
  void after(std::chrono::milliseconds Delay, std::function<void()> Task);
  void runDueTasks();
  std::chrono::milliseconds randomTime(int MinMs, int MaxMs);
  Vm *acquireVm();
  void release(Vm &Released);
  /** Lets the process run in slices, or all the time. */
  void setShared(Vm &Changed, bool IsShared);
  void shareProcessor();
  void restart(Vm &Restarted);
  Target *randomReadyTarget();
  void leave(bool Announced);
  void returnFromCopy(int FurtherReturns);
  void writeAgain();
  void setStoreDown(bool IsDown, bool Lapses);
  void disruptStore(std::chrono::milliseconds Time,
                    const std::function<void(bool IsDisrupted)> &Apply);
  /** A disruption spares busy VMs; its end doesn't, as a VM may have become
   *  busy since it began. */
  void forEachProxy(bool IncludeBusyVms,
                    const std::function<void(FaultProxy &)> &Apply);
  void collectLearning(const Vm &Source);

  void stopVm();
  void killVm();
  void freezeVm();
  void reloadVm();
  void addVm();
  void cutVmFromStore();
  void killAllVms();
  void addRoute();
  void dropRoute();
  void addRouteAgain();
  void changeInBurst();
  void writeForeignConfig();
  void reshard();
  void changeLimits();
  void drainTarget();
  void removeTarget();
  void slowTarget();
  void crashTarget();
  void silenceStoreConnections();
  void silenceOneVm();
  void returnStore();
  void takeStoreDown();
  void slowStore();
  void loseStoreReplies();
  void compactHistory();

  DeploymentOptions m_Options;
  std::mt19937 m_Random;
  test::RoutedFleet m_Fleet;
  std::unique_ptr<QObject> m_Context; ///< Lives on the stand-ins' thread.
  TouchLog m_Touch;
  test::ConfigChecks m_ConfigChecks;
  /** Of acknowledgements by the stand-ins' thread, and of lines by the run's
   *  thread while it doesn't publish or remove anything. */
  test::LearningLog m_Learning;
  std::vector<std::unique_ptr<Vm>> m_Vms;
  std::vector<std::unique_ptr<Target>> m_Targets;
  std::size_t m_TargetsCreated = 0;
  bool m_IsCrowded = false;
  bool m_LapsesWhileDown = false; ///< Used on the stand-ins' thread.
  QJsonObject m_Config;           ///< Sent last; used on the stand-ins' thread.
  SteadyTime m_ConfigAckedAt;
  bool m_IsConfigForeign = false; ///< The store holds another writer's.
  bool m_IsReturnDue = false;     ///< Of the store, once it is quiet.
  SteadyTime m_StoreQuietFrom; ///< No further disruption of the store before.
  std::multimap<SteadyTime, std::function<void()>> m_Tasks;

  mutable std::mutex m_Mutex; ///< Guards the members below.
  std::map<std::string, Sent> m_Sent;
  std::map<unsigned, std::size_t> m_Statuses;
  std::map<std::string, std::size_t> m_FailureCounts; ///< By rule.
  std::vector<std::string> m_Failures;
  std::map<int, AddedRoute> m_Routes;
  /** Answers on added routes by the version that changed the route last. */
  std::map<int, std::map<unsigned, std::size_t>> m_AnswersByVersion;
  std::size_t m_FloodShardCount = 0;
  std::size_t m_BodyLimit = 262144;
  std::size_t m_LeastBodyLimit = 262144; ///< Of the versions that may hold.
  std::size_t m_UsableVmCount = 0;
  int m_ConfigVersion = 10;

  std::atomic<std::int64_t> m_LagMs = 0; ///< Of the stand-ins' event loop.
  std::atomic<bool> m_Stopping = false;
  std::vector<std::thread> m_Callers;
  std::thread m_Sharer;
};

} // namespace figturn::soak

#endif // FIGTURN_SOAK_DEPLOYMENTRUN_H
