#ifndef FIGTURN_COORDINATION_CALLIDALLOCATOR_H
#define FIGTURN_COORDINATION_CALLIDALLOCATOR_H

/**
 * Allocates call ids that are unique in the process. A query reserves a block
 * of consecutive ids, so that an id's offset in the block is the call's index.
 */

#include "state/Ids.h"

#include <atomic>
#include <cstdint>

namespace figturn {

/** Allocates blocks of consecutive call ids. Thread-safe. */
class CallIdAllocator {
public:
  /** \p First should be random where ids must be unique across processes. */
  explicit CallIdAllocator(CallId First = CallId(1)) : m_Next(First.value()) {}

  /** Reserves \p Count consecutive ids and returns the first. */
  CallId reserve(std::uint64_t Count) {
    return CallId(m_Next.fetch_add(Count, std::memory_order_relaxed));
  }

private:
  std::atomic<std::uint64_t> m_Next;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_CALLIDALLOCATOR_H
