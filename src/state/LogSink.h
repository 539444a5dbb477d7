#ifndef FIGTURN_STATE_LOGSINK_H
#define FIGTURN_STATE_LOGSINK_H

/**
 * Where log lines go. Lines are gathered and written in blocks; a reader that
 * does not keep up never blocks the process: lines beyond the buffer are
 * dropped and counted, and so are those of an event that comes too often.
 */

#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace figturn {

/** Bounds of a LogSink. */
struct LogSinkOptions {
  int m_Descriptor = 2;
  /** Lines wait for flush() or for a full block; otherwise each is written
   *  at once, as suits commands. */
  bool m_IsBuffered = false;
  std::size_t m_MaxBufferBytes = 262144; ///< Bytes.
  /** Lines of one event in a second; several times what a VM logs of its
   *  busiest event at the load it is made for. */
  std::uint32_t m_MaxLinesPerSecond = 400;
};

/** Lines that were not written. */
struct LogDropCounts {
  std::uint64_t m_Dropped = 0;    ///< The buffer was full.
  std::uint64_t m_Suppressed = 0; ///< The event came too often.
};

/** The sink; thread-safe. */
class LogSink {
public:
  explicit LogSink(LogSinkOptions Options) : m_Options(Options) {}

  /** Whether a line of event \p Number may be written at \p Now; false counts
   *  it as left out. */
  bool admit(std::uint16_t Number, TimePoint Now);
  /** Lines of \p Number left out since the last call. */
  std::uint64_t takeSuppressedCount(std::uint16_t Number);
  /** Adds a line, which ends with a line feed. */
  void write(std::string_view Line);
  /** Writes what is gathered as far as the reader takes it now. */
  void flush();
  LogDropCounts dropCounts() const;
  void configure(LogSinkOptions Options);

private:
  struct Rate {
    TimePoint m_Second;
    std::uint32_t m_Lines = 0;
    std::uint64_t m_Suppressed = 0;
  };

  void flushLocked();

  mutable std::mutex m_Mutex;
  LogSinkOptions m_Options;
  std::string m_Buffer;
  std::map<std::uint16_t, Rate> m_Rates;
  LogDropCounts m_DropCounts;
};

} // namespace figturn

#endif // FIGTURN_STATE_LOGSINK_H
