#ifndef FIGTURN_PROTOCOL_SINGLERUNCODEC_H
#define FIGTURN_PROTOCOL_SINGLERUNCODEC_H

/** Encodes and decodes the platform object of a single-run request. */

#include "coordination/SingleRunAttempt.h"
#include "protocol/ObjectStore.h"

#include <string>
#include <string_view>

namespace figturn {

std::string encodeSingleRunRecord(const SingleRunRecord &Record);

/** Decodes the object. A malformed one gets the phase Unknown, which prevents
 *  another run without claiming an outcome. */
SingleRunRecord decodeSingleRunRecord(std::string_view Body);

/** Converts a result of the store for an attempt. */
RecordReply toRecordReply(const ObjectResult &Result);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_SINGLERUNCODEC_H
