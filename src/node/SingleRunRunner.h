#ifndef FIGTURN_NODE_SINGLERUNRUNNER_H
#define FIGTURN_NODE_SINGLERUNRUNNER_H

/**
 * Executes one attempt at a single-run request: the record operations at the
 * platform, the single send and the caller's answer. Confined to the worker of
 * the caller's connection; outlives the answer until the outcome is recorded.
 */

#include "coordination/SingleRunAttempt.h"
#include "node/SingleRunService.h"

#include <QObject>
#include <QTimer>
#include <functional>

namespace figturn {

/** One attempt; deletes itself when it has finished. */
class SingleRunRunner : public QObject {
public:
  SingleRunRunner(SingleRunService &Owner, SingleRunOptions Options,
                  CallerRequest Request, HttpExchangePtr Exchange,
                  std::function<void()> OnFinished);

  void start();

private:
  void apply(const SingleRunActions &Actions);
  void perform(const CreateRecord &Action);
  void perform(const UpdateRecord &Action);
  void perform(const ReadRecord &Action);
  void perform(const SendOnce &Action);
  void perform(const AskHolder &Action);
  void perform(const Answer &Action);
  void perform(const Refuse &Action);
  void put(std::string Path, const SingleRunRecord &Record,
           WriteCondition Condition);
  ObjectStore::ResultHandler recordHandler();
  void sendTo(const SendOnce &Action, ReplicaMask Tried);
  void onCallResult(const SendOnce &Action, ReplicaMask Tried, CallId Call,
                    const CallResult &Result);
  void onHolderReply(const HolderReply &Reply);
  void finishIfEnded();
  void notifyFinished();

  SingleRunService &m_Owner;
  NodeServices &m_Services;
  CallerRequest m_Request;
  HttpExchangePtr m_Exchange;
  std::function<void()> m_OnFinished;
  std::size_t m_Worker;
  TimePoint m_Deadline;
  SingleRunAttempt m_Attempt;
  QTimer m_Timer;
  bool m_Reported = false; ///< The outcome was passed to the table.
  bool m_Ended = false;
};

} // namespace figturn

#endif // FIGTURN_NODE_SINGLERUNRUNNER_H
