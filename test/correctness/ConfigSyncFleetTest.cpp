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

// Twelve VMs in three data centres, in virtual time, with a platform that
// gives old answers, loses watches and has outages.
class Fleet {
public:
  explicit Fleet(unsigned Seed) : m_Random(Seed) {
    for (std::size_t I = 0; I < 12; ++I)
      m_Members.push_back({VmName(fmt::format("vm-{}", I)),
                           DataCentreName(fmt::format("dc-{}", I % 3))});
    m_Vms.resize(m_Members.size());
    for (std::size_t I = 0; I < m_Vms.size(); ++I)
      m_Vms[I].m_Spread = makeSpread(I);
    for (std::size_t I = 0; I < m_Vms.size(); ++I)
      restart(I);
  }

  void run(Duration Length) {
    const TimePoint End = m_Now + Length;
    for (; m_Now < End; m_Now += Step) {
      deliver();
      for (std::size_t I = 0; I < m_Vms.size(); ++I)
        carryOut(I, m_Vms[I].m_Spread->onTick(m_Now));
      if ((m_Now - TimePoint()) % HeartbeatInterval == Duration::zero())
        sendHeartbeats();
    }
  }

  // A new process takes the place of VM \p I and begins with nothing.
  void restart(std::size_t I) {
    Vm &One = m_Vms[I];
    ++One.m_Life;
    One.m_Highest = ConfigVersion();
    One.m_Spread = makeSpread(I);
    carryOut(I, One.m_Spread->onMembers(m_Members, m_Now));
    carryOut(I, One.m_Spread->start(m_Now));
  }

  bool allHave(std::uint64_t Version) const {
    return std::all_of(m_Vms.begin(), m_Vms.end(), [&](const Vm &One) {
      return One.m_Spread->inForce() == ConfigVersion(Version);
    });
  }

  std::uint64_t m_Version = 1; ///< Version that the platform holds.
  bool m_IsOut = false;
  double m_StaleShare = 0;
  double m_SilentShare = 0;
  unsigned m_PlatformCalls = 0;
  unsigned m_Reversions = 0;

private:
  struct Vm {
    std::unique_ptr<ConfigSync> m_Spread;
    unsigned m_Life = 0;
    ConfigVersion m_Highest;
  };
  struct Message {
    std::size_t m_To;
    unsigned m_Life;
    std::function<ConfigActions(ConfigSync &, TimePoint)> m_Task;
  };

  std::unique_ptr<ConfigSync> makeSpread(std::size_t I) const {
    return std::make_unique<ConfigSync>(
        ConfigSyncOptions{.m_Self = m_Members[I].m_Name,
                          .m_DataCentre = m_Members[I].m_DataCentre});
  }

  bool happens(double Share) {
    return std::uniform_real_distribution<>()(m_Random) < Share;
  }

  static ConfigValue value(std::uint64_t Version) {
    return {.m_Version = ConfigVersion(Version),
            .m_Body = std::make_shared<const std::string>()};
  }

  void post(std::size_t To, Duration Delay,
            std::function<ConfigActions(ConfigSync &, TimePoint)> Task) {
    m_Messages.emplace(m_Now + Delay,
                       Message{To, m_Vms[To].m_Life, std::move(Task)});
  }

  void deliver() {
    while (!m_Messages.empty() && m_Messages.begin()->first <= m_Now) {
      const Message Next = m_Messages.extract(m_Messages.begin()).mapped();
      Vm &One = m_Vms[Next.m_To];
      if (One.m_Life == Next.m_Life)
        carryOut(Next.m_To, Next.m_Task(*One.m_Spread, m_Now));
    }
  }

  void carryOut(std::size_t I, const ConfigActions &Actions) {
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
    Vm &One = m_Vms[I];
    m_Reversions += Version <= One.m_Highest ? 1 : 0;
    One.m_Highest = Version;
  }

  void read(std::size_t I) {
    ++m_PlatformCalls;
    if (m_IsOut)
      return post(I, AnswerDelay, [](ConfigSync &S, TimePoint Now) {
        return S.onPlatformReadFailed(Now);
      });
    const bool IsStale = m_Version > 1 && happens(m_StaleShare);
    const ConfigValue Given = value(IsStale ? m_Version - 1 : m_Version);
    post(I, AnswerDelay, [Given](ConfigSync &S, TimePoint Now) {
      return S.onPlatformRead(Given, Now);
    });
  }

  // Looks again every step while it waits; a silent watch looks no more.
  void watch(std::size_t I, ConfigVersion After) {
    ++m_PlatformCalls;
    if (!happens(m_SilentShare))
      look(I, After, m_Now + seconds(20));
  }

  void look(std::size_t I, ConfigVersion After, TimePoint Until) {
    post(I, Step, [this, I, After, Until](ConfigSync &S, TimePoint Now) {
      if (m_IsOut)
        return S.onWatchFailed(Now);
      if (ConfigVersion(m_Version) > After)
        return S.onWatchAnswered(value(m_Version), Now);
      if (Now >= Until)
        return S.onWatchAnswered(std::nullopt, Now);
      look(I, After, Until);
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
    const ConfigValue &Held = m_Vms[indexOf(Peer)].m_Spread->value();
    std::optional<ConfigValue> Given;
    if (Held.m_Version > Action.m_After)
      Given = Held;
    post(I, AnswerDelay, [Peer, Given](ConfigSync &S, TimePoint Now) {
      return S.onPeerAnswered(Peer, Given, Now);
    });
  }

  void sendHeartbeats() {
    constexpr double LossShare = 0.1;
    for (std::size_t From = 0; From < m_Vms.size(); ++From)
      for (std::size_t To = 0; To < m_Vms.size(); ++To) {
        if (From == To || happens(LossShare))
          continue;
        const VmName Name = m_Members[From].m_Name;
        const ConfigVersion Version = m_Vms[From].m_Spread->inForce();
        post(To, AnswerDelay, [Name, Version](ConfigSync &S, TimePoint Now) {
          return S.onDigest(Name, Version, Now);
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

BOOST_AUTO_TEST_CASE(Version_is_in_force_everywhere_within_five_seconds) {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      Fleet Vms(Seed);
      Vms.m_StaleShare = 0.2;
      Vms.m_SilentShare = 0.3;
      Vms.run(seconds(10));
      for (std::uint64_t Version = 2; Version <= 6; ++Version) {
        Vms.m_Version = Version;
        Vms.restart(Version);
        Vms.run(seconds(5));
        BOOST_TEST(Vms.allHave(Version));
      }
      BOOST_TEST(Vms.m_Reversions == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(Vm_that_starts_in_an_outage_gets_the_version_of_peers) {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      Fleet Vms(Seed);
      Vms.run(seconds(10));
      Vms.m_IsOut = true;
      for (std::size_t I = 0; I < 6; ++I)
        Vms.restart(I);
      Vms.run(seconds(5));
      BOOST_TEST(Vms.allHave(1));
    }
  }
}

// Six watchers, each with one read every 2 s and one watch every 20 s, and no
// other VM calls the platform while all are heard.
BOOST_AUTO_TEST_CASE(Platform_calls_stay_those_of_the_watchers) {
  Fleet Vms(1);
  Vms.run(seconds(20));
  Vms.m_PlatformCalls = 0;
  Vms.run(seconds(60));
  BOOST_TEST(Vms.m_PlatformCalls <= 60 * 6 / 2 + 60 * 6 / 20 + 6);
}

BOOST_AUTO_TEST_SUITE_END()
