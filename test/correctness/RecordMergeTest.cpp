/** Tests of merging search records. */

#include "coordination/RecordMerge.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace figturn;

namespace {

std::string record(char First, char Last = 'x') {
  return std::string(1, First) + std::string(RecordSizeBytes - 2, '.') + Last;
}

std::string merge(const std::vector<std::string> &Parts,
                  std::size_t MaxRecords) {
  const std::vector<std::string_view> Views(Parts.begin(), Parts.end());
  return mergeTopRecords(Views, MaxRecords);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RecordMergeTest)

BOOST_AUTO_TEST_CASE(Records_ofAllParts_areMergedInDescendingOrder) {
  BOOST_TEST(merge({record('b') + record('d'), record('c') + record('a')}, 3) ==
             record('d') + record('c') + record('b'));
}

BOOST_AUTO_TEST_CASE(Records_areComparedAsUnsignedBytes) {
  BOOST_TEST(merge({record('\x7f') + record('\x80')}, 1) == record('\x80'));
}

BOOST_AUTO_TEST_CASE(EqualRecords_areAllKept) {
  BOOST_TEST(merge({record('a'), record('a')}, 5) == record('a') + record('a'));
}

BOOST_AUTO_TEST_CASE(Fragment_shorterThanARecord_isIgnored) {
  BOOST_TEST(merge({record('a') + "zzz", "zzzz"}, 5) == record('a'));
}

BOOST_AUTO_TEST_CASE(Merge_withZeroLimitOrNoParts_isEmpty) {
  BOOST_TEST(merge({record('a')}, 0).empty());
  BOOST_TEST(merge({}, 5).empty());
}

BOOST_AUTO_TEST_SUITE_END()
