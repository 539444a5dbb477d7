// Measures the cost of searches at one routed VM: a real process, with
// stand-ins for the store and the targets on loopback. Searches run
// sequentially.
//   figturn-routed-bench [SHARDS] [SEARCHES]
// Prints the VM's processor time per search and per call, and its resident
// memory.

#include "support/RoutedFleet.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Usage {
  double m_UserSeconds = 0;
  double m_SystemSeconds = 0;
  double m_ResidentMb = 0;
};

Usage readUsage(pid_t Process) {
  std::ifstream Input(fmt::format("/proc/{}/stat", Process));
  std::string Text((std::istreambuf_iterator<char>(Input)), {});
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::vector<std::string> Columns;
  for (std::string Column; Fields >> Column;)
    Columns.push_back(Column);
  constexpr std::size_t User = 11; // Indexes count from the field "state".
  constexpr std::size_t System = 12;
  constexpr std::size_t Resident = 21;
  const double Ticks = static_cast<double>(::sysconf(_SC_CLK_TCK));
  return {.m_UserSeconds = std::stod(Columns.at(User)) / Ticks,
          .m_SystemSeconds = std::stod(Columns.at(System)) / Ticks,
          .m_ResidentMb = std::stod(Columns.at(Resident)) *
                          static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6};
}

QJsonObject searchConfig(int Shards) {
  QJsonObject Config = routedConfig(3);
  QJsonArray Names;
  for (int I = 0; I < Shards; ++I)
    Names.append(QString::fromStdString(fmt::format("s-{}", I)));
  QJsonArray Routes = Config["routes"].toArray();
  QJsonObject Search = Routes[0].toObject();
  Search["gather"] = Names;
  Routes[0] = Search;
  Config["routes"] = Routes;
  return Config;
}

} // namespace

int main(int Count, char **Arguments) {
  const int Shards = Count > 1 ? std::atoi(Arguments[1]) : 36;
  const int Searches = Count > 2 ? std::atoi(Arguments[2]) : 1000;
  RoutedFleet Fleet;
  Fleet.publish(searchConfig(Shards));
  for (int I = 0; I < Shards; ++I)
    Fleet.addSearcher(fmt::format("i-{}", I), fmt::format("s-{}", I));
  RoutedFleet::Vm &Vm = Fleet.startVm();
  RawClient Client(Vm.m_CallerPort);
  const auto Search = [&](int Number) {
    return RoutedFleet::exchange(
        Client, "GET", "/search/x",
        RoutedFleet::requestHeaders(fmt::format("q-{}", Number)), "");
  };
  int Complete = 0;
  for (int I = 0; I < 20; ++I) // Opens the connections before the measurement.
    Search(I);
  const Usage Before = readUsage(Vm.m_Process->id());
  for (int I = 0; I < Searches; ++I)
    Complete += Search(100 + I).header("X-Missing-Parts") == "0" ? 1 : 0;
  const Usage After = readUsage(Vm.m_Process->id());
  const double User = After.m_UserSeconds - Before.m_UserSeconds;
  const double System = After.m_SystemSeconds - Before.m_SystemSeconds;
  fmt::print("{} shards, {} searches, {} complete\n", Shards, Searches,
             Complete);
  fmt::print("per search: {:.0f} us user, {:.0f} us system\n",
             User / Searches * 1e6, System / Searches * 1e6);
  fmt::print("per call: {:.1f} us user, {:.1f} us system\n",
             User / Searches / Shards * 1e6, System / Searches / Shards * 1e6);
  fmt::print("resident: {:.1f} MB\n", After.m_ResidentMb);
  return 0;
}
