#include "state/LogSink.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace figturn {

namespace {

/** A writable pipe accepts this many bytes without blocking. */
constexpr std::size_t BlockSize = PIPE_BUF;

bool isWritable(int Descriptor) {
  pollfd Poll{.fd = Descriptor, .events = POLLOUT, .revents = 0};
  return ::poll(&Poll, 1, 0) == 1 && (Poll.revents & POLLOUT) != 0;
}

} // namespace

bool LogSink::admit(std::uint16_t Number, TimePoint Now) {
  const std::lock_guard Lock(m_Mutex);
  Rate &EventRate = m_Rates[Number];
  if (Now - EventRate.m_WindowStart >= seconds(1)) {
    EventRate.m_WindowStart = Now;
    EventRate.m_Lines = 0;
  }
  if (EventRate.m_Lines >= m_Options.m_MaxLinesPerSecond) {
    ++EventRate.m_Suppressed;
    ++m_DropCounts.m_Suppressed;
    return false;
  }
  ++EventRate.m_Lines;
  return true;
}

std::uint64_t LogSink::takeSuppressedCount(std::uint16_t Number) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Rates.find(Number);
  return Found == m_Rates.end() ? 0
                                : std::exchange(Found->second.m_Suppressed, 0);
}

void LogSink::write(std::string_view Line) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Buffer.size() + Line.size() > m_Options.m_MaxBufferBytes) {
    ++m_DropCounts.m_Dropped;
    return;
  }
  m_Buffer += Line;
  if (!m_Options.m_IsBuffered || m_Buffer.size() >= BlockSize)
    flushLocked();
}

void LogSink::flush() {
  const std::lock_guard Lock(m_Mutex);
  flushLocked();
}

void LogSink::flushLocked() {
  std::size_t Written = 0;
  while (Written < m_Buffer.size() && isWritable(m_Options.m_Descriptor)) {
    const std::size_t Size = std::min(BlockSize, m_Buffer.size() - Written);
    const auto Done =
        ::write(m_Options.m_Descriptor, m_Buffer.data() + Written, Size);
    if (Done < 0 && errno == EINTR)
      continue;
    if (Done <= 0)
      break;
    Written += static_cast<std::size_t>(Done);
  }
  m_Buffer.erase(0, Written);
}

LogDropCounts LogSink::dropCounts() const {
  const std::lock_guard Lock(m_Mutex);
  return m_DropCounts;
}

void LogSink::configure(LogSinkOptions Options) {
  const std::lock_guard Lock(m_Mutex);
  flushLocked();
  m_Options = Options;
}

} // namespace figturn
