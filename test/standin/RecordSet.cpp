#include "standin/RecordSet.h"

#include "state/RendezvousHash.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QRegularExpression>
#include <algorithm>

namespace figturn::standin {

namespace {

std::set<std::string> tokenize(const QString &Text) {
  static const QRegularExpression Separators(
      "[^\\w-]+", QRegularExpression::UseUnicodePropertiesOption);
  std::set<std::string> Tokens;
  for (const QString &Word :
       Text.toLower().split(Separators, Qt::SkipEmptyParts))
    Tokens.insert(Word.toStdString());
  return Tokens;
}

StandinRecord toRecord(const QJsonObject &Fields) {
  StandinRecord Record{.m_Id = Fields["id"].toString().toStdString(),
                       .m_Fields = Fields};
  for (const QJsonValueConstRef &Value : Fields)
    Record.m_Tokens.merge(tokenize(Value.toString()));
  return Record;
}

/** Number of matched words, with ties broken in favour of shorter records. */
double score(const StandinRecord &Record,
             const std::set<std::string> &QueryTokens) {
  const auto Matched = std::count_if(
      QueryTokens.begin(), QueryTokens.end(),
      [&](const auto &Word) { return Record.m_Tokens.contains(Word); });
  if (Matched == 0)
    return 0;
  return static_cast<double>(Matched) +
         1.0 / static_cast<double>(1 + Record.m_Tokens.size());
}

bool ranksBefore(const SearchHit &Left, const SearchHit &Right) {
  if (Left.m_Score != Right.m_Score)
    return Left.m_Score > Right.m_Score;
  return Left.m_Id < Right.m_Id;
}

} // namespace

RecordSet RecordSet::load(const std::string &File) {
  RecordSet Set;
  QFile Input(QString::fromStdString(File));
  if (!Input.open(QIODevice::ReadOnly))
    return Set;
  const QJsonObject Root = QJsonDocument::fromJson(Input.readAll()).object();
  for (const QJsonValueConstRef &Value : Root["records"].toArray())
    Set.m_Records.push_back(toRecord(Value.toObject()));
  return Set;
}

RecordSet RecordSet::shard(std::uint32_t Shard,
                           std::uint32_t ShardCount) const {
  RecordSet Slice;
  for (const StandinRecord &Record : m_Records)
    if (stableHash(Record.m_Id) % ShardCount == Shard)
      Slice.m_Records.push_back(Record);
  return Slice;
}

const StandinRecord *RecordSet::find(const std::string &Id) const {
  const auto Found =
      std::find_if(m_Records.begin(), m_Records.end(),
                   [&](const StandinRecord &R) { return R.m_Id == Id; });
  return Found == m_Records.end() ? nullptr : &*Found;
}

std::vector<SearchHit> RecordSet::search(const SearchQuery &Query) const {
  const auto QueryTokens = tokenize(QString::fromStdString(Query.m_Text));
  std::vector<SearchHit> Hits;
  for (const StandinRecord &Record : m_Records) {
    const double Score = score(Record, QueryTokens);
    if (Score > 0)
      Hits.push_back({Record.m_Id, Score, Record.m_Fields});
  }
  std::sort(Hits.begin(), Hits.end(), ranksBefore);
  if (Hits.size() > Query.m_Limit)
    Hits.resize(Query.m_Limit);
  return Hits;
}

} // namespace figturn::standin
