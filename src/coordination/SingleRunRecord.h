#ifndef FIGTURN_COORDINATION_SINGLERUNRECORD_H
#define FIGTURN_COORDINATION_SINGLERUNRECORD_H

/**
 * The platform object that ensures that a request runs at most once. There is
 * one object per idempotency key; only the attempt whose token it contains may
 * send the request.
 */

#include "state/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace figturn {

/** Identifies one attempt; unique across all VMs and over time. */
using AttemptToken = StrongId<struct AttemptTokenTag, std::string>;
/** Global revision of the platform's store; 0 means none. */
using StoreRevision = StrongId<struct StoreRevisionTag, std::uint64_t>;

/** The progress of a request as last recorded by its holder. */
enum class SingleRunPhase {
  Intent,   ///< The holder may send the request, now or later.
  Ran,      ///< The request ran; the record contains the result.
  Released, ///< The holder has not sent the request and never will.
  Unknown   ///< The request was sent, but it is unknown whether it ran.
};

/** The name in the record: intent, ran, released or unknown. */
std::string_view phaseName(SingleRunPhase Phase);

/** Parses a phase name; unrecognised names yield Unknown. */
SingleRunPhase parsePhase(std::string_view Name);

/** The content of the object. */
struct SingleRunRecord {
  RequestKey m_Key;
  Fingerprint m_Fingerprint;
  AttemptToken m_Token;
  VmName m_Vm; ///< The holder.
  BootId m_Boot;
  SingleRunPhase m_Phase = SingleRunPhase::Intent;
  std::string m_Result; ///< Encoded result; only in phase Ran.
};

/** The object's path: runs/SERVICE/HASH. */
std::string singleRunPath(const ServiceName &Service, const RequestKey &Key);

} // namespace figturn

#endif // FIGTURN_COORDINATION_SINGLERUNRECORD_H
