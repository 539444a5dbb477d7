#ifndef FIGTURN_STANDIN_TARGETFAULTS_H
#define FIGTURN_STANDIN_TARGETFAULTS_H

/** Faults that a test injects into a running stand-in target. */

#include "state/Time.h"

#include <QJsonObject>
#include <cstdint>
#include <string>

namespace figturn::standin {

/** Number of upcoming calls that a fault affects. */
class FaultCounter {
public:
  void set(std::uint32_t Count) { m_Remaining = Count; }
  /** Consumes one occurrence; false if none remains. */
  bool consume() { return m_Remaining > 0 && m_Remaining-- > 0; }

private:
  std::uint32_t m_Remaining = 0;
};

/** Active faults. */
struct TargetFaults {
  milliseconds m_Delay{};            ///< Added to the service time.
  std::uint32_t m_DelayEvery = 1;    ///< Only every Nth call is delayed.
  FaultCounter m_Truncate;           ///< Truncate the reply, then close.
  FaultCounter m_Swap;               ///< Swap replies with another call.
  FaultCounter m_CloseBeforeReply;   ///< Close before the call runs.
  FaultCounter m_CloseAfterRun;      ///< Close after the call ran, no reply.
  FaultCounter m_Shed;               ///< Refuse the call as shed.
  bool m_IsDraining = false;         ///< Refuse new calls.
  std::string m_CrashOnText;         ///< Search text that crashes the process.
  std::string m_CrashOnRecord;       ///< Record whose call crashes the process.
  std::string m_ReportedHealthState; ///< Overrides the reported health state.

  /** Applies the fault settings present in \p Control. */
  void apply(const QJsonObject &Control);
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_TARGETFAULTS_H
