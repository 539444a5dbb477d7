#ifndef FIGTURN_STATE_ROUTINGCONFIG_H
#define FIGTURN_STATE_ROUTINGCONFIG_H

/**
 * Configuration of routed mode: which service or shards serve a request,
 * selected by host and path, and the limits that operators set for callers and
 * targets. A configuration is immutable once built; each request keeps the one
 * with which it started, so that an answer never mixes two versions.
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
  SingleRun   ///< Runs at most once per request.
};

/** A service and its share of a route's requests. */
struct WeightedService {
  ServiceName m_Service;
  double m_Weight = 1; ///< Relative to the other weights of the route.
};

/** A search over one target of each shard. */
struct ShardedSearch {
  std::vector<ServiceName> m_Shards; ///< Each shard is a service.
  std::size_t m_MaxRecords = 0; ///< Maximum number of records in an answer.
  double m_MinCoverage = 1; ///< Share of the shards that an answer must cover.
};

/** A rule that selects where requests for a host and path are sent. */
struct Route {
  std::string m_Name;
  std::string m_Host;
  std::string m_PathPrefix; ///< Begins and ends with a slash.
  RouteKind m_Kind = RouteKind::Idempotent;
  milliseconds m_Timeout{}; ///< Maximum time until the caller gets an answer.
  milliseconds m_LatencyObjective{}; ///< Answers within it are on time.
  std::uint32_t m_Rank = 0;          ///< 0 is the most important.
  /** Maximum number of targets to which a request may be sent. */
  std::uint32_t m_MaxSends = 1;
  std::vector<WeightedService> m_Services; ///< Empty for a search.
  std::optional<ShardedSearch> m_Search;
};

/** Limits that operators set for a service's targets. */
struct ServicePolicy {
  /** Connections that a target accepts from all VMs in total. */
  std::uint32_t m_ConnectionLimit = 0;
  /** Requests per second that a cold target accepts from all VMs in total. */
  double m_ColdRequestsPerSecond = 0;
};

/** Limits on callers' connections. */
struct CallerLimits {
  std::size_t m_HeaderBytes = 16384;
  std::size_t m_BodyBytes = 1048576;
  /** Counted from the first byte of a request. */
  milliseconds m_HeaderTimeout{5000};
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

  /** The route of \p Host with the longest prefix of \p Path, or nullptr. A
   *  port in \p Host is ignored. */
  const Route *match(std::string_view Host, std::string_view Path) const;

  /** The policy of \p Service; the default policy, which has no connection
   *  limit (0), if the service is unknown. */
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
