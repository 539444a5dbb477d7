#include "cli/Commands.h"
#include "cli/RequestTimeline.h"
#include "state/Event.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <fmt/format.h>

namespace figturn {

namespace {

ExitCode explainEvent(const std::string &Argument) {
  std::string_view Text = Argument;
  if (Text.starts_with('F') || Text.starts_with('f'))
    Text.remove_prefix(1);
  unsigned Number = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size())
    return usageError(
        fmt::format("\"{}\" is not an event number such as F0102", Argument));
  const auto Events = allEvents();
  const auto Found =
      std::find_if(Events.begin(), Events.end(), [&](const EventInfo &Info) {
        return Info.m_Number == Number;
      });
  if (Found == Events.end())
    return usageError(fmt::format("unknown event F{:04}", Number));
  constexpr std::array<std::string_view, 4> Names = {"debug", "info", "warning",
                                                     "error"};
  fmt::print("F{:04} {} ({})\n{}\nAction: {}\n", Found->m_Number, Found->m_Name,
             Names.at(static_cast<std::size_t>(Found->m_Severity)),
             Found->m_Meaning, Found->m_Action);
  return ExitCode::Ok;
}

/** Whether \p Text is an event number in the format of log lines. */
bool isEventNumber(const std::string &Text) {
  return Text.size() == 5 && Text[0] == 'F' &&
         std::all_of(Text.begin() + 1, Text.end(),
                     [](char C) { return C >= '0' && C <= '9'; });
}

void printLine(const LogLine &Line) {
  fmt::print("  {} {} F{:04} {} {}\n", Line.m_Time, Line.m_Source, Line.m_Event,
             Line.m_Name, Line.m_Fields);
}

ExitCode explainRequest(const std::string &Id,
                        const std::vector<std::string> &Files) {
  std::vector<LogLine> Lines;
  std::string Unreadable;
  if (!readLogFiles(Files, Lines, Unreadable)) {
    fmt::print(stderr, "figturn: cannot read the log file {}\n", Unreadable);
    return ExitCode::Failed;
  }
  const RequestTimeline Timeline = buildTimeline(Id, std::move(Lines));
  if (Timeline.m_Lines.empty()) {
    fmt::print(stderr,
               "figturn: no line of these files has the request field id={}; "
               "pass the logs of all VMs for that time\n",
               Id);
    return ExitCode::NoAnswer;
  }
  fmt::print("State changes of the request's VMs up to its last line, oldest "
             "first:\n");
  for (const LogLine &Each : Timeline.m_VmEvents)
    printLine(Each);
  fmt::print("Log lines of request {}:\n", Id);
  for (const LogLine &Each : Timeline.m_Lines)
    printLine(Each);
  fmt::print("{}\n", Timeline.m_Cause);
  return ExitCode::Ok;
}

} // namespace

ExitCode explainCommand(const std::vector<std::string> &Arguments) {
  if (Arguments.size() == 1)
    return explainEvent(Arguments[0]);
  if (isEventNumber(Arguments[0]))
    return usageError("`figturn explain` takes one event number, or a "
                      "request ID and log files");
  return explainRequest(Arguments[0], {Arguments.begin() + 1, Arguments.end()});
}

} // namespace figturn
