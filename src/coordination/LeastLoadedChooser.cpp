#include "coordination/LeastLoadedChooser.h"

#include <algorithm>
#include <array>

namespace figturn {

namespace {

/** Replicas of one shard that may be chosen; at most the size of a
 *  ReplicaMask. */
struct Candidates {
  std::array<std::uint8_t, 64> m_Indexes{};
  std::size_t m_Count = 0;

  void add(std::size_t Index) {
    m_Indexes[m_Count] = static_cast<std::uint8_t>(Index);
    ++m_Count;
  }
};

/** Expected time until one more call would be answered, in microseconds. */
double expectedResponseTime(const ReplicaStatus &Status) {
  const auto Latency = static_cast<double>(std::max<Duration::rep>(
      std::chrono::duration_cast<microseconds>(Status.m_Latency).count(), 1));
  return Latency * (Status.m_Outstanding + 1.0);
}

bool canUseCold(CallKind Kind) {
  return Kind == CallKind::First || Kind == CallKind::Canary;
}

} // namespace

LeastLoadedChooser::LeastLoadedChooser(ReplicaTable &Table,
                                       LeastLoadedOptions Options,
                                       std::uint32_t Seed)
    : m_Table(Table), m_Options(Options), m_Random(Seed) {}

bool LeastLoadedChooser::isColdProbeDue() {
  if (m_Options.m_ColdProbeInterval == 0)
    return false;
  ++m_CallsSinceColdProbe;
  if (m_CallsSinceColdProbe < m_Options.m_ColdProbeInterval)
    return false;
  m_CallsSinceColdProbe = 0;
  return true;
}

std::optional<std::size_t>
LeastLoadedChooser::choose(const ShardInfo &Shard, const ReplicaMask &Excluded,
                           CallKind Kind, TimePoint) {
  std::array<ReplicaStatus, 64> Statuses;
  Candidates Warm;
  Candidates WarmWithCapacity;
  Candidates Cold;
  const std::size_t Count = std::min(Shard.m_Replicas.size(), Excluded.size());
  for (std::size_t I = 0; I < Count; ++I) {
    if (Excluded.test(I))
      continue;
    Statuses[I] = m_Table.status(Shard.m_Replicas[I]);
    if (!Statuses[I].m_Usable)
      continue;
    if (Statuses[I].m_Cold) {
      if (Statuses[I].m_HasCapacity && canUseCold(Kind))
        Cold.add(I);
      continue;
    }
    Warm.add(I);
    if (Statuses[I].m_HasCapacity)
      WarmWithCapacity.add(I);
  }

  const bool UseCold =
      Cold.m_Count > 0 && (Warm.m_Count == 0 || isColdProbeDue());
  const Candidates &WarmCandidates =
      WarmWithCapacity.m_Count > 0 ? WarmWithCapacity : Warm;
  const Candidates &Eligible = UseCold ? Cold : WarmCandidates;
  if (Eligible.m_Count == 0)
    return std::nullopt;

  std::size_t First = m_Random() % Eligible.m_Count;
  std::size_t Best = Eligible.m_Indexes[First];
  if (Eligible.m_Count > 1) {
    const std::size_t Step = 1 + m_Random() % (Eligible.m_Count - 1);
    const std::size_t Other =
        Eligible.m_Indexes[(First + Step) % Eligible.m_Count];
    if (expectedResponseTime(Statuses[Other]) <
        expectedResponseTime(Statuses[Best]))
      Best = Other;
  }
  m_Table.addOutstanding(Shard.m_Replicas[Best]);
  return Best;
}

} // namespace figturn
