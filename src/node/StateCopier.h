#ifndef FIGTURN_NODE_STATECOPIER_H
#define FIGTURN_NODE_STATECOPIER_H

/**
 * Copies the platform's state from other VMs, and serves copies to them. The
 * registry and the configuration are copied independently, so that a target
 * that leaves is known at once while a large configuration is on its way.
 */

#include "coordination/FleetView.h"
#include "coordination/StateCopySchedule.h"
#include "node/PlatformAdapter.h"
#include "protocol/HttpMessage.h"
#include "transport/PeerFetcher.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace figturn {

/** Counts of copies of the state between VMs. */
struct StateCopyCounters {
  std::uint64_t m_Complete = 0; ///< Requested from other VMs, and received.
  std::uint64_t m_Failed = 0;   ///< Requested from other VMs in vain.
  std::uint64_t m_DeferredByPeers = 0; ///< Requested from busy VMs.
  std::uint64_t m_StoreReads = 0;      ///< Read from the store instead.
  std::uint64_t m_Served = 0;          ///< Sent to other VMs.
  std::uint64_t m_Deferred = 0; ///< Not sent because too many were pending.
  std::uint64_t m_ServedBytes = 0;
  Duration m_RenderTime{}; ///< Sum over the copies served and deferred.
};

/** Both directions of copying, for one VM; used on its worker. */
class StateCopier {
public:
  /** \p OnImported runs after state was imported. */
  StateCopier(PlatformAdapter &Adapter, FleetView &Fleet,
              std::function<void()> OnImported);

  /** Requests the copies that are due. */
  void requestCopies(TimePoint Now);
  /** Answers a request at StatePath. \p PendingAnswers counts the requests,
   *  including this one, whose answers are not completely sent. */
  HttpResponse serve(const HttpRequest &Request, std::size_t PendingAnswers);
  const StateCopyCounters &counters() const { return m_Counters; }

  static constexpr std::string_view StatePath = "/v1/state";

private:
  /** Copies of one part. */
  struct PartCopy {
    StatePart m_Part;
    StateCopySchedule m_Schedule;
    PeerFetcher m_Fetcher;
  };

  void requestCopy(PartCopy &Copy, const StateSource &Source, TimePoint Now);
  void onReply(PartCopy &Copy, const std::string &Address,
               const PeerReply &Reply, TimePoint RequestedAt);
  /** Imports a copy; returns whether it held newer state. */
  bool importCopy(StatePart Part, const PeerReply &Reply,
                  TimePoint RequestedAt);
  void count(CopyOutcome Outcome);
  const std::string &render(const std::string &Query);

  PlatformAdapter &m_Adapter;
  FleetView &m_Fleet;
  std::function<void()> m_OnImported;
  std::array<PartCopy, 2> m_Copies;
  StateCopyCounters m_Counters;
  /** Copies by the query that they answer, and the version that they are of.
   *  VMs that are behind ask for the same few. */
  std::map<std::string, std::string> m_Rendered;
  StateVersion m_RenderedVersion;
};

} // namespace figturn

#endif // FIGTURN_NODE_STATECOPIER_H
