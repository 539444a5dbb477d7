#include "coordination/ConfigSync.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <functional>
#include <random>

using namespace figturn;
using Kind = ConfigAction::Kind;

namespace {

constexpr milliseconds Step{100};
constexpr milliseconds AnswerDelay{20};
constexpr milliseconds HeartbeatInterval{1000};

/** Twelve VMs in three data centres, in virtual time, with a platform that
 *  returns stale reads, loses watches and has outages. */
class Fleet {
public:
  explicit Fleet(unsigned Seed) : m_Random(Seed) {
    for (std::size_t I = 0; I < 12; ++I)
      m_Members.push_back({VmName(fmt::format("vm-{}", I)),
                           DataCentreName(fmt::format("dc-{}", I % 3))});
    m_Vms.resize(m_Members.size());
    for (std::size_t I = 0; I < m_Vms.size(); ++I)
      m_Vms[I].m_Sync = makeSync(I);
    for (std::size_t I = 0; I < m_Vms.size(); ++I)
      restart(I);
  }

  void run(Duration Length) {
    const TimePoint End = m_Now + Length;
    for (; m_Now < End; m_Now += Step) {
      deliver();
      for (std::size_t I = 0; I < m_Vms.size(); ++I)
        perform(I, m_Vms[I].m_Sync->onTick(m_Now));
      if ((m_Now - TimePoint()) % HeartbeatInterval == Duration::zero())
        sendHeartbeats();
    }
  }

  /** Replaces VM \p I by a new process without state. */
  void restart(std::size_t I) {
    Vm &Self = m_Vms[I];
    ++Self.m_Incarnation;
    Self.m_MaxVersion = ConfigVersion();
    Self.m_Sync = makeSync(I);
    perform(I, Self.m_Sync->onMembers(m_Members, m_Now));
    perform(I, Self.m_Sync->start(m_Now));
  }

  bool allHave(std::uint64_t Version) const {
    return std::all_of(m_Vms.begin(), m_Vms.end(), [&](const Vm &Self) {
      return Self.m_Sync->versionInEffect() == ConfigVersion(Version);
    });
  }

  std::uint64_t m_Version = 1; ///< Version stored on the platform.
  bool m_HasOutage = false;
  double m_StaleReadRate = 0;
  double m_SilentWatchRate = 0;
  unsigned m_PlatformCalls = 0;
  unsigned m_Reversions = 0;

private:
  struct Vm {
    std::unique_ptr<ConfigSync> m_Sync;
    unsigned m_Incarnation = 0;
    ConfigVersion m_MaxVersion;
  };
  struct Message {
    std::size_t m_Receiver;
    unsigned m_Incarnation;
    std::function<ConfigActions(ConfigSync &, TimePoint)> m_Task;
  };

  std::unique_ptr<ConfigSync> makeSync(std::size_t I) const {
    return std::make_unique<ConfigSync>(
        ConfigSyncOptions{.m_Self = m_Members[I].m_Name,
                          .m_DataCentre = m_Members[I].m_DataCentre});
  }

  bool randomBool(double Probability) {
    return std::uniform_real_distribution<>()(m_Random) < Probability;
  }

  static ConfigValue value(std::uint64_t Version) {
    return {.m_Version = ConfigVersion(Version),
            .m_Body = std::make_shared<const std::string>()};
  }

  void post(std::size_t Receiver, Duration Delay,
            std::function<ConfigActions(ConfigSync &, TimePoint)> Task) {
    m_Messages.emplace(
        m_Now + Delay,
        Message{Receiver, m_Vms[Receiver].m_Incarnation, std::move(Task)});
  }

  void deliver() {
    while (!m_Messages.empty() && m_Messages.begin()->first <= m_Now) {
      const Message Next = m_Messages.extract(m_Messages.begin()).mapped();
      Vm &Self = m_Vms[Next.m_Receiver];
      if (Self.m_Incarnation == Next.m_Incarnation)
        perform(Next.m_Receiver, Next.m_Task(*Self.m_Sync, m_Now));
    }
  }

  void perform(std::size_t I, const ConfigActions &Actions) {
    for (const ConfigAction &Action : Actions) {
      if (Action.m_Kind == Kind::ReadPlatform)
        read(I);
      else if (Action.m_Kind == Kind::StartWatch)
        watch(I, Action.m_After);
      else if (Action.m_Kind == Kind::PullFrom)
        pull(I, Action);
      else
        install(I, Action.m_Value.m_Version);
    }
  }

  void install(std::size_t I, ConfigVersion Version) {
    Vm &Self = m_Vms[I];
    m_Reversions += Version <= Self.m_MaxVersion ? 1 : 0;
    Self.m_MaxVersion = Version;
  }

