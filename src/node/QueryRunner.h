#ifndef FIGTURN_NODE_QUERYRUNNER_H
#define FIGTURN_NODE_QUERYRUNNER_H

/**
 * Executes one search or lookup: asks whether the request may be sent, runs a
 * ScatterGather over the pinned snapshot and answers the caller.
 * Confined to the worker of the caller's connection.
 */

#include "coordination/ScatterGather.h"
#include "node/NodeServices.h"
#include "protocol/CallerApi.h"
#include "protocol/TargetMessages.h"
#include "transport/HttpServer.h"

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace figturn {

/** One running query; deletes itself when it has finished. */
class QueryRunner : public QObject {
public:
  /** \p OnFinished runs once, after the answer or the caller's
   *  disconnection. */
  QueryRunner(NodeServices &Services, CallerRequest Request,
              HttpExchangePtr Exchange, TimePoint Deadline,
              std::function<void()> OnFinished);

  void start();

private:
  struct SentCall {
    ShardId m_Shard;
    TargetName m_Target;
    IndexVersion m_Version;
    CallKind m_Kind;
  };

  void askCanary();
  void onCanaryAnswer(CanaryAnswer Answer);
  void beginQuery(bool IsCanary, bool MayRestart);
  void apply(const QueryActions &Actions);
  void send(const SendCall &Call);
  void onResult(CallId Call, CallResult Result);
  /** Reports the canary as Ok if \p Outcome is an answer, which shows that the
   *  request doesn't crash targets. */
  void reportIfAnswered(const QueryCallOutcome &Outcome);
  void reportCanary(CanaryOutcome Outcome, std::function<void()> OnDone);
  void askCanaryAfterCrash();
  void onCrash();
  void onCanaryAnswerAfterCrash(CanaryAnswer Answer);
  void restart(IndexVersion NewerThan, int RemainingPolls);
  void finish(const Finish &Done);
  void answer(const QueryAnswer &Answer);
  void refuse(const Refusal &Refused);
  void respond(unsigned Status, std::string Body);
  void finishRequest();
  void scheduleTimer();
  CallHeader makeCallHeader(CallId Call, TimePoint Now) const;
  std::string encodeTargetCall(const SendCall &Call, TimePoint Now) const;
  QueryCallOutcome decodeResult(CallId Call, const SentCall &Sent,
                                const CallResult &Result) const;

  NodeServices &m_Services;
  CallerRequest m_Request;
  Fingerprint m_Fingerprint;
  HttpExchangePtr m_Exchange;
  TimePoint m_Start;
  TimePoint m_Deadline;
  std::function<void()> m_OnFinished;
  std::size_t m_Worker;
  std::shared_ptr<ServiceState> m_ServiceState;
  IndexSnapshotPtr m_Snapshot;
  std::unique_ptr<ScatterGather> m_Query;
  std::unordered_map<CallId, SentCall> m_Calls;
  QTimer m_Timer;
  /** Number of the canary whose report the owner VM expects; 0 if none. */
  std::uint64_t m_Canary = 0;
  bool m_IsFinished = false;
};

} // namespace figturn

#endif // FIGTURN_NODE_QUERYRUNNER_H
