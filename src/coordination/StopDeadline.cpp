#include "coordination/StopDeadline.h"

#include <algorithm>

namespace figturn {

namespace {

/** Fraction of the grace period that is reserved for sending the last answers
 *  and for ending the process. */
constexpr int ReservedFraction = 6;

/** A request that may run only once has an uncertain outcome if it is cut off,
 *  so it needs more time than its objective, in multiples of it. */
constexpr int SingleRunFactor = 3;

} // namespace

void StopDeadline::begin(Duration GracePeriod, TimePoint Now) {
  if (!m_AnswerBy)
    m_AnswerBy = Now + GracePeriod - GracePeriod / ReservedFraction;
}

bool StopDeadline::mayTake(const StopRequest &Request, TimePoint Now) const {
  if (!m_AnswerBy)
    return true;
  const Duration ExpectedTime = Request.m_Kind == RouteKind::SingleRun
                                    ? SingleRunFactor * Request.m_Objective
                                    : Request.m_Objective;
  return std::min(Request.m_Deadline, Now + ExpectedTime) <= *m_AnswerBy;
}

} // namespace figturn
