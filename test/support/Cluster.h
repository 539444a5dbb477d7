#ifndef FIGTURN_TEST_SUPPORT_CLUSTER_H
#define FIGTURN_TEST_SUPPORT_CLUSTER_H

/**
 * A small fleet of real processes on loopback: the platform's stand-in,
 * stand-in targets of some services and entry VMs. All end with the object.
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

/** A service of the fleet and its targets. */
struct ServiceSpec {
  std::string m_Name = "workshop-desk";
  std::string m_RecordSet = "mirror-batches"; ///< Record set in test/standin/data.
  std::uint32_t m_Shards = 8;
  std::uint32_t m_Targets = 4;
  std::uint32_t m_Replicas = 2; ///< Of each shard, in different data centres.
  std::uint32_t m_SlotsPerSearcher = 4;
  std::uint32_t m_ConnectionLimit = 80;
  std::uint32_t m_ColdSlots = 1;
  std::uint32_t m_RampSuccesses = 20;
  std::uint32_t m_ServiceMs = 2;
  std::vector<std::string> m_TargetFlags; ///< Further flags of each target.
};

/** What to start. */
struct ClusterOptions {
  std::vector<ServiceSpec> m_Services{ServiceSpec{}};
  std::vector<std::string> m_DataCentres{"nz-south-a", "nz-south-b",
                                         "nz-south-c"};
  std::uint32_t m_EntryVms = 3;
};

/** The fleet; throws std::runtime_error if it can't be started. */
class Cluster {
public:
  explicit Cluster(ClusterOptions Options);

  /** Client of entry VM \p Index's callers' port. */
  TestHttpClient vm(std::size_t Index) const;
  Process &vmProcess(std::size_t Index) { return *m_Vms.at(Index).m_Process; }
  std::size_t vmCount() const { return m_Vms.size(); }
  std::string vmName(std::size_t Index) const { return m_Vms.at(Index).m_Name; }

  /** Names of targets, in the order in which they were started. */
  std::vector<std::string> targetNames() const;
  Process &targetProcess(const std::string &Name);
  /** Changes faults of a target; gives its counters. */
  QJsonObject controlTarget(const std::string &Name,
                            const QJsonObject &Control) const;
  QJsonObject targetCounters(const std::string &Name) const;
  /** Sum of the counter \p Key over all targets. */
  std::int64_t sumTargetCounters(const std::string &Key) const;
  /** Runs of the single-run request \p Key over all targets. */
  std::int64_t countRuns(const std::string &Key) const;
  /** Starts a target whose process has ended on its old port, with further
   *  \p Flags. */
  void restartTarget(const std::string &Name,
                     const std::vector<std::string> &Flags = {});

  /** The platform's stand-in; /control changes its faults. */
  TestHttpClient platform() const { return TestHttpClient(m_PlatformPort); }

  /** The configuration now published; change it and publish again. */
  QJsonObject &configuration() { return m_Configuration; }
  /** Writes the configuration to the platform under a new change id. */
  void publishConfiguration();
  /** Publishes version \p Version of a service's index. */
  void publishIndex(const std::string &Service, std::uint64_t Version);

  /** All records of a service, to know what an answer must hold. */
  standin::RecordSet records(const std::string &Service) const;

  /** Starts one more entry VM; waits until it is ready unless told not to. */
  std::size_t startVm(bool WaitUntilReady = true);
  /** Waits until entry VM \p Index logs that it serves. */
  void waitUntilReady(std::size_t Index);
  /** Waits until each entry VM uses a member list that names all of them. */
  void waitUntilMembersComplete();
  /** Starts a process of the program under test with \p Arguments. */
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
  std::string writeSettings(const Vm &Of) const;
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
  std::vector<std::string> m_PreviousLines; ///< Of target processes replaced.
  std::vector<Vm> m_Vms;
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_CLUSTER_H
