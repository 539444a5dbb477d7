#ifndef FIGTURN_NODE_SINGLERUNSERVICE_H
#define FIGTURN_NODE_SINGLERUNSERVICE_H

/**
 * Requests that may run at most once, at one VM: joins second tries with the
 * first, runs attempts, and tells other VMs how an attempt that they found
 * recorded has ended.
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
  /** \p Store is used on the thread to which \p PostToStore posts. */
  SingleRunService(NodeServices &Services, ObjectStore &Store,
                   std::function<void(std::function<void()>)> PostToStore);
  ~SingleRunService();

  /** Runs \p Request or joins its running attempt; answers \p Exchange.
   *  \p OnFinished runs once, when the caller was answered or has gone. */
  void run(const CallerRequest &Request, const HttpExchangePtr &Exchange,
           TimePoint Deadline, std::function<void()> OnFinished);

  /** A peer, or this VM, asks how the attempt \p Token has ended. */
  void awaitOutcome(const AttemptToken &Token, milliseconds Wait,
                    std::function<void(HolderReply)> Respond);

  /** Attempts that are not over yet. */
  std::size_t running() const;

private:
  friend class SingleRunRunner;

  void begin(const CallerRequest &Request, const HttpExchangePtr &Exchange,
             TimePoint Deadline, const AttemptToken &Token,
             std::function<void()> OnFinished);
  void onEnded(const AttemptToken &Token,
               const std::optional<SingleRunOutcome> &Outcome);
  void onRecorded(const AttemptToken &Token);
  void updateKnownRevision(StoreRevision Seen);
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
