#include "node/TargetStatusTable.h"

#include <fmt/format.h>

namespace figturn {

namespace {

/** The newest latency has weight 1 / LatencyWeight in the moving average. */
constexpr std::int64_t LatencyWeight = 8;

} // namespace

void TargetStatusTable::configure(const Configuration &Config) {
  const auto Old = m_Entries.load();
  auto New = std::make_shared<Entries>();
  for (const auto &[Name, Target] : Config.m_Targets) {
    const auto Previous = Old->find(Name);
    auto Entry = Previous == Old->end() ? std::make_shared<TargetStatusEntry>()
                                        : Previous->second;
    Entry->m_AcceptsNewWork = Config.acceptsNewWork(Name);
    New->emplace(Name, std::move(Entry));
  }
  m_Entries.store(std::move(New));
}

void TargetStatusTable::setLeaving(const Configuration &Config,
                                   const std::set<std::string> &Addresses) {
  for (const auto &[Name, Target] : Config.m_Targets)
    if (const auto Entry = find(Name))
      Entry->m_Leaving = Addresses.contains(
          fmt::format("{}:{}", Target.m_Host, Target.m_Port));
}

std::shared_ptr<TargetStatusEntry>
TargetStatusTable::find(const TargetName &Target) const {
  const auto Table = m_Entries.load();
  const auto Found = Table->find(Target);
  return Found == Table->end() ? nullptr : Found->second;
}

std::shared_ptr<const TargetStatusTable::Entries>
TargetStatusTable::entries() const {
  return m_Entries.load();
}

ReplicaStatus TargetStatusTable::status(const TargetName &Target) const {
  const auto Entry = find(Target);
  if (!Entry)
    return {};
  return {.m_Usable = Entry->m_AcceptsNewWork && !Entry->m_Leaving &&
                      !Entry->m_Refusing,
          .m_Cold = Entry->m_Cold,
          .m_HasCapacity = Entry->m_HasCapacity,
          .m_Outstanding = Entry->m_Outstanding,
          .m_Latency = std::chrono::nanoseconds(Entry->m_LatencyNs)};
}

void TargetStatusTable::addOutstanding(const TargetName &Target) {
  if (const auto Entry = find(Target))
    ++Entry->m_Outstanding;
}

void TargetStatusTable::removeOutstanding(const TargetName &Target) {
  const auto Entry = find(Target);
  if (Entry && Entry->m_Outstanding > 0)
    --Entry->m_Outstanding;
}

void TargetStatusTable::addLatency(const TargetName &Target, Duration Latency) {
  const auto Entry = find(Target);
  if (!Entry)
    return;
  const std::int64_t New =
      std::chrono::duration_cast<std::chrono::nanoseconds>(Latency).count();
  const std::int64_t Old = Entry->m_LatencyNs;
  Entry->m_LatencyNs = Old == 0 ? New : Old + (New - Old) / LatencyWeight;
}

} // namespace figturn
