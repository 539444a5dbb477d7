#ifndef FIGTURN_STATE_RANKEDMUTEX_H
#define FIGTURN_STATE_RANKEDMUTEX_H

/**
 * Mutexes with a lock order, for the tables shared by worker threads. A thread
 * may only acquire locks in ascending LockRank and must release them in the
 * reverse order. lock() checks the ascending order, so that a potential
 * deadlock is reported as an invariant violation; try_lock() doesn't check it.
 */

#include "state/Assert.h"

#include <mutex>

namespace figturn {

/** Lock order; a thread that holds a rank may only acquire higher ones. */
enum class LockRank : int {
  Routing = 10,    ///< Configuration, snapshots, target states.
  Membership = 20, ///< Member list, epoch, leases.
  Ownership = 30,  ///< Slots of targets.
  Quarantine = 40, ///< Fingerprints of crashing requests.
  SingleRun = 50,  ///< Idempotency keys.
  Budgets = 60,    ///< Extra-load budgets.
  Counters = 70    ///< Metrics; always the innermost lock.
};

/**
 * A mutex with a rank in the lock order. Meets the requirements of Lockable.
 */
class RankedMutex {
public:
  explicit RankedMutex(LockRank Rank) : m_Rank(Rank) {}

  void lock();
  bool try_lock(); // NOLINT(readability-identifier-naming): Lockable's name
  void unlock();

private:
  std::mutex m_Mutex;
  LockRank m_Rank;
  /** Highest rank that the thread held before it locked this mutex. */
  int m_OuterRank = 0;
};

} // namespace figturn

#endif // FIGTURN_STATE_RANKEDMUTEX_H
