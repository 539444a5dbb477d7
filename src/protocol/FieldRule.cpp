#include "protocol/FieldRule.h"

#include <QHostAddress>
#include <QUrl>
#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace figturn {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::uint32_t MaxPort = 65535;

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '-' || C == '_';
}

bool isIpAddress(const QString &Text) {
  QHostAddress Address;
  return Address.setAddress(Text) && !Address.isNull();
}

bool isSocketAddress(const QString &Text) {
  const qsizetype Colon = Text.lastIndexOf(':');
  if (Colon <= 0)
    return false;
  QString Host = Text.left(Colon);
  if (Host.startsWith('[') && Host.endsWith(']'))
    Host = Host.mid(1, Host.size() - 2);
  bool IsNumber = false;
  const uint Port = Text.mid(Colon + 1).toUInt(&IsNumber);
  return IsNumber && Port >= 1 && Port <= MaxPort && isIpAddress(Host);
}

bool isSocketAddressList(const QString &Text) {
  const QStringList Parts = Text.split(',', Qt::SkipEmptyParts);
  return std::all_of(Parts.begin(), Parts.end(), isSocketAddress);
}

bool isHttpUrl(const QString &Text) {
  const QUrl Url(Text, QUrl::StrictMode);
  return Url.isValid() && Url.scheme() == "http" && !Url.host().isEmpty() &&
         !Text.endsWith('/') && !Url.hasQuery();
}

bool isInRange(const FieldRule &Rule, const QJsonValue &Value) {
  if (!Value.isDouble())
    return false;
  const double Number = Value.toDouble();
  return Number >= Rule.m_Min && Number <= Rule.m_Max;
}

bool isIntegerInRange(const FieldRule &Rule, const QJsonValue &Value) {
  return isInRange(Rule, Value) &&
         std::trunc(Value.toDouble()) == Value.toDouble();
}

} // namespace

bool isValidName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxNameLength &&
         std::all_of(Name.begin(), Name.end(), isNameCharacter);
}

std::string_view validNameClause() {
  return "a name of 1 to 64 letters, digits, '-' and '_'";
}

std::string expectedClause(const FieldRule &Rule) {
  switch (Rule.m_Kind) {
  case FieldKind::Milliseconds:
    return fmt::format("an integer number of milliseconds from {} to {}",
                       Rule.m_Min, Rule.m_Max);
  case FieldKind::Count:
    return fmt::format("an integer from {} to {}", Rule.m_Min, Rule.m_Max);
  case FieldKind::Number:
    return fmt::format("a number from {} to {}", Rule.m_Min, Rule.m_Max);
  case FieldKind::Name:
    return std::string(validNameClause());
  case FieldKind::IpAddress:
    return "an IP address such as \"127.0.0.1\"";
  case FieldKind::Address:
    return "an IP address and port such as \"127.0.0.1:8001\"";
  case FieldKind::AddressList:
    return "comma-separated IP addresses and ports such as "
           "\"10.0.0.1:8001,10.0.0.2:8001\"";
  case FieldKind::HttpUrl:
    return "an http URL without a query or trailing slash such as "
           "\"http://127.0.0.1:7000\"";
  case FieldKind::Placement:
    return "\"in\" or \"out\"";
  }
  return {};
}

bool meetsRule(const FieldRule &Rule, const QJsonValue &Value) {
  const QString Text = Value.toString();
  switch (Rule.m_Kind) {
  case FieldKind::Milliseconds:
  case FieldKind::Count:
    return isIntegerInRange(Rule, Value);
  case FieldKind::Number:
    return isInRange(Rule, Value);
  case FieldKind::Name:
    return isValidName(Text.toStdString());
  case FieldKind::IpAddress:
    return isIpAddress(Text);
  case FieldKind::Address:
    return isSocketAddress(Text);
  case FieldKind::AddressList:
    return Value.isString() && isSocketAddressList(Text);
  case FieldKind::HttpUrl:
    return isHttpUrl(Text);
  case FieldKind::Placement:
    return Text == "in" || Text == "out";
  }
  return false;
}

void checkKeys(const QJsonObject &Object, const std::string &Path,
               const std::vector<const FieldRule *> &Rules,
               JsonChecker &Checker) {
  std::vector<std::string> Known;
  Known.reserve(Rules.size());
  for (const FieldRule *Rule : Rules)
    Known.emplace_back(Rule->m_Key);
  for (const QString &Key : Object.keys()) {
    const std::string Name = Key.toStdString();
    if (std::find(Known.begin(), Known.end(), Name) == Known.end())
      Checker.reportUnknownKey(Path, Name, Known);
  }
  for (const FieldRule *Rule : Rules) {
    const auto Key = QString::fromStdString(std::string(Rule->m_Key));
    if (Rule->m_Required && !Object.contains(Key))
      Checker.report(joinPath(Path, Rule->m_Key), QJsonValue::Undefined,
                     expectedClause(*Rule) + "; the key is missing");
  }
}

void assignFromJson(milliseconds &Member, const QJsonValue &Value) {
  Member = milliseconds(Value.toInteger());
}

void assignFromJson(double &Member, const QJsonValue &Value) {
  Member = Value.toDouble();
}

void assignFromJson(std::uint32_t &Member, const QJsonValue &Value) {
  Member = static_cast<std::uint32_t>(Value.toInteger());
}

void assignFromJson(std::uint16_t &Member, const QJsonValue &Value) {
  Member = static_cast<std::uint16_t>(Value.toInteger());
}

void assignFromJson(std::string &Member, const QJsonValue &Value) {
  Member = Value.toString().toStdString();
}

void assignFromJson(Placement &Member, const QJsonValue &Value) {
  Member = Value.toString() == "out" ? Placement::Out : Placement::In;
}

QJsonValue toJson(milliseconds Value) {
  return static_cast<qint64>(Value.count());
}

QJsonValue toJson(double Value) { return Value; }

QJsonValue toJson(std::uint32_t Value) { return static_cast<qint64>(Value); }

QJsonValue toJson(std::uint16_t Value) { return Value; }

QJsonValue toJson(const std::string &Value) {
  return QString::fromStdString(Value);
}

QJsonValue toJson(Placement Value) {
  return Value == Placement::Out ? "out" : "in";
}

} // namespace figturn
