#include "protocol/IndexCodec.h"

#include "state/Errc.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace figturn {

namespace {

IndexResult malformedIndex(std::string Message) {
  return {.m_Error = Errc::BadReply, .m_Message = std::move(Message)};
}

/** The number at \p Key; -1 if it is missing, negative or not an integer. */
qint64 readNumber(const QJsonObject &Object, const char *Key) {
  const QJsonValue Value = Object.value(QLatin1StringView(Key));
  return Value.isDouble() ? std::max<qint64>(Value.toInteger(-1), -1) : -1;
}

/** Decodes one shard; returns a description of the error or "". */
std::string readShard(const QJsonObject &Object, ShardInfo &Result) {
  const qint64 Shard = readNumber(Object, "shard");
  if (Shard < 0 || Shard > std::numeric_limits<std::uint32_t>::max())
    return "a shard without a valid number";
  Result.m_Shard = ShardId(static_cast<std::uint32_t>(Shard));
  const qint64 Documents = readNumber(Object, "documents");
  if (Documents < 0)
    return fmt::format("shard {} without a valid document count", Shard);
  Result.m_Documents = static_cast<std::uint64_t>(Documents);
  for (const auto &Value : Object.value("targets").toArray()) {
    if (Value.toString().isEmpty())
      return fmt::format("shard {} with an invalid target name", Shard);
    Result.m_Replicas.emplace_back(Value.toString().toStdString());
  }
  return {};
}

// Shards are looked up by number, so the numbers must be 0 to N-1.
std::string sortShards(std::vector<ShardInfo> &Shards) {
  std::sort(Shards.begin(), Shards.end(),
            [](const ShardInfo &Left, const ShardInfo &Right) {
              return Left.m_Shard < Right.m_Shard;
            });
  for (std::size_t I = 0; I < Shards.size(); ++I)
    if (Shards[I].m_Shard.value() != I)
      return fmt::format("shard numbers that are not 0 to {}",
                         Shards.size() - 1);
  return Shards.empty() ? "no shards" : "";
}

} // namespace

std::string indexPath(const ServiceName &Service) {
  return "index/" + Service.value();
}

IndexResult decodeIndex(const ServiceName &Service, std::string_view Body) {
  const QJsonDocument Document = QJsonDocument::fromJson(
      QByteArray(Body.data(), static_cast<qsizetype>(Body.size())));
  if (!Document.isObject())
    return malformedIndex("the index is not a JSON object");
  const QJsonObject Object = Document.object();
  if (Object.value("service").toString().toStdString() != Service.value())
    return malformedIndex(
        fmt::format("the index does not belong to service {}", Service));
  const qint64 Version = readNumber(Object, "version");
  if (Version < 0)
    return malformedIndex("the index has no version");
  IndexResult Result;
  IndexSnapshot &Snapshot = Result.m_Snapshot;
  Snapshot.m_Service = Service;
  Snapshot.m_Version = IndexVersion(static_cast<std::uint64_t>(Version));
  for (const auto &Value : Object.value("shards").toArray()) {
    const std::string Error =
        readShard(Value.toObject(), Snapshot.m_Shards.emplace_back());
    if (!Error.empty())
      return malformedIndex("the index has " + Error);
  }
  const std::string Error = sortShards(Snapshot.m_Shards);
  return Error.empty() ? Result : malformedIndex("the index has " + Error);
}

std::string encodeIndex(const IndexSnapshot &Snapshot) {
  QJsonArray Shards;
  for (const ShardInfo &Shard : Snapshot.m_Shards) {
    QJsonArray Targets;
    for (const TargetName &Target : Shard.m_Replicas)
      Targets.append(QString::fromStdString(Target.value()));
    Shards.append(
        QJsonObject{{"shard", static_cast<qint64>(Shard.m_Shard.value())},
                    {"documents", static_cast<qint64>(Shard.m_Documents)},
                    {"targets", Targets}});
  }
  const QJsonObject Object{
      {"service", QString::fromStdString(Snapshot.m_Service.value())},
      {"version", static_cast<qint64>(Snapshot.m_Version.value())},
      {"shards", Shards}};
  return QJsonDocument(Object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace figturn
