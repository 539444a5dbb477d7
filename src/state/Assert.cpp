#include "state/Assert.h"

#include "state/Event.h"

#include <atomic>
#include <cstdlib>

namespace figturn {

namespace {

std::atomic<std::uint64_t> ViolationCount{0};

} // namespace

std::uint64_t invariantViolationCount() { return ViolationCount.load(); }

void reportInvariantViolation(const char *Condition, const char *File,
                              int Line) {
  ViolationCount.fetch_add(1);
  logEvent(Event::InvariantBroken, "condition=\"{}\" file={} line={}",
           Condition, File, Line);
#ifndef NDEBUG
  std::abort();
#endif
}

} // namespace figturn
