#ifndef FIGTURN_CLI_REQUESTTIMELINE_H
#define FIGTURN_CLI_REQUESTTIMELINE_H

/**
 * Builds the timeline of one request in routed mode from the logs of several
 * VMs: the request's log lines in chronological order, and the latest state
 * changes, up to its last line, of the VMs that handled it.
 */

#include <cstdint>
#include <string>
#include <vector>

namespace figturn {

/** A parsed log line. */
struct LogLine {
  /** Last word of a log collector's prefix, such as the VM's name, or the file
   *  if there is no prefix. */
  std::string m_Source;
  std::string m_Time; ///< Verbatim; sorts as text.
  std::uint16_t m_Event = 0;
  std::string m_Name;   ///< Name of the event.
  std::string m_Fields; ///< "key=value", separated by spaces.

  /** Value of \p Key in the fields, or "". */
  std::string field(const std::string &Key) const;
};

/** Timeline of a request. */
struct RequestTimeline {
  std::vector<LogLine> m_VmEvents; ///< State changes of the VMs.
  std::vector<LogLine> m_Lines;
  std::string m_Cause; ///< Outcome and its cause; empty if m_Lines is.
};

/** Parses \p Line of \p File into \p Parsed; false if it is not a log line. */
bool parseLogLine(const std::string &Line, const std::string &File,
                  LogLine &Parsed);

/** Builds the timeline of the request \p Id from \p Lines. */
RequestTimeline buildTimeline(const std::string &Id,
                              std::vector<LogLine> Lines);

/** Appends all log lines of \p Files to \p Lines; returns false and sets
 *  \p Unreadable if a file can't be read. */
bool readLogFiles(const std::vector<std::string> &Files,
                  std::vector<LogLine> &Lines, std::string &Unreadable);

} // namespace figturn

#endif // FIGTURN_CLI_REQUESTTIMELINE_H
