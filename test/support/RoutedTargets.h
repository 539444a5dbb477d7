#ifndef FIGTURN_TEST_SUPPORT_ROUTEDTARGETS_H
#define FIGTURN_TEST_SUPPORT_ROUTEDTARGETS_H

/** Registry entries and a start time for tests of routed mode decisions. */

#include "coordination/TargetRegistry.h"

#include <string>

namespace figturn::test {

/** Well after the clock's epoch, where default-initialized time points lie. */
inline const TimePoint Start = TimePoint(std::chrono::hours(1));

inline TargetEntry makeEntry(const std::string &Name,
                             const std::string &Service = "shard-0",
                             const std::string &DataCentre = "nz-south-a",
                             std::int64_t StartedMs = 1000) {
  return {.m_Instance = {.m_Name = TargetName(Name), .m_StartedMs = StartedMs},
          .m_Service = ServiceName(Service),
          .m_Host = "127.0.0.1",
          .m_Port = 9000,
          .m_DataCentre = DataCentreName(DataCentre),
          .m_Slots = 4};
}

inline TargetPtr makeTarget(const std::string &Name,
                            const std::string &DataCentre = "nz-south-a") {
  auto NewTarget = std::make_shared<Target>();
  NewTarget->m_Entry = makeEntry(Name, "shard-0", DataCentre);
  return NewTarget;
}

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_ROUTEDTARGETS_H