  void read(std::size_t I) {
    ++m_PlatformCalls;
    if (m_HasOutage)
      return post(I, AnswerDelay, [](ConfigSync &S, TimePoint Now) {
        return S.onPlatformReadFailed(Now);
      });
    const bool IsStale = m_Version > 1 && randomBool(m_StaleReadRate);
    const ConfigValue Returned = value(IsStale ? m_Version - 1 : m_Version);
    post(I, AnswerDelay, [Returned](ConfigSync &S, TimePoint Now) {
      return S.onPlatformRead(Returned, Now);
    });
  }

  /** Checks for a later version at every step while the watch is pending; a
   *  silent watch gets no response. */
  void watch(std::size_t I, ConfigVersion AfterVersion) {
    ++m_PlatformCalls;
    if (!randomBool(m_SilentWatchRate))
      pollWatch(I, AfterVersion, m_Now + seconds(20));
  }

  void pollWatch(std::size_t I, ConfigVersion AfterVersion, TimePoint EndTime) {
    post(I, Step,
         [this, I, AfterVersion, EndTime](ConfigSync &S, TimePoint Now) {
           if (m_HasOutage)
             return S.onWatchFailed(Now);
           if (ConfigVersion(m_Version) > AfterVersion)
             return S.onWatchAnswered(value(m_Version), Now);
           if (Now >= EndTime)
             return S.onWatchAnswered(std::nullopt, Now);
           pollWatch(I, AfterVersion, EndTime);
           return ConfigActions();
         });
  }

  std::size_t indexOf(const VmName &Name) const {
    return static_cast<std::size_t>(
        std::find_if(m_Members.begin(), m_Members.end(),
                     [&](const ConfigMember &M) { return M.m_Name == Name; }) -
        m_Members.begin());
  }

  void pull(std::size_t I, const ConfigAction &Action) {
    const VmName Peer = Action.m_Peer;
    const ConfigValue &Stored = m_Vms[indexOf(Peer)].m_Sync->value();
    std::optional<ConfigValue> Returned;
    if (Stored.m_Version > Action.m_After)
      Returned = Stored;
    post(I, AnswerDelay, [Peer, Returned](ConfigSync &S, TimePoint Now) {
      return S.onPeerAnswered(Peer, Returned, Now);
    });
  }

  void sendHeartbeats() {
    constexpr double LossRate = 0.1;
    for (std::size_t Sender = 0; Sender < m_Vms.size(); ++Sender)
      for (std::size_t Receiver = 0; Receiver < m_Vms.size(); ++Receiver) {
        if (Sender == Receiver || randomBool(LossRate))
          continue;
        const VmName Name = m_Members[Sender].m_Name;
        const ConfigVersion Version = m_Vms[Sender].m_Sync->versionInEffect();
        post(Receiver, AnswerDelay,
             [Name, Version](ConfigSync &S, TimePoint Now) {
               return S.onPeerVersion(Name, Version, Now);
             });
      }
  }

  std::mt19937 m_Random;
  TimePoint m_Now{seconds(100)};
  std::vector<ConfigMember> m_Members;
  std::vector<Vm> m_Vms;
  std::multimap<TimePoint, Message> m_Messages;
};

constexpr unsigned Seeds = 20;

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigSyncFleetTest)

BOOST_AUTO_TEST_CASE(
    Version_afterAChange_isInEffectEverywhereWithinFiveSeconds) {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      Fleet Simulation(Seed);
      Simulation.m_StaleReadRate = 0.2;
      Simulation.m_SilentWatchRate = 0.3;
      Simulation.run(seconds(10));
      for (std::uint64_t Version = 2; Version <= 6; ++Version) {
        Simulation.m_Version = Version;
        Simulation.restart(Version);
        Simulation.run(seconds(5));
        BOOST_TEST(Simulation.allHave(Version));
      }
      BOOST_TEST(Simulation.m_Reversions == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(Vm_startedDuringAnOutage_getsTheVersionOfItsPeers) {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      Fleet Simulation(Seed);
      Simulation.run(seconds(10));
      Simulation.m_HasOutage = true;
      for (std::size_t I = 0; I < 6; ++I)
        Simulation.restart(I);
      Simulation.run(seconds(5));
      BOOST_TEST(Simulation.allHave(1));
    }
  }
}

// Six watchers each make one read every 2 s and one watch every 20 s; no other
// VM calls the platform while it receives heartbeats.
BOOST_AUTO_TEST_CASE(
    PlatformCalls_withAllPeersAlive_areOnlyThoseOfTheWatchers) {
  Fleet Simulation(1);
  Simulation.run(seconds(20));
  Simulation.m_PlatformCalls = 0;
  Simulation.run(seconds(60));
  BOOST_TEST(Simulation.m_PlatformCalls <= 60 * 6 / 2 + 60 * 6 / 20 + 6);
}

BOOST_AUTO_TEST_SUITE_END()
