#ifndef FIGTURN_COORDINATION_CONNECTIONBUDGET_H
#define FIGTURN_COORDINATION_CONNECTIONBUDGET_H

/**
 * Bounds what all callers' connections of a process hold together: connections,
 * and the bytes of incomplete requests, requests in progress and unsent
 * answers. Limits of one connection or one message don't suffice for that,
 * because callers may open many. At a limit, the connections without progress
 * are evicted first, and those of the client with the largest share before
 * others.
 */

#include "state/RankedMutex.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace figturn {

/** Limits of one process. */
struct ConnectionBudgetOptions {
  std::size_t m_MaxBytes = 0;
  std::size_t m_MaxConnections = 0;
};

/** The limits of a process that may use \p MemoryMiB and \p Descriptors; the
 *  rest of both is for targets, the platform and other VMs. */
ConnectionBudgetOptions connectionBudgetOf(std::size_t MemoryMiB,
                                           std::size_t Descriptors);

/** What a connection does; earlier values are closed first at the limit of
 *  connections. */
enum class ConnectionPhase {
  Closing,   ///< Its last answer is sent.
  Idle,      ///< Between requests.
  Receiving, ///< A request is incomplete.
  Sending,   ///< An answer is not yet sent. Closed only without progress.
  Pending    ///< A request is in progress. Never closed.
};

/** What a connection holds at present. */
struct ConnectionUse {
  ConnectionPhase m_Phase = ConnectionPhase::Idle;
  /** Bytes that closing the connection or refusing its incomplete request
   *  releases. */
  std::size_t m_Bytes = 0;
};

/** Counts what connections hold and selects those to evict.
 *  Thread-safe. */
class ConnectionBudget {
public:
  using ConnectionId = std::uint64_t;
  using ConnectionIds = std::vector<ConnectionId>;

  /** What to do after a change. The evicted connections must release their
   *  bytes: those of the same thread at once, because they no longer count,
   *  those of other threads soon. */
  struct Verdict {
    bool m_IsAccepted = true; ///< If not, evict the one that changed.
    ConnectionIds m_Evicted;
    bool m_IsNewlyFull = false; ///< The first time since there was room.
  };

  explicit ConnectionBudget(ConnectionBudgetOptions Options);

  /** Whether there is room for a new connection. If not, one of the candidates
   *  has to close for it. */
  struct Admission {
    bool m_HasRoom = true;
    /** Without room: whether the limit may be exceeded until a candidate of
     *  another thread is closed. If not, there are only candidates of the
     *  accepting thread. */
    bool m_IsWithinTolerance = false;
    ConnectionIds m_Candidates; ///< Best first.
  };
  /** \p Thread is the one that accepts connections. */
  Admission admit(const std::string &Client, std::size_t Thread,
                  TimePoint Now) const;

  /** A candidate closes soon; it isn't proposed again before its next update.
   */
  void setEvictionPending(ConnectionId Id);

  /** \p Thread is the one that the connection belongs to. */
  ConnectionId open(const std::string &Client, std::size_t Thread,
                    TimePoint Now);
  void close(ConnectionId Id);

  /** Records what a connection holds. \p HasProgressed: it received a part of a
   *  request or sent a part of an answer. */
  Verdict update(ConnectionId Id, ConnectionUse Use, bool HasProgressed,
                 TimePoint Now);

  /** Like update(), without progress and evictions, for a connection that has
   *  just been evicted. */
  void record(ConnectionId Id, ConnectionUse Use);

  /** Charges \p Bytes of a complete request to \p Client, if it may have them
   *  while other requests are in progress. \p HeldBytes of the same request
   *  were charged before. */
  Verdict chargeRequest(const std::string &Client, std::size_t Thread,
                        std::size_t HeldBytes, std::size_t Bytes,
                        TimePoint Now);
  void releaseRequest(const std::string &Client, std::size_t Bytes);

  std::size_t heldBytes() const;
  std::size_t connections() const;

private:
  struct Connection {
    std::string m_Client;
    std::size_t m_Thread = 0;
    ConnectionUse m_Use;
    TimePoint m_ProgressAt;
    bool m_IsEvictionPending = false;
  };
  struct Share {
    std::size_t m_Connections = 0;
    std::size_t m_Bytes = 0;        ///< Of connections and requests.
    std::size_t m_RequestBytes = 0; ///< Of requests.
    std::size_t m_SmallRequestBytes = 0;
  };

  void addBytes(const std::string &Client, std::size_t Removed,
                std::size_t Added);
  /** Records that a request of \p Client holds \p After bytes in place of
   *  \p Before. */
  void addRequestBytes(const std::string &Client, std::size_t Before,
                       std::size_t After);
  /** The bytes above which connections are evicted. */
  std::size_t byteLimit() const;
  bool replaceUse(Connection &Updated, ConnectionUse Use);
  void removeBytes(Connection &Released);
  void releaseUntilWithinLimit(Verdict &Result, std::size_t Thread,
                               TimePoint Now);
  std::optional<ConnectionId>
  selectForEviction(std::optional<std::size_t> Thread, TimePoint Now) const;
  void eraseUnusedShare(const std::string &Client);

  ConnectionBudgetOptions m_Options;
  mutable RankedMutex m_Mutex{LockRank::Budgets}; ///< Guards all below.
  std::unordered_map<ConnectionId, Connection> m_Connections;
  std::unordered_map<std::string, Share> m_Shares; ///< By client.
  ConnectionId m_NextId = 1;
  std::size_t m_Bytes = 0;
  std::size_t m_PendingEvictionBytes = 0; ///< Of those, about to be released.
  std::size_t m_RequestBytes = 0;
  std::size_t m_SmallRequestBytes = 0;
  bool m_IsFull = false;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_CONNECTIONBUDGET_H
