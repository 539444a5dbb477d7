#ifndef FIGTURN_COORDINATION_FLEETVIEW_H
#define FIGTURN_COORDINATION_FLEETVIEW_H

/**
 * Membership of the entry VMs by gossip. Each VM increments its own heartbeat
 * count and forwards the highest counts that it has received; a VM whose count
 * stops increasing is considered failed. Full records are sent while they are
 * new, heartbeat counts in every message. This costs a constant number of
 * datagrams a second for any fleet size, needs no writes to the platform, and
 * works while the platform is unavailable.
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

/** Phase of an entry VM, as reported by the VM. */
enum class VmPhase : std::uint8_t {
  Starting, ///< Doesn't serve callers yet.
  Serving,
  Stopping ///< In a planned stop; no longer advertised.
};

/** Gossip record of one VM. */
struct VmRecord {
  VmName m_Vm;
  std::int64_t m_StartedMs = 0; ///< Unix time of the process's start, in ms.
  std::uint64_t m_HeartbeatCount = 0; ///< Increases while the process runs.
  VmPhase m_Phase = VmPhase::Starting;
  DataCentreName m_DataCentre;
  std::string m_CallerAddress; ///< "IP:port" for callers.
  std::string m_GossipAddress; ///< "IP:port" for gossip.
  std::string m_StateAddress;  ///< "IP:port" for copies of the state.
  std::uint64_t m_ConfigVersion = 0;
  /** CPU capacity in thousandths of a core. */
  std::uint32_t m_CapacityPermille = 0;
  std::uint32_t m_LagMs = 0;   ///< Mean event loop lag.
  bool m_CanReachStore = true; ///< The platform's store responds to this VM.

  bool operator==(const VmRecord &) const = default;
};

/** Heartbeat count of a VM without the rest of its record. */
struct VmHeartbeat {
  std::uint32_t m_Key = 0; ///< vmInstanceKey() of the VM's process.
  std::uint64_t m_HeartbeatCount = 0;
  std::uint32_t m_LagMs = 0;

  bool operator==(const VmHeartbeat &) const = default;
};

/** A VM with a recent copy of the platform's state. */
struct StateSource {
  std::string m_Address; ///< Address that serves the copy, "IP:port".
  StateVersion m_Version;

  bool operator==(const StateSource &) const = default;
};

/**
 * Contents of one message: full records of VMs that others may not know yet,
 * the heartbeat counts of as many other VMs as fit a datagram, and the sources
 * of the latest state.
 */
struct GossipPayload {
  std::vector<VmRecord> m_Records;
  std::vector<VmHeartbeat> m_Heartbeats;
  std::vector<StateSource> m_StateSources;
  std::vector<CrashRecord> m_Crashes; ///< Requests that crashed targets.

  bool operator==(const GossipPayload &) const = default;
};

/** Short key of one process of a VM. */
std::uint32_t vmInstanceKey(const VmRecord &Record);

/** A VM that started or stopped being advertised to callers. */
struct VmServingChange {
  VmName m_Vm;
  bool m_IsServing = false;
};

/** Intervals, timeouts and sizes of gossip. */
struct FleetViewOptions {
  /** A VM whose count stops increasing is considered failed after a base
   *  timeout and one round for each doubling of the fleet: the time that a
   *  count takes to spread through the fleet, with some datagrams lost. */
  Duration m_BaseFailureTimeout = milliseconds(800);
  Duration m_FailureTimeoutPerDoubling = milliseconds(400);
  /** A VM that receives nothing from any other VM is probably isolated: it
   *  continues to advertise the others for this time, and then advertises only
   *  itself. */
  Duration m_IsolationTimeout = milliseconds(5000);
  /** Maximum number of sources of the latest version of each field of
   *  StateVersion that are forwarded. */
  std::size_t m_MaxStateSources = 3;
  /** Number of heartbeat counts that take the space of one source. */
  std::size_t m_HeartbeatsPerSource = 3;
  /** A VM from which nothing was received for this time no longer counts for
   *  shares of common limits. */
  Duration m_PeerRetention = seconds(30);
  /** In larger fleets, a VM gossips with VMs of its own data centre and, on
   *  average in one of m_RemoteRoundInterval rounds, also with a VM of another
   *  one, since traffic between data centres is expensive. */
  std::size_t m_MaxUniformFleetSize = 20;
  std::uint32_t m_RemoteRoundInterval = 4;
  std::size_t m_Fanout = 3; ///< Receivers of each round's message.
  /** Limits that keep a message in one datagram: records besides the sender's
   *  own, and heartbeat counts. Each record takes the space of several
   *  counts. */
  std::size_t m_MaxRecordsPerMessage = 5;
  /** Records that most VMs know already. */
  std::size_t m_MaxKnownRecordsPerMessage = 1;
  std::size_t m_MaxHeartbeatsPerMessage = 112;
  /** Number of heartbeat counts that take the space of one record. */
  std::size_t m_HeartbeatsPerRecord = 11;
  std::size_t m_MaxCrashesPerMessage = 4;
  /** Number of heartbeat counts that take the space of one crash record. */
  std::size_t m_HeartbeatsPerCrash = 2;
  /** Number of times a record is sent before it counts as known to most VMs. */
  std::uint32_t m_RecordTransmissions = 3;
  Duration m_RoundInterval = milliseconds(400);
  /** Interval between rounds while there are records that others may not
   *  know. */
  Duration m_UpdateInterval = milliseconds(150);
};

