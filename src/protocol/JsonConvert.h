#ifndef FIGTURN_PROTOCOL_JSONCONVERT_H
#define FIGTURN_PROTOCOL_JSONCONVERT_H

/**
 * Conversions between Qt's JSON types and the standard types of the layers
 * below, which know no Qt. Every JSON codec of the project uses them.
 */

#include <QJsonObject>
#include <QJsonValue>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figturn {

/** UTF-8 text as Qt's string. */
QString toQt(std::string_view Text);

/** A count as a JSON number; exact up to 2^63 - 1. */
QJsonValue toJson(std::uint64_t Number);

/** The object as compact UTF-8 text. */
std::string toCompactJson(const QJsonObject &Object);

/** The object that \p Text holds; empty if it holds none. */
QJsonObject parseJsonObject(std::string_view Text);

/** The text at \p Key; empty if it is absent or no string. */
std::string stringAt(const QJsonObject &Object, const char *Key);

/** The count at \p Key; none if it is absent, negative or not integral. */
std::optional<std::uint64_t> countAt(const QJsonObject &Object,
                                     const char *Key);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_JSONCONVERT_H
