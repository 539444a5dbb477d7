#ifndef FIGTURN_SUPPORT_SINGLERUNWORLDSTATE_H
#define FIGTURN_SUPPORT_SINGLERUNWORLDSTATE_H

/**
 * Sizes, fault rates and parts of SingleRunSimulation: its VMs and callers.
 */

#include "coordination/SingleRunTable.h"

#include <fmt/format.h>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace figturn {

inline constexpr int VmCount = 4;
inline constexpr int KeyCount = 60;
inline constexpr int MaxTries = 8;
inline constexpr milliseconds AttemptDeadline{250};
inline constexpr milliseconds SendWindow{150};
inline constexpr milliseconds OperationTimeout{40};

/** How often things go wrong; all zero in a fault-free history. */
struct FaultRates {
  double m_LostRequest = 0;
  double m_LostReply = 0;
  double m_LateWrite = 0;
  double m_ConnectFailure = 0;
  double m_LostResult = 0;
  double m_LostPeerCall = 0;
  double m_Kill = 0; ///< Of one VM, each tick.
  double m_Pause = 0;
  double m_Outage = 0;
  /** A caller that is told not-run tries no more. */
  double m_CallerGivesUp = 0;
};

inline constexpr FaultRates HighFaultRates{.m_LostRequest = 0.05,
                                   .m_LostReply = 0.08,
                                   .m_LateWrite = 0.08,
                                   .m_ConnectFailure = 0.3,
                                   .m_LostResult = 0.1,
                                   .m_LostPeerCall = 0.1,
                                   .m_Kill = 0.05,
                                   .m_Pause = 0.3,
                                   .m_Outage = 0.1,
                                   .m_CallerGivesUp = 0.3};

struct RunningAttempt {
  SingleRunAttempt m_Attempt;
  int m_Key;
  int m_Try;
  std::optional<TimePoint> m_Timer;
};

struct Vm {
  VmName m_Name;
  int m_Boot = 0;
  StoreRevision m_KnownRevision;
  bool m_IsPaused = false;
  TimePoint m_LastLoopAt; ///< Meaningful while paused.
  std::vector<std::function<void()>> m_Backlog;
  SingleRunTable m_Table{SingleRunTableOptions{}};
  std::map<AttemptToken, RunningAttempt> m_Attempts;

  BootId boot() const { return BootId(fmt::format("boot-{}", m_Boot)); }
};

struct Caller {
  int m_Try = -1; ///< The one that is open, or was last.
  bool m_IsWaiting = false;
  bool m_IsDone = false;
  int m_Vm = 0;
  int m_Runs = 0;
  /** Tries up to this one were told that nothing ran. */
  int m_LastNotRunTry = -1;
};

struct SimulationCounts {
  int m_Answers = 0;
  int m_NotRun = 0;
  int m_MayHaveRun = 0;
  int m_RunsAfterRelease = 0;
};

} // namespace figturn

#endif // FIGTURN_SUPPORT_SINGLERUNWORLDSTATE_H
