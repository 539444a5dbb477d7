#include "coordination/ConfigSync.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace figturn;
using Kind = ConfigAction::Kind;

namespace {

const DataCentreName Home("nz-south-a");

ConfigValue version(std::uint64_t Version) {
  return {.m_Version = ConfigVersion(Version),
          .m_Body = std::make_shared<const std::string>("{}")};
}

std::size_t count(const ConfigActions &Actions, Kind Wanted) {
  return static_cast<std::size_t>(
      std::count_if(Actions.begin(), Actions.end(),
                    [&](const ConfigAction &A) { return A.m_Kind == Wanted; }));
}

bool has(const ConfigActions &Actions, Kind Wanted) {
  return count(Actions, Wanted) > 0;
}

std::vector<ConfigMember> homeMembers(std::size_t Count) {
  std::vector<ConfigMember> Members;
  for (std::size_t I = 0; I < Count; ++I)
    Members.push_back({VmName(fmt::format("vm-a{}", I)), Home});
  return Members;
}

ConfigSync makeSpread(const VmName &Self) {
  return ConfigSync({.m_Self = Self, .m_DataCentre = Home});
}

// Members of which some watch the platform and some don't, by their own
// decision.
struct SpreadFixture {
  SpreadFixture() {
    for (const ConfigMember &Member : m_Members) {
      ConfigSync Spread = makeSpread(Member.m_Name);
      Spread.onMembers(m_Members, m_Now);
      (Spread.isWatcher() ? m_Watchers : m_Others).push_back(Member.m_Name);
    }
  }

  // A VM with version 17 in force, its watch or read out.
  ConfigSync settled(const VmName &Self) {
    ConfigSync Spread = makeSpread(Self);
    Spread.onMembers(m_Members, m_Now);
    Spread.start(m_Now);
    Spread.onPlatformRead(version(17), m_Now);
    for (const VmName &Watcher : m_Watchers)
      Spread.onPeerAnswered(Watcher, std::nullopt, m_Now);
    BOOST_REQUIRE((Spread.inForce() == ConfigVersion(17)));
    return Spread;
  }

