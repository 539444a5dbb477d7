#ifndef FIGTURN_STATE_ASSERT_H
#define FIGTURN_STATE_ASSERT_H

/**
 * Checks of internal invariants. User errors are never checked here: they are
 * reported as errors with a message. A violated invariant aborts a debug build;
 * a release build logs and counts it, and the code that checks it takes a safe
 * path.
 */

#include <cstdint>

namespace figturn {

/** Number of invariant violations since the process started. */
std::uint64_t invariantViolationCount();

/** Records an invariant violation; aborts unless NDEBUG is defined. */
void reportInvariantViolation(const char *Condition, const char *File,
                              int Line);

} // namespace figturn

/**
 * True if \p Condition holds; otherwise reports the violation and evaluates to
 * false.
 */
#define FIGTURN_INVARIANT(Condition)                                           \
  ((Condition) ||                                                              \
   (figturn::reportInvariantViolation(#Condition, __FILE__, __LINE__), false))

#endif // FIGTURN_STATE_ASSERT_H
