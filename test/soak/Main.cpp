/** Runs the fault soak, or plays a deployment, for a range of seeds in turn;
 *  see docs/SOAK.md. */

#include "soak/DeploymentRun.h"
#include "soak/SoakRun.h"

#include <cstdlib>
#include <fmt/format.h>
#include <string>

namespace {

constexpr int UsageError = 2;
/** Of the step that silences one VM, among about 60 of all steps. */
constexpr int SilentVmWeight = 6;

int usage() {
  fmt::print(stderr,
             "figturn-soak FIRST-SEED [COUNT [FAULTS [VMS]]] [--verbose]\n"
             "figturn-soak --deployment FIRST-SEED [COUNT [SECONDS [VMS]]] "
             "[--binary=FILE] [--logs=FOLDER] [--returns=WEIGHT] "
             "[--one-silent-vm] [--cpu-share=SHARE] [--no-gossip] "
             "[--verbose]\n");
  return UsageError;
}

/** Plays each seed in turn and prints its outcome; returns the exit code. */
template <typename Run, typename Options>
int playSeeds(Options RunOptions, std::uint32_t First, std::uint32_t Count) {
  std::uint32_t Passed = 0;
  for (std::uint32_t Seed = First; Seed < First + Count; ++Seed) {
    RunOptions.m_Seed = Seed;
    Run Played(RunOptions);
    const auto Failures = Played.run();
    fmt::print("seed {}: {}{}\n", Seed, Failures.empty() ? "ok" : "FAILED",
               Played.summary());
    for (const std::string &Each : Failures)
      fmt::print("  {}\n", Each);
    std::fflush(stdout);
    Passed += Failures.empty() ? 1 : 0;
  }
  fmt::print("{} passed, {} failed\n", Passed, Count - Passed);
  return Passed == Count ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  using namespace figturn::soak;
  std::vector<unsigned long> Numbers;
  SoakOptions Soak;
  DeploymentOptions Deployment;
  bool PlaysDeployment = false;
  for (int I = 1; I < Count; ++I) {
    char *End = nullptr;
    const std::string Value = Arguments[I];
    const std::string Text = Value.substr(Value.find('=') + 1);
    if (Value == "--verbose") {
      Soak.m_IsVerbose = Deployment.m_IsVerbose = true;
    } else if (Value == "--deployment") {
      PlaysDeployment = true;
    } else if (Value.starts_with("--binary=")) {
      Deployment.m_Binary = Text;
    } else if (Value.starts_with("--logs=")) {
      Deployment.m_LogFolder = Text;
    } else if (Value.starts_with("--returns=")) {
      Deployment.m_ReturnsWeight =
          static_cast<int>(std::strtoul(Text.c_str(), &End, 10));
      if (*End != 0 || Text.empty())
        return usage();
    } else if (Value.starts_with("--cpu-share=")) {
      Deployment.m_CpuShare = std::strtod(Text.c_str(), &End);
      if (*End != 0 || !(Deployment.m_CpuShare > 0) ||
          Deployment.m_CpuShare > 1)
        return usage();
    } else if (Value == "--one-silent-vm") {
      Deployment.m_SilentVmWeight = SilentVmWeight;
    } else if (Value == "--no-gossip") {
      Deployment.m_HasGossip = false;
    } else {
      Numbers.push_back(std::strtoul(Value.c_str(), &End, 10));
      if (*End != 0 || Value.empty())
        return usage();
    }
  }
  if (Numbers.empty() || Numbers.size() > 4)
    return usage();
  Numbers.resize(4);
  const auto First = static_cast<std::uint32_t>(Numbers[0]);
  const std::uint32_t Seeds =
      Numbers[1] == 0 ? 1 : static_cast<std::uint32_t>(Numbers[1]);
  if (Numbers[2] > 0) {
    Soak.m_FaultCount = Numbers[2];
    Deployment.m_Length = std::chrono::seconds(Numbers[2]);
  }
  if (Numbers[3] > 0)
    Soak.m_VmCount = Deployment.m_VmCount = Numbers[3];
  return PlaysDeployment ? playSeeds<DeploymentRun>(Deployment, First, Seeds)
                         : playSeeds<SoakRun>(Soak, First, Seeds);
}
