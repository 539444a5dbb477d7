#ifndef FIGTURN_PROTOCOL_CONFIGSCHEMA_H
#define FIGTURN_PROTOCOL_CONFIGSCHEMA_H

/**
 * Tables of the keys of the operators' configuration. Decoding, validation
 * and the reference page docs/CONFIGURATION.md are derived from them.
 */

#include "protocol/FieldRule.h"
#include "state/Configuration.h"

#include <span>
#include <string>

namespace figturn {

/** Names of the top-level sections of a configuration. */
inline constexpr std::string_view DataCentresSection = "dataCentres";
inline constexpr std::string_view ServicesSection = "services";
inline constexpr std::string_view TargetsSection = "targets";

/** Keys of an entry in each section. */
std::span<const FieldBinding<DataCentreConfig>> dataCentreRules();
std::span<const FieldBinding<ServiceConfig>> serviceRules();
std::span<const FieldBinding<TargetConfig>> targetRules();

/** The reference tables of all sections and of the settings files, as
 *  Markdown. */
std::string schemaMarkdown();

} // namespace figturn

#endif // FIGTURN_PROTOCOL_CONFIGSCHEMA_H
