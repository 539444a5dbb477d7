#include "coordination/ConfigSync.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace figturn;
using Kind = ConfigAction::Kind;

namespace {

const DataCentreName LocalDataCentre("nz-south-a");

ConfigValue version(std::uint64_t Version) {
  return {.m_Version = ConfigVersion(Version),
          .m_Body = std::make_shared<const std::string>("{}")};
}

std::size_t count(const ConfigActions &Actions, Kind Type) {
  return static_cast<std::size_t>(
      std::count_if(Actions.begin(), Actions.end(),
                    [&](const ConfigAction &A) { return A.m_Kind == Type; }));
}

bool has(const ConfigActions &Actions, Kind Type) {
  return count(Actions, Type) > 0;
}

std::vector<ConfigMember> localMembers(std::size_t Count) {
  std::vector<ConfigMember> Members;
  for (std::size_t I = 0; I < Count; ++I)
    Members.push_back({VmName(fmt::format("vm-a{}", I)), LocalDataCentre});
  return Members;
}

ConfigSync makeSync(const VmName &Self) {
  return ConfigSync({.m_Self = Self, .m_DataCentre = LocalDataCentre});
}

/** Members, divided by their own decisions into those that watch the platform
 *  and others. */
struct SyncFixture {
  SyncFixture() {
    for (const ConfigMember &Member : m_Members) {
      ConfigSync Sync = makeSync(Member.m_Name);
      Sync.onMembers(m_Members, m_Now);
      (Sync.isWatcher() ? m_Watchers : m_Others).push_back(Member.m_Name);
    }
  }

  /** Returns a VM with version 17 in effect; if it is a watcher, its watch is
   *  pending. */
  ConfigSync makeSettled(const VmName &Self) {
    ConfigSync Sync = makeSync(Self);
    Sync.onMembers(m_Members, m_Now);
    Sync.start(m_Now);
    Sync.onPlatformRead(version(17), m_Now);
    for (const VmName &Watcher : m_Watchers)
      Sync.onPeerAnswered(Watcher, std::nullopt, m_Now);
    BOOST_REQUIRE((Sync.versionInEffect() == ConfigVersion(17)));
    return Sync;
  }

