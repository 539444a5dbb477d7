#ifndef FIGTURN_PROTOCOL_JSONCHECKER_H
#define FIGTURN_PROTOCOL_JSONCHECKER_H

/**
 * Collects problems while a JSON object is read, and finds for each the file
 * and line that the value came from.
 */

#include "protocol/JsonProblem.h"
#include "protocol/JsonText.h"

#include <QJsonValue>
#include <string>
#include <vector>

namespace figturn {

/** What a reader does with keys that it doesn't know. */
enum class UnknownKeys {
  Report, ///< A person wrote them: most likely a misspelling.
  Ignore  ///< A later release of the program wrote them.
};

/** Problems of one reading. */
class JsonChecker {
public:
  /** \p Origins may be empty if the text came from no file. */
  explicit JsonChecker(const JsonOrigins &Origins,
                       UnknownKeys Unknown = UnknownKeys::Report)
      : m_Origins(Origins), m_Unknown(Unknown) {}

  /** Records that \p Value at \p Path is not what was expected. */
  void report(const std::string &Path, const QJsonValue &Value,
              std::string Expected);

  /** Records the unknown \p Key of the object at \p Path, unless unknown
   *  keys are to be ignored. */
  void reportUnknownKey(const std::string &Path, const std::string &Key,
                        const std::vector<std::string> &Known);

  /** Place of \p Path, or of the nearest object around it that has one. */
  JsonOrigin findOrigin(std::string Path) const;

  const JsonProblems &problems() const { return m_Problems; }
  JsonProblems takeProblems() { return std::move(m_Problems); }

private:
  const JsonOrigins &m_Origins;
  UnknownKeys m_Unknown;
  JsonProblems m_Problems;
};

/** \p Value as compact JSON, shortened; "" if it is undefined. */
std::string printJson(const QJsonValue &Value);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_JSONCHECKER_H
