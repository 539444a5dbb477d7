#ifndef FIGTURN_COORDINATION_SINGLERUNTABLE_H
#define FIGTURN_COORDINATION_SINGLERUNTABLE_H

/**
 * The single-run requests of one VM by idempotency key. A second try with
 * the same key at the same VM joins the first one instead of a new attempt,
 * and other VMs ask here how an attempt that holds a record has ended.
 */

#include "coordination/SingleRunAttempt.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace figturn {

/** Bounds of a SingleRunTable. */
struct SingleRunTableOptions {
  Duration m_Retention = seconds(60); ///< Of ended attempts.
  std::size_t m_MaxEnded = 10000;     ///< Ended attempts kept at most.
};

/** Someone who waits for an attempt's end: a caller's try or a peer. */
using WaiterId = StrongId<struct WaiterIdTag, std::uint64_t>;

/** What to do with a try that comes in. */
struct JoinResult {
  enum class Kind {
    Begin,    ///< Begin an attempt with the token that was given.
    Joined,   ///< The waiter is told by end().
    Ended,    ///< m_Outcome holds.
    KeyReused ///< The key belongs to a different request.
  };
  Kind m_Kind = Kind::Begin;
  SingleRunOutcome m_Outcome;
};

/** The table. Not thread-safe; its lock has LockRank::SingleRun. */
class SingleRunTable {
public:
  explicit SingleRunTable(SingleRunTableOptions Options);

  /** A caller's try. With Begin the attempt counts as running until end().
   */
  JoinResult join(const ServiceName &Service, const RequestKey &Key,
                  Fingerprint Request, const AttemptToken &Token,
                  WaiterId Waiter, TimePoint Now);

  /** Another VM asks for the attempt \p Token. A reply at once, or none if
   *  the attempt is running: then \p Waiter is told by end(). */
  std::optional<HolderReply> ask(const AttemptToken &Token, WaiterId Waiter,
                                 TimePoint Now);

  /** The attempt's outcome is known, or none as another attempt's record
   *  decided. Returns the waiters to tell: callers by the outcome's verdict,
   *  or MayHaveRun without one; peers by its phase, or Gone without one. */
  std::vector<WaiterId> end(const AttemptToken &Token,
                            std::optional<SingleRunOutcome> Outcome,
                            TimePoint Now);

  /** The outcome of \p Token was found recorded in the platform. */
  void markRecorded(const AttemptToken &Token, TimePoint Now);

  /** A waiter left. */
  void leave(const AttemptToken &Token, WaiterId Waiter);

  /** Drops ended attempts that are past their retention. */
  void expire(TimePoint Now);

  std::size_t running() const { return m_Entries.size() - m_Ended.size(); }
  std::size_t size() const { return m_Entries.size(); }

private:
  struct Entry {
    std::string m_Path; ///< Names service and key.
    Fingerprint m_Fingerprint;
    std::vector<WaiterId> m_Waiters;
    std::optional<SingleRunOutcome> m_Outcome;
    std::optional<TimePoint> m_RecordedAt;
  };
  struct EndedAttempt {
    AttemptToken m_Token;
    TimePoint m_EndTime;
  };

  static HolderReply makeHolderReply(const Entry &Ended, TimePoint Now);
  void drop(const AttemptToken &Token);

  SingleRunTableOptions m_Options;
  std::unordered_map<AttemptToken, Entry> m_Entries;
  /** The latest attempt of each path. */
  std::unordered_map<std::string, AttemptToken> m_Latest;
  std::deque<EndedAttempt> m_Ended; ///< Oldest first.
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_SINGLERUNTABLE_H
