#ifndef FIGTURN_PROTOCOL_ROUTEDSETTINGS_H
#define FIGTURN_PROTOCOL_ROUTEDSETTINGS_H

/**
 * Settings of an entry VM whose door is "routed": it forwards requests by the
 * platform's configuration and registry, in place of figturn's own caller
 * API.
 */

#include "protocol/FieldRule.h"
#include "protocol/JsonProblem.h"
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
  std::string m_Mode;             ///< "routed".
  std::string m_CallerAddress;    ///< "IP:port" on which callers are served.
  std::string m_ReadinessAddress; ///< Answers whether this VM is ready.
  std::string m_DirectoryAddress; ///< Tells callers which VMs to use.
  std::string m_ControlAddress;   ///< Status, and copies of state for VMs.
  std::string m_GossipAddress;    ///< UDP between VMs.
  std::string m_MetricsAddress;   ///< Metrics as text.
  std::string m_StoreAddress;     ///< "IP:port" of the platform's store.
  std::string m_Seeds;         ///< Control addresses of some VMs, with commas.
  double m_GraceSeconds = 6;   ///< From SIGTERM to SIGKILL.
  double m_RetryRatio = 0.2;   ///< Extra calls as a share of requests.
  double m_RetrySlack = 0;     ///< Extra calls beyond that, in a window.
  double m_ColdMultiplier = 1; ///< Of a service's cold rate.
  double m_ColdSlack = 0;      ///< Cold requests a second beyond that.
  double m_DirectoryTtlSeconds = 2; ///< Longest time to keep an answer.
  double m_CpuShare = 1;            ///< Part of each core that it may use.
  std::uint32_t m_Cores = 1;
  std::uint32_t m_Descriptors = 1024; ///< The process's limit.
};

/** Settings read, and all that is wrong with them. */
struct RoutedSettingsResult {
  RoutedSettings m_Settings; ///< Of use only if there are no problems.
  JsonProblems m_Problems;
};

/** The keys of a routed VM's settings file. */
std::span<const FieldBinding<RoutedSettings>> routedSettingsRules();

/** Whether the settings in \p File ask for the routed door. */
bool selectsRoutedMode(const std::string &File);

RoutedSettingsResult parseRoutedSettings(std::string_view Text,
                                         const std::string &File);
RoutedSettingsResult readRoutedSettings(const std::string &File);

/** The gossip addresses of the VMs that \p Settings name as seeds. All VMs
 *  gossip on the same port. */
std::vector<std::string> seedGossipAddresses(const RoutedSettings &Settings);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_ROUTEDSETTINGS_H
