#ifndef FIGTURN_PROTOCOL_CONFIGCODEC_H
#define FIGTURN_PROTOCOL_CONFIGCODEC_H

/**
 * Decodes the operators' configuration into typed values and validates it,
 * both key by key and across sections.
 */

#include "protocol/JsonChecker.h"
#include "state/Configuration.h"

#include <QJsonObject>
#include <cstdint>
#include <string>

namespace figturn {

/** Connections that a target's limit must allow in addition to its slots, so
 *  that this many entry VMs can each open one more to replace or probe a
 *  connection. */
inline constexpr std::uint32_t ConnectionHeadroom = 20;

/** A decoded configuration and all problems found in it. */
struct ConfigResult {
  Configuration m_Configuration; ///< Valid only without problems.
  JsonProblems m_Problems;
};

/** Decodes a merged configuration; \p Origins may be empty. */
ConfigResult decodeConfig(const QJsonObject &Merged, const JsonOrigins &Origins,
                          UnknownKeys Unknown = UnknownKeys::Report);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_CONFIGCODEC_H
