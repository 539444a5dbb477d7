#ifndef FIGTURN_NODE_QUERYRUNNER_H
#define FIGTURN_NODE_QUERYRUNNER_H

/**
 * Carries out one search or look-up: asks whether its fingerprint is safe to
 * send, runs a ScatterGather over the pinned snapshot, and answers the
 * caller. Lives on the worker of the caller's connection.
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

/** One running query; deletes itself when it is over. */
class QueryRunner : public QObject {
public:
  /** \p OnOver runs once, when the caller was answered or has gone. */
  QueryRunner(NodeServices &Services, CallerRequest Request,
              HttpExchangePtr Exchange, TimePoint Deadline,
              std::function<void()> OnOver);

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
  void begin(bool Canary, bool MayRestart);
  void apply(const QueryActions &Actions);
  void send(const SendCall &Call);
  void onResult(CallId Call, CallResult Result);
  /** Any answer shows that the request runs without a crash. */
  void reportIfAnswered(const CallOutcome &Outcome);
  void reportCanary(CanaryOutcome Outcome, std::function<void()> Then);
  void askAfterCrash();
  void onCrash();
  void onCrashAnswer(CanaryAnswer Answer);
  void restart(IndexVersion Newer, int TriesLeft);
  void finish(const Finish &Done);
  void answer(const QueryAnswer &Answer);
  void refuse(const Refusal &Refused);
  void respond(unsigned Status, std::string Body);
  void end();
  void scheduleTimer();
  CallHeader callHead(CallId Call, TimePoint Now) const;
  std::string encodeTargetCall(const SendCall &Call, TimePoint Now) const;
  CallOutcome decodeResult(CallId Call, const SentCall &Sent,
                           const CallResult &Result) const;

  NodeServices &m_Services;
  CallerRequest m_Request;
  Fingerprint m_Fingerprint;
  HttpExchangePtr m_Exchange;
  TimePoint m_Start;
  TimePoint m_Deadline;
  std::function<void()> m_OnOver;
  std::size_t m_Worker;
  std::shared_ptr<ServiceState> m_ServiceState;
  IndexSnapshotPtr m_Snapshot;
  std::unique_ptr<ScatterGather> m_Query;
  std::unordered_map<CallId, SentCall> m_Calls;
  QTimer m_Timer;
  /** Number of the canary that the home VM waits for; 0 if none. */
  std::uint64_t m_Canary = 0;
  bool m_Over = false;
};

} // namespace figturn

#endif // FIGTURN_NODE_QUERYRUNNER_H
