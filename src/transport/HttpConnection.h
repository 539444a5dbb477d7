#ifndef FIGTURN_TRANSPORT_HTTPCONNECTION_H
#define FIGTURN_TRANSPORT_HTTPCONNECTION_H

/**
 * Server side of one caller connection. Passes each request to the handler as
 * soon as it is received and writes the answers in the order of the requests.
 * Reading pauses while too many requests or unsent answer bytes are pending,
 * which bounds the memory that one connection can occupy on the VM. What all
 * connections hold together is charged to CallerConnections; a connection that
 * is selected there refuses its incomplete request, or closes.
 */

#include "transport/HttpCodec.h"
#include "transport/HttpServerState.h"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figturn {

/** Runs on one worker and deletes itself when the connection is closed. */
class HttpConnection : public QObject {
public:
  /** Takes ownership of the open socket \p Descriptor. \p Client is the address
   *  of the caller, \p Id the connection's in the budget. */
  HttpConnection(std::shared_ptr<HttpServerState> State, std::size_t Worker,
                 qintptr Descriptor, std::string Client,
                 CallerConnections::ConnectionId Id, QObject *Parent);
  ~HttpConnection() override;

  /** Closes the connection if it is idle between requests. */
  void closeIfIdle();

  /** Sets the answer to the request with the number \p Request on this
   *  connection. */
  void setAnswer(std::uint64_t Request, HttpResponse Response);

  struct ReadRefusal;

private:
  class Exchange;

  /** A request passed to the handler, with its answer once it is known. */
  struct PipelinedRequest {
    std::shared_ptr<Exchange> m_Exchange;
    std::optional<HttpResponse> m_Answer;
    ResponseFraming m_Framing;
  };

  void readSocket();
  void readRequests();
  bool parseInput();
  bool canReadMore() const;
  bool hasUnparsedBytes() const;
  void dispatchRequest();
  void refuseUnreadable(RequestDefect Defect);
  void refuseRequest(const ReadRefusal &Refusal);
  /** \p Cause is logged and counted; it may be narrower than the reason that
   *  the caller gets. */
  void refuseRequest(const ReadRefusal &Refusal, std::string_view Cause,
                     std::string_view Target);
  HttpResponse answerFor(const ReadRefusal &Refusal,
                         std::string_view Target) const;
  void updateUse();
  /** Counts whether a request is partly received. */
  void countIncompleteRequest();
  ConnectionUse currentUse() const;
  ConnectionPhase phase() const;
  bool hasPendingRequest() const;
  std::size_t answerBytes() const;
  std::size_t requestBytes() const;
  EvictionResult evict(EvictionKind Kind);
  void releaseMemory();
  EvictionResult closeUnlessInUse();
  void writeAnswers();
  void writeNextAnswer();
  void writeContinue();
  void onBytesWritten();
  void handleWriteProgress();
  void armTimer();
  void onTimeout();
  void beginLinger();
  void onDisconnected();
  void closeNow();

  std::shared_ptr<HttpServerState> m_State;
  std::size_t m_Worker;
  std::string m_Client;
  CallerConnections::ConnectionId m_Id;
  std::optional<ConnectionUse> m_Use; ///< As last recorded in the budget.
  bool m_HasProgressed = false; ///< Bytes were received or sent since then.
  QTcpSocket m_Socket;
  QTimer m_Timer;
  HttpRequestReader m_Reader;
  std::string m_Input;                ///< Received bytes not yet parsed.
  bool m_RequestStarted = false;      ///< A request is partly received.
  bool m_IsCountedIncomplete = false; ///< As last counted in the state.
  bool m_RequestTimerRunning = false; ///< The timer covers the current request.
  bool m_IdleTimerRunning = false;    ///< The timer covers the time between.
  bool m_ContinueSent = false;        ///< "100 Continue" sent for the request.
  std::deque<PipelinedRequest> m_Pipeline; ///< In the order of the requests.
  /** Number of the first request in m_Pipeline. */
  std::uint64_t m_FirstRequestNumber = 0;
  std::size_t m_UnflushedAnswers = 0; ///< Written since the last full flush.
  bool m_StopReading = false;         ///< No further request is accepted.
  bool m_ProcessingInput = false;     ///< Prevents reentrant reads.
  bool m_Lingering = false;           ///< Last answer queued; discards input.
  bool m_WriteSideClosed = false;     ///< The write side is shut down.
  bool m_Closed = false;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_HTTPCONNECTION_H
