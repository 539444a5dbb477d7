#ifndef FIGTURN_STANDIN_TARGETOPTIONS_H
#define FIGTURN_STANDIN_TARGETOPTIONS_H

/** Options of one stand-in target, from flags or from a JSON file. */

#include "standin/RecordSet.h"
#include "state/Ids.h"
#include "state/Time.h"

#include <QJsonObject>
#include <cstdint>
#include <set>
#include <string>

namespace figturn::standin {

/** Data, identity and capacity of a stand-in target. */
struct TargetOptions {
  TargetName m_Target;
  ServiceName m_Service;
  std::uint16_t m_Port = 0;        ///< 0 picks a free port.
  std::uint16_t m_ControlPort = 0; ///< 0 picks a free port.
  std::string m_DataFile;
  ShardSlice m_Slice;
  std::set<std::uint64_t> m_Versions{1}; ///< Index versions that it serves.
  std::uint32_t m_Slots = 12;
  std::uint32_t m_QueueLimit = 200; ///< Calls that may wait for a slot.
  std::uint32_t m_ConnectionLimit = 80;
  std::uint32_t m_ColdSlots = 1;
  std::uint32_t m_ColdCalls = 20; ///< Served calls before the limit doubles.
  milliseconds m_ServiceTime{6};
  bool m_BootCold = false;
  bool m_CrashOnOverload = false;
};

/** Parses a list such as "0,3,5". */
std::set<std::uint64_t> parseNumbers(const std::string &List);

/** Parses options. Keys are the flag names with '-' between words, except that
 *  "data" stands for --platform_data. */
TargetOptions parseTargetOptions(const QJsonObject &Object);

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_TARGETOPTIONS_H
