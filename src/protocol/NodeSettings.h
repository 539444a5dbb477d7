#ifndef FIGTURN_PROTOCOL_NODESETTINGS_H
#define FIGTURN_PROTOCOL_NODESETTINGS_H

/**
 * The settings of one entry VM's process: its name, data centre and
 * addresses. All other state comes from the platform and from peers.
 */

#include "state/Ids.h"

#include <cstdint>
#include <string>

namespace figturn {

/** Limits of a process whose settings don't state them: the memory of the
 *  smallest VMs, and the usual limit of open file descriptors. */
constexpr std::uint32_t DefaultMemoryMiB = 112;
constexpr std::uint32_t DefaultDescriptors = 1024;

/** Settings of one process. */
struct NodeSettings {
  VmName m_Vm;
  DataCentreName m_DataCentre;
  std::string m_CallerAddress; ///< "IP:port" that serves callers.
  std::string m_PeerAddress;   ///< "IP:port" that serves other VMs.
  std::string m_PlatformUrl;   ///< Base URL of the object API.
  std::string m_VmListUrl;     ///< Base URL of the VM list.
  std::uint32_t m_Workers = 2; ///< Number of worker threads.
  std::uint32_t m_Descriptors = DefaultDescriptors;
  std::uint32_t m_MemoryMiB = DefaultMemoryMiB;
};

/** A parsed "IP:port". */
struct SocketAddress {
  std::string m_Host;
  std::uint16_t m_Port = 0;
};

} // namespace figturn

#endif // FIGTURN_PROTOCOL_NODESETTINGS_H
