#ifndef FIGTURN_TRANSPORT_CALLERCONNECTIONS_H
#define FIGTURN_TRANSPORT_CALLERCONNECTIONS_H

/**
 * The connections of callers to all HTTP servers of a process, with the budget
 * that they share. Evicts the connections that the budget selects.
 */

#include "coordination/ConnectionBudget.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace figturn {

/** What an evicted connection must release. */
enum class EvictionKind {
  Memory,    ///< Its incomplete request or its unsent answers.
  Connection ///< The connection itself, unless a request is in progress.
};

/** How a connection complied with an eviction. */
enum class EvictionResult {
  Done,
  Later, ///< It is in a handler, or owned by another thread.
  InUse  ///< It has released nothing.
};

/** Thread-safe. */
class CallerConnections {
public:
  using ConnectionId = ConnectionBudget::ConnectionId;
  /** Evicts a connection, or asks its thread to do so. */
  using Evictor = std::function<EvictionResult(EvictionKind)>;

  explicit CallerConnections(ConnectionBudgetOptions Options)
      : m_Budget(Options) {}

  /** Result of makeRoom(). */
  enum class Room {
    Available,
    NotYet, ///< Connections take it whose requests are not read yet.
    None
  };
  /** Closes another connection, if necessary, to make room for one of \p
   * Client. To be called on thread \p Acceptor. */
  Room makeRoom(const std::string &Client, std::size_t Acceptor, TimePoint Now);
  /** Opens a connection that belongs to thread \p Owner. */
  ConnectionId open(const std::string &Client, std::size_t Owner,
                    TimePoint Now) {
    return m_Budget.open(Client, Owner, Now);
  }
  /** Sets how to evict the connection; until then, it counts as in use. */
  void setEvictor(ConnectionId Id, Evictor Evict);
  void close(ConnectionId Id);

  /** Like ConnectionBudget::update(); returns false if the connection itself
   *  must release its memory. */
  bool update(ConnectionId Id, ConnectionUse Use, bool HasProgressed,
              TimePoint Now);

  void record(ConnectionId Id, ConnectionUse Use) { m_Budget.record(Id, Use); }

  std::size_t heldBytes() const { return m_Budget.heldBytes(); }

private:
  friend class RequestCharge;

  bool apply(const ConnectionBudget::Verdict &Verdict);
  EvictionResult evict(ConnectionId Id, EvictionKind Kind);

  ConnectionBudget m_Budget;
  std::mutex m_Mutex; ///< Guards m_Evictors; not held during its calls.
  std::unordered_map<ConnectionId, Evictor> m_Evictors;
};

/** The bytes of one complete request, which its destructor releases. Not
 *  thread-safe. */
class RequestCharge {
public:
  RequestCharge(std::shared_ptr<CallerConnections> Connections,
                std::string Client, std::size_t Thread)
      : m_Connections(std::move(Connections)), m_Client(std::move(Client)),
        m_Thread(Thread) {}
  RequestCharge(const RequestCharge &) = delete;
  RequestCharge &operator=(const RequestCharge &) = delete;
  ~RequestCharge();

  /** Charges further \p Bytes, on the connection's thread; returns false if
   * they must not be held. */
  bool add(std::size_t Bytes, TimePoint Now);

private:
  std::shared_ptr<CallerConnections> m_Connections;
  std::string m_Client;
  std::size_t m_Thread;
  std::size_t m_Bytes = 0;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_CALLERCONNECTIONS_H