/** A gossip message and its receivers. */
struct GossipMessage {
  std::vector<std::string> m_Receivers; ///< Gossip addresses.
  GossipPayload m_Payload;
};

/** The fleet as seen by one VM. Not thread-safe. */
class FleetView {
public:
  /** \p Seeds are gossip addresses for discovering other VMs. */
  FleetView(VmRecord Self, std::vector<std::string> Seeds,
            FleetViewOptions Options, std::uint32_t RandomSeed);

  /** Starts a round: increments the own heartbeat count and returns the message
   *  to send, with pending records of \p Crashes. */
  GossipMessage beginRound(CrashQuarantine &Crashes, TimePoint Now);
  /** Delay between a round and the next. */
  Duration roundInterval(TimePoint Now) const;
  /** Handles a message; returns the VMs that are new or were restarted. Crash
   *  records are left to CrashQuarantine::mergeRecord(). */
  std::vector<VmName> receive(const GossipPayload &Payload, TimePoint Now);
  /** Adds the address of a VM that is known from elsewhere, to gossip with
   *  it. */
  void addSeed(const std::string &GossipAddress);
  /** Sets the phase and configuration version that this VM reports. */
  void setSelf(VmPhase Phase, std::uint64_t ConfigVersion);
  /** Sets the version of this VM's own copy of the state, and whether the store
   *  responds to this VM. */
  void setState(const StateVersion &Version, bool CanReachStore);
  /** Selects a VM whose copy of \p Part is newer than this VM's; none if no
   *  such VM is known. */
  std::optional<StateSource> selectNewerStateSource(StatePart Part);
  /** Whether another VM holds a configuration with a higher number. */
  bool isNewerConfigKnown() const;
  /** Removes \p Address, which did not return its copy. */
  void removeStateSource(const std::string &Address);
  /** Sets this VM's event loop lag. */
  void setLag(milliseconds Lag);
  /** Returns a message with only the record of this VM, to all live peers. */
  GossipMessage announce(TimePoint Now);

  /** VMs that may be advertised to callers, including this one if it serves. */
  std::vector<VmRecord> serving(TimePoint Now) const;
  /** VMs that may use a share of common limits, including this one. */
  std::vector<VmName> quotaMembers(TimePoint Now) const;
  /** Records of quotaMembers(). */
  std::vector<VmRecord> quotaRecords(TimePoint Now) const;
  /** This VM's part, from 0 to 1, of the CPU capacity of quotaMembers(); an
   *  equal part if a capacity is unknown. */
  double capacityShare(TimePoint Now) const;
  /** Whether a live peer reaches the platform's store. */
  bool isStoreReachedByPeer(TimePoint Now) const;
  /** Live VMs that can reach the platform's store, including this one; all live
   *  VMs if none can reach it. */
  std::vector<VmName> storeReaders(TimePoint Now) const;
  /** Live VMs without this one. */
  std::vector<VmRecord> alivePeers(TimePoint Now) const;
  /** Number of live VMs without this one. */
  std::size_t countAlivePeers(TimePoint Now) const;
  /** VMs that started or stopped being advertised since the last call. */
  std::vector<VmServingChange> takeServingChanges(TimePoint Now);
  const VmRecord &self() const { return m_Self; }

private:
  struct Peer {
    VmRecord m_Record;
    TimePoint m_LastReceivedAt; ///< When the heartbeat count last increased.
    bool m_WasServing = false;  ///< Value at the last takeServingChanges().
    /** Times that the full record was sent in its current state. */
    std::uint32_t m_SendCount = 0;
  };

  bool mergeRecord(const VmRecord &Record, TimePoint Now);
  void mergeHeartbeat(const VmHeartbeat &Heartbeat, TimePoint Now);
  void mergeStateSource(const StateSource &Source);
  void retainLatestStateSources();
  void addRecords(GossipPayload &Payload, TimePoint Now);
  void addHeartbeats(GossipPayload &Payload, TimePoint Now);
  Duration failureTimeout() const;
  bool isAlive(const Peer &Entry, TimePoint Now) const;
  bool hasAlivePeer(TimePoint Now) const;
  bool isAdvertised(const Peer &Entry, TimePoint Now) const;
  std::vector<std::string> selectReceivers(TimePoint Now);
  std::vector<std::string> selectAlivePeers(TimePoint Now);

  VmRecord m_Self;
  std::set<std::string> m_Seeds;
  FleetViewOptions m_Options;
  std::minstd_rand m_Random;
  std::map<VmName, Peer> m_Peers;
  std::map<std::uint32_t, VmName> m_ByKey;
  TimePoint m_LastAnyReceivedAt;
  /** Since then, a revision without an era, of a VM of an earlier release, may
   *  be of an earlier era. */
  bool m_HasStoreReturned = false;
  StateVersion m_State; ///< Version of this VM's own copy.
  /** For each field of StateVersion, sources of its latest version. */
  std::vector<StateSource> m_StateSources;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_FLEETVIEW_H
