#ifndef FIGTURN_COORDINATION_SINGLERUNTABLE_H
#define FIGTURN_COORDINATION_SINGLERUNTABLE_H

/**
 * The single-run requests of one VM by idempotency key. A repeated request with
 * the same key at the same VM joins the running attempt instead of starting
 * another. Other VMs query this table for the outcome of an attempt that holds
 * a record.
 */

#include "coordination/SingleRunAttempt.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace figturn {

/** Limits of a SingleRunTable. */
struct SingleRunTableOptions {
  Duration m_Retention = seconds(60); ///< How long ended attempts are kept.
  std::size_t m_MaxEnded = 10000;     ///< Maximum number of ended attempts.
};

/** A caller's request or a peer that waits for an attempt to end. */
using WaiterId = StrongId<struct WaiterIdTag, std::uint64_t>;

/** How to handle an incoming request. */
struct JoinResult {
  enum class Kind {
    Begin,    ///< Start an attempt with the given token.
    Joined,   ///< The waiter will be returned by end().
    Ended,    ///< The attempt has ended; m_Outcome is valid.
    KeyReused ///< The key was used for a different request.
  };
  Kind m_Kind = Kind::Begin;
  SingleRunOutcome m_Outcome;
};

/** Not thread-safe; the lock that protects it has LockRank::SingleRun. */
class SingleRunTable {
public:
  explicit SingleRunTable(SingleRunTableOptions Options);

  /** Handles a caller's request. After Begin, the attempt counts as running
   * until end().
   */
  JoinResult join(const ServiceName &Service, const RequestKey &Key,
                  Fingerprint Request, const AttemptToken &Token,
                  WaiterId Waiter, TimePoint Now);

  /** Handles a query by another VM for the attempt \p Token. Returns the reply,
   *  or nothing if the attempt is still running; end() then returns
   *  \p Waiter. */
  std::optional<HolderReply> ask(const AttemptToken &Token, WaiterId Waiter,
                                 TimePoint Now);

  /** Ends an attempt, with no outcome if another attempt's record decided it.
   *  Returns the waiters to notify: callers get the outcome's verdict, or
   *  MayHaveRun without one; peers get its phase, or Gone without one. */
  std::vector<WaiterId> end(const AttemptToken &Token,
                            std::optional<SingleRunOutcome> Outcome,
                            TimePoint Now);

  /** Notes that the platform has stored the outcome of \p Token. */
  void markRecorded(const AttemptToken &Token, TimePoint Now);

  /** Removes a waiter. */
  void leave(const AttemptToken &Token, WaiterId Waiter);

  /** Drops ended attempts whose retention has expired, and the oldest ones
   * above m_MaxEnded. */
  void expire(TimePoint Now);

  std::size_t running() const { return m_Entries.size() - m_Ended.size(); }
  std::size_t size() const { return m_Entries.size(); }

private:
  struct Entry {
    std::string m_Path; ///< Identifies the service and the key.
    Fingerprint m_Fingerprint;
    std::vector<WaiterId> m_Waiters;
    std::optional<SingleRunOutcome> m_Outcome;
    std::optional<TimePoint> m_RecordedAt;
  };
  struct EndedAttempt {
    AttemptToken m_Token;
    TimePoint m_EndTime;
  };

  static HolderReply makeHolderReply(const Entry &EndedEntry, TimePoint Now);
  void drop(const AttemptToken &Token);

  SingleRunTableOptions m_Options;
  std::unordered_map<AttemptToken, Entry> m_Entries;
  /** The latest attempt for each path. */
  std::unordered_map<std::string, AttemptToken> m_Latest;
  std::deque<EndedAttempt> m_Ended; ///< Oldest first.
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_SINGLERUNTABLE_H
