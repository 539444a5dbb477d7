#include "state/RendezvousHash.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace figturn {

std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

const VmName *rendezvousOwner(std::span<const VmName> Members,
                              std::uint64_t Key) {
  const VmName *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const VmName &Member : Members) {
    const std::uint64_t Weight = stableHash(Member.value(), Key);
    const bool Wins = Best == nullptr || Weight > BestWeight ||
                      (Weight == BestWeight && Member < *Best);
    if (!Wins)
      continue;
    Best = &Member;
    BestWeight = Weight;
  }
  return Best;
}

std::vector<VmName> rendezvousOrder(std::span<const VmName> Members,
                                    std::uint64_t Key) {
  std::vector<std::pair<std::uint64_t, VmName>> Weighted;
  Weighted.reserve(Members.size());
  for (const VmName &Member : Members)
    Weighted.emplace_back(~stableHash(Member.value(), Key), Member);
  std::sort(Weighted.begin(), Weighted.end());
  std::vector<VmName> Order;
  Order.reserve(Weighted.size());
  for (auto &[Weight, Member] : Weighted)
    Order.push_back(std::move(Member));
  return Order;
}

} // namespace figturn
