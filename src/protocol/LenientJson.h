#ifndef FIGTURN_PROTOCOL_LENIENTJSON_H
#define FIGTURN_PROTOCOL_LENIENTJSON_H

/**
 * Reads JSON objects that hold entries of several writers, of which one may be
 * unreadable: nested deeper than the parser allows, with a number out of range
 * or with bytes that are not UTF-8. Such a value becomes null, and the rest is
 * read as usual.
 */

#include <QJsonObject>

#include <optional>
#include <string_view>

namespace figturn {

/** Parses \p Text; values that can't be read are null. None if \p Text is not
 *  an object or its outer structure is malformed. */
std::optional<QJsonObject> parseJsonLeniently(std::string_view Text);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_LENIENTJSON_H
