#ifndef FIGTURN_PROTOCOL_CONFIGOBJECT_H
#define FIGTURN_PROTOCOL_CONFIGOBJECT_H

/**
 * The platform object `config`: the merged configuration and the ID of the
 * change that wrote it. It also lists the IDs of earlier changes, so that a
 * writer that didn't receive the reply to its write can determine whether the
 * change took effect, even if another change has been accepted since.
 */

#include "protocol/ConfigCodec.h"
#include "state/Configuration.h"

#include <QJsonObject>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figturn {

/** Path of the object in the platform's store. */
inline constexpr std::string_view ConfigObjectPath = "config";

/** Maximum number of earlier change IDs in the object. */
inline constexpr std::size_t MaxPreviousChanges = 16;

/** The decoded object. */
struct ConfigObject {
  QJsonObject m_Merged; ///< As merged from the files.
  std::string m_ChangeId;
  std::vector<std::string> m_PreviousChanges; ///< Most recent first.
  /** Whether the decoded object lists previous changes; other writers may
   *  drop the list. */
  bool m_HasPreviousChanges = true;
};

/** Encodes the body of \p Object. */
std::string encodeConfigObject(const ConfigObject &Object);

/** Decodes a body; std::nullopt if it is not a JSON object. */
std::optional<ConfigObject> decodeConfigObject(std::string_view Body);

/** The previous change IDs for the object that replaces \p Object. */
std::vector<std::string> previousChangesAfter(const ConfigObject &Object);

/** Decodes and validates the object as an entry VM does. Unknown keys are
 *  ignored because a later release may have written them: the fleet is
 *  upgraded one VM at a time. */
ConfigResult decodeAcceptedConfig(std::string_view Body, ConfigVersion Version);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_CONFIGOBJECT_H
