#include "coordination/HitMerger.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace figturn {

namespace {

/** Hits held in addition to twice the limit before the worst are dropped. */
constexpr std::size_t CompactionSize = 512;

bool isBetter(const Hit &Left, const Hit &Right) {
  if (Left.m_Score != Right.m_Score)
    return Left.m_Score > Right.m_Score;
  return Left.m_Id < Right.m_Id;
}

} // namespace

HitMerger::HitMerger(std::size_t Limit) : m_Limit(Limit) {}

void HitMerger::add(std::vector<Hit> Hits) {
  m_Hits.insert(m_Hits.end(), std::make_move_iterator(Hits.begin()),
                std::make_move_iterator(Hits.end()));
  if (m_Hits.size() >= 2 * m_Limit + CompactionSize)
    compact();
}

std::vector<Hit> HitMerger::take() {
  compact();
  return std::exchange(m_Hits, {});
}

void HitMerger::compact() {
  std::sort(m_Hits.begin(), m_Hits.end(), isBetter);
  std::vector<Hit> Best;
  Best.reserve(std::min(m_Limit, m_Hits.size()));
  // Best never reallocates, so the views into it stay valid.
  std::unordered_set<std::string_view> SeenIds;
  for (Hit &Candidate : m_Hits) {
    if (Best.size() == m_Limit)
      break;
    if (SeenIds.contains(Candidate.m_Id))
      continue;
    Best.push_back(std::move(Candidate));
    SeenIds.insert(Best.back().m_Id);
  }
  m_Hits = std::move(Best);
}

} // namespace figturn
