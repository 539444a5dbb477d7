#ifndef FIGTURN_STATE_EVENT_H
#define FIGTURN_STATE_EVENT_H

/**
 * Numbered log events. Every log line belongs to one of them; docs/EVENTS.md is
 * their catalogue, and CI checks that the two agree. Each event is one line of
 * key=value fields. `figturn serve` writes the lines to standard output, other
 * commands to standard error. All functions are thread-safe.
 */

#include "state/LogSink.h"

#include <cstdint>
#include <fmt/format.h>
#include <span>
#include <string_view>

namespace figturn {

/** Severity of an event. */
enum class Severity { Debug, Info, Warning, Error };

/** Catalogue entry of one event. */
struct EventInfo {
  std::uint16_t m_Number;
  Severity m_Severity;
  std::string_view m_Name;    ///< Stable, for example "target-cold".
  std::string_view m_Meaning; ///< One sentence.
  std::string_view m_Action;  ///< What an operator should do, or "none".
};

/** Event numbers; the hundreds identify the subject, see Events.def. */
enum class Event : std::uint16_t {
#define FIGTURN_EVENT(Id, Number, Severity, Name, Meaning, Action)             \
  Id = (Number),
#include "state/Events.def"
#undef FIGTURN_EVENT
};

/** All events in the order of their numbers. */
std::span<const EventInfo> allEvents();

/** The catalogue entry of \p Id. */
const EventInfo &eventInfo(Event Id);

/** Destination of log lines. */
enum class LogOutput {
  StandardError,         ///< Each line is written immediately.
  StandardOutput,        ///< Each line is written immediately.
  StandardOutputInBlocks ///< Written in blocks; the process calls
                         ///< logSink().flush().
};

/** Sets the destination; initially StandardError. */
void setLogOutput(LogOutput Output);

/** The sink of this process. */
LogSink &logSink();

/** Drops events below \p Minimum; initially Severity::Info. */
void setLogThreshold(Severity Minimum);

/**
 * Whether an event of \p Id is to be written; counts it as suppressed if it
 * exceeds its rate limit.
 */
bool isLogged(Event Id);

/** Writes one log line for \p Id with the formatted \p Fields. */
void writeEvent(Event Id, std::string_view Fields);

/** Logs \p Id with fields formatted by fmt, for example "target={}". */
template <typename... Args>
void logEvent(Event Id, fmt::format_string<Args...> Format, Args &&...Values) {
  if (isLogged(Id))
    writeEvent(Id, fmt::format(Format, std::forward<Args>(Values)...));
}

} // namespace figturn

#endif // FIGTURN_STATE_EVENT_H
