#ifndef FIGTURN_PROTOCOL_ROUTEDSETTINGS_H
#define FIGTURN_PROTOCOL_ROUTEDSETTINGS_H

/**
 * Settings of an entry VM in routed mode, which is selected by the key `door`.
 * The VM forwards requests according to the platform's configuration and
 * registry instead of serving figturn's own caller API.
 */

#include "protocol/FieldRule.h"
#include "protocol/JsonProblem.h"
#include "protocol/NodeSettings.h"
#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figturn {

/** Settings of one process. */
struct RoutedSettings {
  VmName m_Vm;
  DataCentreName m_DataCentre;
  std::string m_Mode;             ///< Key `door`; always "routed".
  std::string m_CallerAddress;    ///< "IP:port" that serves callers.
  std::string m_ReadinessAddress; ///< Serves readiness probes.
  std::string m_DirectoryAddress; ///< Serves the list of VMs to callers.
  std::string m_ControlAddress;   ///< Serves status and copies of the state.
  std::string m_GossipAddress;    ///< UDP address for gossip between VMs.
  std::string m_MetricsAddress;   ///< Serves metrics as text.
  std::string m_StoreAddress;     ///< "IP:port" of the platform's store.
  std::string m_SeedAddresses;    ///< Comma-separated control addresses of VMs.
  double m_GraceSeconds = 6;      ///< Time from SIGTERM to SIGKILL.
  /** Time in ms for which a target serves after its entry was removed. */
  double m_TargetDrainMs = 3000;
  double m_RetryRatio = 0.2;        ///< Extra calls as a ratio of requests.
  double m_RetrySlack = 0;          ///< Additional extra calls per window.
  double m_ColdMultiplier = 1;      ///< Multiplier of a service's cold rate.
  double m_ColdSlack = 0;           ///< Additional cold requests per second.
  double m_DirectoryTtlSeconds = 2; ///< Cache lifetime of a directory answer.
  /** Maximum delay of the first listings of the store, chosen at random. A copy
   *  of another VM that arrives before makes them unnecessary. */
  double m_FirstListDelaySeconds = 0;
  double m_CpuShare = 1; ///< Fraction of each core it may use.
  std::uint32_t m_Cores = 1;
  std::uint32_t m_Descriptors = DefaultDescriptors;
  std::uint32_t m_MemoryMiB = DefaultMemoryMiB;
};

/** Decoded settings and all problems found in them. */
struct RoutedSettingsResult {
  RoutedSettings m_Settings; ///< Valid only without problems.
  JsonProblems m_Problems;
};

/** The keys of the settings file in routed mode. */
std::span<const FieldBinding<RoutedSettings>> routedSettingsRules();

/** Whether the settings in \p File select routed mode. */
bool selectsRoutedMode(const std::string &File);

RoutedSettingsResult parseRoutedSettings(std::string_view Text,
                                         const std::string &File);
RoutedSettingsResult readRoutedSettings(const std::string &File);

/** Time for which a target serves after its entry was removed. */
Duration targetDrainTime(const RoutedSettings &Settings);

/** The gossip addresses of the seed VMs in \p Settings. All VMs use the same
 *  gossip port. */
std::vector<std::string> seedGossipAddresses(const RoutedSettings &Settings);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_ROUTEDSETTINGS_H
