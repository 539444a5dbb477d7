#include "protocol/ConfigObject.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace figturn {

namespace {

constexpr QLatin1StringView ChangeIdKey("changeId");
constexpr QLatin1StringView PreviousChangesKey("previousChanges");

} // namespace

std::string encodeConfigObject(const ConfigObject &Object) {
  QJsonArray Previous;
  for (const std::string &Change : Object.m_PreviousChanges)
    Previous.append(QString::fromStdString(Change));
  QJsonObject Body = Object.m_Merged;
  Body.insert(ChangeIdKey, QString::fromStdString(Object.m_ChangeId));
  Body.insert(PreviousChangesKey, Previous);
  return QJsonDocument(Body).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<ConfigObject> decodeConfigObject(std::string_view Body) {
  const QJsonDocument Document = QJsonDocument::fromJson(
      QByteArray(Body.data(), static_cast<qsizetype>(Body.size())));
  if (!Document.isObject())
    return std::nullopt;
  ConfigObject Object{.m_Merged = Document.object()};
  Object.m_ChangeId =
      Object.m_Merged.take(ChangeIdKey).toString().toStdString();
  Object.m_HasPreviousChanges = Object.m_Merged.contains(PreviousChangesKey);
  for (const auto &Change : Object.m_Merged.take(PreviousChangesKey).toArray())
    Object.m_PreviousChanges.push_back(Change.toString().toStdString());
  return Object;
}

std::vector<std::string> previousChangesAfter(const ConfigObject &Object) {
  std::vector<std::string> Changes = {Object.m_ChangeId};
  Changes.insert(Changes.end(), Object.m_PreviousChanges.begin(),
                 Object.m_PreviousChanges.end());
  if (Changes.size() > MaxPreviousChanges)
    Changes.resize(MaxPreviousChanges);
  return Changes;
}

ConfigResult decodeAcceptedConfig(std::string_view Body,
                                  ConfigVersion Version) {
  const std::optional<ConfigObject> Object = decodeConfigObject(Body);
  if (!Object) {
    ConfigResult Result;
    Result.m_Problems.push_back({.m_Expected = "a JSON object"});
    return Result;
  }
  ConfigResult Result = decodeConfig(Object->m_Merged, {}, UnknownKeys::Ignore);
  Result.m_Configuration.m_Version = Version;
  Result.m_Configuration.m_ChangeId = Object->m_ChangeId;
  return Result;
}

} // namespace figturn
