#ifndef FIGTURN_STATE_ASSERT_H
#define FIGTURN_STATE_ASSERT_H

/**
 * Checks of internal invariants. What a user did wrong is never checked
 * here: that becomes an error with a sentence. A broken invariant aborts a
 * debug build; in a release build it is logged and counted, and the caller
 * of the check takes its safe path.
 */

#include <cstdint>

namespace figturn {

/** Number of invariants found broken since the process started. */
std::uint64_t brokenInvariantCount();

/** Records a broken invariant; aborts where NDEBUG is not defined. */
void reportBrokenInvariant(const char *Condition, const char *File, int Line);

} // namespace figturn

/** True if \p Condition holds; otherwise reports it and yields false. */
#define FIGTURN_INVARIANT(Condition)                                           \
  ((Condition) ||                                                              \
   (figturn::reportBrokenInvariant(#Condition, __FILE__, __LINE__), false))

#endif // FIGTURN_STATE_ASSERT_H
