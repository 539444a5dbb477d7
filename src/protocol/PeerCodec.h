#ifndef FIGTURN_PROTOCOL_PEERCODEC_H
#define FIGTURN_PROTOCOL_PEERCODEC_H

/**
 * Converts peer messages between plain structs and Cap'n Proto. An unknown
 * value decodes to a safe one: an unknown verdict to MayHaveRun, an unknown
 * error to BadReply.
 */

#include "protocol/PeerMessages.h"
#include "protocol/generated/Peer.capnp.h"

namespace figturn {

void encode(const RampGrant &Message, rpc::RampGrant::Builder Builder);
RampGrant decode(rpc::RampGrant::Reader Reader);

/** The sender is not encoded; the enclosing heartbeat names it. */
void encode(const RampReport &Message, rpc::RampReport::Builder Builder);
RampReport decode(rpc::RampReport::Reader Reader);

void encode(const RegressNotice &Message, rpc::RegressNotice::Builder Builder);
RegressNotice decode(rpc::RegressNotice::Reader Reader);

void encode(const PeerHeartbeat &Message, rpc::Heartbeat::Builder Builder);
PeerHeartbeat decode(rpc::Heartbeat::Reader Reader);

void encode(const CrashNotice &Message, rpc::CrashNotice::Builder Builder);
CrashNotice decode(rpc::CrashNotice::Reader Reader);

void encode(const PeerDocument &Message, rpc::Document::Builder Builder);
PeerDocument decode(rpc::Document::Reader Reader);

void encode(const PeerCall &Message, rpc::TargetCall::Builder Builder);
PeerCall decode(rpc::TargetCall::Reader Reader);

void encode(const PeerCallResult &Message, rpc::TargetResult::Builder Builder);
PeerCallResult decode(rpc::TargetResult::Reader Reader);

void encode(const HolderReply &Message, rpc::HolderReply::Builder Builder);
HolderReply decode(rpc::HolderReply::Reader Reader);

rpc::CanaryVerdict encode(CanaryVerdict Verdict);
CanaryVerdict decode(rpc::CanaryVerdict Verdict);
rpc::CanaryOutcome encode(CanaryOutcome Outcome);
CanaryOutcome decode(rpc::CanaryOutcome Outcome);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_PEERCODEC_H
