#ifndef FIGTURN_COORDINATION_CONFIGSYNC_H
#define FIGTURN_COORDINATION_CONFIGSYNC_H

/**
 * Decides which version of the configuration is in effect at this VM, and when
 * and from where to request a later one. A few watchers in each data centre
 * watch the platform, so that its load does not grow with the fleet; all other
 * VMs pull from peers that advertise a later version in their heartbeats. The
 * version never decreases, in whatever order responses arrive.
 *
 * A starting VM asks the platform and its peers and takes the highest version
 * that it receives; until then no version is in effect.
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

/** One version of the configuration as received. */
struct ConfigValue {
  ConfigVersion m_Version;
  std::shared_ptr<const std::string> m_Body; ///< The object `config`.
  /** False if it can't be decoded; it is then never installed or requested
   *  again. */
  bool m_IsUsable = true;
};

/** A live VM of the fleet. */
struct ConfigMember {
  VmName m_Name;
  DataCentreName m_DataCentre;
};

/** An action for the driver. */
struct ConfigAction {
  enum class Kind {
    ReadPlatform, ///< Report to onPlatformRead() or onPlatformReadFailed().
    StartWatch,   ///< Watch for versions after m_After; report to
                  ///< onWatchAnswered() or onWatchFailed().
    PullFrom,     ///< Request a version after m_After from m_Peer; report to
                  ///< onPeerAnswered() or onPeerFailed().
    Install       ///< Put m_Value into effect.
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
  /** Number of VMs in each data centre that watch the platform. */
  std::size_t m_WatchersPerDataCentre = 2;
  /** Interval of a watcher's plain reads, since a watch can fail silently. */
  milliseconds m_RecheckInterval{2000};
  /** Interval of plain reads by other VMs that receive no heartbeats from a
   *  watcher. */
  milliseconds m_FallbackInterval{5000};
  /** A peer without a heartbeat for this time is ignored. */
  milliseconds m_PeerLifetime{5000};
  /** Time after the start from which a VM installs the version that it has
   *  without waiting for further responses. */
  milliseconds m_StartTimeout{2000};
  /** Maximum time that the platform may hold a watch. */
  milliseconds m_WatchTimeout{20000};
  /** A request without a response is abandoned after this time; a watch after
   *  this time in addition to m_WatchTimeout. */
  milliseconds m_AnswerTimeout{5000};
  /** Delay before a failed watch or pull is retried. */
  milliseconds m_RetryInterval{500};
};

/**
 * The configuration state of one VM. Each call returns the actions to perform
 * next. Not thread-safe.
 */
class ConfigSync {
public:
  explicit ConfigSync(ConfigSyncOptions Options);

  ConfigActions start(TimePoint Now);
  /** Call this several times a second. */
  ConfigActions onTick(TimePoint Now);
  /** \p Members are the VMs considered alive, with or without this one. */
  ConfigActions onMembers(const std::vector<ConfigMember> &Members,
                          TimePoint Now);
  /** Handles a peer's heartbeat, which carries the version in effect there. */
  ConfigActions onPeerVersion(const VmName &Peer, ConfigVersion Version,
                              TimePoint Now);

  /** No value means that the object does not exist. */
  ConfigActions onPlatformRead(std::optional<ConfigValue> Value, TimePoint Now);
  ConfigActions onPlatformReadFailed(TimePoint Now);
  /** No value means that nothing changed. */
  ConfigActions onWatchAnswered(std::optional<ConfigValue> Value,
                                TimePoint Now);
  ConfigActions onWatchFailed(TimePoint Now);
  /** No value means that the peer has nothing later. */
  ConfigActions onPeerAnswered(const VmName &Peer,
                               std::optional<ConfigValue> Value, TimePoint Now);
  ConfigActions onPeerFailed(const VmName &Peer, TimePoint Now);
  /** Handles an accepted version that was sent by an operator's command. */
  ConfigActions onPushed(ConfigValue Value, TimePoint Now);

  /** The version in effect; 0 if none. */
  ConfigVersion versionInEffect() const { return m_ValueInEffect.m_Version; }
  /** The value in effect, for peers that pull it; no body if there is none. */
  const ConfigValue &value() const { return m_ValueInEffect; }
  /** Whether this VM is a watcher of its data centre. */
  bool isWatcher() const { return m_IsWatcher; }

private:
  /** State of a request to the platform or to a peer. */
  struct Request {
    bool m_IsPending = false;
    TimePoint m_Since;
    TimePoint m_NotBefore; ///< Earliest time of the next request.
  };
  struct Peer {
    DataCentreName m_DataCentre; ///< Empty if the peer is not a member.
    bool m_IsWatcher = false;
    ConfigVersion m_Version;
    std::optional<TimePoint> m_LastReceivedAt;
    Request m_Pull;
    /** A request succeeded or failed since the start. */
    bool m_HasAnswered = false;
  };

  void considerValue(std::optional<ConfigValue> Value, std::string_view Source);
  void setPlatformReachable(bool IsReachable);
  void expire(Request &Pending, Duration Timeout, TimePoint Now);
  void updateWatchers(const std::vector<ConfigMember> &Members);
  bool isFresh(const Peer &Known, TimePoint Now) const;
  bool hasFreshWatcher(TimePoint Now) const;
  bool isStartComplete(TimePoint Now) const;
  bool isReadDue(TimePoint Now) const;
  bool isPullPending() const;

  ConfigActions decide(TimePoint Now);
  void decideInstall(TimePoint Now, ConfigActions &Actions);
  void decideRead(TimePoint Now, ConfigActions &Actions);
  void decideWatch(TimePoint Now, ConfigActions &Actions);
  void decideStartPulls(TimePoint Now, ConfigActions &Actions);
  void decidePull(TimePoint Now, ConfigActions &Actions);
  void pullFrom(const VmName &Name, Peer &Source, TimePoint Now,
                ConfigActions &Actions);
  ConfigVersion latestKnown() const;

  ConfigSyncOptions m_Options;
  ConfigValue m_ValueInEffect;
  ConfigValue m_Candidate; ///< Highest usable version received.
  std::string m_CandidateSource;
  ConfigVersion m_LatestUnusable;
  bool m_IsWatcher = false;
  bool m_HasMembers = false;
  /** A read succeeded or failed since the start. */
  bool m_HasPlatformAnswer = false;
  bool m_IsPlatformReachable = true;
  TimePoint m_StartedAt;
  Request m_Read;
  Request m_Watch;
  std::map<VmName, Peer> m_Peers;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_CONFIGSYNC_H
