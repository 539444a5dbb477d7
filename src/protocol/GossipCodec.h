#ifndef FIGTURN_PROTOCOL_GOSSIPCODEC_H
#define FIGTURN_PROTOCOL_GOSSIPCODEC_H

/** Gossip between entry VMs as datagrams of Cap'n Proto. */

#include "coordination/FleetView.h"

#include <optional>
#include <string>
#include <string_view>

namespace figturn {

/** The bytes of one datagram. */
std::string encodeGossip(const GossipNews &News);

/** Reads a datagram; none if it holds no gossip. */
std::optional<GossipNews> decodeGossip(std::string_view Bytes);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_GOSSIPCODEC_H
