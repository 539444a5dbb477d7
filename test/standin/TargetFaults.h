#ifndef FIGTURN_STANDIN_TARGETFAULTS_H
#define FIGTURN_STANDIN_TARGETFAULTS_H

/** Faults that a test switches on in a stand-in target while it runs. */

#include "state/Time.h"

#include <QJsonObject>
#include <cstdint>
#include <string>

namespace figturn::standin {

/** A fault that hits a given number of next calls. */
class FaultCounter {
public:
  void set(std::uint32_t Count) { m_Remaining = Count; }
  /** True, and one fewer is left, if the fault is to happen now. */
  bool consume() { return m_Remaining > 0 && m_Remaining-- > 0; }

private:
  std::uint32_t m_Remaining = 0;
};

/** Faults in force. */
struct TargetFaults {
  milliseconds m_Delay{};            ///< Added to the service time.
  std::uint32_t m_DelayEvery = 1;    ///< Of so many calls one is delayed.
  FaultCounter m_Truncate;           ///< Reply cut short, connection closed.
  FaultCounter m_Swap;               ///< Reply exchanged with another call's.
  FaultCounter m_CloseBeforeReply;   ///< Closed before the call runs.
  FaultCounter m_CloseAfterRun;      ///< Closed after it ran, no reply.
  FaultCounter m_Shed;               ///< Refused as shed.
  bool m_IsDraining = false;         ///< Refuses new calls.
  std::string m_CrashOnText;         ///< Search text that ends the process.
  std::string m_CrashOnRecord;       ///< Record whose call ends the process.
  std::string m_ReportedHealthState; ///< State that the health page claims.

  /** Changes the faults that \p Control names. */
  void apply(const QJsonObject &Control);
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_TARGETFAULTS_H
