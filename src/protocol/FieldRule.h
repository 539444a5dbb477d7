#ifndef FIGTURN_PROTOCOL_FIELDRULE_H
#define FIGTURN_PROTOCOL_FIELDRULE_H

/**
 * Tables of the keys that a JSON object may have: type, unit, range and
 * description of each, and the struct member that holds the value. Decoding,
 * validation, defaults and the reference page are derived from one table.
 */

#include "protocol/JsonChecker.h"
#include "state/Configuration.h"
#include "state/Ids.h"
#include "state/Time.h"

#include <QJsonObject>
#include <QJsonValue>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace figturn {

/** The type of a key's value. */
enum class FieldKind {
  Milliseconds, ///< Integer.
  Count,        ///< Integer.
  Number,       ///< With or without a fraction.
  Name,         ///< 1 to 64 letters, digits, '-' and '_'.
  IpAddress,    ///< IPv4 or IPv6.
  Address,      ///< IP address and port, "127.0.0.1:8001".
  AddressList,  ///< Comma-separated addresses; may be empty.
  HttpUrl,      ///< http URL without a query or trailing slash.
  Placement     ///< "in" or "out".
};

/** Rule for one key. */
struct FieldRule {
  std::string_view m_Key;
  FieldKind m_Kind = FieldKind::Name;
  double m_Min = 0; ///< For numbers, inclusive.
  double m_Max = 0; ///< For numbers, inclusive.
  bool m_Required = false;
  std::string_view m_Description; ///< A sentence for the reference page.
};

/** Whether \p Name may name a data centre, service, target or VM. */
bool isValidName(std::string_view Name);

/** Describes what isValidName() accepts, for error messages. */
std::string_view validNameClause();

/** Describes what \p Rule accepts, for error messages. */
std::string expectedClause(const FieldRule &Rule);

bool meetsRule(const FieldRule &Rule, const QJsonValue &Value);

/** Reports unknown keys and missing required keys of \p Object. */
void checkKeys(const QJsonObject &Object, const std::string &Path,
               const std::vector<const FieldRule *> &Rules,
               JsonChecker &Checker);

/** \name Conversions between struct members and validated JSON values.
 *  @{ */
void assignFromJson(milliseconds &Member, const QJsonValue &Value);
void assignFromJson(double &Member, const QJsonValue &Value);
void assignFromJson(std::uint32_t &Member, const QJsonValue &Value);
void assignFromJson(std::uint16_t &Member, const QJsonValue &Value);
void assignFromJson(std::string &Member, const QJsonValue &Value);
void assignFromJson(Placement &Member, const QJsonValue &Value);

template <typename Tag>
void assignFromJson(StrongId<Tag, std::string> &Member,
                    const QJsonValue &Value) {
  Member = StrongId<Tag, std::string>(Value.toString().toStdString());
}

QJsonValue toJson(milliseconds Value);
QJsonValue toJson(double Value);
QJsonValue toJson(std::uint32_t Value);
QJsonValue toJson(std::uint16_t Value);
QJsonValue toJson(const std::string &Value);
QJsonValue toJson(Placement Value);

template <typename Tag>
QJsonValue toJson(const StrongId<Tag, std::string> &Value) {
  return toJson(Value.value());
}
/** @} */

/** A rule and the member of \p Struct that holds the value. */
template <typename Struct> struct FieldBinding {
  using Member = std::variant<
      milliseconds Struct::*, double Struct::*, std::uint32_t Struct::*,
      std::uint16_t Struct::*, std::string Struct::*, Placement Struct::*,
      ServiceName Struct::*, DataCentreName Struct::*, VmName Struct::*>;

  FieldRule m_Rule;
  Member m_Member;
};

/** The rules of \p Bindings without their members. */
template <typename Struct>
std::vector<const FieldRule *>
fieldRules(std::span<const FieldBinding<Struct>> Bindings) {
  std::vector<const FieldRule *> Rules;
  for (const FieldBinding<Struct> &Binding : Bindings)
    Rules.push_back(&Binding.m_Rule);
  return Rules;
}

/** The value of the bound member of \p Source as JSON. */
template <typename Struct>
QJsonValue memberToJson(const Struct &Source,
                        const FieldBinding<Struct> &Binding) {
  return std::visit([&](auto Pointer) { return toJson(Source.*Pointer); },
                    Binding.m_Member);
}

/** Decodes the object at \p Path. A missing or invalid key leaves its member
 *  at the default; problems are reported to \p Checker. */
template <typename Struct>
Struct readStruct(const QJsonValue &Value, const std::string &Path,
                  std::span<const FieldBinding<Struct>> Bindings,
                  JsonChecker &Checker) {
  Struct Result;
  if (!Value.isObject()) {
    Checker.report(Path, Value, "an object");
    return Result;
  }
  const QJsonObject Object = Value.toObject();
  checkKeys(Object, Path, fieldRules(Bindings), Checker);
  for (const FieldBinding<Struct> &Binding : Bindings) {
    const FieldRule &Rule = Binding.m_Rule;
    const QJsonValue Field = Object.value(QLatin1StringView(
        Rule.m_Key.data(), static_cast<qsizetype>(Rule.m_Key.size())));
    if (Field.isUndefined())
      continue;
    if (!meetsRule(Rule, Field)) {
      Checker.report(joinPath(Path, Rule.m_Key), Field, expectedClause(Rule));
      continue;
    }
    std::visit([&](auto Pointer) { assignFromJson(Result.*Pointer, Field); },
               Binding.m_Member);
  }
  return Result;
}

} // namespace figturn

#endif // FIGTURN_PROTOCOL_FIELDRULE_H
