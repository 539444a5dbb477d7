#include "protocol/LenientJson.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace figturn {

namespace {

/** Levels at which an unreadable value is replaced by itself: the fields of an
 *  entry in a list are on the fourth. Deeper ones take their parent along. */
constexpr int MaxSplitDepth = 4;

/** Scans JSON text without recursion, so that any nesting is safe. */
class Scanner {
public:
  explicit Scanner(std::string_view Text) : m_Text(Text) {}

  bool accept(char Expected) {
    skipSpace();
    if (m_Position == m_Text.size() || m_Text[m_Position] != Expected)
      return false;
    ++m_Position;
    return true;
  }
  bool isAtEnd() {
    skipSpace();
    return m_Position == m_Text.size();
  }
  /** The next value; empty if there is none or it has no end. */
  std::string_view takeValue() {
    skipSpace();
    const std::size_t Begin = m_Position;
    std::size_t Depth = 0;
    while (m_Position < m_Text.size()) {
      const char Next = m_Text[m_Position];
      const bool IsSeparator = Next == ',' || Next == ':' || Next == ' ' ||
                               Next == '\n' || Next == '\r' || Next == '\t';
      if (Depth == 0 && (IsSeparator || Next == '}' || Next == ']'))
        break;
      if (Next == '"' && !skipString())
        return {};
      if (Next == '"' && Depth == 0)
        break;
      if (Next == '"')
        continue;
      ++m_Position;
      if (Next == '{' || Next == '[')
        ++Depth;
      else if ((Next == '}' || Next == ']') && --Depth == 0)
        break;
    }
    return Depth == 0 ? m_Text.substr(Begin, m_Position - Begin)
                      : std::string_view();
  }

private:
  void skipSpace() {
    while (m_Position < m_Text.size() &&
           std::string_view(" \n\r\t").find(m_Text[m_Position]) !=
               std::string_view::npos)
      ++m_Position;
  }
  bool skipString() {
    for (++m_Position; m_Position < m_Text.size(); ++m_Position) {
      if (m_Text[m_Position] == '\\')
        ++m_Position;
      else if (m_Text[m_Position] == '"') {
        ++m_Position;
        return true;
      }
    }
    return false;
  }

  std::string_view m_Text;
  std::size_t m_Position = 0;
};

/** Parses a value of any type; undefined if it is not readable. */
QJsonValue parseStrictly(std::string_view Text) {
  QByteArray Wrapped = "[";
  Wrapped.append(Text.data(), static_cast<qsizetype>(Text.size())).append("]");
  const QJsonDocument Document = QJsonDocument::fromJson(Wrapped);
  const QJsonArray Values = Document.array();
  return Values.size() == 1 ? Values.first() : QJsonValue::Undefined;
}

QJsonValue parseValue(std::string_view Text, int Depth);

std::optional<QJsonObject> parseMembers(std::string_view Text, int Depth) {
  Scanner Input(Text);
  QJsonObject Object;
  if (!Input.accept('{'))
    return std::nullopt;
  while (!Input.accept('}')) {
    if (!Object.isEmpty() && !Input.accept(','))
      return std::nullopt;
    const QJsonValue Key = parseStrictly(Input.takeValue());
    if (!Key.isString() || !Input.accept(':'))
      return std::nullopt;
    const std::string_view Value = Input.takeValue();
    if (Value.empty())
      return std::nullopt;
    Object.insert(Key.toString(), parseValue(Value, Depth));
  }
  return Input.isAtEnd() ? std::optional(Object) : std::nullopt;
}

std::optional<QJsonArray> parseElements(std::string_view Text, int Depth) {
  Scanner Input(Text);
  QJsonArray Array;
  if (!Input.accept('['))
    return std::nullopt;
  while (!Input.accept(']')) {
    if (!Array.isEmpty() && !Input.accept(','))
      return std::nullopt;
    const std::string_view Value = Input.takeValue();
    if (Value.empty())
      return std::nullopt;
    Array.append(parseValue(Value, Depth));
  }
  return Input.isAtEnd() ? std::optional(Array) : std::nullopt;
}

QJsonValue parseValue(std::string_view Text, int Depth) {
  QJsonValue Value = parseStrictly(Text);
  if (!Value.isUndefined())
    return Value;
  if (Depth < MaxSplitDepth) {
    if (const auto Object = parseMembers(Text, Depth + 1))
      return *Object;
    if (const auto Array = parseElements(Text, Depth + 1))
      return *Array;
  }
  return QJsonValue::Null;
}

} // namespace

std::optional<QJsonObject> parseJsonLeniently(std::string_view Text) {
  const QJsonDocument Document =
      QJsonDocument::fromJson(QByteArray::fromRawData(
          Text.data(), static_cast<qsizetype>(Text.size())));
  return Document.isObject() ? std::optional(Document.object())
                             : parseMembers(Text, 1);
}

} // namespace figturn
