#ifndef FIGTURN_CLI_REQUESTTIMELINE_H
#define FIGTURN_CLI_REQUESTTIMELINE_H

/**
 * One request's story out of the logs of several VMs: its own lines in the
 * order of time, and what its VM came to believe shortly before.
 */

#include <cstdint>
#include <string>
#include <vector>

namespace figturn {

/** A log line taken apart. */
struct LogLine {
  std::string m_Source; ///< File, or what stands before the line's time.
  std::string m_Time;   ///< As written; sorts as text.
  std::uint16_t m_Event = 0;
  std::string m_Name;   ///< Of the event.
  std::string m_Fields; ///< "key=value" with spaces between.

  /** Value of \p Key in the fields, or "". */
  std::string field(const std::string &Key) const;
};

/** A request's story. */
struct RequestTimeline {
  std::vector<LogLine> m_VmEvents; ///< Of its VMs, shortly before.
  std::vector<LogLine> m_Lines;
  std::string m_Cause; ///< A sentence; empty if nothing is known.
};

/** Takes \p Line of \p File apart; none if it is no log line. */
bool parseLogLine(const std::string &Line, const std::string &File,
                  LogLine &Out);

/** Tells the story of the request \p Id from \p Lines. */
RequestTimeline buildTimeline(const std::string &Id,
                              std::vector<LogLine> Lines);

/** Reads all log lines of \p Files; false names one that can't be read. */
bool readLogFiles(const std::vector<std::string> &Files,
                  std::vector<LogLine> &Out, std::string &Unreadable);

} // namespace figturn

#endif // FIGTURN_CLI_REQUESTTIMELINE_H
