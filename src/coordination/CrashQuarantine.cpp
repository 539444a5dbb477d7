#include "coordination/CrashQuarantine.h"

#include "state/RendezvousHash.h"

#include <algorithm>
#include <utility>

namespace figturn {

namespace {

std::uint32_t targetKey(const TargetInstance &Target) {
  return static_cast<std::uint32_t>(stableHash(
      Target.m_Name.value(), static_cast<std::uint64_t>(Target.m_StartedMs)));
}

} // namespace

CrashQuarantine::CrashQuarantine(CrashQuarantineOptions Options)
    : m_Options(std::move(Options)),
      m_SelfKey(
          static_cast<std::uint32_t>(stableHash(m_Options.m_Self.value()))) {}

void CrashQuarantine::onCallLost(const LostCall &Call, TimePoint Now) {
  dropExpired(Now);
  if (m_Pending.size() >= m_Options.m_MaxPending)
    m_Pending.erase(m_Pending.begin());
  m_Pending.push_back({.m_Call = Call, .m_LostAt = Now});
}

void CrashQuarantine::onAnswered(Fingerprint Request, TimePoint Now) {
  std::erase_if(m_Pending, [Request](const Pending &Each) {
    return Each.m_Call.m_Request == Request;
  });
  if (!isQuarantined(Request, Now))
    m_Suspects.erase(Request);
}

bool CrashQuarantine::hasUnexplainedLoss(const TargetInstance &Target,
                                         TimePoint Now) const {
  return std::any_of(
      m_Pending.begin(), m_Pending.end(), [&](const Pending &Each) {
        return Each.m_Call.m_Target == Target &&
               Now - Each.m_LostAt <= m_Options.m_ConfirmationTimeout;
      });
}

std::vector<Fingerprint>
CrashQuarantine::onTargetDown(const TargetInstance &Target, TimePoint Now) {
  dropExpired(Now);
  std::vector<Pending> Lost;
  std::erase_if(m_Pending, [&](const Pending &Each) {
    if (Each.m_Call.m_Target != Target)
      return false;
    Lost.push_back(Each);
    return true;
  });
  std::vector<Fingerprint> Suspects;
  for (const Pending &Each : Lost) {
    addOwn(Each, Now);
    Suspects.push_back(Each.m_Call.m_Request);
  }
  return Suspects;
}

void CrashQuarantine::addOwn(const Pending &Lost, TimePoint Now) {
  const LostCall &Call = Lost.m_Call;
  if (const auto Found = m_Suspects.find(Call.m_Request);
      Found != m_Suspects.end())
    for (const auto &[Key, Entry] : Found->second)
      // The attempt was in progress at the previous crash, whose cause may have
      // ended this call, too.
      if (Key.m_Vm == m_SelfKey && Call.m_AttemptStartedAt < Entry.m_LostAt)
        return;
  add(Call.m_Request, {.m_Vm = m_SelfKey, .m_Target = targetKey(Call.m_Target)},
      {.m_LostAt = Lost.m_LostAt,
       .m_SendNotBefore = Now + m_Options.m_GossipDelay},
      Now);
}

void CrashQuarantine::onTargetUp(const TargetInstance &Target) {
  std::erase_if(m_Pending, [&](const Pending &Each) {
    return Each.m_Call.m_Target == Target;
  });
}

bool CrashQuarantine::isQuarantined(Fingerprint Request, TimePoint Now) const {
  return crashes(Request, Now) >= m_Options.m_CrashLimit;
}

std::size_t CrashQuarantine::crashes(Fingerprint Request, TimePoint Now) const {
  const auto Found = m_Suspects.find(Request);
  if (Found == m_Suspects.end())
    return 0;
  std::vector<std::pair<TimePoint, std::uint32_t>> ByTime;
  for (const auto &[Key, Entry] : Found->second)
    if (!isExpired(Entry, Now))
      ByTime.emplace_back(Entry.m_LostAt, Key.m_Vm);
  std::sort(ByTime.begin(), ByTime.end());
  // A VM's own records are of attempts that don't overlap. Those of different
  // VMs may describe the same crash if they are close in time.
  std::size_t Total = 0;
  for (auto First = ByTime.begin(); First != ByTime.end();) {
    const TimePoint End = First->first + m_Options.m_CommonCauseWindow;
    std::map<std::uint32_t, std::size_t> CountByVm;
    std::size_t Largest = 0;
    for (; First != ByTime.end() && First->first < End; ++First)
      Largest = std::max(Largest, ++CountByVm[First->second]);
    Total += Largest;
  }
  return Total;
}

std::vector<CrashRecord>
CrashQuarantine::selectRecordsToSend(std::size_t MaxRecords, TimePoint Now) {
  struct Candidate {
    Fingerprint m_Request;
    CrashKey m_Key;
    CrashEntry *m_Entry;
  };
  std::vector<Candidate> Candidates;
  for (auto &[Request, Entries] : m_Suspects)
    for (auto &[Key, Each] : Entries)
      if (Now >= Each.m_SendNotBefore && !isExpired(Each, Now))
        Candidates.push_back({Request, Key, &Each});
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const Candidate &Left, const Candidate &Right) {
                     return Left.m_Entry->m_SendCount <
                            Right.m_Entry->m_SendCount;
                   });
  Candidates.resize(std::min(Candidates.size(), MaxRecords));
  std::vector<CrashRecord> Records;
  for (const Candidate &Each : Candidates) {
    ++Each.m_Entry->m_SendCount;
    Records.push_back(
        {.m_Request = Each.m_Request,
         .m_Target = Each.m_Key.m_Target,
         .m_Vm = Each.m_Key.m_Vm,
         .m_Remaining = std::chrono::duration_cast<milliseconds>(
             Each.m_Entry->m_LostAt + m_Options.m_QuarantineDuration - Now)});
  }
  return Records;
}

bool CrashQuarantine::mergeRecord(const CrashRecord &Record, TimePoint Now) {
  const bool WasQuarantined = isQuarantined(Record.m_Request, Now);
  const Duration Remaining = std::clamp<Duration>(
      Record.m_Remaining, Duration(0), m_Options.m_QuarantineDuration);
  add(Record.m_Request, {.m_Vm = Record.m_Vm, .m_Target = Record.m_Target},
      {.m_LostAt = Now + Remaining - m_Options.m_QuarantineDuration,
       .m_SendNotBefore = Now},
      Now);
  return !WasQuarantined && isQuarantined(Record.m_Request, Now);
}

void CrashQuarantine::add(Fingerprint Request, const CrashKey &Key,
                          const CrashEntry &New, TimePoint Now) {
  dropExpired(Now);
  if (!m_Suspects.contains(Request) &&
      m_Suspects.size() >= m_Options.m_MaxSuspects)
    return;
  CrashEntries &Entries = m_Suspects[Request];
  const auto [Known, IsNew] = Entries.try_emplace(Key, New);
  // The transit of a record only makes its crash seem more recent.
  if (!IsNew)
    Known->second.m_LostAt = std::min(Known->second.m_LostAt, New.m_LostAt);
}

void CrashQuarantine::dropExpired(TimePoint Now) {
  std::erase_if(m_Pending, [&](const Pending &Each) {
    return Now - Each.m_LostAt > m_Options.m_ConfirmationTimeout;
  });
  for (auto &[Request, Entries] : m_Suspects)
    std::erase_if(
        Entries, [&](const auto &Each) { return isExpired(Each.second, Now); });
  std::erase_if(m_Suspects,
                [](const auto &Each) { return Each.second.empty(); });
}

} // namespace figturn
