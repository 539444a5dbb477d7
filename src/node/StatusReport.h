#ifndef FIGTURN_NODE_STATUSREPORT_H
#define FIGTURN_NODE_STATUSREPORT_H

/** The body of GET /v1/status, which shows this VM's state to operators. */

#include "coordination/DrainSequence.h"
#include "node/MembershipTable.h"
#include "node/Metrics.h"
#include "node/RoutingTable.h"
#include "node/TargetStatusTable.h"

#include <string>

namespace figturn {

/** Sources of the report. */
struct StatusSources {
  const Member &m_Self;
  bool m_Ready = false;
  DrainStep m_Drain = DrainStep::None;
  const RoutingTable &m_Routing;
  const MembershipTable &m_Membership;
  const TargetStatusTable &m_Targets;
  const Metrics &m_Metrics;
};

/** The report as JSON text. */
std::string encodeStatus(const StatusSources &Sources);

/** The members listed in a report, without their boot IDs; empty if it is
 *  malformed. */
std::vector<Member> decodeStatusMembers(std::string_view Body);

} // namespace figturn

#endif // FIGTURN_NODE_STATUSREPORT_H
