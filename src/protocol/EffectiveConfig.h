#ifndef FIGTURN_PROTOCOL_EFFECTIVECONFIG_H
#define FIGTURN_PROTOCOL_EFFECTIVECONFIG_H

/**
 * Lists every value of a configuration, including defaults, with the place in
 * the files that set it. `figturn check` shows this list to operators.
 */

#include "protocol/JsonText.h"
#include "state/Configuration.h"

#include <QJsonValue>
#include <optional>
#include <string>
#include <vector>

namespace figturn {

/** One value of the effective configuration. */
struct EffectiveValue {
  std::string m_Path;
  QJsonValue m_Value;
  std::optional<JsonOrigin> m_Origin; ///< Not set for a default.
};

/** All values of \p Config, ordered by section. */
std::vector<EffectiveValue> effectiveValues(const Configuration &Config,
                                            const JsonOrigins &Origins);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_EFFECTIVECONFIG_H
