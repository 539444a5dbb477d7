#include "state/Assert.h"

#include "state/Event.h"

#include <atomic>
#include <cstdlib>

namespace figturn {

namespace {

std::atomic<std::uint64_t> BrokenCount{0};

} // namespace

std::uint64_t invariantViolationCount() { return BrokenCount.load(); }

void reportInvariantViolation(const char *Condition, const char *File,
                              int Line) {
  BrokenCount.fetch_add(1);
  logEvent(Event::InvariantBroken, "condition=\"{}\" file={} line={}",
           Condition, File, Line);
#ifndef NDEBUG
  std::abort();
#endif
}

} // namespace figturn
