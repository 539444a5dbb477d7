#include "state/RankedMutex.h"

namespace figturn {

namespace {

/** Highest rank that this thread holds; 0 if none. */
thread_local int HeldRank = 0;

} // namespace

void RankedMutex::lock() {
  const int Rank = static_cast<int>(m_Rank);
  FIGTURN_INVARIANT(HeldRank < Rank);
  m_Mutex.lock();
  m_OuterRank = HeldRank;
  HeldRank = Rank;
}

bool RankedMutex::try_lock() {
  if (!m_Mutex.try_lock())
    return false;
  m_OuterRank = HeldRank;
  HeldRank = static_cast<int>(m_Rank);
  return true;
}

void RankedMutex::unlock() {
  HeldRank = m_OuterRank;
  m_Mutex.unlock();
}

} // namespace figturn
