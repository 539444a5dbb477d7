#ifndef FIGTURN_PROTOCOL_CONFIGSCHEMA_H
#define FIGTURN_PROTOCOL_CONFIGSCHEMA_H

/**
 * The keys of the operators' configuration. Codec, checks and the reference
 * page docs/CONFIGURATION.md follow from these tables.
 */

#include "protocol/FieldRule.h"
#include "state/Configuration.h"

#include <span>
#include <string>

namespace figturn {

/** Names of the sections at the top of a configuration. */
inline constexpr std::string_view DataCentresSection = "dataCentres";
inline constexpr std::string_view ServicesSection = "services";
inline constexpr std::string_view TargetsSection = "targets";

/** Keys of one entry of a section. */
std::span<const FieldBinding<DataCentreConfig>> dataCentreRules();
std::span<const FieldBinding<ServiceConfig>> serviceRules();
std::span<const FieldBinding<TargetConfig>> targetRules();

/** The reference tables of all sections, the node settings included, as
 *  Markdown. */
std::string schemaMarkdown();

} // namespace figturn

#endif // FIGTURN_PROTOCOL_CONFIGSCHEMA_H
