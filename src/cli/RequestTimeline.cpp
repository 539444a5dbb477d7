#include "cli/RequestTimeline.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <regex>
#include <set>

namespace figturn {

namespace {

/** Maximum number of VM state changes in a timeline. */
constexpr std::size_t MaxVmEvents = 20;

// Numbers of routed mode's events in state/Events.def, in which 716 is
// RoutedRequestRefused.
constexpr std::uint16_t RequestPlaced = 711;
constexpr std::uint16_t CallFailed = 713;
constexpr std::uint16_t RequestNotRouted = 710;
constexpr std::uint16_t RequestAnswered = 714;
constexpr std::uint16_t RequestAnsweredPartly = 715;
constexpr std::uint16_t RequestRefused = 716;
constexpr std::uint16_t CallerLeft = 717;

/** Whether the event reports a change in a VM's view of its environment. */
bool isVmStateEvent(std::uint16_t Event) {
  return (Event >= 100 && Event < 400) || (Event >= 600 && Event < 700) ||
         Event >= 800;
}

bool isOutcomeEvent(std::uint16_t Event) {
  return Event == RequestNotRouted ||
         (Event >= RequestAnswered && Event <= CallerLeft);
}

std::string describeOutcome(const LogLine &End) {
  switch (End.m_Event) {
  case RequestNotRouted:
    return fmt::format("Refused at once, not run: {}.", End.field("reason"));
  case RequestAnswered:
    return fmt::format("Answered in full after {} ms.", End.field("ms"));
  case RequestAnsweredPartly:
    return fmt::format("Answered with {} shards after {} ms.",
                       End.field("shards"), End.field("ms"));
  case RequestRefused:
    return fmt::format("Refused after {} ms, {}: {}; without an answer: {}.",
                       End.field("ms"), End.field("verdict"),
                       End.field("reason"),
                       End.field("lost").empty() ? "none" : End.field("lost"));
  case CallerLeft:
    return fmt::format("The caller disconnected after {} ms.",
                       End.field("after_ms"));
  default:
    return {};
  }
}

std::string findCause(const std::vector<LogLine> &Lines) {
  const auto End =
      std::find_if(Lines.rbegin(), Lines.rend(), [](const LogLine &Each) {
        return isOutcomeEvent(Each.m_Event);
      });
  if (End == Lines.rend())
    return Lines.empty() ? ""
                         : "No outcome is logged: the VM stopped or its last "
                           "lines were lost; look for a later node-started.";
  std::string Cause = describeOutcome(*End);
  std::string Failures;
  for (const LogLine &Each : Lines)
    if (Each.m_Event == CallFailed)
      Failures += fmt::format("{}{} at {}", Failures.empty() ? "" : ", ",
                              Each.field("outcome"), Each.field("target"));
  if (!Failures.empty())
    Cause += fmt::format(" Calls that failed: {}.", Failures);
  else if (End->m_Event != RequestAnswered)
    Cause += " No call failed: calls without an answer were in flight, or none "
             "could be sent.";
  return Cause;
}

} // namespace

std::string LogLine::field(const std::string &Key) const {
  const std::string Prefix = " " + Key + "=";
  const std::string Text = " " + m_Fields;
  const std::size_t Offset = Text.find(Prefix);
  if (Offset == std::string::npos)
    return {};
  const std::size_t Begin = Offset + Prefix.size();
  return Text.substr(Begin, Text.find(' ', Begin) - Begin);
}

bool parseLogLine(const std::string &Line, const std::string &File,
                  LogLine &Parsed) {
  static const std::regex Pattern(
      R"(^(.*?)(\d{4}-\d\d-\d\dT[\d:.]+Z) \w+ F(\d{4}) (\S+) ?(.*)$)");
  std::smatch Parts;
  if (!std::regex_match(Line, Parts, Pattern))
    return false;
  Parsed.m_Source = Parts[1].str();
  // A log collector may prefix the line with the VM's name or a timestamp.
  while (!Parsed.m_Source.empty() && Parsed.m_Source.back() == ' ')
    Parsed.m_Source.pop_back();
  const std::size_t Space = Parsed.m_Source.rfind(' ');
  if (Space != std::string::npos)
    Parsed.m_Source.erase(0, Space + 1);
  if (Parsed.m_Source.empty())
    Parsed.m_Source = File;
  Parsed.m_Time = Parts[2].str();
  const std::string Number = Parts[3].str();
  std::from_chars(Number.data(), Number.data() + Number.size(), Parsed.m_Event);
  Parsed.m_Name = Parts[4].str();
  Parsed.m_Fields = Parts[5].str();
  return true;
}

bool readLogFiles(const std::vector<std::string> &Files,
                  std::vector<LogLine> &Lines, std::string &Unreadable) {
  for (const std::string &File : Files) {
    std::ifstream Input(File);
    if (!Input) {
      Unreadable = File;
      return false;
    }
    std::string Line;
    LogLine Parsed;
    while (std::getline(Input, Line))
      if (parseLogLine(Line, File, Parsed))
        Lines.push_back(Parsed);
  }
  return true;
}

RequestTimeline buildTimeline(const std::string &Id,
                              std::vector<LogLine> Lines) {
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const LogLine &Left, const LogLine &Right) {
                     return Left.m_Time < Right.m_Time;
                   });
  RequestTimeline Timeline;
  std::set<std::string> Sources;
  for (const LogLine &Each : Lines)
    if (Each.field("id") == Id) {
      Timeline.m_Lines.push_back(Each);
      Sources.insert(Each.m_Source);
    }
  if (Timeline.m_Lines.empty())
    return Timeline;
  const std::string Last = Timeline.m_Lines.back().m_Time;
  for (const LogLine &Each : Lines)
    if (isVmStateEvent(Each.m_Event) && Sources.contains(Each.m_Source) &&
        Each.m_Time <= Last)
      Timeline.m_VmEvents.push_back(Each);
  if (Timeline.m_VmEvents.size() > MaxVmEvents)
    Timeline.m_VmEvents.erase(Timeline.m_VmEvents.begin(),
                              Timeline.m_VmEvents.end() - MaxVmEvents);
  Timeline.m_Cause = findCause(Timeline.m_Lines);
  return Timeline;
}

} // namespace figturn
