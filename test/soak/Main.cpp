/** Runs the fault soak for a range of seeds in turn; see docs/SOAK.md. */

#include "soak/SoakRun.h"

#include <cstdlib>
#include <fmt/format.h>
#include <string>

namespace {

constexpr int UsageError = 2;

int usage() {
  fmt::print(stderr, "figturn-soak FIRST-SEED [COUNT [FAULTS [VMS]]] "
                     "[--verbose]\n");
  return UsageError;
}

} // namespace

int main(int Count, char **Arguments) {
  using namespace figturn::soak;
  std::vector<unsigned long> Numbers;
  SoakOptions Options;
  for (int I = 1; I < Count; ++I) {
    char *End = nullptr;
    const std::string Value = Arguments[I];
    if (Value == "--verbose") {
      Options.m_IsVerbose = true;
      continue;
    }
    Numbers.push_back(std::strtoul(Value.c_str(), &End, 10));
    if (*End != 0 || Value.empty())
      return usage();
  }
  if (Numbers.empty() || Numbers.size() > 4)
    return usage();
  Numbers.resize(4);
  const std::uint32_t First = static_cast<std::uint32_t>(Numbers[0]);
  const std::uint32_t Seeds =
      Numbers[1] == 0 ? 1 : static_cast<std::uint32_t>(Numbers[1]);
  if (Numbers[2] > 0)
    Options.m_FaultCount = Numbers[2];
  if (Numbers[3] > 0)
    Options.m_VmCount = Numbers[3];
  std::uint32_t Passed = 0;
  for (std::uint32_t Seed = First; Seed < First + Seeds; ++Seed) {
    Options.m_Seed = Seed;
    SoakRun Run(Options);
    const auto Failures = Run.run();
    fmt::print("seed {}: {}{}\n", Seed, Failures.empty() ? "ok" : "FAILED",
               Run.summary());
    for (const std::string &Each : Failures)
      fmt::print("  {}\n", Each);
    std::fflush(stdout);
    Passed += Failures.empty() ? 1 : 0;
  }
  fmt::print("{} passed, {} failed\n", Passed, Seeds - Passed);
  return Passed == Seeds ? 0 : 1;
}