  TimePoint m_Now{seconds(100)};
  std::vector<ConfigMember> m_Members = homeMembers(5);
  std::vector<VmName> m_Watchers;
  std::vector<VmName> m_Others;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigSyncTest, SpreadFixture)

BOOST_AUTO_TEST_CASE(Watchers_of_a_data_centre_stay_two_however_large) {
  BOOST_TEST(m_Watchers.size() == 2U);
  const std::vector<ConfigMember> Many = homeMembers(140);
  std::size_t Watchers = 0;
  for (const ConfigMember &Member : Many) {
    ConfigSync Spread = makeSpread(Member.m_Name);
    Spread.onMembers(Many, m_Now);
    Watchers += Spread.isWatcher() ? 1 : 0;
  }
  BOOST_TEST(Watchers == 2U);
}

BOOST_AUTO_TEST_CASE(Start_takes_highest_of_platform_and_peers) {
  ConfigSync Spread = makeSpread(m_Others[0]);
  Spread.onMembers(m_Members, m_Now);
  const ConfigActions Asked = Spread.start(m_Now);
  BOOST_TEST(!has(Asked, Kind::Install));
  BOOST_TEST(!has(Spread.onPlatformRead(version(17), m_Now), Kind::Install));
  BOOST_TEST(!has(Spread.onPeerAnswered(m_Watchers[0], version(18), m_Now),
                  Kind::Install));
  BOOST_TEST((Spread.inForce() == ConfigVersion()));
  BOOST_TEST(has(Spread.onPeerAnswered(m_Watchers[1], std::nullopt, m_Now),
                 Kind::Install));
  BOOST_TEST((Spread.inForce() == ConfigVersion(18)));
}

BOOST_AUTO_TEST_CASE(Start_asks_platform_and_watchers_at_once) {
  ConfigSync Spread = makeSpread(m_Others[0]);
  ConfigActions Asked = Spread.start(m_Now);
  BOOST_TEST(has(Asked, Kind::ReadPlatform));
  Asked = Spread.onMembers(m_Members, m_Now);
  BOOST_TEST(count(Asked, Kind::PullFrom) == m_Watchers.size());
}

BOOST_AUTO_TEST_CASE(Start_in_outage_takes_a_peers_version) {
  ConfigSync Spread = makeSpread(m_Others[0]);
  Spread.onMembers(m_Members, m_Now);
  Spread.start(m_Now);
  Spread.onPlatformReadFailed(m_Now);
  Spread.onPeerFailed(m_Watchers[1], m_Now);
  BOOST_TEST(has(Spread.onPeerAnswered(m_Watchers[0], version(17), m_Now),
                 Kind::Install));
}

BOOST_AUTO_TEST_CASE(Start_without_answers_of_peers_waits_for_patience_only) {
  ConfigSync Spread = makeSpread(m_Others[0]);
  Spread.onMembers(m_Members, m_Now);
  Spread.start(m_Now);
  BOOST_TEST(!has(Spread.onPlatformRead(version(17), m_Now), Kind::Install));
  BOOST_TEST(has(Spread.onTick(m_Now + seconds(2)), Kind::Install));
}

BOOST_AUTO_TEST_CASE(Start_in_outage_without_peers_keeps_asking) {
  ConfigSync Spread = makeSpread(m_Others[0]);
  Spread.onMembers({}, m_Now);
  Spread.start(m_Now);
  Spread.onPlatformReadFailed(m_Now);
  BOOST_TEST(!has(Spread.onTick(m_Now + seconds(1)), Kind::ReadPlatform));
  BOOST_TEST(has(Spread.onTick(m_Now + seconds(2)), Kind::ReadPlatform));
  BOOST_TEST((Spread.inForce() == ConfigVersion()));
  BOOST_TEST(has(Spread.onPlatformRead(version(17), m_Now + seconds(2)),
                 Kind::Install));
}

BOOST_AUTO_TEST_CASE(Stale_answers_never_revert_the_version) {
  ConfigSync Spread = settled(m_Watchers[0]);
  Spread.onPushed(version(19), m_Now);
  BOOST_TEST((Spread.inForce() == ConfigVersion(19)));
  BOOST_TEST(!has(Spread.onPlatformRead(version(17), m_Now), Kind::Install));
  BOOST_TEST(!has(Spread.onWatchAnswered(version(18), m_Now), Kind::Install));
  BOOST_TEST(!has(Spread.onPeerAnswered(m_Others[0], version(18), m_Now),
                  Kind::Install));
  BOOST_TEST(!has(Spread.onPlatformRead(std::nullopt, m_Now), Kind::Install));
  BOOST_TEST((Spread.inForce() == ConfigVersion(19)));
}

BOOST_AUTO_TEST_CASE(Watcher_renews_its_watch_after_what_it_has) {
  ConfigSync Spread = settled(m_Watchers[0]);
  const ConfigActions Actions = Spread.onWatchAnswered(version(18), m_Now);
  BOOST_TEST(has(Actions, Kind::Install));
  const auto Watch =
      std::find_if(Actions.begin(), Actions.end(), [](const ConfigAction &A) {
        return A.m_Kind == Kind::StartWatch;
      });
  BOOST_REQUIRE((Watch != Actions.end()));
  BOOST_TEST((Watch->m_After == ConfigVersion(18)));
}

BOOST_AUTO_TEST_CASE(Silent_watch_is_made_good_by_plain_reads) {
  ConfigSync Spread = settled(m_Watchers[0]);
  BOOST_TEST(has(Spread.onTick(m_Now + seconds(2)), Kind::ReadPlatform));
  BOOST_TEST(has(Spread.onPlatformRead(version(18), m_Now + seconds(2)),
                 Kind::Install));
  BOOST_TEST(!has(Spread.onTick(m_Now + seconds(3)), Kind::StartWatch));
  BOOST_TEST(has(Spread.onTick(m_Now + seconds(25)), Kind::StartWatch));
}

BOOST_AUTO_TEST_CASE(Failed_watch_is_tried_again_after_a_pause) {
  ConfigSync Spread = settled(m_Watchers[0]);
  BOOST_TEST(!has(Spread.onWatchFailed(m_Now), Kind::StartWatch));
  BOOST_TEST(has(Spread.onTick(m_Now + milliseconds(500)), Kind::StartWatch));
}

BOOST_AUTO_TEST_CASE(Other_vm_leaves_platform_alone_while_it_hears_a_watcher) {
  ConfigSync Spread = settled(m_Others[0]);
  for (int Second = 1; Second <= 30; ++Second) {
    m_Now += seconds(1);
    const ConfigActions Actions =
        Spread.onDigest(m_Watchers[0], ConfigVersion(17), m_Now);
    BOOST_TEST(Actions.empty());
  }
}

BOOST_AUTO_TEST_CASE(Other_vm_that_hears_no_watcher_reads_platform_slowly) {
  ConfigSync Spread = settled(m_Others[0]);
  Spread.onDigest(m_Others[1], ConfigVersion(17), m_Now + seconds(4));
  BOOST_TEST(!has(Spread.onTick(m_Now + seconds(4)), Kind::ReadPlatform));
  BOOST_TEST(has(Spread.onTick(m_Now + seconds(5)), Kind::ReadPlatform));
}

BOOST_AUTO_TEST_CASE(Death_of_a_watcher_makes_another_vm_watch) {
  std::vector<ConfigMember> Survivors = m_Members;
  std::erase_if(Survivors, [&](const ConfigMember &Member) {
    return Member.m_Name == m_Watchers[0];
  });
  std::size_t NewWatchers = 0;
  for (const VmName &Name : m_Others) {
    ConfigSync Spread = settled(Name);
    NewWatchers += count(Spread.onMembers(Survivors, m_Now), Kind::StartWatch);
  }
  BOOST_TEST(NewWatchers == 1U);
}

BOOST_AUTO_TEST_CASE(Digest_of_later_version_is_pulled_once) {
  ConfigSync Spread = settled(m_Others[0]);
  const ConfigActions Actions =
      Spread.onDigest(m_Watchers[0], ConfigVersion(18), m_Now);
  BOOST_REQUIRE(count(Actions, Kind::PullFrom) == 1U);
  BOOST_TEST((Actions[0].m_Peer == m_Watchers[0]));
  BOOST_TEST((Actions[0].m_After == ConfigVersion(17)));
  BOOST_TEST(!has(Spread.onDigest(m_Watchers[1], ConfigVersion(18), m_Now),
                  Kind::PullFrom));
  BOOST_TEST(has(Spread.onPeerAnswered(m_Watchers[0], version(18), m_Now),
                 Kind::Install));
}

BOOST_AUTO_TEST_CASE(Pull_that_fails_goes_to_another_peer) {
  ConfigSync Spread = settled(m_Others[0]);
  Spread.onDigest(m_Watchers[0], ConfigVersion(18), m_Now);
  Spread.onDigest(m_Watchers[1], ConfigVersion(18), m_Now);
  const ConfigActions Actions = Spread.onPeerFailed(m_Watchers[0], m_Now);
  BOOST_REQUIRE(count(Actions, Kind::PullFrom) == 1U);
  BOOST_TEST((Actions[0].m_Peer == m_Watchers[1]));
}

BOOST_AUTO_TEST_CASE(Pull_that_is_never_answered_goes_to_another_peer) {
  ConfigSync Spread = settled(m_Others[0]);
  Spread.onDigest(m_Watchers[0], ConfigVersion(18), m_Now);
  m_Now += seconds(5);
  BOOST_TEST(has(Spread.onDigest(m_Watchers[1], ConfigVersion(18), m_Now),
                 Kind::PullFrom));
}

BOOST_AUTO_TEST_CASE(Push_comes_in_force_in_an_outage) {
  ConfigSync Spread = settled(m_Others[0]);
  Spread.onPlatformReadFailed(m_Now);
  BOOST_TEST(has(Spread.onPushed(version(18), m_Now), Kind::Install));
}

BOOST_AUTO_TEST_CASE(Unusable_version_is_neither_installed_nor_asked_again) {
  ConfigSync Spread = settled(m_Others[0]);
  ConfigValue Broken = version(18);
  Broken.m_IsUsable = false;
  Spread.onDigest(m_Watchers[0], ConfigVersion(18), m_Now);
  BOOST_TEST(Spread.onPeerAnswered(m_Watchers[0], Broken, m_Now).empty());
  BOOST_TEST((Spread.inForce() == ConfigVersion(17)));
  BOOST_TEST(!has(Spread.onDigest(m_Watchers[1], ConfigVersion(18), m_Now),
                  Kind::PullFrom));
  BOOST_TEST(has(Spread.onPushed(version(19), m_Now), Kind::Install));
}

BOOST_AUTO_TEST_SUITE_END()
