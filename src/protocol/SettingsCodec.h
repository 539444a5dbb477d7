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

/** Limits of the process; the keys are the same in both modes. */
constexpr FieldRule DescriptorsRule{
    .m_Key = "descriptors",
    .m_Kind = FieldKind::Count,
    .m_Min = 64,
    .m_Max = 1e6,
    .m_Description = "Maximum file descriptors that the process may use; "
                     "callers' connections take half of them at most. Default "
                     "1024. A change needs a restart."};
constexpr FieldRule MemoryRule{
    .m_Key = "memoryMiB",
    .m_Kind = FieldKind::Count,
    .m_Min = 16,
    .m_Max = 1e6,
    .m_Description = "Memory that the process may use, in MiB; callers' "
                     "requests and unsent answers take a fifth of it at most. "
                     "Default 112. A change needs a restart."};

/** Decodes settings from \p Text; \p File is its name in problems. */
SettingsResult parseSettings(std::string_view Text, const std::string &File);

/** Reads and decodes the settings file \p File. */
SettingsResult readSettings(const std::string &File);

/** Parses "IP:port" or "[IPv6]:port"; std::nullopt if malformed. */
std::optional<SocketAddress> parseSocketAddress(std::string_view Text);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_SETTINGSCODEC_H
