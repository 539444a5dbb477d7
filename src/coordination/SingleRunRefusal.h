#ifndef FIGTURN_COORDINATION_SINGLERUNREFUSAL_H
#define FIGTURN_COORDINATION_SINGLERUNREFUSAL_H

/**
 * Messages for refused single-run requests. They are separate from the state
 * machine, which decides only the verdict and the reason.
 */

#include "state/Verdict.h"

#include <system_error>

namespace figturn {

/** Builds a refusal with a message that states what the caller can rely on. */
Refusal singleRunRefusal(RunVerdict Verdict, std::error_code Reason);

} // namespace figturn

#endif // FIGTURN_COORDINATION_SINGLERUNREFUSAL_H
