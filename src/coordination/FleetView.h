#ifndef FIGTURN_COORDINATION_FLEETVIEW_H
#define FIGTURN_COORDINATION_FLEETVIEW_H

/**
 * Which entry VMs run, by gossip: each VM raises a counter of its own and
 * passes on the highest counters that it has seen. A VM whose counter stands
 * still is taken for lost. Whole records travel while they are new, counters
 * in each message. Costs the same few datagrams a second at any size
 * of the fleet, needs no writes to the platform, and works while the platform
 * is away.
 */

#include "coordination/CrashQuarantine.h"
#include "state/Ids.h"
#include "state/StateVersion.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace figturn {

/** What an entry VM says of itself. */
enum class VmPhase : std::uint8_t {
  Starting, ///< Doesn't serve callers yet.
  Serving,
  Stopping ///< A planned stop; not to be handed out.
};

/** One VM as gossip describes it. */
struct VmRecord {
  VmName m_Vm;
  std::int64_t m_StartedMs = 0;       ///< Unix time of the process's start.
  std::uint64_t m_HeartbeatCount = 0; ///< Rises while the process runs.
  VmPhase m_Phase = VmPhase::Starting;
  DataCentreName m_DataCentre;
  std::string m_CallerAddress; ///< "IP:port" for callers.
  std::string m_GossipAddress; ///< "IP:port" for gossip.
  std::string m_StateAddress;  ///< "IP:port" for copies of the state.
  std::uint64_t m_ConfigVersion = 0;
  std::uint32_t m_CapacityPermille = 0; ///< Of a processor core.
  std::uint32_t m_LagMs = 0;   ///< How late its event loop runs, on average.
  bool m_CanReachStore = true; ///< The platform's store answers it.

  bool operator==(const VmRecord &) const = default;
};

/** A counter without the rest of its record. */
struct VmHeartbeat {
  std::uint32_t m_Key = 0; ///< vmInstanceKey() of the VM's process.
  std::uint64_t m_HeartbeatCount = 0;
  std::uint32_t m_LagMs = 0;

  bool operator==(const VmHeartbeat &) const = default;
};

/** A VM that has a recent copy of the platform's state. */
struct StateSource {
  std::string m_Address; ///< Where it gives the copy, "IP:port".
  StateVersion m_Version;

  bool operator==(const StateSource &) const = default;
};

/** What one message tells: whole records of VMs that others may not know
 *  yet, the counters of as many others as fit a datagram, and who has the
 *  latest state. */
struct GossipPayload {
  std::vector<VmRecord> m_Records;
  std::vector<VmHeartbeat> m_Heartbeats;
  std::vector<StateSource> m_StateSources;
  std::vector<CrashRecord> m_Crashes; ///< Requests that crashed targets.

  bool operator==(const GossipPayload &) const = default;
};

/** Names one process of a VM in few bytes. */
std::uint32_t vmInstanceKey(const VmRecord &Record);

/** A VM that began or ceased to be handed out to callers. */
struct VmServingChange {
  VmName m_Vm;
  bool m_Serves = false;
};

/** Times and sizes of gossip. */
struct FleetViewOptions {
  /** A VM whose counter stands still is taken for lost after a fixed time and
   *  a round for each doubling of the fleet: so long a counter's way through
   *  the fleet takes, with some datagrams lost. */
  Duration m_BaseFailureTimeout = milliseconds(800);
  Duration m_FailureTimeoutPerDoubling = milliseconds(400);
  /** A VM that hears nobody any more is most likely cut off itself: it names
   *  the others for so long before it names itself alone. */
  Duration m_IsolationTimeout = milliseconds(5000);
  std::size_t m_StateSources = 3; ///< Of the latest state that are passed on.
  /** A VM lost for so long no longer counts for shares of common limits. */
  Duration m_PeerRetention = seconds(30);
  /** Fleets beyond this size gossip within their data centres, and one round
   *  in so many also goes to another one, since bytes between data centres
   *  are the dear ones. */
  std::size_t m_MaxUniformFleetSize = 20;
  std::uint32_t m_RemoteRoundInterval = 4;
  std::size_t m_Fanout = 3; ///< Peers that get each round's message.
  /** Records beside the sender's own, and counters, that keep a message in
   *  one datagram; each record takes the room of some counters. */
  std::size_t m_MaxRecordsPerMessage = 5;
  std::size_t m_MaxKnownRecordsPerMessage = 1; ///< Of those that most know.
  std::size_t m_MaxHeartbeatsPerMessage = 112;
  std::size_t m_HeartbeatsPerRecord = 11;
  std::size_t m_MaxCrashesPerMessage = 4;
  std::size_t m_HeartbeatsPerCrash = 2;
  /** A record is passed on so often before it counts as known to all. */
  std::uint32_t m_RecordTransmissions = 3;
  Duration m_RoundInterval = milliseconds(400);
  /** Between rounds while there are records that others may not know. */
  Duration m_UpdateInterval = milliseconds(150);
};

