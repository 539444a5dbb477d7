#ifndef FIGTURN_STANDIN_COLDSTARTMODEL_H
#define FIGTURN_STANDIN_COLDSTARTMODEL_H

/**
 * Concurrency limit of a stand-in target during warm-up. The limit starts low
 * and doubles after a fixed number of served calls, until it reaches the slot
 * count. Calls that arrive above the limit are counted.
 */

#include <cstdint>
#include <map>

namespace figturn::standin {

/** Parameters of the warm-up. */
struct ColdStartModelOptions {
  std::uint32_t m_ColdSlots = 1;
  std::uint32_t m_CallsPerLevel = 20; ///< Calls before the limit doubles.
  std::uint32_t m_WarmSlots = 12;
};

/** Warm-up state of one target process. */
class ColdStartModel {
public:
  ColdStartModel(ColdStartModelOptions Options, bool IsCold);

  /** Restarts the warm-up at the lowest limit. */
  void resetToCold();
  bool isCold() const { return m_Level < m_Options.m_WarmSlots; }
  /** Calls in flight that the target accepts now. */
  std::uint32_t concurrencyLimit() const { return m_Level; }
  /** Records a call that raises the calls in flight to \p InFlight. Returns
   *  false if the target is cold and that exceeds its limit. */
  bool admit(std::uint32_t InFlight);
  void onCallServed();

  std::uint64_t callsOverLimit() const { return m_CallsOverLimit; }
  /** Peak of calls in flight for each value of the limit. */
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

#endif // FIGTURN_STANDIN_COLDSTARTMODEL_H
