#ifndef FIGTURN_STANDIN_INDEXLAYOUT_H
#define FIGTURN_STANDIN_INDEXLAYOUT_H

/**
 * Assignment of a service's shards to its targets, and the index object that
 * publishes it. Consecutive targets hold the replicas of a shard; the first
 * target follows the last. The replicas are in different data centres if the
 * targets are listed round-robin over the data centres and their number is a
 * multiple of the number of data centres.
 */

#include "standin/RecordSet.h"

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

namespace figturn::standin {

/** Shard layout of one service. */
struct IndexLayout {
  std::string m_Service;
  std::uint32_t m_Shards = 8;
  std::uint32_t m_Replicas = 2;
  std::vector<std::string> m_Targets;

  /** Shards held by the target at \p Index. */
  std::vector<std::uint32_t> shardsOf(std::size_t Index) const;
  /** The object `index/<service>` at \p Version for \p Records. */
  QJsonObject encode(std::uint64_t Version, const RecordSet &Records) const;

private:
  bool holds(std::size_t Index, std::uint32_t Shard) const;
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_INDEXLAYOUT_H
