#include "coordination/CanaryRegistry.h"

#include "state/RendezvousHash.h"

#include <algorithm>

namespace figturn {

namespace {

/**
 * Maximum number of unreported canaries kept for each fingerprint, so that
 * their late reports still count.
 */
constexpr std::size_t MaxPendingCanaries = 4;

} // namespace

const VmName *canaryOwner(std::span<const VmName> Members,
                          Fingerprint Request) {
  return rendezvousOwner(Members, stableHash("canary", Request.value()));
}

CanaryAnswer CanaryRegistry::ask(Fingerprint Request, TimePoint Now) {
  if (auto Remaining = quarantineRemaining(Request, Now))
    return {.m_Verdict = CanaryVerdict::Quarantined, .m_Remaining = *Remaining};
  if (isKnownGood(Request))
    return {.m_Verdict = CanaryVerdict::KnownGood};
  return startCanary(Request, Now);
}

std::optional<CrashNotice> CanaryRegistry::report(Fingerprint Request,
                                                  std::uint64_t Canary,
                                                  CanaryOutcome Outcome,
                                                  TimePoint Now) {
  if (Canary != 0 && !finishCanary(Request, Canary))
    return std::nullopt;
  if (Outcome == CanaryOutcome::Crashed) {
    if (Canary == 0 && hasRecentCrash(Request, Now))
      return std::nullopt;
    return countCrash(Request, Now);
  }
  if (Outcome == CanaryOutcome::Ok && Canary != 0 &&
      !quarantineRemaining(Request, Now)) {
    m_Suspects.erase(Request);
    addKnownGood(Request);
  }
  return std::nullopt;
}

void CanaryRegistry::onCrashNotice(const CrashNotice &Notice, TimePoint Now) {
  Suspect &Known = findOrAddSuspect(Notice.m_Fingerprint, Now);
  Known.m_Crashes = std::max(Known.m_Crashes, Notice.m_Crashes);
  Known.m_Until = std::max(Known.m_Until, Now + Notice.m_Remaining);
  removeKnownGood(Notice.m_Fingerprint);
}

std::optional<Duration>
CanaryRegistry::quarantineRemaining(Fingerprint Request, TimePoint Now) const {
  auto Found = m_Suspects.find(Request);
  if (Found == m_Suspects.end() || Now >= Found->second.m_Until ||
      Found->second.m_Crashes < m_Options.m_CrashLimit)
    return std::nullopt;
  return Found->second.m_Until - Now;
}

bool CanaryRegistry::isKnownGood(Fingerprint Request) {
  auto Found = m_KnownGood.find(Request);
  if (Found == m_KnownGood.end())
    return false;
  m_KnownGoodByUse.splice(m_KnownGoodByUse.begin(), m_KnownGoodByUse,
                          Found->second);
  return true;
}

void CanaryRegistry::addKnownGood(Fingerprint Request) {
  if (isKnownGood(Request))
    return;
  if (m_KnownGoodByUse.size() >= m_Options.m_MaxKnownGood) {
    m_KnownGood.erase(m_KnownGoodByUse.back());
    m_KnownGoodByUse.pop_back();
  }
  m_KnownGoodByUse.push_front(Request);
  m_KnownGood.emplace(Request, m_KnownGoodByUse.begin());
}

void CanaryRegistry::removeKnownGood(Fingerprint Request) {
  auto Found = m_KnownGood.find(Request);
  if (Found == m_KnownGood.end())
    return;
  m_KnownGoodByUse.erase(Found->second);
  m_KnownGood.erase(Found);
}

CanaryAnswer CanaryRegistry::startCanary(Fingerprint Request, TimePoint Now) {
  auto Running = m_InFlight.find(Request);
  if (Running != m_InFlight.end() && Now < Running->second.back().m_Expires)
    return {.m_Verdict = CanaryVerdict::Wait,
            .m_Remaining = Running->second.back().m_Expires - Now};
  const bool IsFull = Running == m_InFlight.end() &&
                      m_InFlight.size() >= m_Options.m_MaxInFlight;
  if (IsFull)
    std::erase_if(m_InFlight, [&](const auto &Entry) {
      return Entry.second.back().m_Expires <= Now;
    });
  if (IsFull && m_InFlight.size() >= m_Options.m_MaxInFlight)
    return {.m_Verdict = CanaryVerdict::Wait,
            .m_Remaining = m_Options.m_CanaryTimeout};
  std::vector<Canary> &Canaries = m_InFlight[Request];
  if (Canaries.size() >= MaxPendingCanaries)
    Canaries.erase(Canaries.begin());
  Canaries.push_back({++m_LastCanary, Now + m_Options.m_CanaryTimeout});
  return {.m_Verdict = CanaryVerdict::Proceed, .m_Canary = m_LastCanary};
}

bool CanaryRegistry::finishCanary(Fingerprint Request, std::uint64_t Number) {
  auto Found = m_InFlight.find(Request);
  if (Found == m_InFlight.end())
    return false;
  const bool WasPending = std::erase_if(Found->second, [&](const Canary &Each) {
                            return Each.m_Number == Number;
                          }) > 0;
  if (Found->second.empty())
    m_InFlight.erase(Found);
  return WasPending;
}

bool CanaryRegistry::hasRecentCrash(Fingerprint Request, TimePoint Now) const {
  const auto Found = m_Suspects.find(Request);
  return Found != m_Suspects.end() && Found->second.m_Crashes > 0 &&
         Now < Found->second.m_LastCrashAt + m_Options.m_CommonCauseWindow;
}

CrashNotice CanaryRegistry::countCrash(Fingerprint Request, TimePoint Now) {
  removeKnownGood(Request);
  Suspect &Known = findOrAddSuspect(Request, Now);
  ++Known.m_Crashes;
  Known.m_LastCrashAt = Now;
  Known.m_Until = Now + m_Options.m_QuarantineDuration;
  return {.m_Fingerprint = Request,
          .m_Crashes = Known.m_Crashes,
          .m_Remaining = m_Options.m_QuarantineDuration};
}

CanaryRegistry::Suspect &CanaryRegistry::findOrAddSuspect(Fingerprint Request,
                                                          TimePoint Now) {
  auto Found = m_Suspects.find(Request);
  if (Found != m_Suspects.end()) {
    // Once a quarantine has ended, a single crash starts the next one.
    if (Now >= Found->second.m_Until)
      Found->second.m_Crashes =
          std::min(Found->second.m_Crashes, m_Options.m_CrashLimit - 1);
    return Found->second;
  }
  if (m_Suspects.size() >= m_Options.m_MaxSuspects) {
    auto Earliest =
        std::min_element(m_Suspects.begin(), m_Suspects.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.m_Until < Right.second.m_Until;
                         });
    m_Suspects.erase(Earliest);
  }
  return m_Suspects.try_emplace(Request, Suspect{.m_Until = Now}).first->second;
}

} // namespace figturn
