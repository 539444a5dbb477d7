#ifndef FIGTURN_TEST_SUPPORT_CLUSTER_H
#define FIGTURN_TEST_SUPPORT_CLUSTER_H

/**
 * Runs a small fleet of real processes on the loopback interface: a stand-in
 * for the platform, stand-in targets and entry VMs. The destructor ends all
 * of them.
 */

#include "standin/RecordSet.h"
#include "support/Process.h"
#include "support/TestHttpClient.h"

#include <QJsonObject>
#include <QTemporaryDir>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace figturn::test {

/** A service and the targets that serve it. */
struct ServiceSpec {
  std::string m_Name = "workshop-desk";
  /** Stem of a JSON file in test/standin/data. */
  std::string m_RecordSet = "mirror-batches";
  std::uint32_t m_Shards = 8;
  std::uint32_t m_Targets = 4;
  std::uint32_t m_Replicas = 2; ///< Per shard, at consecutive targets.
  std::uint32_t m_SlotsPerSearcher = 4;
  std::uint32_t m_ConnectionLimit = 80;
  std::uint32_t m_ColdSlots = 1;
  std::uint32_t m_RampSuccesses = 20;
  std::uint32_t m_ServiceMs = 2;
  std::vector<std::string> m_TargetFlags; ///< Extra flags of each process.
};

/** Services, data centres and entry VMs of a cluster. */
struct ClusterOptions {
  std::vector<ServiceSpec> m_Services{ServiceSpec{}};
  std::vector<std::string> m_DataCentres{"nz-south-a", "nz-south-b",
                                         "nz-south-c"};
  std::uint32_t m_EntryVms = 3;
  /** Faults of the platform from its start on, as in POST /control. */
  QJsonObject m_PlatformFaults;
};

/** Starts the fleet; throws std::runtime_error if a process fails to start. */
class Cluster {
public:
  explicit Cluster(ClusterOptions Options);

  /** Returns a client for the caller port of entry VM \p Index. */
  TestHttpClient vmClient(std::size_t Index) const;
  std::uint16_t callerPort(std::size_t Index) const {
    return m_Vms.at(Index).m_CallerPort;
  }
  Process &vmProcess(std::size_t Index) { return *m_Vms.at(Index).m_Process; }
  std::size_t vmCount() const { return m_Vms.size(); }
  std::string vmName(std::size_t Index) const { return m_Vms.at(Index).m_Name; }

  /** Target names in start order. */
  std::vector<std::string> targetNames() const;
  Process &targetProcess(const std::string &Name);
  /** Sets fault injection of a target and returns its counters. */
  QJsonObject controlTarget(const std::string &Name,
                            const QJsonObject &Control) const;
  QJsonObject targetCounters(const std::string &Name) const;
  /** Sums the counter \p Key over all targets. */
  std::int64_t sumTargetCounters(const std::string &Key) const;
  /** Counts how often any target, including processes that have been
   *  replaced, ran the single-run request with the key \p Key. */
  std::int64_t countRuns(const std::string &Key) const;
  /** Waits until the target's process has exited, then starts it again on the
   *  same port with the extra \p Flags. */
  void restartTarget(const std::string &Name,
                     const std::vector<std::string> &Flags = {});

  /** Returns a client for the platform stand-in; POST /control sets its
   *  faults. */
  TestHttpClient platformClient() const {
    return TestHttpClient(m_PlatformPort);
  }

  /** Configuration that the next publishConfiguration() writes. */
  QJsonObject &configuration() { return m_Configuration; }
  /** Writes the configuration to the platform with a new change ID. */
  void publishConfiguration();
  /** Publishes version \p Version of a service's index. */
  void publishIndex(const std::string &Service, std::uint64_t Version);

  /** All records of a service, from which expected answers are computed. */
  standin::RecordSet records(const std::string &Service) const;

  /** Starts another entry VM and returns its index. */
  std::size_t startVm(bool WaitUntilReady = true);
  /** Waits until entry VM \p Index logs that it is ready. */
  void waitUntilReady(std::size_t Index);
  /** Waits until each entry VM uses a member list with all entry VMs. */
  void waitUntilMembersComplete();
  /** Starts the figturn binary with \p Arguments. */
  std::unique_ptr<Process>
  startFigturn(const std::vector<std::string> &Arguments) const;

private:
  struct Vm {
    std::string m_Name;
    std::string m_DataCentre;
    std::uint16_t m_CallerPort = 0;
    std::uint16_t m_PeerPort = 0;
    std::unique_ptr<Process> m_Process;
  };
  struct Target {
    std::string m_Name;
    std::string m_DataCentre;
    std::vector<std::string> m_Command;
    std::uint16_t m_Port = 0;
    std::uint16_t m_ControlPort = 0;
    std::unique_ptr<Process> m_Process;
  };

  void startPlatform();
  void startTargets(const ServiceSpec &Service);
  void launch(Target &Started, const std::vector<std::string> &Flags);
  void configure(const ServiceSpec &Service);
  void publishVmList();
  std::string writeSettings(const Vm &EntryVm) const;
  const ServiceSpec &service(const std::string &Name) const;
  std::size_t targetIndex(const std::string &Name) const;
  const Target &target(const std::string &Name) const;

  ClusterOptions m_Options;
  QTemporaryDir m_Folder;
  QJsonObject m_Configuration;
  std::uint64_t m_ChangeCount = 0;
  std::uint16_t m_PlatformPort = 0;
  std::unique_ptr<Process> m_Platform;
  std::vector<Target> m_Targets;
  std::vector<std::string> m_PreviousLines; ///< Of replaced processes.
  std::vector<Vm> m_Vms;
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_CLUSTER_H
