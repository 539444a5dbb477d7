#ifndef FIGTURN_STATE_ROUTINGCONFIG_H
#define FIGTURN_STATE_ROUTINGCONFIG_H

/**
 * Configuration of the routed door: which service or shards serve a request,
 * chosen by host and path, and what operators allow callers and targets. A
 * configuration is immutable once built; requests hold the one they began
 * with, so that an answer never mixes two versions.
 */

#include "state/Ids.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figturn {

/** How often a request of a route may run. */
enum class RouteKind {
  Idempotent, ///< May run more than once.
  SingleRun   ///< At most once for each request.
};

/** A service and its share of a route's requests. */
struct WeightedService {
  ServiceName m_Service;
  double m_Weight = 1; ///< Relative to the other weights of the route.
};

/** A search over one target of each shard. */
struct ShardedSearch {
  std::vector<ServiceName> m_Shards; ///< Each shard is a service.
  std::size_t m_MaxRecords = 0;      ///< Records in an answer, at most.
  double m_MinCoverage = 1; ///< Share of the shards an answer must cover.
};

/** A rule that says where requests of a host and path go. */
struct Route {
  std::string m_Name;
  std::string m_Host;
  std::string m_PathPrefix; ///< Begins and ends with a slash.
  RouteKind m_Kind = RouteKind::Idempotent;
  milliseconds m_Timeout{};          ///< Longest time to keep a caller waiting.
  milliseconds m_LatencyObjective{}; ///< Answers within it are on time.
  std::uint32_t m_Rank = 0;          ///< 0 is the most important.
  std::uint32_t m_MaxSends = 1;      ///< Targets a request may be sent to.
  std::vector<WeightedService> m_Services; ///< Unless it is a search.
  std::optional<ShardedSearch> m_Search;
};

/** What operators say of one service's targets. */
struct ServicePolicy {
  /** Connections that a target takes from all VMs together. */
  std::uint32_t m_ConnectionLimit = 0;
  /** Requests a second that a cold target takes from all VMs together. */
  double m_ColdRequestsPerSecond = 0;
};

/** Limits of callers' connections. */
struct CallerLimits {
  std::size_t m_HeaderBytes = 16384;
  std::size_t m_BodyBytes = 1048576;
  milliseconds m_HeaderTimeout{5000}; ///< From a request's first byte on.
  milliseconds m_IdleTimeout{60000};
};

/** One version of the configuration. */
class RoutingConfig {
public:
  RoutingConfig() = default;
  RoutingConfig(ConfigVersion Version, std::vector<Route> Routes,
                std::map<ServiceName, ServicePolicy> Services,
                CallerLimits Limits);

  ConfigVersion version() const { return m_Version; }
  const std::vector<Route> &routes() const { return m_Routes; }
  const CallerLimits &limits() const { return m_Limits; }

  /** The route of \p Host with the longest prefix of \p Path, or null. A
   *  port behind the host's name is left out of account. */
  const Route *match(std::string_view Host, std::string_view Path) const;

  /** The policy of \p Service; that of a service unknown here has no limit of
   *  connections (0). */
  ServicePolicy policy(const ServiceName &Service) const;

private:
  ConfigVersion m_Version;
  std::vector<Route> m_Routes;
  std::map<ServiceName, ServicePolicy> m_Services;
  CallerLimits m_Limits;
  /** Indices into m_Routes by host, the longest prefix first. */
  std::unordered_map<std::string, std::vector<std::size_t>> m_ByHost;
};

using RoutingConfigPtr = std::shared_ptr<const RoutingConfig>;

} // namespace figturn

#endif // FIGTURN_STATE_ROUTINGCONFIG_H
