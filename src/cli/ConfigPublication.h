#ifndef FIGTURN_CLI_CONFIGPUBLICATION_H
#define FIGTURN_CLI_CONFIGPUBLICATION_H

/**
 * Performs the steps chosen by ConfigPublisher on the platform's object
 * `config`.
 */

#include "coordination/ConfigPublisher.h"
#include "protocol/ConfigObject.h"
#include "protocol/ObjectStore.h"

#include <QJsonObject>
#include <string>

namespace figturn {

/** Result of a publication. */
struct PublicationResult {
  PublishStep m_Step; ///< Its kind is Done.
  std::string m_Body; ///< Body of the object with this change, if Accepted.
};

/** Publishes \p Merged; blocks until the outcome is final. */
PublicationResult publishConfig(ObjectStore &Store, const QJsonObject &Merged,
                                const ConfigPublisherOptions &Options);

} // namespace figturn

#endif // FIGTURN_CLI_CONFIGPUBLICATION_H
