#ifndef FIGTURN_PROTOCOL_SETTINGSCODEC_H
#define FIGTURN_PROTOCOL_SETTINGSCODEC_H

/**
 * Reads the settings file of `figturn serve` and checks it against its table
 * of keys.
 */

#include "protocol/FieldRule.h"
#include "protocol/JsonProblem.h"
#include "protocol/NodeSettings.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace figturn {

/** Settings read, and all that is wrong with them. */
struct SettingsResult {
  NodeSettings m_Settings; ///< Of use only if there are no problems.
  JsonProblems m_Problems;
};

/** The keys of a settings file. */
std::span<const FieldBinding<NodeSettings>> settingsRules();

/** Reads settings from \p Text; \p File names it in problems. */
SettingsResult parseSettings(std::string_view Text, const std::string &File);

/** Reads the settings file \p File. */
SettingsResult readSettings(const std::string &File);

/** Takes "IP:port" or "[IPv6]:port" apart; none if it is neither. */
std::optional<SocketAddress> parseSocketAddress(std::string_view Text);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_SETTINGSCODEC_H
