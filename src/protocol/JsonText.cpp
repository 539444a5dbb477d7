#include "protocol/JsonText.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace figturn {

namespace {

JsonOrigin originAt(std::string_view Text, std::size_t Offset,
                    const std::string &File) {
  const std::string_view Before = Text.substr(0, std::min(Offset, Text.size()));
  const auto LastNewline = Before.rfind('\n');
  const std::size_t LineStart =
      LastNewline == std::string_view::npos ? 0 : LastNewline + 1;
  const auto Newlines = std::count(Before.begin(), Before.end(), '\n');
  return {.m_File = File,
          .m_Line = static_cast<std::size_t>(Newlines) + 1,
          .m_Column = Before.size() - LineStart + 1};
}

/** Records the position of each value. The text has been accepted by Qt's
 *  parser, so its syntax isn't checked again. */
class OriginScanner {
public:
  OriginScanner(std::string_view Text, JsonText &Result,
                const std::string &File)
      : m_Text(Text), m_Result(Result), m_File(File) {}

  void scanRoot() { scanValue(""); }

private:
  /** Counts lines from the last position requested. */
  JsonOrigin currentOrigin() {
    for (; m_LineOffset < m_Offset; ++m_LineOffset) {
      if (m_Text[m_LineOffset] != '\n')
        continue;
      ++m_Line;
      m_LineStart = m_LineOffset + 1;
    }
    return {.m_File = m_File,
            .m_Line = m_Line,
            .m_Column = m_Offset - m_LineStart + 1};
  }

  char peek() const {
    return m_Offset < m_Text.size() ? m_Text[m_Offset] : '\0';
  }

  bool consume(char Expected) {
    skipSpace();
    if (peek() != Expected)
      return false;
    ++m_Offset;
    return true;
  }

  void skipSpace() {
    const auto Next = m_Text.find_first_not_of(" \t\r\n", m_Offset);
    m_Offset = std::min(Next, m_Text.size());
  }

  std::string_view scanString() {
    const std::size_t Start = m_Offset++;
    while (m_Offset < m_Text.size() && peek() != '"')
      m_Offset += peek() == '\\' ? 2 : 1;
    ++m_Offset;
    return m_Text.substr(Start, m_Offset - Start);
  }

  std::string scanKey() {
    const std::string_view Quoted = scanString();
    const QByteArray Array =
        "[" + QByteArray(Quoted.data(), static_cast<qsizetype>(Quoted.size())) +
        "]";
    const QJsonDocument Document = QJsonDocument::fromJson(Array);
    return Document.array().at(0).toString().toStdString();
  }

  void scanValue(const std::string &Path) {
    skipSpace();
    switch (peek()) {
    case '{':
      return scanObject(Path);
    case '[':
      return scanArray(Path);
    case '"':
      scanString();
      return;
    default:
      m_Offset =
          std::min(m_Text.find_first_of(",]} \t\r\n", m_Offset), m_Text.size());
    }
  }

  void scanObject(const std::string &Path) {
    std::set<std::string> Keys;
    ++m_Offset;
    while (!consume('}') && m_Offset < m_Text.size()) {
      skipSpace();
      const JsonOrigin Origin = currentOrigin();
      const std::string Key = scanKey();
      const std::string Member = joinPath(Path, Key);
      if (!Keys.insert(Key).second)
        m_Result.m_Problems.push_back(
            {.m_Origin = Origin,
             .m_Path = Member,
             .m_Expected = fmt::format("this key only once; it is already in "
                                       "line {}",
                                       m_Result.m_Origins[Member].m_Line)});
      m_Result.m_Origins[Member] = Origin;
      consume(':');
      scanValue(Member);
      consume(',');
    }
  }

  void scanArray(const std::string &Path) {
    ++m_Offset;
    while (!consume(']') && m_Offset < m_Text.size()) {
      scanValue(Path);
      consume(',');
    }
  }

  std::string_view m_Text;
  JsonText &m_Result;
  const std::string &m_File;
  std::size_t m_Offset = 0;
  std::size_t m_LineOffset = 0;
  std::size_t m_Line = 1;
  std::size_t m_LineStart = 0;
};

} // namespace

std::string joinPath(std::string_view Path, std::string_view Key) {
  return Path.empty() ? std::string(Key) : fmt::format("{}.{}", Path, Key);
}

JsonText parseJsonText(std::string_view Text, const std::string &File) {
  JsonText Result;
  QJsonParseError Error;
  const QJsonDocument Document = QJsonDocument::fromJson(
      QByteArray(Text.data(), static_cast<qsizetype>(Text.size())), &Error);
  if (Error.error != QJsonParseError::NoError) {
    // Qt reports the offset after the invalid character.
    const auto ErrorOffset =
        static_cast<std::size_t>(std::max(Error.offset - 1, 0));
    Result.m_Problems.push_back(
        {.m_Origin = originAt(Text, ErrorOffset, File),
         .m_Expected = fmt::format("valid JSON ({})",
                                   Error.errorString().toStdString())});
    return Result;
  }
  if (!Document.isObject()) {
    Result.m_Problems.push_back(
        {.m_Origin = originAt(Text, 0, File),
         .m_Expected = "a JSON object at the top level"});
    return Result;
  }
  Result.m_Object = Document.object();
  OriginScanner(Text, Result, File).scanRoot();
  return Result;
}

JsonText readJsonFile(const std::string &File) {
  QFile Source(QString::fromStdString(File));
  if (!Source.open(QIODevice::ReadOnly)) {
    JsonText Result;
    Result.m_Problems.push_back(
        {.m_Origin = {.m_File = File},
         .m_Expected = fmt::format("a readable file ({})",
                                   Source.errorString().toStdString())});
    return Result;
  }
  return parseJsonText(Source.readAll().toStdString(), File);
}

} // namespace figturn
