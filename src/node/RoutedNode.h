#ifndef FIGTURN_NODE_ROUTEDNODE_H
#define FIGTURN_NODE_ROUTEDNODE_H

/**
 * An entry VM in routed mode: creates and starts its components and performs
 * the planned stop. Everything runs on a single worker, so that a request is
 * served without switching threads; the main thread only handles signals and
 * checks the settings file for changes.
 */

#include "coordination/DirectoryPolicy.h"
#include "coordination/DrainSequence.h"
#include "coordination/FleetView.h"
#include "node/GossipSocket.h"
#include "node/PlatformAdapter.h"
#include "node/RoutedContext.h"
#include "node/RoutedFrontend.h"
#include "node/StateCopier.h"
#include "protocol/RoutedSettings.h"
#include "transport/HttpServer.h"
#include "transport/WorkerPool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

namespace figturn {

/** What an adapter for a platform provides to a VM in routed mode. */
struct PlatformBinding {
  RoutedHeaders m_Headers;
  std::unique_ptr<PlatformAdapter> m_Adapter;
  /** Answers a request at the readiness address. */
  std::function<HttpResponse(const HttpRequest &, bool IsReady)> m_Readiness;
  /** Answers a request at the directory address; \p Addresses are the VMs to
   *  advertise to callers. */
  std::function<HttpResponse(const HttpRequest &,
                             const std::vector<std::string> &Addresses)>
      m_Directory;
};

/** One VM. Created and used on its worker. */
class RoutedNode final : public PlatformListener {
public:
  RoutedNode(const RoutedSettings &Settings, PlatformBinding Platform,
             WorkerPool &Worker, std::uint32_t Seed);
  ~RoutedNode() override;

  /** Opens the listening addresses and starts. Fails if an address can't be
   *  used. */
  std::error_code start();
  /** Begins the planned stop; \p OnStopped runs once all requests have
   *  finished. */
  void stop(std::function<void()> OnStopped);
  /** Applies changed settings; changes of addresses need a restart. */
  void reload(const RoutedSettings &Settings);

  void onConfig(RoutingConfigPtr Config) override;
  void onTargets(std::vector<TargetEntry> Entries,
                 TimePoint PresentAt) override;
  void onTarget(TargetEntry Entry, TimePoint ChangedAfter) override;
  void onTargetRemoved(const TargetName &Name, TimePoint PresentAt) override;
  void onEvacuations(std::set<DataCentreName> Evacuated) override;
  void onVmAddresses(const std::vector<std::string> &Addresses) override;

private:
  using ServerPtr = std::unique_ptr<HttpServer>;

  ServerPtr makeServer(const std::string &Address, HttpHandler Handler);
  ServerPtr makeServer(const std::string &Address, HttpHandler Handler,
                       std::function<bool(TimePoint Now)> AreLimitsKnown);
  bool isReady() const;
  /** Whether the configuration in force is shown to be the newest one, and no
   *  other VM holds a newer one. */
  bool isConfigProven(TimePoint Now) const;
  void handleRegistryChange(const RegistryChange &Change,
                            std::string_view Cause);
  /** Drops targets that are missing for too long, now and when due. */
  void expireTargets();
  void onFleetChange();
  void onTick();
  FleetAgreement fleetAgreement(TimePoint Now);
  void advanceDrain();
  HttpResponse serveControl(const HttpRequest &Request);
  HttpResponse serveDirectory(const HttpRequest &Request);
  std::string statusText() const;
  std::string metricsText() const;

  RoutedSettings m_Settings;
  PlatformBinding m_Platform;
  WorkerPool &m_Worker;
  FleetView m_Fleet;
  RoutedContext m_Context;
  RoutedFrontend m_Frontend;
  GossipSocket m_Gossip;
  DirectoryPolicy m_DirectoryPolicy;
  std::shared_ptr<CallerConnections> m_CallerConnections; ///< Of all servers.
  ServerPtr m_CallerServer;
  ServerPtr m_ReadinessServer;
  ServerPtr m_DirectoryServer;
  ServerPtr m_ControlServer;
  ServerPtr m_MetricsServer;
  StateCopier m_StateCopier;
  bool m_HasTargets = false;
  bool m_AwaitsConfig = false; ///< Before it is ready, of a peer.
  bool m_WasReady = false;
  TimePoint m_StartedAt;
  TimePoint m_NextVmRefreshAt;
  TimePoint m_LastTickAt;
  std::size_t m_QuotaMemberCount = 0;
  Duration m_MaxLag{};
  Duration m_MeanLag{};
  DrainSequence m_Drain;
  QTimer m_TickTimer;
  QTimer m_ExpiryTimer;
  std::function<void()> m_OnStopped;
};

} // namespace figturn

#endif // FIGTURN_NODE_ROUTEDNODE_H
