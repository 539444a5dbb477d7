#include "node/WorkerState.h"

namespace figturn {

namespace {

/** Maximum number of unspent extra calls per worker and service. */
constexpr double BudgetBurst = 50;
constexpr milliseconds MinHedgeDelay{2};

} // namespace

ServiceState::ServiceState(const ServiceConfig &Config)
    : m_ExtraLoadShare(Config.m_ExtraLoadShare),
      m_HedgeQuantile(Config.m_HedgeQuantile),
      m_Hedge(m_Latency, Config.m_HedgeQuantile, MinHedgeDelay),
      m_Budget(Config.m_ExtraLoadShare, BudgetBurst, BudgetBurst) {}

bool ServiceState::differsFrom(const ServiceConfig &Config) const {
  return Config.m_ExtraLoadShare != m_ExtraLoadShare ||
         Config.m_HedgeQuantile != m_HedgeQuantile;
}

WorkerState::WorkerState(ReplicaTable &Targets, std::uint32_t Seed)
    : m_Chooser(Targets, {}, Seed) {}

std::shared_ptr<ServiceState>
WorkerState::service(const ServiceName &Service, const ServiceConfig &Config) {
  std::shared_ptr<ServiceState> &State = m_Services[Service];
  if (!State || State->differsFrom(Config))
    State = std::make_shared<ServiceState>(Config);
  return State;
}

} // namespace figturn
