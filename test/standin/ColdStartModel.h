#ifndef FIGTURN_STANDIN_COLDSTART_H
#define FIGTURN_STANDIN_COLDSTART_H

/**
 * How much a stand-in target bears while it warms up: few calls at first,
 * twice as many after each number of served calls, until all slots are warm.
 * Counts each call that arrives above what it bears.
 */

#include <cstdint>
#include <map>

namespace figturn::standin {

/** Shape of the warm-up. */
struct ColdStartModelOptions {
  std::uint32_t m_ColdSlots = 1;
  std::uint32_t m_CallsPerLevel = 20;
  std::uint32_t m_WarmSlots = 12;
};

/** Warm-up state of one target process. */
class ColdStartModel {
public:
  ColdStartModel(ColdStartModelOptions Options, bool IsCold);

  /** Starts over at the lowest level. */
  void resetToCold();
  bool isCold() const { return m_Level < m_Options.m_WarmSlots; }
  /** Calls in flight that it bears now. */
  std::uint32_t concurrencyLimit() const { return m_Level; }
  /** Notes a call that brings the calls in flight to \p InFlight; false if
   *  the target is cold and that is above what it bears. */
  bool admit(std::uint32_t InFlight);
  /** Notes a served call. */
  void onCallServed();

  std::uint64_t callsOverLimit() const { return m_CallsOverLimit; }
  /** Most calls in flight seen at each level. */
  const std::map<std::uint32_t, std::uint32_t> &maxInFlightByLevel() const {
    return m_MaxInFlightByLevel;
  }

private:
  ColdStartModelOptions m_Options;
  std::uint32_t m_Level;
  std::uint32_t m_ServedAtLevel = 0;
  std::uint64_t m_CallsOverLimit = 0;
  std::map<std::uint32_t, std::uint32_t> m_MaxInFlightByLevel;
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_COLDSTART_H
