#ifndef FIGTURN_COORDINATION_CONFIGSYNC_H
#define FIGTURN_COORDINATION_CONFIGSYNC_H

/**
 * Decides which version of the configuration is in force at this VM and when
 * to ask whom for a later one. A few watchers in each data centre watch the
 * platform, so that its load does not grow with the fleet; all other VMs pull
 * from peers whose digest names a later version. Versions only rise, whatever
 * order answers come in.
 *
 * A starting VM asks the platform and peers and takes the highest version
 * that it is given; until then none is in force.
 */

#include "state/Ids.h"
#include "state/Time.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figturn {

/** One version of the configuration as it was received. */
struct ConfigValue {
  ConfigVersion m_Version;
  std::shared_ptr<const std::string> m_Body; ///< The object `config`.
  /** False if it doesn't decode; it is then never installed, nor asked for
   *  again. */
  bool m_IsUsable = true;
};

/** A live VM of the fleet. */
struct ConfigMember {
  VmName m_Name;
  DataCentreName m_DataCentre;
};

/** What the driver has to do. */
struct ConfigAction {
  enum class Kind {
    ReadPlatform, ///< Then onPlatformRead() or onPlatformReadFailed().
    StartWatch,   ///< For versions after m_After; then onWatchAnswered() or
                  ///< onWatchFailed().
    PullFrom,     ///< Ask m_Peer for a version after m_After; then
                  ///< onPeerAnswered() or onPeerFailed().
    Install       ///< m_Value is in force from now on.
  };
  Kind m_Kind = Kind::ReadPlatform;
  ConfigVersion m_After;
  VmName m_Peer;
  ConfigValue m_Value;
};

using ConfigActions = std::vector<ConfigAction>;

/** Identity and intervals of a ConfigSync. */
struct ConfigSyncOptions {
  VmName m_Self;
  DataCentreName m_DataCentre;
  /** VMs of each data centre that watch the platform. */
  std::size_t m_WatchersPerDataCentre = 2;
  /** Between plain reads by a watcher, since a watch can go silent. */
  milliseconds m_RecheckInterval{2000};
  /** Between plain reads by other VMs that hear no watcher. */
  milliseconds m_FallbackInterval{5000};
  /** A peer not heard for so long counts as not heard. */
  milliseconds m_PeerLifetime{5000};
  /** How long a start waits for answers once one version is known. */
  milliseconds m_StartTimeout{2000};
  /** How long a watch may wait at the platform. */
  milliseconds m_WatchTimeout{20000};
  /** Without an answer for so long (a watch: beyond its wait) a request is
   *  given up. */
  milliseconds m_AnswerTimeout{5000};
  /** Before a failed watch or pull is tried again. */
  milliseconds m_RetryInterval{500};
};

/** The decisions of one VM. Each call gives what to do next. */
class ConfigSync {
public:
  explicit ConfigSync(ConfigSyncOptions Options);

  ConfigActions start(TimePoint Now);
  /** To be called several times a second. */
  ConfigActions onTick(TimePoint Now);
  /** \p Members are the VMs believed live, with or without this one. */
  ConfigActions onMembers(const std::vector<ConfigMember> &Members,
                          TimePoint Now);
  /** A peer's heartbeat named the version in force there. */
  ConfigActions onDigest(const VmName &Peer, ConfigVersion Version,
                         TimePoint Now);

  /** None as value: there is no such object. */
  ConfigActions onPlatformRead(std::optional<ConfigValue> Value, TimePoint Now);
  ConfigActions onPlatformReadFailed(TimePoint Now);
  /** None as value: there was no change. */
  ConfigActions onWatchAnswered(std::optional<ConfigValue> Value,
                                TimePoint Now);
  ConfigActions onWatchFailed(TimePoint Now);
  /** None as value: the peer has nothing later. */
  ConfigActions onPeerAnswered(const VmName &Peer,
                               std::optional<ConfigValue> Value, TimePoint Now);
  ConfigActions onPeerFailed(const VmName &Peer, TimePoint Now);
  /** An operator's command handed over a version that was accepted. */
  ConfigActions onPushed(ConfigValue Value, TimePoint Now);

  /** The version in force; 0 while there is none. */
  ConfigVersion inForce() const { return m_InForce.m_Version; }
  /** What is in force, for peers that pull it; no body while there is none. */
  const ConfigValue &value() const { return m_InForce; }
  /** Whether this VM is one of its data centre's watchers. */
  bool isWatcher() const { return m_IsWatcher; }

private:
  /** A request whose answer is awaited. */
  struct Request {
    bool m_IsPending = false;
    TimePoint m_Since;
    TimePoint m_NotBefore; ///< Earliest time of the next one.
  };
  struct Peer {
    DataCentreName m_DataCentre; ///< Empty if it is no member.
    bool m_IsWatcher = false;
    ConfigVersion m_Version;
    std::optional<TimePoint> m_LastReceivedAt;
    Request m_Pull;
    bool m_HasAnswered = false; ///< Or failed, since the start.
  };

  void offer(std::optional<ConfigValue> Value, std::string_view Source);
  void setPlatformReachable(bool IsReachable);
  void expire(Request &Asked, Duration Timeout, TimePoint Now);
  void markWatchers(const std::vector<ConfigMember> &Members);
  bool isFresh(const Peer &Known, TimePoint Now) const;
  bool hasFreshWatcher(TimePoint Now) const;
  bool isStartComplete(TimePoint Now) const;
  bool isReadDue(TimePoint Now) const;
  bool isPullOpen() const;

  ConfigActions decide(TimePoint Now);
  void decideInstall(TimePoint Now, ConfigActions &Out);
  void decideRead(TimePoint Now, ConfigActions &Out);
  void decideWatch(TimePoint Now, ConfigActions &Out);
  void decideStartPulls(TimePoint Now, ConfigActions &Out);
  void decidePull(TimePoint Now, ConfigActions &Out);
  void pullFrom(const VmName &Name, Peer &From, TimePoint Now,
                ConfigActions &Out);
  ConfigVersion latestKnown() const;

  ConfigSyncOptions m_Options;
  ConfigValue m_InForce;
  ConfigValue m_Candidate; ///< Highest usable version that was received.
  std::string m_CandidateSource;
  ConfigVersion m_LatestUnusable;
  bool m_IsWatcher = false;
  bool m_HasMembers = false;
  bool m_HasPlatformAnswer = false; ///< Or a failure, since the start.
  bool m_IsPlatformReachable = true;
  TimePoint m_StartedAt;
  Request m_Read;
  Request m_Watch;
  std::map<VmName, Peer> m_Peers;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_CONFIGSYNC_H
