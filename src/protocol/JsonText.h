#ifndef FIGTURN_PROTOCOL_JSONTEXT_H
#define FIGTURN_PROTOCOL_JSONTEXT_H

/**
 * Parses JSON text and records the position of each value. Qt's parser
 * decides what is valid, but it keeps no positions and silently drops all but
 * the last of duplicate keys, which are reported as problems here.
 */

#include "protocol/JsonProblem.h"

#include <QJsonObject>
#include <map>
#include <string>
#include <string_view>

namespace figturn {

/** Position of each value, which is that of its key, by the value's path. */
using JsonOrigins = std::map<std::string, JsonOrigin>;

/** A JSON object, the positions of its values and the problems found. */
struct JsonText {
  QJsonObject m_Object;
  JsonOrigins m_Origins;
  JsonProblems m_Problems;
};

/** Path of the member \p Key of the object at \p Path. */
std::string joinPath(std::string_view Path, std::string_view Key);

/** Parses \p Text, whose root must be an object; \p File is its name in
 *  problems. */
JsonText parseJsonText(std::string_view Text, const std::string &File);

/** Reads and parses \p File; a failure to read it is reported as a problem. */
JsonText readJsonFile(const std::string &File);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_JSONTEXT_H
