#include "state/IndexSnapshot.h"

#include "state/RendezvousHash.h"

#include <numeric>

namespace figturn {

const ShardInfo &IndexSnapshot::shardOfRecord(std::string_view Record) const {
  return m_Shards.at(stableHash(Record) % m_Shards.size());
}

std::uint64_t IndexSnapshot::documents() const {
  return std::accumulate(m_Shards.begin(), m_Shards.end(), std::uint64_t{0},
                         [](std::uint64_t Sum, const ShardInfo &S) {
                           return Sum + S.m_Documents;
                         });
}

} // namespace figturn
