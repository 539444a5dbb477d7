#include "state/Event.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <fmt/chrono.h>
#include <unistd.h>

namespace figturn {

namespace {

constexpr EventInfo Catalogue[] = {
#define FIGTURN_EVENT(Id, Number, Severity, Name, Meaning, Action)             \
  {(Number), Severity, (Name), (Meaning), (Action)},
#include "state/Events.def"
#undef FIGTURN_EVENT
};

constexpr std::array<std::string_view, 4> SeverityNames = {"debug", "info",
                                                           "warning", "error"};

std::atomic<Severity> Threshold{Severity::Info};

/**
 * Formats \p Second as a date and time. The text is cached, since most lines
 * are logged in the same second as the previous one and formatting a date takes
 * some 1,500 instructions.
 */
const std::string &formatDate(std::time_t Second) {
  thread_local std::time_t CachedSecond = -1;
  thread_local std::string Text;
  if (CachedSecond != Second) {
    CachedSecond = Second;
    Text = fmt::format("{:%Y-%m-%dT%H:%M:%S}", fmt::gmtime(Second));
  }
  return Text;
}

} // namespace

std::span<const EventInfo> allEvents() { return Catalogue; }

const EventInfo &eventInfo(Event Id) {
  const auto Number = static_cast<std::uint16_t>(Id);
  return *std::lower_bound(
      std::begin(Catalogue), std::end(Catalogue), Number,
      [](const EventInfo &Info, std::uint16_t N) { return Info.m_Number < N; });
}

void setLogThreshold(Severity Minimum) { Threshold.store(Minimum); }

LogSink &logSink() {
  static LogSink Sink{LogSinkOptions{}};
  return Sink;
}

void setLogOutput(LogOutput Output) {
  const bool IsService = Output != LogOutput::StandardError;
  logSink().configure(
      {.m_Descriptor = IsService ? STDOUT_FILENO : STDERR_FILENO,
       .m_IsBuffered = Output == LogOutput::StandardOutputInBlocks});
}

bool isLogged(Event Id) {
  return eventInfo(Id).m_Severity >= Threshold.load() &&
         logSink().admit(static_cast<std::uint16_t>(Id), Clock::now());
}

void writeEvent(Event Id, std::string_view Fields) {
  const EventInfo &Info = eventInfo(Id);
  const auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto Millis = Now.time_since_epoch().count() % 1000;
  std::string Line =
      fmt::format("{}.{:03}Z {} F{:04} {} {}",
                  formatDate(std::chrono::system_clock::to_time_t(Now)), Millis,
                  SeverityNames.at(static_cast<std::size_t>(Info.m_Severity)),
                  Info.m_Number, Info.m_Name, Fields);
  if (const std::uint64_t Suppressed =
          logSink().takeSuppressedCount(Info.m_Number))
    Line += fmt::format(" left_out={}", Suppressed);
  Line += '\n';
  logSink().write(Line);
}

} // namespace figturn
