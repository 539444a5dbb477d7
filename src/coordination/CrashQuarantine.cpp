#include "coordination/CrashQuarantine.h"

#include "state/RendezvousHash.h"

#include <algorithm>

namespace figturn {

namespace {

std::uint32_t targetKey(const TargetInstance &Target) {
  return static_cast<std::uint32_t>(stableHash(
      Target.m_Name.value(), static_cast<std::uint64_t>(Target.m_StartedMs)));
}

} // namespace

void CrashQuarantine::onCallLost(Fingerprint Request,
                                 const TargetInstance &Target, TimePoint Now) {
  dropExpired(Now);
  if (m_Pending.size() >= m_Options.m_MaxPending)
    m_Pending.erase(m_Pending.begin());
  m_Pending.push_back(
      {.m_Request = Request, .m_Target = Target, .m_Since = Now});
}

void CrashQuarantine::onAnswered(Fingerprint Request, TimePoint Now) {
  std::erase_if(m_Pending, [Request](const Pending &Each) {
    return Each.m_Request == Request;
  });
  if (!isQuarantined(Request, Now))
    m_Suspects.erase(Request);
}

bool CrashQuarantine::hasUnexplainedLoss(const TargetInstance &Target,
                                         TimePoint Now) const {
  return std::any_of(
      m_Pending.begin(), m_Pending.end(), [&](const Pending &Each) {
        return Each.m_Target == Target &&
               Now - Each.m_Since <= m_Options.m_ConfirmationTimeout;
      });
}

std::vector<Fingerprint>
CrashQuarantine::onTargetDown(const TargetInstance &Target, TimePoint Now) {
  dropExpired(Now);
  std::vector<Fingerprint> Suspects;
  std::erase_if(m_Pending, [&](const Pending &Each) {
    if (Each.m_Target != Target)
      return false;
    Suspects.push_back(Each.m_Request);
    return true;
  });
  for (const Fingerprint Each : Suspects)
    add(Each, targetKey(Target),
        {.m_Until = Now + m_Options.m_QuarantineDuration,
         .m_SendNotBefore = Now + m_Options.m_GossipDelay},
        Now);
  return Suspects;
}

void CrashQuarantine::onTargetUp(const TargetInstance &Target) {
  std::erase_if(m_Pending,
                [&](const Pending &Each) { return Each.m_Target == Target; });
}

bool CrashQuarantine::isQuarantined(Fingerprint Request, TimePoint Now) const {
  return crashes(Request, Now) >= m_Options.m_CrashLimit;
}

std::size_t CrashQuarantine::crashes(Fingerprint Request, TimePoint Now) const {
  const auto Found = m_Suspects.find(Request);
  if (Found == m_Suspects.end())
    return 0;
  return static_cast<std::size_t>(std::count_if(
      Found->second.begin(), Found->second.end(),
      [Now](const auto &Each) { return Now < Each.second.m_Until; }));
}

std::vector<CrashRecord>
CrashQuarantine::selectRecordsToSend(std::size_t MaxRecords, TimePoint Now) {
  struct Candidate {
    Fingerprint m_Request;
    std::uint32_t m_Target;
    CrashEntry *m_Entry;
  };
  std::vector<Candidate> Candidates;
  for (auto &[Request, Entries] : m_Suspects)
    for (auto &[Target, Each] : Entries)
      if (Now >= Each.m_SendNotBefore && Now < Each.m_Until)
        Candidates.push_back({Request, Target, &Each});
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const Candidate &Left, const Candidate &Right) {
                     return Left.m_Entry->m_SendCount <
                            Right.m_Entry->m_SendCount;
                   });
  Candidates.resize(std::min(Candidates.size(), MaxRecords));
  std::vector<CrashRecord> Records;
  for (const Candidate &Each : Candidates) {
    ++Each.m_Entry->m_SendCount;
    Records.push_back({.m_Request = Each.m_Request,
                       .m_Target = Each.m_Target,
                       .m_Remaining = std::chrono::duration_cast<milliseconds>(
                           Each.m_Entry->m_Until - Now)});
  }
  return Records;
}

bool CrashQuarantine::mergeRecord(const CrashRecord &Record, TimePoint Now) {
  const bool WasQuarantined = isQuarantined(Record.m_Request, Now);
  const Duration Remaining = std::clamp<Duration>(
      Record.m_Remaining, Duration(0), m_Options.m_QuarantineDuration);
  add(Record.m_Request, Record.m_Target,
      {.m_Until = Now + Remaining, .m_SendNotBefore = Now}, Now);
  return !WasQuarantined && isQuarantined(Record.m_Request, Now);
}

void CrashQuarantine::add(Fingerprint Request, std::uint32_t Target,
                          const CrashEntry &New, TimePoint Now) {
  dropExpired(Now);
  if (!m_Suspects.contains(Request) &&
      m_Suspects.size() >= m_Options.m_MaxSuspects)
    return;
  CrashEntries &Entries = m_Suspects[Request];
  const auto [Known, IsNew] = Entries.try_emplace(Target, New);
  if (!IsNew)
    Known->second.m_Until = std::max(Known->second.m_Until, New.m_Until);
}

void CrashQuarantine::dropExpired(TimePoint Now) {
  std::erase_if(m_Pending, [&](const Pending &Each) {
    return Now - Each.m_Since > m_Options.m_ConfirmationTimeout;
  });
  for (auto &[Request, Entries] : m_Suspects)
    std::erase_if(Entries, [Now](const auto &Each) {
      return Now >= Each.second.m_Until;
    });
  std::erase_if(m_Suspects,
                [](const auto &Each) { return Each.second.empty(); });
}

} // namespace figturn
