#include "state/Verdict.h"

#include <algorithm>
#include <array>

namespace figturn {

namespace {

struct NamedVerdict {
  RunVerdict m_Verdict;
  std::string_view m_Name;
};

constexpr std::array<NamedVerdict, 3> VerdictNames = {
    {{RunVerdict::NotRun, "not-run"},
     {RunVerdict::MayHaveRun, "may-have-run"},
     {RunVerdict::Ran, "ran"}}};

} // namespace

std::string_view verdictName(RunVerdict Verdict) {
  return VerdictNames.at(static_cast<std::size_t>(Verdict)).m_Name;
}

RunVerdict parseVerdict(std::string_view Name) {
  const auto *Found =
      std::find_if(VerdictNames.begin(), VerdictNames.end(),
                   [&](const NamedVerdict &N) { return N.m_Name == Name; });
  return Found == VerdictNames.end() ? RunVerdict::MayHaveRun
                                     : Found->m_Verdict;
}

RunVerdict combineVerdicts(RunVerdict Left, RunVerdict Right) {
  return Left == Right ? Left : RunVerdict::MayHaveRun;
}

} // namespace figturn
