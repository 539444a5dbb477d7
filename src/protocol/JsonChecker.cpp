#include "protocol/JsonChecker.h"

#include "protocol/NearestName.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <fmt/format.h>

namespace figturn {

namespace {

constexpr std::size_t MaxPrintedValueLength = 60;

} // namespace

std::string printJson(const QJsonValue &Value) {
  if (Value.isUndefined())
    return {};
  const std::string Array = QJsonDocument(QJsonArray{Value})
                                .toJson(QJsonDocument::Compact)
                                .toStdString();
  std::string Text = Array.substr(1, Array.size() - 2);
  if (Text.size() > MaxPrintedValueLength)
    Text = Text.substr(0, MaxPrintedValueLength) + "...";
  return Text;
}

void JsonChecker::report(const std::string &Path, const QJsonValue &Value,
                         std::string Expected) {
  m_Problems.push_back({.m_Origin = findOrigin(Path),
                        .m_Path = Path,
                        .m_Value = printJson(Value),
                        .m_Expected = std::move(Expected)});
}

void JsonChecker::reportUnknownKey(const std::string &Path,
                                   const std::string &Key,
                                   const std::vector<std::string> &Known) {
  if (m_Unknown == UnknownKeys::Ignore)
    return;
  const std::string Member = joinPath(Path, Key);
  m_Problems.push_back(
      {.m_Origin = findOrigin(Member),
       .m_Path = Member,
       .m_Expected =
           fmt::format("a known key in place of \"{}\"; did you mean \"{}\"?",
                       Key, nearestName(Key, Known))});
}

JsonOrigin JsonChecker::findOrigin(std::string Path) const {
  for (;;) {
    if (const auto Found = m_Origins.find(Path); Found != m_Origins.end())
      return Found->second;
    const auto Dot = Path.rfind('.');
    if (Dot == std::string::npos)
      return {};
    Path.resize(Dot);
  }
}

} // namespace figturn
