#ifndef FIGTURN_STATE_RENDEZVOUSHASH_H
#define FIGTURN_STATE_RENDEZVOUSHASH_H

/**
 * Rendezvous (highest random weight) hashing over VM names. Every process
 * computes the same owner of a key from the same list, and a change of the list
 * moves only the keys of the VMs that joined or left.
 */

#include "state/Ids.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace figturn {

/** Hash that is identical in all processes and builds (XXH3, 64 bit). */
std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed = 0);

/** The member that owns \p Key, or nullptr if \p Members is empty. */
const VmName *rendezvousOwner(std::span<const VmName> Members,
                              std::uint64_t Key);

/**
 * All members in descending order of their weight for \p Key, so that the owner
 * comes first.
 */
std::vector<VmName> rendezvousOrder(std::span<const VmName> Members,
                                    std::uint64_t Key);

} // namespace figturn

#endif // FIGTURN_STATE_RENDEZVOUSHASH_H
