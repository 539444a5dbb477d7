#ifndef FIGTURN_PROTOCOL_SETTINGSCODEC_H
#define FIGTURN_PROTOCOL_SETTINGSCODEC_H

/**
 * Decodes and validates the settings file of `figturn serve`.
 */

#include "protocol/FieldRule.h"
#include "protocol/JsonProblem.h"
#include "protocol/NodeSettings.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace figturn {

/** Decoded settings and all problems found in them. */
struct SettingsResult {
  NodeSettings m_Settings; ///< Valid only without problems.
  JsonProblems m_Problems;
};

/** The keys of the settings file. */
std::span<const FieldBinding<NodeSettings>> settingsRules();

/** Decodes settings from \p Text; \p File is its name in problems. */
SettingsResult parseSettings(std::string_view Text, const std::string &File);

/** Reads and decodes the settings file \p File. */
SettingsResult readSettings(const std::string &File);

/** Parses "IP:port" or "[IPv6]:port"; std::nullopt if malformed. */
std::optional<SocketAddress> parseSocketAddress(std::string_view Text);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_SETTINGSCODEC_H
