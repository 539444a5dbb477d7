#include "node/RoutingTable.h"

#include "state/RendezvousHash.h"

#include <mutex>
#include <utility>

namespace figturn {

ConfigurationPtr RoutingTable::configuration() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Configuration;
}

IndexSnapshotPtr RoutingTable::snapshot(const ServiceName &Service) const {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Snapshots.find(Service);
  return Found == m_Snapshots.end() ? nullptr : Found->second;
}

bool RoutingTable::install(ConfigurationPtr Config) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Configuration && Config->m_Version <= m_Configuration->m_Version)
    return false;
  m_Configuration = std::move(Config);
  return true;
}

bool RoutingTable::install(IndexSnapshotPtr Snapshot) {
  const std::lock_guard Lock(m_Mutex);
  IndexSnapshotPtr &Held = m_Snapshots[Snapshot->m_Service];
  if (Held && Snapshot->m_Version <= Held->m_Version)
    return false;
  Held = std::move(Snapshot);
  return true;
}

std::map<ServiceName, IndexVersion> RoutingTable::indexVersions() const {
  const std::lock_guard Lock(m_Mutex);
  std::map<ServiceName, IndexVersion> Versions;
  for (const auto &[Service, Snapshot] : m_Snapshots)
    Versions.emplace(Service, Snapshot->m_Version);
  return Versions;
}

std::uint64_t RoutingTable::indexDigest() const {
  std::uint64_t Digest = 0;
  for (const auto &[Service, Version] : indexVersions())
    Digest ^= stableHash(Service.value(), Version.value());
  return Digest;
}

} // namespace figturn
