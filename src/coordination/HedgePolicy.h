#ifndef FIGTURN_COORDINATION_HEDGEPOLICY_H
#define FIGTURN_COORDINATION_HEDGEPOLICY_H

/** Strategy that decides when a hedge is sent for a slow call. */

#include "state/Time.h"

#include <optional>

namespace figturn {

/** Computes the hedge delay of a query. */
class HedgePolicy {
public:
  virtual ~HedgePolicy() = default;

  /** Time for which a call may be outstanding before it is hedged; none if
   * calls are never hedged. Called once per query, at its start. */
  virtual std::optional<Duration> delay(TimePoint Now) const = 0;
};

class NoHedgePolicy final : public HedgePolicy {
public:
  std::optional<Duration> delay(TimePoint) const override {
    return std::nullopt;
  }
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_HEDGEPOLICY_H