/** A message to send. */
struct GossipMessage {
  std::vector<std::string> m_Receivers; ///< Gossip addresses.
  GossipPayload m_Payload;
};

/** The fleet as one VM sees it. Not thread-safe. */
class FleetView {
public:
  /** \p Seeds are gossip addresses that may help to find the others. */
  FleetView(VmRecord Self, std::vector<std::string> Seeds,
            FleetViewOptions Options, std::uint32_t Seed);

  /** Begins a round: raises the own counter and says what to send, with what
   *  \p Crashes still has to tell. */
  GossipMessage beginRound(CrashQuarantine &Crashes, TimePoint Now);
  /** How long after a round the next one is due. */
  Duration roundInterval(TimePoint Now) const;
  /** Takes a message; returns the VMs that are new or started anew. */
  std::vector<VmName> receive(const GossipPayload &News, TimePoint Now);
  /** Takes a VM that is known from elsewhere, as one to gossip with. */
  void addSeed(const std::string &GossipAddress);
  /** Sets what this VM says of itself. */
  void setSelf(VmPhase Phase, std::uint64_t ConfigVersion);
  /** Sets how recent this VM's own copy of the state is. */
  void setState(const StateVersion &Version, bool ReachesStore);
  /** A VM that has news for this one's copy; none if nobody is known to. */
  std::optional<StateSource> selectNewerStateSource();
  /** \p Address did not give its copy. */
  void removeStateSource(const std::string &Address);
  /** Sets how late this VM's event loop runs. */
  void setLag(milliseconds Lag);
  /** A message about this VM alone to all known VMs. */
  GossipMessage announce(TimePoint Now);

  /** VMs that may be handed out to callers, this one included if it serves. */
  std::vector<VmRecord> serving(TimePoint Now) const;
  /** VMs that may take part in common limits, this one included. */
  std::vector<VmName> quotaMembers(TimePoint Now) const;
  /** VMs that run and reach the platform's store, this one included; all
   *  that run if none reaches it. */
  std::vector<VmName> storeReaders(TimePoint Now) const;
  /** VMs whose counters rise, this one left out. */
  std::vector<VmRecord> alivePeers(TimePoint Now) const;
  /** How many other VMs' counters rise. */
  std::size_t countAlive(TimePoint Now) const;
  /** VMs that began or ceased to be handed out since the last call. */
  std::vector<VmServingChange> takeServingChanges(TimePoint Now);
  const VmRecord &self() const { return m_Self; }

private:
  struct Peer {
    VmRecord m_Record;
    TimePoint m_LastReceivedAt;    ///< When the counter rose last.
    bool m_WasServing = false;     ///< At the last takeServingChanges().
    std::uint32_t m_SendCount = 0; ///< Of the whole record, in this state.
  };

  bool mergeRecord(const VmRecord &Record, TimePoint Now);
  void mergeHeartbeat(const VmHeartbeat &Beat, TimePoint Now);
  void mergeStateSource(const StateSource &Holder);
  void addRecords(GossipPayload &News, TimePoint Now);
  void addHeartbeats(GossipPayload &News, TimePoint Now);
  Duration failureTimeout() const;
  bool isAlive(const Peer &Of, TimePoint Now) const;
  bool hasAlivePeer(TimePoint Now) const;
  bool isAdvertised(const Peer &Of, TimePoint Now) const;
  std::vector<std::string> selectReceivers(TimePoint Now);
  std::vector<std::string> selectAlivePeers(TimePoint Now);

  VmRecord m_Self;
  std::set<std::string> m_Seeds;
  FleetViewOptions m_Options;
  std::minstd_rand m_Random;
  std::map<VmName, Peer> m_Peers;
  std::map<std::uint32_t, VmName> m_ByKey;
  TimePoint m_LastAnyReceivedAt;
  StateVersion m_State;                    ///< Of this VM's own copy.
  std::vector<StateSource> m_StateSources; ///< The latest first.
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_FLEETVIEW_H
