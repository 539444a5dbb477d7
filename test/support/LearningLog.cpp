#include "support/LearningLog.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <system_error>

namespace figturn::test {

namespace {

constexpr std::string_view EventName = " state-version-applied ";

/** The value of " \p Key=" in \p Line; empty if there is none. */
std::string_view fieldOf(std::string_view Line, std::string_view Key) {
  const std::string Start = fmt::format(" {}=", Key);
  const std::size_t Found = Line.find(Start);
  if (Found == std::string_view::npos)
    return {};
  const std::string_view Rest = Line.substr(Found + Start.size());
  return Rest.substr(0, Rest.find_first_of(" \n"));
}

/** The number in a field; \p Otherwise if it is missing or isn't one. */
template <typename Number>
Number numberOf(std::string_view Line, std::string_view Key, Number Otherwise) {
  const std::string_view Text = fieldOf(Line, Key);
  Number Value{};
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  const bool IsNumber =
      Error == std::errc() && !Text.empty() && End == Text.data() + Text.size();
  return IsNumber ? Value : Otherwise;
}

} // namespace

bool LearningLog::Applied::includes(const AckedChange &Change) const {
  if (m_UnixMs < Change.m_AckMs)
    return false;
  if (Change.m_ConfigVersion > 0)
    return m_ConfigVersion >= Change.m_ConfigVersion;
  return std::pair(m_Era, m_Revision) >=
         std::pair(Change.m_Era, Change.m_Revision);
}

void LearningLog::onAck(AckedChange Change) {
  m_Changes.push_back(std::move(Change));
}

void LearningLog::addLine(const std::string &Vm, std::string_view Line) {
  if (Line.find(EventName) == std::string_view::npos)
    return;
  m_Applied[{Vm, std::string(fieldOf(Line, "part"))}].push_back(
      {.m_Era = numberOf<std::uint64_t>(Line, "era", 0),
       .m_Revision = numberOf<std::uint64_t>(Line, "revision", 0),
       .m_ConfigVersion = numberOf<std::uint64_t>(Line, "config", 0),
       .m_UnixMs = numberOf<std::int64_t>(Line, "unix_ms", 0),
       .m_UnprovenMs = numberOf<std::int64_t>(Line, "unproven_ms", -1),
       .m_RoleMs = numberOf<std::int64_t>(Line, "role_ms", 0),
       .m_Way = std::string(fieldOf(Line, "way")),
       .m_Role = std::string(fieldOf(Line, "role"))});
}

LearningLog::Learned LearningLog::evaluate() const {
  Learned Result;
  for (const auto &[Key, Lines] : m_Applied) {
    const auto &[Vm, Part] = Key;
    for (const AckedChange &Change : m_Changes) {
      const bool RanAtAck = std::any_of(Lines.begin(), Lines.end(),
                                        [&Change](const Applied &Each) {
                                          return Each.m_UnixMs < Change.m_AckMs;
                                        });
      if (Change.m_Part != Part || !RanAtAck)
        continue;
      const auto Found = std::find_if(
          Lines.begin(), Lines.end(), [&Change](const Applied &Each) {
            return Each.includes(Change) ||
                   (Each.isFirst() && Each.m_UnixMs >= Change.m_AckMs);
          });
      if (Found == Lines.end()) {
        Result.m_UnlearnedCount +=
            isInTouch(Vm, Change.m_AckMs, Change.m_AckMs + BoundMs) ? 1 : 0;
        continue;
      }
      if (Found->isFirst())
        continue;
      LearningSummary &Summary = Result.m_Summaries[{
          .m_Part = Part,
          .m_Way = Found->m_Way,
          .m_Role = Found->m_Role,
          .m_IsInTouch = isInTouch(Vm, Change.m_AckMs, Found->m_UnixMs)}];
      const std::int64_t Time = Found->m_UnixMs - Change.m_AckMs;
      ++Summary.m_Count;
      Summary.m_LateCount += Time > BoundMs ? 1 : 0;
      if (Time <= Summary.m_WorstMs)
        continue;
      Summary.m_WorstMs = Time;
      Summary.m_WorstVm = Vm;
      Summary.m_WorstChange = Change;
      Summary.m_RoleMs = Found->m_RoleMs;
      Summary.m_UnprovenMs = Found->m_UnprovenMs;
    }
  }
  return Result;
}

bool LearningLog::isInTouch(const std::string &Vm, std::int64_t SinceMs,
                            std::int64_t UntilMs) const {
  return !m_IsInTouch || m_IsInTouch(Vm, SinceMs, UntilMs);
}

std::map<LearningGroup, LearningSummary> LearningLog::summaries() const {
  return evaluate().m_Summaries;
}

std::size_t LearningLog::unlearnedCount() const {
  return evaluate().m_UnlearnedCount;
}

std::string LearningLog::report() const {
  const Learned Result = evaluate();
  std::vector<std::pair<LearningGroup, LearningSummary>> Sorted(
      Result.m_Summaries.begin(), Result.m_Summaries.end());
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.second.m_WorstMs > Right.second.m_WorstMs;
                   });
  std::string Text;
  for (const auto &[Group, Summary] : Sorted)
    Text += fmt::format(
        "learned {} by {} as {}, {}: worst {} of {} ms, {} late of {} ({}, "
        "revision {}, config {}, {} ms in this role, unproven {} ms)\n",
        Group.m_Part, Group.m_Way, Group.m_Role,
        Group.m_IsInTouch ? "in touch" : "disturbed", Summary.m_WorstMs,
        BoundMs, Summary.m_LateCount, Summary.m_Count, Summary.m_WorstVm,
        Summary.m_WorstChange.m_Revision, Summary.m_WorstChange.m_ConfigVersion,
        Summary.m_RoleMs, Summary.m_UnprovenMs);
  if (Result.m_UnlearnedCount > 0)
    Text += fmt::format("not learned: {}\n", Result.m_UnlearnedCount);
  return Text;
}

} // namespace figturn::test
