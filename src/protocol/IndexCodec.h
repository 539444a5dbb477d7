#ifndef FIGTURN_PROTOCOL_INDEXCODEC_H
#define FIGTURN_PROTOCOL_INDEXCODEC_H

/**
 * Encodes and decodes the platform object index/SERVICE, in which the indexer
 * publishes a version of a service's index.
 */

#include "state/Ids.h"
#include "state/IndexSnapshot.h"

#include <string>
#include <string_view>
#include <system_error>

namespace figturn {

/** A decoded snapshot or an error. */
struct IndexResult {
  std::error_code m_Error; ///< None or BadReply.
  std::string m_Message;   ///< Describes the error.
  IndexSnapshot m_Snapshot;
};

/** Path of the index object of \p Service. */
std::string indexPath(const ServiceName &Service);

/** Decodes the index object of \p Service. */
IndexResult decodeIndex(const ServiceName &Service, std::string_view Body);

/** Encodes the body of the index object. */
std::string encodeIndex(const IndexSnapshot &Snapshot);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_INDEXCODEC_H
