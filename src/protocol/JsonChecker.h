#ifndef FIGTURN_PROTOCOL_JSONCHECKER_H
#define FIGTURN_PROTOCOL_JSONCHECKER_H

/**
 * Collects the problems found while a JSON object is decoded, each with the
 * file and line of the value.
 */

#include "protocol/JsonProblem.h"
#include "protocol/JsonText.h"

#include <QJsonValue>
#include <string>
#include <vector>

namespace figturn {

/** How unknown keys are handled. */
enum class UnknownKeys {
  Report, ///< For text written by people: probably a misspelling.
  Ignore  ///< A later release may have written them.
};

/** Collects the problems of one JSON object. */
class JsonChecker {
public:
  /** \p Origins must outlive the checker; it is empty if the JSON was not read
   *  from files. */
  explicit JsonChecker(const JsonOrigins &Origins,
                       UnknownKeys Unknown = UnknownKeys::Report)
      : m_Origins(Origins), m_Unknown(Unknown) {}

  /** Reports that \p Value at \p Path is not as \p Expected. */
  void report(const std::string &Path, const QJsonValue &Value,
              std::string Expected);

  /** Reports the unknown \p Key of the object at \p Path, unless unknown
   *  keys are ignored. */
  void reportUnknownKey(const std::string &Path, const std::string &Key,
                        const std::vector<std::string> &Known);

  /** Origin of the value at \p Path, or else of its nearest enclosing object
   *  that has one. */
  JsonOrigin findOrigin(std::string Path) const;

  const JsonProblems &problems() const { return m_Problems; }
  JsonProblems takeProblems() { return std::move(m_Problems); }

private:
  const JsonOrigins &m_Origins;
  UnknownKeys m_Unknown;
  JsonProblems m_Problems;
};

/** \p Value as compact JSON, truncated if long; "" if it is undefined. */
std::string printJson(const QJsonValue &Value);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_JSONCHECKER_H
