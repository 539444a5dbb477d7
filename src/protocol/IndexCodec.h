#ifndef FIGTURN_PROTOCOL_INDEXCODEC_H
#define FIGTURN_PROTOCOL_INDEXCODEC_H

/**
 * The object index/SERVICE of the platform, by which the indexer publishes
 * one version of a service's index.
 */

#include "state/Ids.h"
#include "state/IndexSnapshot.h"

#include <string>
#include <string_view>
#include <system_error>

namespace figturn {

/** A snapshot, or why the object holds none. */
struct IndexResult {
  std::error_code m_Error; ///< None or BadReply.
  std::string m_Message;   ///< What is wrong with the object.
  IndexSnapshot m_Snapshot;
};

/** Path of the object that holds \p Service's index version. */
std::string indexPath(const ServiceName &Service);

/** Reads the object of \p Service. */
IndexResult decodeIndex(const ServiceName &Service, std::string_view Body);

/** The object's body for \p Snapshot. */
std::string encodeIndex(const IndexSnapshot &Snapshot);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_INDEXCODEC_H
