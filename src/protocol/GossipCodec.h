#ifndef FIGTURN_PROTOCOL_GOSSIPCODEC_H
#define FIGTURN_PROTOCOL_GOSSIPCODEC_H

/** Encodes and decodes gossip between entry VMs as Cap'n Proto datagrams. */

#include "coordination/FleetView.h"

#include <optional>
#include <string>
#include <string_view>

namespace figturn {

/** Encodes \p Payload as one datagram. */
std::string encodeGossip(const GossipPayload &Payload);

/** Decodes a datagram; std::nullopt if it is malformed or contains no
 *  VM record. */
std::optional<GossipPayload> decodeGossip(std::string_view Bytes);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_GOSSIPCODEC_H
