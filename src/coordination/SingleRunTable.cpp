#include "coordination/SingleRunTable.h"

#include <algorithm>
#include <utility>

namespace figturn {

SingleRunTable::SingleRunTable(SingleRunTableOptions Options)
    : m_Options(Options) {}

JoinResult SingleRunTable::join(const ServiceName &Service,
                                const RequestKey &Key, Fingerprint Request,
                                const AttemptToken &Token, WaiterId Waiter,
                                TimePoint Now) {
  expire(Now);
  std::string Path = singleRunPath(Service, Key);
  const auto Latest = m_Latest.find(Path);
  if (Latest != m_Latest.end()) {
    Entry &Found = m_Entries.at(Latest->second);
    if (Found.m_Fingerprint != Request)
      return {.m_Kind = JoinResult::Kind::KeyReused};
    if (!Found.m_Outcome) {
      Found.m_Waiters.push_back(Waiter);
      return {.m_Kind = JoinResult::Kind::Joined};
    }
    // A released request may still run, so it gets a new attempt.
    if (Found.m_Outcome->m_Phase != SingleRunPhase::Released)
      return {.m_Kind = JoinResult::Kind::Ended, .m_Outcome = *Found.m_Outcome};
  }
  m_Latest[Path] = Token;
  m_Entries[Token] = Entry{.m_Path = std::move(Path), .m_Fingerprint = Request};
  return {.m_Kind = JoinResult::Kind::Begin};
}

std::optional<HolderReply> SingleRunTable::ask(const AttemptToken &Token,
                                               WaiterId Waiter, TimePoint Now) {
  const auto Found = m_Entries.find(Token);
  if (Found == m_Entries.end())
    return HolderReply{.m_Kind = HolderReply::Kind::Gone};
  if (Found->second.m_Outcome)
    return makeHolderReply(Found->second, Now);
  Found->second.m_Waiters.push_back(Waiter);
  return std::nullopt;
}

std::vector<WaiterId>
SingleRunTable::end(const AttemptToken &Token,
                    std::optional<SingleRunOutcome> Outcome, TimePoint Now) {
  const auto Found = m_Entries.find(Token);
  if (Found == m_Entries.end() || Found->second.m_Outcome)
    return {};
  std::vector<WaiterId> Waiters = std::exchange(Found->second.m_Waiters, {});
  if (!Outcome) {
    drop(Token);
    return Waiters;
  }
  Found->second.m_Outcome = std::move(Outcome);
  m_Ended.push_back({.m_Token = Token, .m_EndTime = Now});
  expire(Now);
  return Waiters;
}

void SingleRunTable::markRecorded(const AttemptToken &Token, TimePoint Now) {
  const auto Found = m_Entries.find(Token);
  if (Found != m_Entries.end() && !Found->second.m_RecordedAt)
    Found->second.m_RecordedAt = Now;
}

void SingleRunTable::leave(const AttemptToken &Token, WaiterId Waiter) {
  const auto Found = m_Entries.find(Token);
  if (Found != m_Entries.end())
    std::erase(Found->second.m_Waiters, Waiter);
}

void SingleRunTable::expire(TimePoint Now) {
  while (!m_Ended.empty()) {
    const EndedAttempt &Oldest = m_Ended.front();
    const bool IsExpired = Oldest.m_EndTime + m_Options.m_Retention <= Now;
    if (!IsExpired && m_Ended.size() <= m_Options.m_MaxEnded)
      return;
    drop(AttemptToken(Oldest.m_Token));
    m_Ended.pop_front();
  }
}

HolderReply SingleRunTable::makeHolderReply(const Entry &EndedEntry,
                                            TimePoint Now) {
  HolderReply Reply{.m_Kind = HolderReply::Kind::Settled,
                    .m_Outcome = *EndedEntry.m_Outcome};
  if (EndedEntry.m_RecordedAt)
    Reply.m_ReleaseAge = Now - *EndedEntry.m_RecordedAt;
  return Reply;
}

void SingleRunTable::drop(const AttemptToken &Token) {
  const auto Found = m_Entries.find(Token);
  if (Found == m_Entries.end())
    return;
  const auto Latest = m_Latest.find(Found->second.m_Path);
  if (Latest != m_Latest.end() && Latest->second == Token)
    m_Latest.erase(Latest);
  m_Entries.erase(Found);
}

} // namespace figturn
