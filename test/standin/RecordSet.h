#ifndef FIGTURN_STANDIN_RECORDSET_H
#define FIGTURN_STANDIN_RECORDSET_H

/**
 * Records that stand-in targets serve, with a simple token search. Tests search
 * the complete set with the same class to compute the expected answer.
 */

#include "protocol/TargetMessages.h"

#include <QJsonObject>
#include <set>
#include <string>
#include <vector>

namespace figturn::standin {

/** Shards of a record set that one target holds. */
struct ShardSlice {
  std::uint32_t m_ShardCount = 1;
  std::set<std::uint32_t> m_Shards;
};

/** One record with its search tokens. */
struct StandinRecord {
  std::string m_Id;
  QJsonObject m_Fields;
  std::set<std::string> m_Tokens;
};

/** An immutable set of records. */
class RecordSet {
public:
  /** Reads {"records":[...]} from \p File; empty on failure. */
  static RecordSet load(const std::string &File);

  /** Records of shard \p Shard out of \p ShardCount. */
  RecordSet shard(std::uint32_t Shard, std::uint32_t ShardCount) const;

  std::size_t size() const { return m_Records.size(); }
  const std::vector<StandinRecord> &records() const { return m_Records; }
  /** The record with \p Id, or nullptr. */
  const StandinRecord *find(const std::string &Id) const;
  /** The best hits, by descending score, then by id. */
  std::vector<SearchHit> search(const SearchQuery &Query) const;

private:
  std::vector<StandinRecord> m_Records;
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_RECORDSET_H
