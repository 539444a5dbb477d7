#ifndef FIGTURN_COORDINATION_FLEETVIEW_H
#define FIGTURN_COORDINATION_FLEETVIEW_H

/**
 * Which entry VMs run, by gossip: each VM raises a counter of its own and
 * passes on the highest counters that it has seen. A VM whose counter stands
 * still is taken for lost. Costs the same few datagrams a second at any size
 * of the fleet, needs no writes to the platform, and works while the platform
 * is away.
 */

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
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
  std::int64_t m_StartedMs = 0; ///< Unix time of the process's start.
  std::uint64_t m_Beat = 0;     ///< Rises while the process runs.
  VmPhase m_Phase = VmPhase::Starting;
  DataCentreName m_DataCentre;
  std::string m_CallerAddress; ///< "IP:port" for callers.
  std::string m_GossipAddress; ///< "IP:port" for gossip.
  std::string m_StateAddress;  ///< "IP:port" for copies of the state.
  std::uint64_t m_ConfigVersion = 0;

  bool operator==(const VmRecord &) const = default;
};

/** Times and sizes of gossip. */
struct FleetViewOptions {
  /** A VM whose counter stands still for so long is taken for lost; several
   *  periods, since datagrams are lost and rounds take turns. */
  Duration m_LostAfter = milliseconds(2200);
  /** A VM that hears nobody any more is most likely cut off itself: it names
   *  the others for so long before it names itself alone. */
  Duration m_AloneAfter = milliseconds(5000);
  /** A VM lost for so long no longer counts for shares of common limits. */
  Duration m_ForgetAfter = seconds(30);
  std::size_t m_Fanout = 2;           ///< Peers that get each round's message.
  std::size_t m_RecordsPerMessage = 12; ///< Keeps a message in one datagram.
};

/** A message to send. */
struct GossipMessage {
  std::vector<std::string> m_To; ///< Gossip addresses.
  std::vector<VmRecord> m_Records;
};

/** The fleet as one VM sees it. Not thread-safe. */
class FleetView {
public:
  /** \p Seeds are gossip addresses that may help to find the others. */
  FleetView(VmRecord Self, std::vector<std::string> Seeds,
            FleetViewOptions Options, std::uint32_t Seed);

  /** Begins a round: raises the own counter and says what to send. */
  GossipMessage beginRound(TimePoint Now);
  /** Takes a message; returns the VMs that are new or started anew. */
  std::vector<VmName> receive(const std::vector<VmRecord> &Records,
                              TimePoint Now);
  /** Takes a VM that is known from elsewhere, as one to gossip with. */
  void addSeed(const std::string &GossipAddress);
  /** Sets what this VM says of itself. */
  void setSelf(VmPhase Phase, std::uint64_t ConfigVersion);
  /** A message about this VM alone to all known VMs. */
  GossipMessage announce(TimePoint Now);

  /** VMs that may be handed out to callers, this one included if it serves. */
  std::vector<VmRecord> serving(TimePoint Now) const;
  /** VMs that may take part in common limits, this one included. */
  std::vector<VmName> sharers(TimePoint Now) const;
  /** VMs whose counters rise, this one left out. */
  std::vector<VmRecord> alivePeers(TimePoint Now) const;
  /** VMs that went from alive to lost or back since the last call. */
  std::vector<VmName> takeChanges(TimePoint Now);
  const VmRecord &self() const { return m_Self; }

private:
  struct Peer {
    VmRecord m_Record;
    TimePoint m_HeardAt; ///< When the counter rose last.
    bool m_WasAlive = true;
  };

  bool isAlive(const Peer &Of, TimePoint Now) const;
  bool hearsAnybody(TimePoint Now) const;
  std::vector<std::string> pickReceivers(TimePoint Now);

  VmRecord m_Self;
  std::set<std::string> m_Seeds;
  FleetViewOptions m_Options;
  std::minstd_rand m_Random;
  std::map<VmName, Peer> m_Peers;
  TimePoint m_HeardAnyAt;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_FLEETVIEW_H
