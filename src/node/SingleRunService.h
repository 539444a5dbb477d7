#ifndef FIGTURN_NODE_SINGLERUNSERVICE_H
#define FIGTURN_NODE_SINGLERUNSERVICE_H

/**
 * Runs requests that may execute at most once: joins repeated requests with the
 * running attempt, runs attempts, and reports the outcomes of this VM's
 * attempts to other VMs that found their tokens in a record.
 */

#include "coordination/SingleRunTable.h"
#include "node/NodeServices.h"
#include "protocol/CallerApi.h"
#include "protocol/ObjectStore.h"
#include "state/RankedMutex.h"
#include "transport/HttpServer.h"

#include <functional>
#include <map>
#include <memory>

namespace figturn {

class SingleRunRunner;

/** Single-run requests of one VM; thread-safe. */
class SingleRunService {
public:
  /** \p Store is used only on the thread that \p PostToStore posts to. */
  SingleRunService(NodeServices &Services, ObjectStore &Store,
                   std::function<void(std::function<void()>)> PostToStore);
  ~SingleRunService();

  /** Runs \p Request or joins its running attempt; answers \p Exchange.
   *  \p OnFinished runs once, after the answer or the caller's
   *  disconnection. */
  void run(const CallerRequest &Request, const HttpExchangePtr &Exchange,
           TimePoint Deadline, std::function<void()> OnFinished);

  /** Passes the outcome of the attempt \p Token to \p Respond once the attempt
   *  has ended, or Gone if this VM doesn't know it. \p Wait does not end the
   *  waiting: the requester needs its own timeout. Used for peers and for this
   *  VM itself. */
  void awaitOutcome(const AttemptToken &Token, milliseconds Wait,
                    std::function<void(HolderReply)> Respond);

  /** Number of unfinished attempts. */
  std::size_t running() const;

private:
  friend class SingleRunRunner;

  void begin(const CallerRequest &Request, const HttpExchangePtr &Exchange,
             TimePoint Deadline, const AttemptToken &Token,
             std::function<void()> OnFinished);
  void onEnded(const AttemptToken &Token,
               const std::optional<SingleRunOutcome> &Outcome);
  void onRecorded(const AttemptToken &Token);
  void updateKnownRevision(StoreRevision Revision);
  WaiterId addEndHandler(std::function<void()> OnEnd);

  NodeServices &m_Services;
  ObjectStore &m_Store;
  std::function<void(std::function<void()>)> m_PostToStore;
  mutable RankedMutex m_Mutex{LockRank::SingleRun};
  SingleRunTable m_Table{{}};
  StoreRevision m_KnownRevision;
  std::uint64_t m_NextWaiter = 1;
  std::uint64_t m_NextToken = 1;
  std::map<WaiterId, std::function<void()>> m_Waiters;
};

} // namespace figturn

#endif // FIGTURN_NODE_SINGLERUNSERVICE_H
