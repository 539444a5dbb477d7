#ifndef FIGTURN_PROTOCOL_COMPRESSION_H
#define FIGTURN_PROTOCOL_COMPRESSION_H

/** Compression of documents that VMs exchange (zlib, through Qt). */

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace figturn {

/** Compresses \p Text. */
std::string compress(std::string_view Text);

/** Undoes compress(). None if \p Bytes is not its result, or would become
 *  longer than \p MaxBytes. */
std::optional<std::string> decompress(std::string_view Bytes,
                                      std::size_t MaxBytes);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_COMPRESSION_H
