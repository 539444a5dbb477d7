#ifndef FIGTURN_PROTOCOL_FIELDRULE_H
#define FIGTURN_PROTOCOL_FIELDRULE_H

/**
 * Tables that say which keys a JSON object may have: kind, unit, range and
 * meaning of each, and the struct member that takes the value. Readers,
 * checks, defaults and the reference page all follow from one table.
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

/** What kind of value a key takes. */
enum class FieldKind {
  Milliseconds, ///< Whole number.
  Count,        ///< Whole number.
  Share,        ///< Number.
  Name,         ///< Letters, digits, '-' and '_', up to 64 of them.
  IpAddress,    ///< IPv4 or IPv6.
  Address,      ///< IP number and port, "127.0.0.1:8001".
  AddressList,  ///< Addresses with commas between them; may be empty.
  HttpUrl,      ///< http URL without a trailing slash.
  Placement     ///< "in" or "out".
};

/** Rule for one key. */
struct FieldRule {
  std::string_view m_Key;
  FieldKind m_Kind = FieldKind::Name;
  double m_Min = 0; ///< For numbers, inclusive.
  double m_Max = 0; ///< For numbers, inclusive.
  bool m_Required = false;
  std::string_view m_Description; ///< A clause for the reference page.
};

/** Whether \p Name may name a data centre, service, target or VM. */
bool isValidName(std::string_view Name);

/** What isValidName() asks for, as a clause. */
std::string_view validNameClause();

/** What \p Rule asks for, as a clause. */
std::string expectedClause(const FieldRule &Rule);

/** Whether \p Value meets \p Rule. */
bool meetsRule(const FieldRule &Rule, const QJsonValue &Value);

/** Reports unknown and missing keys of \p Object. */
void checkKeys(const QJsonObject &Object, const std::string &Path,
               const std::vector<const FieldRule *> &Rules,
               JsonChecker &Checker);

/** \name Conversions of checked values to and from members.
 *  @{ */
void assignFromJson(milliseconds &Out, const QJsonValue &Value);
void assignFromJson(double &Out, const QJsonValue &Value);
void assignFromJson(std::uint32_t &Out, const QJsonValue &Value);
void assignFromJson(std::uint16_t &Out, const QJsonValue &Value);
void assignFromJson(std::string &Out, const QJsonValue &Value);
void assignFromJson(Placement &Out, const QJsonValue &Value);

template <typename Tag>
void assignFromJson(StrongId<Tag, std::string> &Out, const QJsonValue &Value) {
  Out = StrongId<Tag, std::string>(Value.toString().toStdString());
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

/** A rule and the member of \p Record that takes the value. */
template <typename Record> struct FieldBinding {
  using Member = std::variant<
      milliseconds Record::*, double Record::*, std::uint32_t Record::*,
      std::uint16_t Record::*, std::string Record::*, Placement Record::*,
      ServiceName Record::*, DataCentreName Record::*, VmName Record::*>;

  FieldRule m_Rule;
  Member m_Member;
};

/** The plain rules of \p Members. */
template <typename Record>
std::vector<const FieldRule *>
fieldRules(std::span<const FieldBinding<Record>> Members) {
  std::vector<const FieldRule *> Rules;
  for (const FieldBinding<Record> &Member : Members)
    Rules.push_back(&Member.m_Rule);
  return Rules;
}

/** The member's value in \p From as JSON. */
template <typename Record>
QJsonValue memberToJson(const Record &From,
                        const FieldBinding<Record> &Member) {
  return std::visit([&](auto Pointer) { return toJson(From.*Pointer); },
                    Member.m_Member);
}

/** Reads the object at \p Path; a key that is missing or wrong leaves its
 *  member at the default, and what is wrong is reported. */
template <typename Record>
Record readStruct(const QJsonValue &Value, const std::string &Path,
                  std::span<const FieldBinding<Record>> Members,
                  JsonChecker &Checker) {
  Record Out;
  if (!Value.isObject()) {
    Checker.report(Path, Value, "an object");
    return Out;
  }
  const QJsonObject Object = Value.toObject();
  checkKeys(Object, Path, fieldRules(Members), Checker);
  for (const FieldBinding<Record> &Member : Members) {
    const FieldRule &Rule = Member.m_Rule;
    const QJsonValue Field = Object.value(QLatin1StringView(
        Rule.m_Key.data(), static_cast<qsizetype>(Rule.m_Key.size())));
    if (Field.isUndefined())
      continue;
    if (!meetsRule(Rule, Field)) {
      Checker.report(joinPath(Path, Rule.m_Key), Field, expectedClause(Rule));
      continue;
    }
    std::visit([&](auto Pointer) { assignFromJson(Out.*Pointer, Field); },
               Member.m_Member);
  }
  return Out;
}

} // namespace figturn

#endif // FIGTURN_PROTOCOL_FIELDRULE_H
