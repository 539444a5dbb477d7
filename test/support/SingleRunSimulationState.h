#ifndef FIGTURN_TEST_SUPPORT_SINGLERUNSIMULATIONSTATE_H
#define FIGTURN_TEST_SUPPORT_SINGLERUNSIMULATIONSTATE_H

/**
 * Parameters, fault rates and state of SingleRunSimulation.
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

/** Probabilities of injected faults; all zero in a fault-free simulation. */
struct FaultRates {
  double m_LostRequest = 0;
  double m_LostReply = 0;
  double m_LateWrite = 0;
  double m_ConnectFailure = 0;
  double m_LostResult = 0;
  double m_LostPeerCall = 0;
  double m_Kill = 0;   ///< Of one random VM, per 50 ms tick.
  double m_Pause = 0;  ///< Of that VM, per tick, unless killed or paused.
  double m_Outage = 0; ///< Of the platform, per tick, unless it is down.
  /** A caller stops retrying after a not-run reply. */
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

/** An attempt in progress at a VM, with the key and try that it serves. */
struct RunningAttempt {
  SingleRunAttempt m_Attempt;
  int m_Key;
  int m_Try;
  std::optional<TimePoint> m_Timer;
};

/** A simulated VM. */
struct Vm {
  VmName m_Name;
  int m_Boot = 0;
  StoreRevision m_KnownRevision;
  bool m_IsPaused = false;
  TimePoint m_PausedAt; ///< Valid while paused.
  std::vector<std::function<void()>> m_Backlog;
  SingleRunTable m_Table{SingleRunTableOptions{}};
  std::map<AttemptToken, RunningAttempt> m_Attempts;

  BootId boot() const { return BootId(fmt::format("boot-{}", m_Boot)); }
};

/** The caller of one key, with the number of runs of that key. */
struct Caller {
  int m_Try = -1; ///< Index of the current or last try.
  bool m_IsWaiting = false;
  bool m_IsDone = false;
  int m_Vm = 0;
  int m_Runs = 0;
  /** Index of the last try that was reported as not-run. */
  int m_LastNotRunTry = -1;
};

/** Counts of outcomes over a simulation. */
struct SimulationCounts {
  int m_Answers = 0;
  int m_NotRun = 0;
  int m_MayHaveRun = 0;
  int m_RunsAfterNotRun = 0;
};

} // namespace figturn

#endif // FIGTURN_TEST_SUPPORT_SINGLERUNSIMULATIONSTATE_H
