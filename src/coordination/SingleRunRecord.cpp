#include "coordination/SingleRunRecord.h"

#include "state/RendezvousHash.h"

#include <fmt/format.h>

namespace figturn {

namespace {

/** Two seeds yield a 128-bit hash, so that distinct keys don't share an object.
 */
constexpr std::uint64_t HighSeed = 0;
constexpr std::uint64_t LowSeed = 1;

} // namespace

std::string_view phaseName(SingleRunPhase Phase) {
  switch (Phase) {
  case SingleRunPhase::Intent:
    return "intent";
  case SingleRunPhase::Ran:
    return "ran";
  case SingleRunPhase::Released:
    return "released";
  case SingleRunPhase::Unknown:
    return "unknown";
  }
  return "unknown";
}

SingleRunPhase parsePhase(std::string_view Name) {
  for (const SingleRunPhase Phase :
       {SingleRunPhase::Intent, SingleRunPhase::Ran, SingleRunPhase::Released})
    if (Name == phaseName(Phase))
      return Phase;
  return SingleRunPhase::Unknown;
}

std::string singleRunPath(const ServiceName &Service, const RequestKey &Key) {
  return fmt::format("runs/{}/{:016x}{:016x}", Service,
                     stableHash(Key.value(), HighSeed),
                     stableHash(Key.value(), LowSeed));
}

} // namespace figturn