  TimePoint m_Now{seconds(100)};
  std::vector<ConfigMember> m_Members = localMembers(5);
  std::vector<VmName> m_Watchers;
  std::vector<VmName> m_Others;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigSyncTest, SyncFixture)

BOOST_AUTO_TEST_CASE(Watchers_inADataCentreOfAnySize_areTwo) {
  BOOST_TEST(m_Watchers.size() == 2U);
  const std::vector<ConfigMember> Many = localMembers(140);
  std::size_t Watchers = 0;
  for (const ConfigMember &Member : Many) {
    ConfigSync Sync = makeSync(Member.m_Name);
    Sync.onMembers(Many, m_Now);
    Watchers += Sync.isWatcher() ? 1 : 0;
  }
  BOOST_TEST(Watchers == 2U);
}

BOOST_AUTO_TEST_CASE(Start_withPlatformAndPeers_takesTheHighestVersion) {
  ConfigSync Sync = makeSync(m_Others[0]);
  Sync.onMembers(m_Members, m_Now);
  const ConfigActions Actions = Sync.start(m_Now);
  BOOST_TEST(!has(Actions, Kind::Install));
  BOOST_TEST(!has(Sync.onPlatformRead(version(17), m_Now), Kind::Install));
  BOOST_TEST(!has(Sync.onPeerAnswered(m_Watchers[0], version(18), m_Now),
                  Kind::Install));
  BOOST_TEST((Sync.versionInEffect() == ConfigVersion()));
  BOOST_TEST(has(Sync.onPeerAnswered(m_Watchers[1], std::nullopt, m_Now),
                 Kind::Install));
  BOOST_TEST((Sync.versionInEffect() == ConfigVersion(18)));
}

BOOST_AUTO_TEST_CASE(Start_withMembers_asksPlatformAndWatchersAtOnce) {
  ConfigSync Sync = makeSync(m_Others[0]);
  ConfigActions Actions = Sync.start(m_Now);
  BOOST_TEST(has(Actions, Kind::ReadPlatform));
  Actions = Sync.onMembers(m_Members, m_Now);
  BOOST_TEST(count(Actions, Kind::PullFrom) == m_Watchers.size());
}

BOOST_AUTO_TEST_CASE(Start_duringAnOutage_takesAPeersVersion) {
  ConfigSync Sync = makeSync(m_Others[0]);
  Sync.onMembers(m_Members, m_Now);
  Sync.start(m_Now);
  Sync.onPlatformReadFailed(m_Now);
  Sync.onPeerFailed(m_Watchers[1], m_Now);
  BOOST_TEST(has(Sync.onPeerAnswered(m_Watchers[0], version(17), m_Now),
                 Kind::Install));
}

BOOST_AUTO_TEST_CASE(Start_withoutRepliesOfPeers_waitsForTheStartTimeout) {
  ConfigSync Sync = makeSync(m_Others[0]);
  Sync.onMembers(m_Members, m_Now);
  Sync.start(m_Now);
  BOOST_TEST(!has(Sync.onPlatformRead(version(17), m_Now), Kind::Install));
  BOOST_TEST(has(Sync.onTick(m_Now + seconds(2)), Kind::Install));
}

BOOST_AUTO_TEST_CASE(Start_duringAnOutageWithoutPeers_keepsReading) {
  ConfigSync Sync = makeSync(m_Others[0]);
  Sync.onMembers({}, m_Now);
  Sync.start(m_Now);
  Sync.onPlatformReadFailed(m_Now);
  BOOST_TEST(!has(Sync.onTick(m_Now + seconds(1)), Kind::ReadPlatform));
  BOOST_TEST(has(Sync.onTick(m_Now + seconds(2)), Kind::ReadPlatform));
  BOOST_TEST((Sync.versionInEffect() == ConfigVersion()));
  BOOST_TEST(
      has(Sync.onPlatformRead(version(17), m_Now + seconds(2)), Kind::Install));
}

BOOST_AUTO_TEST_CASE(Version_afterStaleReplies_isNotReverted) {
  ConfigSync Sync = makeSettled(m_Watchers[0]);
  Sync.onPushed(version(19), m_Now);
  BOOST_TEST((Sync.versionInEffect() == ConfigVersion(19)));
  BOOST_TEST(!has(Sync.onPlatformRead(version(17), m_Now), Kind::Install));
  BOOST_TEST(!has(Sync.onWatchAnswered(version(18), m_Now), Kind::Install));
  BOOST_TEST(!has(Sync.onPeerAnswered(m_Others[0], version(18), m_Now),
                  Kind::Install));
  BOOST_TEST(!has(Sync.onPlatformRead(std::nullopt, m_Now), Kind::Install));
  BOOST_TEST((Sync.versionInEffect() == ConfigVersion(19)));
}

BOOST_AUTO_TEST_CASE(Watcher_afterAChange_watchesFromItsVersion) {
  ConfigSync Sync = makeSettled(m_Watchers[0]);
  const ConfigActions Actions = Sync.onWatchAnswered(version(18), m_Now);
  BOOST_TEST(has(Actions, Kind::Install));
  const auto Watch =
      std::find_if(Actions.begin(), Actions.end(), [](const ConfigAction &A) {
        return A.m_Kind == Kind::StartWatch;
      });
  BOOST_REQUIRE((Watch != Actions.end()));
  BOOST_TEST((Watch->m_After == ConfigVersion(18)));
}

BOOST_AUTO_TEST_CASE(SilentWatch_whenAVersionChanges_isCoveredByPlainReads) {
  ConfigSync Sync = makeSettled(m_Watchers[0]);
  BOOST_TEST(has(Sync.onTick(m_Now + seconds(2)), Kind::ReadPlatform));
  BOOST_TEST(
      has(Sync.onPlatformRead(version(18), m_Now + seconds(2)), Kind::Install));
  BOOST_TEST(!has(Sync.onTick(m_Now + seconds(3)), Kind::StartWatch));
  BOOST_TEST(has(Sync.onTick(m_Now + seconds(25)), Kind::StartWatch));
}

BOOST_AUTO_TEST_CASE(FailedWatch_afterTheRetryInterval_isRetried) {
  ConfigSync Sync = makeSettled(m_Watchers[0]);
  BOOST_TEST(!has(Sync.onWatchFailed(m_Now), Kind::StartWatch));
  BOOST_TEST(has(Sync.onTick(m_Now + milliseconds(500)), Kind::StartWatch));
}

BOOST_AUTO_TEST_CASE(OtherVm_receivingFromAWatcher_doesNotReadThePlatform) {
  ConfigSync Sync = makeSettled(m_Others[0]);
  for (int Second = 1; Second <= 30; ++Second) {
    m_Now += seconds(1);
    const ConfigActions Actions =
        Sync.onPeerVersion(m_Watchers[0], ConfigVersion(17), m_Now);
    BOOST_TEST(Actions.empty());
  }
}

BOOST_AUTO_TEST_CASE(
    OtherVm_receivingFromNoWatcher_readsAtTheFallbackInterval) {
  ConfigSync Sync = makeSettled(m_Others[0]);
  Sync.onPeerVersion(m_Others[1], ConfigVersion(17), m_Now + seconds(4));
  BOOST_TEST(!has(Sync.onTick(m_Now + seconds(4)), Kind::ReadPlatform));
  BOOST_TEST(has(Sync.onTick(m_Now + seconds(5)), Kind::ReadPlatform));
}

BOOST_AUTO_TEST_CASE(FailedWatcher_whenRemoved_isReplacedByAnotherVm) {
  std::vector<ConfigMember> Survivors = m_Members;
  std::erase_if(Survivors, [&](const ConfigMember &Member) {
    return Member.m_Name == m_Watchers[0];
  });
  std::size_t NewWatchers = 0;
  for (const VmName &Name : m_Others) {
    ConfigSync Sync = makeSettled(Name);
    NewWatchers += count(Sync.onMembers(Survivors, m_Now), Kind::StartWatch);
  }
  BOOST_TEST(NewWatchers == 1U);
}

BOOST_AUTO_TEST_CASE(LaterVersion_advertisedByTwoPeers_isPulledOnce) {
  ConfigSync Sync = makeSettled(m_Others[0]);
  const ConfigActions Actions =
      Sync.onPeerVersion(m_Watchers[0], ConfigVersion(18), m_Now);
  BOOST_REQUIRE(count(Actions, Kind::PullFrom) == 1U);
  BOOST_TEST((Actions[0].m_Peer == m_Watchers[0]));
  BOOST_TEST((Actions[0].m_After == ConfigVersion(17)));
  BOOST_TEST(!has(Sync.onPeerVersion(m_Watchers[1], ConfigVersion(18), m_Now),
                  Kind::PullFrom));
  BOOST_TEST(has(Sync.onPeerAnswered(m_Watchers[0], version(18), m_Now),
                 Kind::Install));
}

BOOST_AUTO_TEST_CASE(FailedPull_withAnotherPeer_isSentThere) {
  ConfigSync Sync = makeSettled(m_Others[0]);
  Sync.onPeerVersion(m_Watchers[0], ConfigVersion(18), m_Now);
  Sync.onPeerVersion(m_Watchers[1], ConfigVersion(18), m_Now);
  const ConfigActions Actions = Sync.onPeerFailed(m_Watchers[0], m_Now);
  BOOST_REQUIRE(count(Actions, Kind::PullFrom) == 1U);
  BOOST_TEST((Actions[0].m_Peer == m_Watchers[1]));
}

BOOST_AUTO_TEST_CASE(Pull_withoutReply_isSentToAnotherPeer) {
  ConfigSync Sync = makeSettled(m_Others[0]);
  Sync.onPeerVersion(m_Watchers[0], ConfigVersion(18), m_Now);
  m_Now += seconds(5);
  BOOST_TEST(has(Sync.onPeerVersion(m_Watchers[1], ConfigVersion(18), m_Now),
                 Kind::PullFrom));
}

BOOST_AUTO_TEST_CASE(Push_duringAnOutage_takesEffect) {
  ConfigSync Sync = makeSettled(m_Others[0]);
  Sync.onPlatformReadFailed(m_Now);
  BOOST_TEST(has(Sync.onPushed(version(18), m_Now), Kind::Install));
}

BOOST_AUTO_TEST_CASE(
    UnusableVersion_onceReceived_isNeitherInstalledNorRequested) {
  ConfigSync Sync = makeSettled(m_Others[0]);
  ConfigValue Unusable = version(18);
  Unusable.m_IsUsable = false;
  Sync.onPeerVersion(m_Watchers[0], ConfigVersion(18), m_Now);
  BOOST_TEST(Sync.onPeerAnswered(m_Watchers[0], Unusable, m_Now).empty());
  BOOST_TEST((Sync.versionInEffect() == ConfigVersion(17)));
  BOOST_TEST(!has(Sync.onPeerVersion(m_Watchers[1], ConfigVersion(18), m_Now),
                  Kind::PullFrom));
  BOOST_TEST(has(Sync.onPushed(version(19), m_Now), Kind::Install));
}

BOOST_AUTO_TEST_SUITE_END()
