#include "protocol/JsonConvert.h"

#include <QJsonDocument>

namespace figturn {

QString toQt(std::string_view Text) {
  return QString::fromUtf8(Text.data(), static_cast<qsizetype>(Text.size()));
}

QJsonValue toJson(std::uint64_t Number) {
  return {static_cast<qint64>(Number)};
}

std::string toCompactJson(const QJsonObject &Object) {
  return QJsonDocument(Object).toJson(QJsonDocument::Compact).toStdString();
}

QJsonObject parseJsonObject(std::string_view Text) {
  const auto Bytes =
      QByteArray::fromRawData(Text.data(), static_cast<qsizetype>(Text.size()));
  return QJsonDocument::fromJson(Bytes).object();
}

std::string stringAt(const QJsonObject &Object, const char *Key) {
  return Object.value(QLatin1String(Key)).toString().toStdString();
}

std::optional<std::uint64_t> countAt(const QJsonObject &Object,
                                     const char *Key) {
  const qint64 Number = Object[Key].toInteger(-1);
  if (Number < 0)
    return std::nullopt;
  return static_cast<std::uint64_t>(Number);
}

} // namespace figturn
