/**
 * Embeds the decisions of figturn_core without sockets or a clock. Fifteen VMs
 * each request a slot for one call to the same target. If the target allows one
 * call during cold start, the fleet grants one call. If all of its slots are
 * available, each VM that owns a slot is granted its call. All other calls are
 * forwarded to an owner.
 */

#include "coordination/SlotOwnership.h"
#include "coordination/TargetGate.h"

#include <fmt/format.h>

#include <string>
#include <variant>
#include <vector>

using namespace figturn;

namespace {

constexpr int VmCount = 15;
constexpr std::uint32_t SlotCount = 12;
constexpr std::uint32_t ColdSlotCount = 1;
const TargetName Target("wd-01");
const BootId TargetBoot("boot-1");

/** Counts of the fleet's decisions on one call of each VM. */
struct DecisionCounts {
  int m_Granted = 0;
  int m_Forwarded = 0;
  int m_Other = 0; ///< Waiting or refused.
};

MemberList makeFleet() {
  std::vector<Member> Members;
  Members.reserve(VmCount);
  for (int I = 0; I < VmCount; ++I)
    Members.push_back(Member{.m_Vm = VmName(fmt::format("vm-{:02}", I)),
                             .m_Boot = BootId("boot-1"),
                             .m_DataCentre = DataCentreName("nz-south-a")});
  return MemberList{.m_Epoch = Epoch(1), .m_Members = std::move(Members)};
}

SlotDecision requestSlot(const MemberList &Fleet, const VmName &Self,
                         const EpochPermit &Permit, std::uint32_t ColdSlots,
                         TimePoint Now) {
  const ColdStartRampOptions Ramp{.m_ColdSlots = ColdSlots,
                                  .m_WarmSlots = SlotCount};
  TargetGate Gate(TargetGateOptions{}, Ramp, Target, Self);
  Gate.setSlots(assignSlots(Fleet, Target, SlotCount, Self, false), Now);
  // The first hello reports the target's process instance; the ramp starts
  // cold.
  Gate.ramp().onHello(TargetBoot);
  const SlotRequest Request{.m_Call = CallId(1),
                            .m_Priority = Priority::Urgent,
                            .m_Deadline = Now + seconds(1)};
  return Gate.tryAcquire(Request, Permit, Now);
}

/** Requests a slot on each VM for a target with \p ColdSlots when cold. */
DecisionCounts requestSlots(const MemberList &Fleet, std::uint32_t ColdSlots,
                            TimePoint Now) {
  const EpochPermit Permit{.m_Epoch = Fleet.m_Epoch,
                           .m_ValidUntil = Now + seconds(3)};
  DecisionCounts Result;
  for (const Member &Vm : Fleet.m_Members) {
    const SlotDecision Decision =
        requestSlot(Fleet, Vm.m_Vm, Permit, ColdSlots, Now);
    if (std::holds_alternative<SlotGranted>(Decision))
      ++Result.m_Granted;
    else if (std::holds_alternative<SlotForwarded>(Decision))
      ++Result.m_Forwarded;
    else
      ++Result.m_Other;
  }
  return Result;
}

void print(const char *State, const DecisionCounts &Counts) {
  fmt::print("{}: granted {}, forwarded to an owner {}, other {}\n", State,
             Counts.m_Granted, Counts.m_Forwarded, Counts.m_Other);
}

} // namespace

int main() {
  const MemberList Fleet = makeFleet();
  const TimePoint Now = TimePoint(seconds(1000));
  print("cold, 1 slot available", requestSlots(Fleet, ColdSlotCount, Now));
  print("all 12 slots available", requestSlots(Fleet, SlotCount, Now));
  return 0;
}
