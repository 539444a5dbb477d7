#ifndef FIGTURN_PROTOCOL_CONFIGOBJECT_H
#define FIGTURN_PROTOCOL_CONFIGOBJECT_H

/**
 * The platform's object `config`: the merged configuration together with the
 * id of the change that wrote it. The ids of the changes before it tell a
 * writer whose answer was lost whether its change took effect, also when
 * another was accepted on top of it since.
 */

#include "protocol/ConfigCodec.h"
#include "state/Configuration.h"

#include <QJsonObject>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figturn {

/** Path of the object. */
inline constexpr std::string_view ConfigObjectPath = "config";

/** Earlier change ids that the object keeps. */
inline constexpr std::size_t MaxPreviousChanges = 16;

/** The object's content. */
struct ConfigObject {
  QJsonObject m_Merged; ///< As the folder gives it.
  std::string m_ChangeId;
  std::vector<std::string> m_PreviousChanges; ///< Latest first.
  /** Whether the object read names its previous changes; foreign writers may
   *  not keep them. */
  bool m_HasPreviousChanges = true;
};

/** The object's body for \p Object. */
std::string encodeConfigObject(const ConfigObject &Object);

/** Reads the object's body; none if it isn't one. */
std::optional<ConfigObject> decodeConfigObject(std::string_view Body);

/** The change ids of the object that follows one written by \p Object. */
std::vector<std::string> previousChangesAfter(const ConfigObject &Object);

/** Reads and checks the object as an entry VM does. Keys that only a later
 *  release knows are ignored, so that an upgrade of the fleet can go VM by
 *  VM. */
ConfigResult decodeAcceptedConfig(std::string_view Body, ConfigVersion Version);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_CONFIGOBJECT_H
