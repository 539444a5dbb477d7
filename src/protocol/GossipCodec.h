#ifndef FIGTURN_PROTOCOL_GOSSIPCODEC_H
#define FIGTURN_PROTOCOL_GOSSIPCODEC_H

/** Gossip between entry VMs as datagrams of Cap'n Proto. */

#include "coordination/FleetView.h"

#include <optional>
#include <string>
#include <string_view>

namespace figturn {

/** The bytes of one datagram. */
std::string encodeGossip(const GossipPayload &News);

/** Reads a datagram; none if it holds no gossip. */
std::optional<GossipPayload> decodeGossip(std::string_view Bytes);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_GOSSIPCODEC_H
