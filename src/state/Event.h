#ifndef FIGTURN_STATE_EVENT_H
#define FIGTURN_STATE_EVENT_H

/**
 * Numbered log events. Each line that the program logs belongs to one of
 * them; docs/EVENTS.md is their catalogue, and CI checks that the two agree.
 * Lines are key=value fields, one line an event. `figturn serve` writes them
 * to standard output, commands to standard error.
 */

#include "state/LogSink.h"

#include <cstdint>
#include <fmt/format.h>
#include <span>
#include <string_view>

namespace figturn {

/** How much attention an event asks for. */
enum class Severity { Debug, Info, Warning, Error };

/** What one event number means. */
struct EventInfo {
  std::uint16_t m_Number;
  Severity m_Severity;
  std::string_view m_Name;    ///< Stable, for example "target-cold".
  std::string_view m_Meaning; ///< One sentence.
  std::string_view m_Action;  ///< What an operator should do, or "none".
};

/** Event numbers; the hundreds say which layer logs them. */
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

/** Where log lines go. */
enum class LogOutput {
  StandardError,         ///< Each line at once.
  StandardOutput,        ///< Each line at once.
  StandardOutputInBlocks ///< The process calls logSink().flush().
};

/** Standard error holds at start. */
void setLogOutput(LogOutput Output);

/** The sink of this process. */
LogSink &logSink();

/** Drops events below \p Least; Severity::Info holds at start. */
void setLogThreshold(Severity Least);

/** Whether an event of \p Id is to be written; counts it as left out if it
 *  comes too often. */
bool isLogged(Event Id);

/** Writes one log line for \p Id with already formatted \p Fields. */
void writeEvent(Event Id, std::string_view Fields);

/** Logs \p Id with fields formatted by fmt, for example "target={}". */
template <typename... Args>
void logEvent(Event Id, fmt::format_string<Args...> Format, Args &&...Values) {
  if (isLogged(Id))
    writeEvent(Id, fmt::format(Format, std::forward<Args>(Values)...));
}

} // namespace figturn

#endif // FIGTURN_STATE_EVENT_H
