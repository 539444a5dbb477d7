#ifndef FIGTURN_PROTOCOL_JSONCONVERT_H
#define FIGTURN_PROTOCOL_JSONCONVERT_H

/**
 * Conversions between Qt's JSON types and the standard types of the layers
 * below, which do not depend on Qt.
 */

#include <QJsonObject>
#include <QJsonValue>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figturn {

/** Converts UTF-8 text to a QString. */
QString toQt(std::string_view Text);

/** Converts a count to a JSON number; exact up to 2^63 - 1. */
QJsonValue toJson(std::uint64_t Number);

/** Serializes the object as compact UTF-8 JSON. */
std::string toCompactJson(const QJsonObject &Object);

/** Parses a JSON object; empty if \p Text is not one. */
QJsonObject parseJsonObject(std::string_view Text);

/** The string at \p Key; empty if it is absent or not a string. */
std::string stringAt(const QJsonObject &Object, const char *Key);

/** The count at \p Key; std::nullopt if it is absent, negative or not an
 *  integer. */
std::optional<std::uint64_t> countAt(const QJsonObject &Object,
                                     const char *Key);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_JSONCONVERT_H
