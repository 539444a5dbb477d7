#include "coordination/ColdStartQuota.h"

#include "state/RendezvousHash.h"

#include <algorithm>
#include <cmath>

namespace figturn {

std::uint32_t ColdStartQuota::share(const TargetName &Target,
                                    ColdStartAllowance Allowance,
                                    std::span<const VmName> Fleet) const {
  const auto Total = static_cast<std::uint64_t>(
      std::max(0.0, std::floor(Allowance.m_RequestsPerSecond)));
  if (Fleet.empty())
    return 0;
  const std::uint64_t PerVm = Total / Fleet.size();
  const std::uint64_t Remainder = Total % Fleet.size();
  const auto Order = rendezvousOrder(Fleet, stableHash(Target.value()));
  const auto Position = static_cast<std::uint64_t>(
      std::find(Order.begin(), Order.end(), m_Self) - Order.begin());
  return static_cast<std::uint32_t>(PerVm + (Position < Remainder ? 1 : 0));
}

bool ColdStartQuota::tryReserve(const TargetName &Target, std::uint32_t Share,
                                TimePoint Now) {
  std::deque<TimePoint> &Sent = m_Sent[Target];
  while (!Sent.empty() && Now - Sent.front() >= Window)
    Sent.pop_front();
  if (Sent.size() >= Share) {
    if (Sent.empty())
      m_Sent.erase(Target);
    return false;
  }
  Sent.push_back(Now);
  return true;
}

} // namespace figturn
