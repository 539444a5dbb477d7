#ifndef FIGTURN_STATE_LOGSINK_H
#define FIGTURN_STATE_LOGSINK_H

/**
 * Output of log lines, one by one or in blocks. A slow reader never blocks the
 * process: lines that exceed the buffer are dropped and counted, and so are the
 * lines of an event that exceeds its rate limit.
 */

#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace figturn {

/** Options of a LogSink. */
struct LogSinkOptions {
  int m_Descriptor = 2; ///< Standard error.
  /** If set, lines are written by flush() or once a block is full; if not, each
   *  line is written immediately, as commands need it. */
  bool m_IsBuffered = false;
  std::size_t m_MaxBufferBytes = 262144; ///< Lines that exceed it are dropped.
  /** Maximum lines of one event per second; several times what a VM logs of its
   *  most frequent event at its design load. */
  std::uint32_t m_MaxLinesPerSecond = 400;
};

/** Numbers of lines that were not written. */
struct LogDropCounts {
  std::uint64_t m_Dropped = 0;    ///< The buffer was full.
  std::uint64_t m_Suppressed = 0; ///< The event exceeded its rate limit.
};

/** A log sink. Thread-safe. */
class LogSink {
public:
  explicit LogSink(LogSinkOptions Options) : m_Options(Options) {}

  /** Whether a line of event \p Number may be written at \p Now; if not, it is
   *  counted as suppressed. */
  bool admit(std::uint16_t Number, TimePoint Now);
  /** Lines of \p Number suppressed since the last call. */
  std::uint64_t takeSuppressedCount(std::uint16_t Number);
  /** Adds \p Line, which must end with a line feed. */
  void write(std::string_view Line);
  /** Writes the buffered lines as far as the reader accepts them now. */
  void flush();
  LogDropCounts dropCounts() const;
  /** Replaces the options, after writing the buffered lines to the previous
   *  descriptor as far as its reader accepts them now. */
  void configure(LogSinkOptions Options);

private:
  struct Rate {
    TimePoint m_WindowStart;
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
