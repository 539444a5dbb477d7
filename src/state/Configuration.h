#ifndef FIGTURN_STATE_CONFIGURATION_H
#define FIGTURN_STATE_CONFIGURATION_H

/**
 * The operators' configuration as typed values: data centres, services and
 * targets. An accepted Configuration is immutable; the node layer replaces its
 * shared pointer when a later version takes effect.
 */

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace figturn {

/** Whether operators allow new work in a data centre or at a target. */
enum class Placement {
  In, ///< Receives new work.
  Out ///< Receives no new work; calls in flight finish.
};

/** A data centre as operators configured it. */
struct DataCentreConfig {
  Placement m_Placement = Placement::In;
};

/** A search service as operators configured it. */
struct ServiceConfig {
  /** Deadline of requests that do not set one. */
  milliseconds m_DefaultDeadline{1000};
  /** Maximum deadline that a caller may request. */
  milliseconds m_MaxDeadline{10000};
  /** Hedges and retries allowed, as a share of first calls (0.05 = 5%). */
  double m_ExtraLoadShare = 0.05;
  /** Quantile of call latency after which a hedge is sent. */
  double m_HedgeQuantile = 0.95;
  /** Maximum number of waiting and running requests at one entry VM. */
  std::uint32_t m_MaxPendingRequests = 1000;
};

/** A target and its load limits. */
struct TargetConfig {
  ServiceName m_Service;
  DataCentreName m_DataCentre;
  std::string m_Host; ///< IP address.
  std::uint16_t m_Port = 0;
  Placement m_Placement = Placement::In;
  std::uint32_t m_Searchers = 1;
  std::uint32_t m_SlotsPerSearcher = 4;
  /** Connections that it accepts from all VMs in total. */
  std::uint32_t m_ConnectionLimit = 80;
  /** Calls in flight that it can handle in cold start, over all VMs. */
  std::uint32_t m_ColdSlots = 1;
  /** Successful calls at one ramp level before the next level is granted. */
  std::uint32_t m_RampSuccesses = 20;

  /** Calls in flight that it can handle when warm, over all VMs. */
  std::uint32_t warmSlots() const { return m_Searchers * m_SlotsPerSearcher; }
};

/** One accepted version of the complete configuration. */
struct Configuration {
  ConfigVersion m_Version;
  /** Id of the change that wrote this version; identifies a write whose reply
   *  was lost. */
  std::string m_ChangeId;
  std::map<DataCentreName, DataCentreConfig> m_DataCentres;
  std::map<ServiceName, ServiceConfig> m_Services;
  std::map<TargetName, TargetConfig> m_Targets;

  /** Whether \p Target may receive new work: both it and its data centre are
   *  in. */
  bool acceptsNewWork(const TargetName &Target) const;
};

} // namespace figturn

#endif // FIGTURN_STATE_CONFIGURATION_H
