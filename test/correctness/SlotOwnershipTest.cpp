#include "coordination/SlotOwnership.h"
#include "support/Members.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;
using namespace figturn::test;

namespace {

const TargetName TestTarget("wd-01");
constexpr std::uint32_t Slots = 12;

struct FleetFixture {
  MemberList m_InitialList{Epoch(1), numberedMembers(15), {}};

  std::vector<std::uint32_t> owned(const MemberList &List, const Member &Vm,
                                   bool OnlyCarried) const {
    SlotOwnership Ownership(Vm.m_Vm);
    Ownership.rebuild(List, OnlyCarried);
    return Ownership.ownedSlots(TestTarget, Slots);
  }
  /** The list of the next epoch, without the owner of slot 0. */
  MemberList withoutAuthority() const {
    MemberList NextList{Epoch(2), m_InitialList.m_Members,
                        m_InitialList.m_Members};
    std::erase(NextList.m_Members, *m_InitialList.find(authority()));
    return NextList;
  }
  VmName authority() const {
    return *assignSlots(m_InitialList, TestTarget, Slots, VmName("vm-00"),
                        false)
                .authority();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlotOwnershipTest, FleetFixture)

BOOST_AUTO_TEST_CASE(Slot_amongAllMembers_hasExactlyOneOwner) {
  std::vector<int> Owners(Slots, 0);
  for (const Member &Vm : m_InitialList.m_Members)
    for (std::uint32_t Slot : owned(m_InitialList, Vm, false))
      ++Owners[Slot];
  for (int Count : Owners)
    BOOST_TEST(Count == 1);
}

BOOST_AUTO_TEST_CASE(Slot_whenAMemberLeaves_movesOnlyIfItWasTheOwner) {
  const MemberList NextList = withoutAuthority();
  const TargetSlots Old =
      assignSlots(m_InitialList, TestTarget, Slots, VmName("vm-00"), false);
  const TargetSlots New =
      assignSlots(NextList, TestTarget, Slots, VmName("vm-00"), false);
  for (std::uint32_t Slot = 0; Slot < Slots; ++Slot)
    if (Old.m_Owners[Slot] != authority())
      BOOST_TEST((Old.m_Owners[Slot] == New.m_Owners[Slot]));
}

BOOST_AUTO_TEST_CASE(CarriedSlots_areThoseOwnedInBothEpochs) {
  const MemberList NextList = withoutAuthority();
  std::size_t Moved = 0;
  for (const Member &Vm : NextList.m_Members) {
    const auto Old = owned(m_InitialList, Vm, false);
    Moved += owned(NextList, Vm, false).size() - Old.size();
    BOOST_TEST(owned(NextList, Vm, true) == Old,
               boost::test_tools::per_element());
  }
  BOOST_TEST(Moved > 0U);
  BOOST_TEST(
      Moved ==
      owned(m_InitialList, *m_InitialList.find(authority()), false).size());
}

BOOST_AUTO_TEST_CASE(Slots_ofManyTargets_areSpreadOverAllMembers) {
  SlotOwnership Ownership(VmName("vm-07"));
  Ownership.rebuild(m_InitialList, false);
  std::size_t OwnedSlots = 0;
  for (int Target = 0; Target < 100; ++Target)
    OwnedSlots +=
        Ownership
            .ownedSlots(TargetName(fmt::format("target-{}", Target)), Slots)
            .size();
  // An equal share is 80 of 1200 slots; half to twice that is accepted.
  BOOST_TEST(OwnedSlots > 40U);
  BOOST_TEST(OwnedSlots < 160U);
}

BOOST_AUTO_TEST_SUITE_END()
