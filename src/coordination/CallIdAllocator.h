#ifndef FIGTURN_COORDINATION_CALLIDALLOCATOR_H
#define FIGTURN_COORDINATION_CALLIDALLOCATOR_H

/**
 * Source of call ids that are unique in the process. Queries reserve blocks,
 * which lets them find a call by its offset in the block.
 */

#include "state/Ids.h"

#include <atomic>
#include <cstdint>

namespace figturn {

/** Hands out blocks of consecutive call ids. Thread-safe. */
class CallIdAllocator {
public:
  /** \p First is random where ids must be unique over processes. */
  explicit CallIdAllocator(CallId First = CallId(1)) : m_Next(First.value()) {}

  /** First of \p Count consecutive ids that nobody else gets. */
  CallId reserve(std::uint64_t Count) {
    return CallId(m_Next.fetch_add(Count, std::memory_order_relaxed));
  }

private:
  std::atomic<std::uint64_t> m_Next;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_CALLIDALLOCATOR_H
