#include "coordination/ExtraLoadBudget.h"

#include <algorithm>

namespace figturn {

namespace {

/** Limits what VMs that have all just started, and don't know one another,
 *  spend before their calls have earned it. */
constexpr double MaxReserve = 2;

} // namespace

ExtraLoadShare extraLoadShare(double Slack, double Share) {
  const double Burst = std::max(1.0, Slack * Share);
  return {.m_Burst = Burst, .m_Reserve = std::min(Burst / 2, MaxReserve)};
}

ExtraLoadBudget::ExtraLoadBudget(double Share, double Burst, double Reserve)
    : m_Share(Share), m_Burst(Burst), m_Tokens(std::min(Reserve, Burst)) {}

void ExtraLoadBudget::recordFirstCalls(std::uint32_t FirstCalls) {
  m_Tokens = std::min(m_Tokens + FirstCalls * m_Share, m_Burst);
}

bool ExtraLoadBudget::tryAcquire() {
  if (m_Tokens < 1)
    return false;
  m_Tokens -= 1;
  return true;
}

void ExtraLoadBudget::release() { m_Tokens = std::min(m_Tokens + 1, m_Burst); }

void ExtraLoadBudget::setBurst(double Burst) {
  m_Burst = Burst;
  m_Tokens = std::min(m_Tokens, m_Burst);
}

void ExtraLoadBudget::setShare(double Share) { m_Share = Share; }

} // namespace figturn
